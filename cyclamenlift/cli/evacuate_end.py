"""``cyclamenlift evacuate end``: take a data centre back."""

from cyclamenlift.cli.evacuations import order
from cyclamenlift.cli.event_publish import WAIT_SECONDS
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus


@command('evacuate end')
def end(
    data_centre: str,
    console: str = '',
    operator: str = '',
    wait_seconds: str = WAIT_SECONDS,
    json: str = 'False',
) -> ExitStatus:
    """Use the targets of an evacuated data centre again.

    Their load returns step by step, or by what they bear while cold.
    """
    return order(data_centre, False, console, operator, wait_seconds, json)
