"""``cyclamenlift control``: run the process."""

from returns.result import Failure

from cyclamenlift.cli.flags import settings_help
from cyclamenlift.cli.flags import wants_help
from cyclamenlift.cli.output import complain_all
from cyclamenlift.cli.output import say
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.conf.settings import load_settings


@command('control')
def control(**flags: str) -> ExitStatus:
    """Run a control instance.

    Every setting is a flag, or a variable CYCLAMENLIFT_<NAME>; a flag wins.
    SIGTERM stops it gracefully. ``control --help`` lists the settings.
    """
    if wants_help(flags):
        say(settings_help(ControlSettings))
        return ExitStatus.FINE
    settings = load_settings(ControlSettings, flags)
    if isinstance(settings, Failure):
        complain_all(settings.failure())
        return ExitStatus.WRONG_USE
    from cyclamenlift.runtime.control import run

    return ExitStatus(run(settings.unwrap()))
