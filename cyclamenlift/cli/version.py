"""``cyclamenlift version``: print the version."""

import cyclamenlift
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus


@command('version')
def version() -> ExitStatus:
    """Print the version of the software."""
    print_line(cyclamenlift.__version__)
    return ExitStatus.SUCCESS
