"""``cyclamenlift replace-storage``: replace a lost storage folder."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.cli.admin import AdminResponse
from cyclamenlift.cli.admin import request
from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address

PATH = '/api/replace-storage'
STATUS_PATH = '/api/status'


@command('replace-storage')
def replace_storage(
    instance: str, console: str = '', storage_id: str = ''
) -> ExitStatus:
    """Let the new data folder of a control instance count as a voter.

    Without a storage id, the one that the instance reported to the leader is
    used. The repair is complete when ``status`` no longer lists it.
    """
    consoles = parse_addresses(console, 'console')
    if isinstance(consoles, Failure):
        print_problem(consoles.failure())
        return ExitStatus.USAGE_ERROR
    leader = find_leader(consoles.unwrap())
    if isinstance(leader, Failure):
        print_problem(leader.failure())
        return ExitStatus.FAILED
    response = leader.unwrap()
    new_storage = storage_id or uncounted_storage(response, instance)
    if not new_storage:
        detail = 'it has not reported to the leader, or it counts already'
        print_problem(Problem(ResultCode.STORAGE_REFUSED, detail, instance))
        return ExitStatus.FAILED
    order = {'instance': instance, 'storage_id': new_storage}
    return print_outcome(request(response.address, 'POST', PATH, order), order)


def find_leader(consoles: list[Address]) -> Result[AdminResponse, Problem]:
    """Return the status response of the leader."""
    problem = Problem(ResultCode.INSTANCE_UNREACHABLE, 'no leader answered')
    for address in consoles:
        result = request(address, 'GET', STATUS_PATH)
        if isinstance(result, Failure):
            problem = result.failure()
        elif replica_status(result.unwrap()).get('role') == 'leader':
            return result
    return Failure(problem)


def replica_status(response: AdminResponse) -> dict:
    value = response.value.get('replica')
    return value if isinstance(value, dict) else {}


def uncounted_storage(response: AdminResponse, instance: str) -> str:
    """Return the storage id of ``instance`` that does not count yet, or ''."""
    for item in replica_status(response).get('instances') or ():
        uncounted = item.get('storage_id') != item.get('voter_storage_id')
        if item.get('instance') == instance and uncounted:
            return str(item.get('storage_id') or '')
    return ''


def print_outcome(
    result: Result[AdminResponse, Problem], order: dict
) -> ExitStatus:
    """Print the outcome of the replacement."""
    if isinstance(result, Success):
        response = result.unwrap()
        if response.code == ResultCode.STORAGE_REPLACED:
            print_line(
                f'{order["instance"]}: storage {order["storage_id"]} counts'
            )
            return ExitStatus.SUCCESS
        print_problem(response.problem())
        return ExitStatus.FAILED
    print_problem(result.failure())
    return ExitStatus.FAILED
