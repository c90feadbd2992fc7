"""``cyclamenlift quarantine``: requests that are kept from targets."""

from returns.result import Failure
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

PATH = '/api/quarantine'
COLUMNS = ('fingerprint', 'service', 'standing', 'seconds left', 'ends')
HTTP_ERROR = 400


@command('quarantine')
def quarantine(
    addresses: str, lift: str = '', json: str = 'False'
) -> ExitStatus:
    """Show the requests under which targets ended, or lift entries.

    Give the admin addresses of daemons, host:port, with commas; the first
    that answers is enough, since all know the same. --lift takes the
    fingerprints of requests that may reach targets again, with commas; that
    holds everywhere within seconds.
    """
    places = parse_addresses(addresses, 'addresses')
    if isinstance(places, Failure):
        complain(places.failure())
        return ExitStatus.WRONG_USE
    method, body = 'GET', None
    if lift:
        method, body = 'POST', {'fingerprints': lift.split(',')}
    for place in places.unwrap():
        result = request(place, method, PATH, body)
        if isinstance(result, Failure):
            complain(result.failure())
            continue
        return show(result.unwrap(), is_true(json))
    return ExitStatus.FAILED


def show(answer: AdminAnswer, as_json: bool) -> ExitStatus:
    """Print the list, or why there is none."""
    if answer.status >= HTTP_ERROR:
        complain(answer.problem())
        return ExitStatus.FAILED
    if as_json:
        say_json(answer.value)
        return ExitStatus.FINE
    table = Table(*COLUMNS)
    for row in answer.value.get('requests') or ():
        table.add_row(
            row['fingerprint'],
            row['service'],
            row['standing'],
            str(row['seconds_left']),
            '\n'.join(row['reports']),
        )
    say_table(table)
    return ExitStatus.FINE
