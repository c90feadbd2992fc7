"""``cyclamenlift explain``: the story of one request from log files."""

import json
import pathlib

from cyclamenlift.cli.output import complain
from cyclamenlift.cli.output import say
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem

TARGET_ENDED = 'target_ended'
# Fields that stand at the head of each line of the story.
HEAD = ('timestamp', 'instance', 'event', 'call_id', 'code', 'level')


@command('explain')
def explain(call_id: str, *files: str) -> ExitStatus:
    """Print what all processes logged of one request, in order of time.

    Calls that a target made while it ran the request are told with it, and
    ends of targets that ran the same request in whichever attempt. FILES
    hold JSON lines; whatever stands before the first brace of a line is
    left out. Exit status 1 when no line is about the request.
    """
    texts = []
    for name in files:
        try:
            texts.append(pathlib.Path(name).read_text(errors='replace'))
        except OSError as error:
            complain(Problem(ResultCode.BAD_REQUEST, str(error), name))
            return ExitStatus.WRONG_USE
    found = [r for text in texts for r in lines_about(text, call_id)]
    same = {r['fingerprint'] for r in found if r.get('fingerprint')}
    for fingerprint in same:
        found.extend(r for text in texts for r in ends_of(text, fingerprint))
    for record in sorted(found, key=lambda r: r.get('timestamp', '')):
        say(tell(record))
    if not found:
        detail = f'no line is about {call_id!r}'
        complain(Problem(ResultCode.NOT_FOUND, detail))
        return ExitStatus.FAILED
    return ExitStatus.FINE


def lines_about(text: str, call_id: str) -> list[dict]:
    """Return the records of a log that are about a request.

    >>> lines_about('x {"call_id": "a", "event": "e"}', 'a')
    [{'call_id': 'a', 'event': 'e'}]
    """
    return [r for r in records_with(text, call_id) if is_about(r, call_id)]


def is_about(record: dict, call_id: str) -> bool:
    """Tell whether a record is about a request or a call made for it."""
    name = str(record.get('call_id', ''))
    return name == call_id or name.startswith(f'{call_id}.')


def ends_of(text: str, fingerprint: str) -> list[dict]:
    """Return the ends of targets that ran a request, in any attempt."""
    return [
        record
        for record in records_with(text, fingerprint)
        if record.get('event') == TARGET_ENDED
    ]


def records_with(text: str, word: str) -> list[dict]:
    """Return the records of a log whose lines hold a word."""
    found = []
    for line in text.splitlines():
        if word not in line:
            continue
        try:
            found.append(json.loads(line[line.index('{') :]))
        except ValueError:
            continue
    return found


def tell(record: dict) -> str:
    """Return one record as a line for a person."""
    code = record.get('code')
    meaning = ''
    if code in ResultCode._value2member_map_:
        meaning = f' {code} {describe(ResultCode(code)).title}'
    rest = ' '.join(
        f'{name}={value}'
        for name, value in record.items()
        if name not in HEAD and value not in ('', None, [], False)
    )
    head = (
        f'{record.get("timestamp", "")} {record.get("instance", "")} '
        f'{record.get("event", "")}'
    )
    return f'{head}{meaning} | {rest}'
