"""``cyclamenlift evacuate start``: empty a data centre."""

from cyclamenlift.cli.evacuations import order
from cyclamenlift.cli.event_publish import WAIT_SECONDS
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus


@command('evacuate start')
def start(
    data_centre: str,
    console: str = '',
    operator: str = '',
    wait_seconds: str = WAIT_SECONDS,
    json: str = 'False',
) -> ExitStatus:
    """Send nothing more to the targets of a data centre.

    Calls that run there end as usual; new ones go to targets elsewhere, and
    are refused (2018) if a service has none.
    """
    return order(data_centre, True, console, operator, wait_seconds, json)
