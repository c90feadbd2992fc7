"""``cyclamenlift explain``: the timeline of a request from log files."""

import json
import pathlib

from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem

TARGET_ENDED = 'target_ended'
# Fields printed before the separator of each line, or left out.
HEADER_FIELDS = ('timestamp', 'instance', 'event', 'call_id', 'code', 'level')


@command('explain')
def explain(call_id: str, *files: str) -> ExitStatus:
    """Print what all processes logged about a request, ordered by time.

    Includes calls that a target made while it ran the request, and the ends
    of target processes that ran any attempt of it. FILES contain JSON
    lines; text before the first brace of a line is ignored. Exit status 1
    if no line is about the request.
    """
    texts = []
    for name in files:
        try:
            texts.append(pathlib.Path(name).read_text(errors='replace'))
        except OSError as error:
            print_problem(Problem(ResultCode.BAD_REQUEST, str(error), name))
            return ExitStatus.USAGE_ERROR
    records = [r for text in texts for r in records_of_request(text, call_id)]
    fingerprints = {r['fingerprint'] for r in records if r.get('fingerprint')}
    for fingerprint in fingerprints:
        records.extend(
            r for text in texts for r in target_ends(text, fingerprint)
        )
    for record in sorted(records, key=lambda r: r.get('timestamp', '')):
        print_line(format_record(record))
    if not records:
        detail = f'no log line is about {call_id!r}'
        print_problem(Problem(ResultCode.NOT_FOUND, detail))
        return ExitStatus.FAILED
    return ExitStatus.SUCCESS


def records_of_request(text: str, call_id: str) -> list[dict]:
    """Return the records of a log that are about a request.

    >>> records_of_request('x {"call_id": "a", "event": "e"}', 'a')
    [{'call_id': 'a', 'event': 'e'}]
    """
    return [
        r
        for r in records_containing(text, call_id)
        if belongs_to_request(r, call_id)
    ]


def belongs_to_request(record: dict, call_id: str) -> bool:
    """Tell whether a record is about a request or a call nested in it."""
    name = str(record.get('call_id', ''))
    return name == call_id or name.startswith(f'{call_id}.')


def target_ends(text: str, fingerprint: str) -> list[dict]:
    """Return the ends of targets that ran any attempt of a request."""
    return [
        record
        for record in records_containing(text, fingerprint)
        if record.get('event') == TARGET_ENDED
    ]


def records_containing(text: str, word: str) -> list[dict]:
    """Return the records of the log lines that contain a word."""
    records = []
    for line in text.splitlines():
        if word not in line:
            continue
        try:
            records.append(json.loads(line[line.index('{') :]))
        except ValueError:
            continue
    return records


def format_record(record: dict) -> str:
    """Format one record as a line of text."""
    code = record.get('code')
    meaning = ''
    if code in ResultCode._value2member_map_:
        meaning = f' {code} {describe(ResultCode(code)).title}'
    rest = ' '.join(
        f'{name}={value}'
        for name, value in record.items()
        if name not in HEADER_FIELDS and value not in ('', None, [], False)
    )
    header = (
        f'{record.get("timestamp", "")} {record.get("instance", "")} '
        f'{record.get("event", "")}'
    )
    return f'{header}{meaning} | {rest}'
