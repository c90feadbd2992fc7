"""``cyclamenlift version``."""

import cyclamenlift
from cyclamenlift.cli.output import say
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus


@command('version')
def version() -> ExitStatus:
    """Print the version of the software."""
    say(cyclamenlift.__version__)
    return ExitStatus.FINE
