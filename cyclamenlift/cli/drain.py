"""``cyclamenlift drain``: a target leaves without losing a call."""

from returns.result import Failure

from cyclamenlift.cli.admin import request
from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.output import complain
from cyclamenlift.cli.output import say
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus

HTTP_ERROR = 400


@command('drain')
def drain(addresses: str) -> ExitStatus:
    """Tell daemons to let their targets finish and take no new work.

    Give the admin addresses of the daemons, host:port, with commas.
    """
    places = parse_addresses(addresses, 'addresses')
    if isinstance(places, Failure):
        complain(places.failure())
        return ExitStatus.WRONG_USE
    status = ExitStatus.FINE
    for place in places.unwrap():
        result = request(place, 'POST', '/drain', {})
        if isinstance(result, Failure):
            complain(result.failure())
            status = ExitStatus.FAILED
            continue
        answer = result.unwrap()
        if answer.status >= HTTP_ERROR:
            complain(answer.problem())
            status = ExitStatus.FAILED
            continue
        say(f'{place} {answer.text("instance")} is draining')
    return status
