"""``cyclamenlift quarantine``: requests that are blocked from targets."""

from returns.result import Failure
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

PATH = '/api/quarantine'
COLUMNS = ('fingerprint', 'service', 'standing', 'seconds left', 'ends')
HTTP_ERROR = 400


@command('quarantine')
def quarantine(
    addresses: str, lift: str = '', json: str = 'False'
) -> ExitStatus:
    """List the requests under which targets ended, or lift entries.

    ADDRESSES are admin addresses of daemons, host:port, separated by
    commas; the first one that responds is used, since all have the same
    list. --lift takes the fingerprints, separated by commas, of requests
    that may reach targets again; every daemon applies it within seconds.
    """
    parsed = parse_addresses(addresses, 'addresses')
    if isinstance(parsed, Failure):
        print_problem(parsed.failure())
        return ExitStatus.USAGE_ERROR
    method, body = 'GET', None
    if lift:
        method, body = 'POST', {'fingerprints': lift.split(',')}
    for address in parsed.unwrap():
        result = request(address, method, PATH, body)
        if isinstance(result, Failure):
            print_problem(result.failure())
            continue
        return print_response(result.unwrap(), is_true(json))
    return ExitStatus.FAILED


def print_response(response: AdminResponse, as_json: bool) -> ExitStatus:
    """Print the list, or the problem of an error response."""
    if response.status >= HTTP_ERROR:
        print_problem(response.problem())
        return ExitStatus.FAILED
    if as_json:
        print_json(response.value)
        return ExitStatus.SUCCESS
    table = Table(*COLUMNS)
    for row in response.value.get('requests') or ():
        table.add_row(
            row['fingerprint'],
            row['service'],
            row['standing'],
            str(row['seconds_left']),
            '\n'.join(row['reports']),
        )
    print_table(table)
    return ExitStatus.SUCCESS
