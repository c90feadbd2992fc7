"""Counts of lost calls by time window, computed from the processes' logs.

Log lines of one event are rate-limited. The first line after a suppressed
run carries the number of suppressed lines and is counted with that weight.
Totals are therefore exact; their breakdown is an estimate under high load.
"""

import collections
from collections.abc import Iterable
import dataclasses
import datetime
import json
import statistics

from cyclamenlift.core.codes import ResultCode

CALL_END_EVENTS = ('call_answered', 'call_not_answered')
SERVER_ERROR = 500
FIRST_NOT_RUN = 2000
FIRST_UNKNOWN = 3000
FIRST_CALLER_ERROR = 4000
# Refusals because of the limit of a client account.
ACCOUNT_CODES = (ResultCode.ACCOUNT_LIMITED, ResultCode.ACCOUNT_IN_DOUBT)
# Accounts that are listed, those with most refusals.
LISTED_ACCOUNTS = 10
# Service time, in percent of the target's usual one, that counts as slow.
SLOW_PACE_PERCENT = 200


@dataclasses.dataclass(slots=True)
class Window:
    """Counts of the log events of one time window.

    ``answered`` counts callers' calls with a successful answer and
    ``target_errors`` those with a server error of the target itself.
    ``refused`` counts calls that did not run and ``unknown`` calls that may
    have run, both by result code; ``by_account`` counts those refused because
    of the limit of a client account. ``nested_failed`` counts failed calls
    that targets made while they ran other calls. ``gate_refusals`` counts all
    refusals by gates, ``full`` those with every slot in use and ``slow`` those
    with a slow target.
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
    by_account: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    milliseconds: list[int] = dataclasses.field(default_factory=list)
    gate_refusals: int = 0
    full: int = 0
    slow: int = 0

    def add(self, record: dict) -> None:
        """Count one log record."""
        weight = 1 + int(record.get('left_out', 0))
        event = record.get('event')
        if event in CALL_END_EVENTS:
            self.add_call_end(record, weight)
        elif event == 'request_refused':
            self.refused[record['code']] += weight
        elif event == 'gate_refused':
            self.gate_refusals += weight
            if record.get('running', 0) >= record.get('room', 1):
                self.full += weight
            if record.get('pace_percent', 0) >= SLOW_PACE_PERCENT:
                self.slow += weight

    def add_call_end(self, record: dict, weight: int) -> None:
        """Count the end of a call, as logged by the daemon it entered at."""
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
            if code in ACCOUNT_CODES:
                self.by_account[record.get('account'), code] += weight
        elif code < FIRST_CALLER_ERROR:
            self.unknown[code] += weight


def read_lines(lines: Iterable[str]) -> Iterable[dict]:
    """Yield the JSON records of log lines; other lines are skipped.

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


def count_by_window(
    records: Iterable[dict], seconds: float
) -> dict[float, Window]:
    """Return the windows by start, in seconds after the first record."""
    windows: dict[float, Window] = {}
    timed = sorted((unix_seconds(r), n, r) for n, r in enumerate(records))
    for at, _, record in timed:
        start = (at - timed[0][0]) // seconds * seconds
        windows.setdefault(start, Window()).add(record)
    return windows


def unix_seconds(record: dict) -> float:
    """Return the timestamp of a record in Unix seconds."""
    text = record['timestamp']
    return datetime.datetime.fromisoformat(text).timestamp()


def format_table(windows: dict[float, Window]) -> list[str]:
    """Return the windows as the lines of a text table, header first."""
    lines = [
        'second  answered  p50 ms  refused  unknown  errors  nested lost'
        '  gates: refused  full  slow  codes'
    ]
    for start, window in sorted(windows.items()):
        times = window.milliseconds
        median_ms = int(statistics.median(times)) if times else 0
        codes = window.refused + window.unknown
        code_counts = ' '.join(
            f'{code}:{number}' for code, number in codes.most_common(4)
        )
        lines.append(
            f'{start:6.0f}  {window.answered:8}  {median_ms:6}'
            f'  {window.refused.total():7}  {window.unknown.total():7}'
            f'  {window.target_errors:6}  {window.nested_failed:11}'
            f'  {window.gate_refusals:14}  {window.full:4}'
            f'  {window.slow:4}  {code_counts}'
        )
    return lines


def format_accounts(windows: dict[float, Window]) -> list[str]:
    """Return the accounts with most refusals by their limits, as lines."""
    total: collections.Counter = collections.Counter()
    for window in windows.values():
        total.update(window.by_account)
    return [
        f'account {account}: {count} refused with {code}'
        for (account, code), count in total.most_common(LISTED_ACCOUNTS)
    ]


def known_codes(windows: dict[float, Window]) -> list[int]:
    """Return the known result codes that occur, for a legend."""
    seen = set()
    for window in windows.values():
        seen.update(window.refused, window.unknown)
    return sorted(code for code in seen if code in set(ResultCode))
