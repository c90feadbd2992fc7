"""``cyclamenlift replace-storage``: a lost disk's new folder counts again."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.cli.admin import AdminAnswer
from cyclamenlift.cli.admin import request
from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.output import complain
from cyclamenlift.cli.output import say
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
    """Let the new data folder of a control instance count.

    Without a storage id the one that the leader sees at the instance is
    taken. The repair is complete when ``status`` no longer names it.
    """
    consoles = parse_addresses(console, 'console')
    if isinstance(consoles, Failure):
        complain(consoles.failure())
        return ExitStatus.WRONG_USE
    leader = find_leader(consoles.unwrap())
    if isinstance(leader, Failure):
        complain(leader.failure())
        return ExitStatus.FAILED
    answer = leader.unwrap()
    chosen = storage_id or storage_at(answer, instance)
    if not chosen:
        detail = 'the leader has not heard from it, or it counts already'
        complain(Problem(ResultCode.STORAGE_REFUSED, detail, instance))
        return ExitStatus.FAILED
    order = {'instance': instance, 'storage_id': chosen}
    return conclude(request(answer.address, 'POST', PATH, order), order)


def find_leader(consoles: list[Address]) -> Result[AdminAnswer, Problem]:
    """Return the status of the instance that leads."""
    problem = Problem(ResultCode.INSTANCE_UNREACHABLE, 'no leader answered')
    for address in consoles:
        result = request(address, 'GET', STATUS_PATH)
        if isinstance(result, Failure):
            problem = result.failure()
        elif replica_of(result.unwrap()).get('role') == 'leader':
            return result
    return Failure(problem)


def replica_of(answer: AdminAnswer) -> dict:
    value = answer.value.get('replica')
    return value if isinstance(value, dict) else {}


def storage_at(answer: AdminAnswer, instance: str) -> str:
    """Return the storage id that waits at ``instance``, empty for none."""
    for item in replica_of(answer).get('instances') or ():
        waits = item.get('storage_id') != item.get('voter_storage_id')
        if item.get('instance') == instance and waits:
            return str(item.get('storage_id') or '')
    return ''


def conclude(result: Result[AdminAnswer, Problem], order: dict) -> ExitStatus:
    """Write what became of the order."""
    if isinstance(result, Success):
        answer = result.unwrap()
        if answer.code == ResultCode.STORAGE_REPLACED:
            say(f'{order["instance"]}: storage {order["storage_id"]} counts')
            return ExitStatus.FINE
        complain(answer.problem())
        return ExitStatus.FAILED
    complain(result.failure())
    return ExitStatus.FAILED
