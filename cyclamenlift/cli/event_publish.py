"""``cyclamenlift event publish``."""

import getpass
import uuid

from returns.result import Failure

from cyclamenlift.cli.admin import AdminAnswer
from cyclamenlift.cli.admin import request
from cyclamenlift.cli.admin import SystemSleep
from cyclamenlift.cli.documents import read_document
from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.flags import parse_number
from cyclamenlift.cli.output import complain
from cyclamenlift.cli.output import complain_all
from cyclamenlift.cli.output import say
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

    Of two changes with one base the first wins; the other learns the
    current version. When no answer came, run the command again with the
    change id that it printed: a change takes effect once.
    """
    consoles = parse_addresses(console, 'console')
    version = parse_number(base, 'base')
    seconds = parse_number(wait_seconds, 'wait_seconds')
    for result in (consoles, version, seconds):
        if isinstance(result, Failure):
            complain(result.failure())
            return ExitStatus.WRONG_USE
    document = read_document(file)
    if isinstance(document, Failure):
        complain_all(document.failure())
        return ExitStatus.FAILED
    change = {
        'document': document.unwrap(),
        'base_version': version.unwrap(),
        'change_id': change_id or str(uuid.uuid4()),
        'operator_name': operator or operator_name(),
    }
    say(f'change id {change["change_id"]}')
    clock = SystemSleep()
    hint = f'Send it again with --change-id {change["change_id"]}.'
    call = LeaderCall(consoles.unwrap(), request, clock, hint)
    answer = call.post(PATH, change, clock.now() + seconds.unwrap())
    if isinstance(answer, Failure):
        complain(answer.failure())
        return ExitStatus.FAILED
    return conclude(answer.unwrap())


def conclude(answer: AdminAnswer) -> ExitStatus:
    """Write what became of the change."""
    if answer.code == ResultCode.CHANGE_ACCEPTED:
        say(f'version {answer.value.get("version")} accepted')
        return ExitStatus.FINE
    complain(answer.problem())
    for item in answer.value.get('problems') or ():
        complain(
            Problem(
                ResultCode.DOCUMENT_INVALID,
                str(item.get('detail')),
                str(item.get('path')),
            )
        )
    if 'current_version' in answer.value:
        say(f'current version {answer.value["current_version"]}')
    return ExitStatus.FAILED


def operator_name() -> str:
    """Return who runs the command, empty where nobody is known."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return ''
