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

# Fields that stand at the head of each line of the story.
HEAD = ('timestamp', 'instance', 'event', 'call_id', 'code', 'level')


@command('explain')
def explain(call_id: str, *files: str) -> ExitStatus:
    """Print what all processes logged of one request, in order of time.

    Calls that a target made while it ran the request are told with it.
    FILES hold JSON lines; whatever stands before the first brace of a line
    is left out. Exit status 1 when no line is about the request.
    """
    found = []
    for name in files:
        try:
            text = pathlib.Path(name).read_text(errors='replace')
        except OSError as error:
            complain(Problem(ResultCode.BAD_REQUEST, str(error), name))
            return ExitStatus.WRONG_USE
        found.extend(lines_about(text, call_id))
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
    found = []
    for line in text.splitlines():
        if call_id not in line:
            continue
        try:
            record = json.loads(line[line.index('{') :])
        except ValueError:
            continue
        name = str(record.get('call_id', ''))
        if name == call_id or name.startswith(f'{call_id}.'):
            found.append(record)
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
