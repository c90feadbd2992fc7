"""``cyclamenlift daemon``: run the process."""

from returns.result import Failure

from cyclamenlift.cli.flags import settings_help
from cyclamenlift.cli.flags import wants_help
from cyclamenlift.cli.output import complain_all
from cyclamenlift.cli.output import say
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.conf.settings import DaemonSettings
from cyclamenlift.conf.settings import load_settings


@command('daemon')
def daemon(**flags: str) -> ExitStatus:
    """Run the daemon beside a target instance.

    Every setting is a flag, or a variable CYCLAMENLIFT_<NAME>; a flag wins.
    SIGTERM stops it gracefully. ``daemon --help`` lists the settings.
    """
    if wants_help(flags):
        say(settings_help(DaemonSettings))
        return ExitStatus.FINE
    settings = load_settings(DaemonSettings, flags)
    if isinstance(settings, Failure):
        complain_all(settings.failure())
        return ExitStatus.WRONG_USE
    from cyclamenlift.runtime.daemon import run

    return ExitStatus(run(settings.unwrap()))
