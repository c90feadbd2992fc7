"""``cyclamenlift status``: what instances say of themselves."""

from returns.result import Failure
from returns.result import Result
from rich.table import Table

from cyclamenlift.cli.admin import AdminAnswer
from cyclamenlift.cli.admin import request
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.output import complain
from cyclamenlift.cli.output import say_json
from cyclamenlift.cli.output import say_table
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address

PATH = '/api/status'
COLUMNS = ('address', 'kind', 'instance', 'data centre', 'version', 'state')


@command('status')
def status(addresses: str = '', json: str = 'False') -> ExitStatus:
    """Show the state of control instances and daemons.

    Give their admin addresses, host:port, with commas. Exit status 1 when
    one of them did not answer.
    """
    places = parse_addresses(addresses, 'addresses')
    if isinstance(places, Failure):
        complain(places.failure())
        return ExitStatus.WRONG_USE
    results = [(p, request(p, 'GET', PATH)) for p in places.unwrap()]
    if is_true(json):
        say_json([as_json(place, result) for place, result in results])
    else:
        show_table(results)
    silent = any(isinstance(result, Failure) for _, result in results)
    return ExitStatus.FAILED if silent else ExitStatus.FINE


def as_json(
    place: Address, result: Result[AdminAnswer, Problem]
) -> dict[str, object]:
    """Return one instance for ``--json``, with its address."""
    if isinstance(result, Failure):
        problem = result.failure()
        value = {'code': int(problem.code), 'detail': problem.detail}
    else:
        value = dict(result.unwrap().value)
    value['address'] = str(place)
    return value


def show_table(results) -> None:
    table = Table(*COLUMNS)
    for place, result in results:
        if isinstance(result, Failure):
            table.add_row(str(place), '', '', '', '', 'no answer')
            complain(result.failure())
            continue
        answer = result.unwrap()
        table.add_row(
            str(place),
            answer.text('kind'),
            answer.text('instance'),
            answer.text('data_centre'),
            answer.text('version'),
            state_of(answer.value),
        )
    say_table(table)


def state_of(value: dict) -> str:
    """Return the state in words, with the repairs under way."""
    replica = value.get('replica')
    if not isinstance(replica, dict):
        return str(value.get('state') or '')
    words = [f'{replica.get("role")}, term {replica.get("term")}']
    if not replica.get('established'):
        words.append('not established')
    if replica.get('role') == 'leader':
        words.extend(
            f'{item.get("instance")}: {repair_of(item)}'
            for item in replica.get('instances') or ()
            if repair_of(item)
        )
    return '; '.join(words)


def repair_of(item: dict) -> str:
    """Return what is missing until another disk may be lost."""
    if not item.get('counts'):
        return 'storage does not count'
    if not item.get('reachable'):
        return 'not reachable'
    return '' if item.get('caught_up') else 'not caught up'
