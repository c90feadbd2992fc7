"""``cyclamenlift status``: the state of daemons and control instances."""

from returns.result import Failure
from returns.result import Result
from rich.table import Table

from cyclamenlift.cli.admin import AdminResponse
from cyclamenlift.cli.admin import request
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.output import print_json
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.output import print_table
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address

PATH = '/api/status'
COLUMNS = ('address', 'kind', 'instance', 'data centre', 'version', 'state')


@command('status')
def status(addresses: str = '', json: str = 'False') -> ExitStatus:
    """Show the state of control instances and daemons.

    ADDRESSES are their admin addresses, host:port, separated by commas.
    Exit status 1 if one of them did not respond.
    """
    parsed = parse_addresses(addresses, 'addresses')
    if isinstance(parsed, Failure):
        print_problem(parsed.failure())
        return ExitStatus.USAGE_ERROR
    results = [(p, request(p, 'GET', PATH)) for p in parsed.unwrap()]
    if is_true(json):
        print_json(
            [status_to_json(address, result) for address, result in results]
        )
    else:
        print_status_table(results)
    unanswered = any(isinstance(result, Failure) for _, result in results)
    return ExitStatus.FAILED if unanswered else ExitStatus.SUCCESS


def status_to_json(
    address: Address, result: Result[AdminResponse, Problem]
) -> dict[str, object]:
    """Return the status of one instance as JSON, with its address."""
    if isinstance(result, Failure):
        problem = result.failure()
        value = {'code': int(problem.code), 'detail': problem.detail}
    else:
        value = dict(result.unwrap().value)
    value['address'] = str(address)
    return value


def print_status_table(results) -> None:
    table = Table(*COLUMNS)
    for address, result in results:
        if isinstance(result, Failure):
            table.add_row(str(address), '', '', '', '', 'no answer')
            print_problem(result.failure())
            continue
        response = result.unwrap()
        table.add_row(
            str(address),
            response.text('kind'),
            response.text('instance'),
            response.text('data_centre'),
            response.text('version'),
            describe_state(response.value),
        )
    print_table(table)


def describe_state(value: dict) -> str:
    """Describe the state of an instance, with repairs in progress."""
    replica = value.get('replica')
    if not isinstance(replica, dict):
        notes = [str(value.get('state') or ''), *evacuation_notes(value)]
        return '; '.join(note for note in notes if note)
    parts = [f'{replica.get("role")}, term {replica.get("term")}']
    parts.extend(evacuation_notes(value))
    if not replica.get('established'):
        parts.append('not established')
    if replica.get('role') == 'leader':
        parts.extend(
            f'{item.get("instance")}: {pending_repair(item)}'
            for item in replica.get('instances') or ()
            if pending_repair(item)
        )
    return '; '.join(parts)


def evacuation_notes(value: dict) -> list[str]:
    """Return a note on the evacuated data centres, if there are any."""
    names = value.get('evacuated') or ()
    return [f'evacuated: {", ".join(names)}'] if names else []


def pending_repair(item: dict) -> str:
    """Return what is missing before another disk may be lost, or ''."""
    if not item.get('counts'):
        return 'storage does not count'
    if not item.get('reachable'):
        return 'not reachable'
    return '' if item.get('caught_up') else 'not caught up'
