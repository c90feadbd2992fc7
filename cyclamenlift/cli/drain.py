"""``cyclamenlift drain``: take targets out of service gracefully."""

from returns.result import Failure

from cyclamenlift.cli.admin import request
from cyclamenlift.cli.flags import parse_addresses
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problem
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus

HTTP_ERROR = 400


@command('drain')
def drain(addresses: str) -> ExitStatus:
    """Drain targets: running calls finish, new calls go elsewhere.

    ADDRESSES are the admin addresses of the daemons, host:port, separated
    by commas.
    """
    parsed = parse_addresses(addresses, 'addresses')
    if isinstance(parsed, Failure):
        print_problem(parsed.failure())
        return ExitStatus.USAGE_ERROR
    status = ExitStatus.SUCCESS
    for address in parsed.unwrap():
        result = request(address, 'POST', '/drain', {})
        if isinstance(result, Failure):
            print_problem(result.failure())
            status = ExitStatus.FAILED
            continue
        response = result.unwrap()
        if response.status >= HTTP_ERROR:
            print_problem(response.problem())
            status = ExitStatus.FAILED
            continue
        print_line(f'{address} {response.text("instance")} is draining')
    return status
