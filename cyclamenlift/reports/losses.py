"""Where calls are lost, by time: counts made from the logs of processes.

Lines of one event are bounded; the first line after some that were left out
says how many, and stands for them too. So sums are right and what they are
made of is an estimate where a crowd came.
"""

import collections
from collections.abc import Iterable
import dataclasses
import datetime
import json
import statistics

from cyclamenlift.core.codes import ResultCode

ENDS = ('call_answered', 'call_not_answered')
SERVER_ERROR = 500
FIRST_NOT_RUN = 2000
FIRST_UNKNOWN = 3000
FIRST_WRONG = 4000
# A target's pace that counts as a slow spell, in percent of the usual.
SLOW_PACE = 200


@dataclasses.dataclass(slots=True)
class Window:
    """What the logs tell of a span of time.

    ``answered`` counts callers' calls with an answer that is no error,
    ``target_errors`` those with the target's own error. ``refused`` counts
    those that did not run, ``unknown`` those that may have, each by code;
    ``nested_failed`` the calls of running work that failed. ``full`` and
    ``slow`` count refusals of gates whose slots were taken and whose target
    was slow, of ``gate_refusals`` in all.
    """

    answered: int = 0
    target_errors: int = 0
    nested_failed: int = 0
    refused: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    unknown: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    milliseconds: list[int] = dataclasses.field(default_factory=list)
    gate_refusals: int = 0
    full: int = 0
    slow: int = 0

    def note(self, record: dict) -> None:
        """Count one log line."""
        weight = 1 + int(record.get('left_out', 0))
        event = record.get('event')
        if event in ENDS:
            self.note_end(record, weight)
        elif event == 'request_refused':
            self.refused[record['code']] += weight
        elif event == 'gate_refused':
            self.gate_refusals += weight
            if record.get('running', 0) >= record.get('room', 1):
                self.full += weight
            if record.get('pace_percent', 0) >= SLOW_PACE:
                self.slow += weight

    def note_end(self, record: dict, weight: int) -> None:
        """Count the end of a call at its entry."""
        code = int(record.get('code', 0))
        good = code < FIRST_NOT_RUN and record['status'] < SERVER_ERROR
        if record.get('nested'):
            self.nested_failed += 0 if good else weight
        elif good:
            self.answered += weight
            self.milliseconds.append(record.get('milliseconds', 0))
        elif code < FIRST_NOT_RUN:
            self.target_errors += weight
        elif code < FIRST_UNKNOWN:
            self.refused[code] += weight
        elif code < FIRST_WRONG:
            self.unknown[code] += weight


def read_lines(lines: Iterable[str]) -> Iterable[dict]:
    """Return the records of log lines; what is none is left out.

    >>> list(read_lines(['x {"event": "e", "timestamp": "t"}', 'y']))
    [{'event': 'e', 'timestamp': 't'}]
    """
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(record, dict) and 'timestamp' in record:
            yield record


def count(records: Iterable[dict], seconds: float) -> dict[float, Window]:
    """Return the windows by their start, in seconds after the first line."""
    found: dict[float, Window] = {}
    timed = sorted((instant(r), n, r) for n, r in enumerate(records))
    for at, _, record in timed:
        start = (at - timed[0][0]) // seconds * seconds
        found.setdefault(start, Window()).note(record)
    return found


def instant(record: dict) -> float:
    """Return the Unix seconds at which a line was written."""
    text = record['timestamp']
    return datetime.datetime.fromisoformat(text).timestamp()


def table(windows: dict[float, Window]) -> list[str]:
    """Return the windows as lines for a person, heading first."""
    lines = [
        'second  answered  p50 ms  refused  unknown  errors  nested lost'
        '  gates: refused  full  slow  codes'
    ]
    for start, window in sorted(windows.items()):
        times = window.milliseconds
        middle = int(statistics.median(times)) if times else 0
        codes = window.refused + window.unknown
        named = ' '.join(
            f'{code}:{number}' for code, number in codes.most_common(4)
        )
        lines.append(
            f'{start:6.0f}  {window.answered:8}  {middle:6}'
            f'  {window.refused.total():7}  {window.unknown.total():7}'
            f'  {window.target_errors:6}  {window.nested_failed:11}'
            f'  {window.gate_refusals:14}  {window.full:4}'
            f'  {window.slow:4}  {named}'
        )
    return lines


def meanings(windows: dict[float, Window]) -> list[int]:
    """Return the codes that occur, for a legend."""
    seen = set()
    for window in windows.values():
        seen.update(window.refused, window.unknown)
    return sorted(code for code in seen if code in set(ResultCode))
