"""``cyclamenlift report burn``: error-budget burn of the services."""

from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.reports.burn import run_command


@command('report burn')
def burn(**flags: str) -> ExitStatus:
    """Report how fast each service uses up its error budget."""
    return run_command(flags)
