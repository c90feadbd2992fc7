"""``cyclamenlift report burn``: service-level burn."""

import importlib

from cyclamenlift.cli.output import complain
from cyclamenlift.cli.registry import command
from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem

MODULE = 'cyclamenlift.reports.burn'


@command('report burn')
def burn(**flags: str) -> ExitStatus:
    """Report how fast each service uses up its error budget."""
    try:
        module = importlib.import_module(MODULE)
    except ModuleNotFoundError:
        detail = 'the burn report is not part of this version'
        complain(Problem(ResultCode.NOT_FOUND, detail))
        return ExitStatus.FAILED
    return ExitStatus(module.run_command(flags))
