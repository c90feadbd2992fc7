"""Sends orders to evacuate a data centre or to take it back.

Orders are based on the state that was read first, so an order that was
delayed can't undo one of another operator.
"""

from returns.result import Failure
from returns.result import Result

from cyclamenlift.cli.admin import AdminResponse
from cyclamenlift.cli.admin import first_response
from cyclamenlift.cli.admin import request
from cyclamenlift.cli.admin import SystemClock
from cyclamenlift.cli.event_publish import operator_name
from cyclamenlift.cli.flags import is_true
from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.flags import parse_number
from cyclamenlift.cli.output import print_json
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.output import print_problems
from cyclamenlift.cli.publishing import LeaderCall
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address

LIST_PATH = '/api/evacuations'
ORDER_PATH = '/api/evacuate'
HINT = 'Send the same order again; "evacuate list" shows the state.'


def order(
    data_centre: str,
    evacuated: bool,
    console: str,
    operator: str,
    wait_seconds: str,
    json: str,
) -> ExitStatus:
    """Send an order based on the current state, and print its outcome."""
    consoles = parse_addresses(console, 'console')
    seconds = parse_number(wait_seconds, 'wait_seconds')
    for result in (consoles, seconds):
        if isinstance(result, Failure):
            print_problem(result.failure())
            return ExitStatus.USAGE_ERROR
    known = first_response(consoles.unwrap(), 'GET', LIST_PATH)
    if isinstance(known, Failure):
        print_problems(known.failure())
        return ExitStatus.FAILED
    change = {
        'data_centre': data_centre,
        'evacuated': evacuated,
        'base_revision': known.unwrap().value.get('revision') or 0,
        'operator_name': operator or operator_name(),
    }
    response = send(consoles.unwrap(), change, seconds.unwrap())
    if isinstance(response, Failure):
        print_problem(response.failure())
        return ExitStatus.FAILED
    return print_outcome(response.unwrap(), change, is_true(json))


def send(
    consoles: list[Address], change: dict, seconds: int
) -> Result[AdminResponse, Problem]:
    """Send an order to the leader until its outcome is known."""
    clock = SystemClock()
    leader_call = LeaderCall(consoles, request, clock, HINT)
    return leader_call.post(ORDER_PATH, change, clock.now() + seconds)


def print_outcome(
    response: AdminResponse, change: dict, as_json: bool
) -> ExitStatus:
    """Print the outcome of an order."""
    accepted = response.code == ResultCode.CHANGE_ACCEPTED
    if as_json:
        print_json(response.value)
    elif accepted:
        state = 'evacuated' if change['evacuated'] else 'in use'
        revision = response.value.get('current_version')
        print_line(f'{change["data_centre"]} is {state} (revision {revision})')
    else:
        print_problem(response.problem())
    return ExitStatus.SUCCESS if accepted else ExitStatus.FAILED
