"""``cyclamenlift daemon``: run the process in the foreground."""

from returns.result import Failure

from cyclamenlift.cli.flags import settings_help
from cyclamenlift.cli.flags import wants_help
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problems
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.conf.settings import DaemonSettings
from cyclamenlift.conf.settings import load_settings


@command('daemon')
def daemon(**flags: str) -> ExitStatus:
    """Run the daemon of a target instance.

    Each setting is a flag or an environment variable CYCLAMENLIFT_<NAME>;
    the flag takes precedence. SIGTERM stops the process gracefully.
    ``daemon --help`` lists the settings.
    """
    if wants_help(flags):
        print_line(settings_help(DaemonSettings))
        return ExitStatus.SUCCESS
    settings = load_settings(DaemonSettings, flags)
    if isinstance(settings, Failure):
        print_problems(settings.failure())
        return ExitStatus.USAGE_ERROR
    from cyclamenlift.runtime.daemon import run

    return ExitStatus(run(settings.unwrap()))
