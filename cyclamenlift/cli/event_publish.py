"""``cyclamenlift event publish``: publish a new version."""

import getpass
import uuid

from returns.result import Failure

from cyclamenlift.cli.admin import AdminResponse
from cyclamenlift.cli.admin import request
from cyclamenlift.cli.admin import SystemClock
from cyclamenlift.cli.documents import read_document
from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.flags import parse_number
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.output import print_problems
from cyclamenlift.cli.publishing import LeaderCall
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem

PATH = '/api/publish'
WAIT_SECONDS = '20'


@command('event publish')
def publish(
    file: str,
    base: str,
    change_id: str = '',
    console: str = '',
    operator: str = '',
    wait_seconds: str = WAIT_SECONDS,
) -> ExitStatus:
    """Publish an event document in place of version BASE.

    Of two changes with the same base the first one is accepted; the other
    fails and reports the current version. If no response arrived, run the
    command again with the printed change id: a change id is applied once.
    """
    consoles = parse_addresses(console, 'console')
    version = parse_number(base, 'base')
    seconds = parse_number(wait_seconds, 'wait_seconds')
    for result in (consoles, version, seconds):
        if isinstance(result, Failure):
            print_problem(result.failure())
            return ExitStatus.USAGE_ERROR
    document = read_document(file)
    if isinstance(document, Failure):
        print_problems(document.failure())
        return ExitStatus.FAILED
    change = {
        'document': document.unwrap(),
        'base_version': version.unwrap(),
        'change_id': change_id or str(uuid.uuid4()),
        'operator_name': operator or operator_name(),
    }
    print_line(f'change id {change["change_id"]}')
    clock = SystemClock()
    hint = f'Send it again with --change-id {change["change_id"]}.'
    leader_call = LeaderCall(consoles.unwrap(), request, clock, hint)
    response = leader_call.post(PATH, change, clock.now() + seconds.unwrap())
    if isinstance(response, Failure):
        print_problem(response.failure())
        return ExitStatus.FAILED
    return print_outcome(response.unwrap())


def print_outcome(response: AdminResponse) -> ExitStatus:
    """Print the outcome of the change."""
    if response.code == ResultCode.CHANGE_ACCEPTED:
        print_line(f'version {response.value.get("version")} accepted')
        return ExitStatus.SUCCESS
    print_problem(response.problem())
    for item in response.value.get('problems') or ():
        print_problem(
            Problem(
                ResultCode.DOCUMENT_INVALID,
                str(item.get('detail')),
                str(item.get('path')),
            )
        )
    if 'current_version' in response.value:
        print_line(f'current version {response.value["current_version"]}')
    return ExitStatus.FAILED


def operator_name() -> str:
    """Return the name of the current user, empty if it is unknown."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return ''
