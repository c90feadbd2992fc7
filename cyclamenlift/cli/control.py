"""``cyclamenlift control``: run the process in the foreground."""

from returns.result import Failure

from cyclamenlift.cli.flags import settings_help
from cyclamenlift.cli.flags import wants_help
from cyclamenlift.cli.output import print_line
from cyclamenlift.cli.output import print_problems
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.conf.settings import load_settings


@command('control')
def control(**flags: str) -> ExitStatus:
    """Run a control instance.

    Each setting is a flag or an environment variable CYCLAMENLIFT_<NAME>;
    the flag takes precedence. SIGTERM stops the process gracefully.
    ``control --help`` lists the settings.
    """
    if wants_help(flags):
        print_line(settings_help(ControlSettings))
        return ExitStatus.SUCCESS
    settings = load_settings(ControlSettings, flags)
    if isinstance(settings, Failure):
        print_problems(settings.failure())
        return ExitStatus.USAGE_ERROR
    from cyclamenlift.runtime.control import run

    return ExitStatus(run(settings.unwrap()))
