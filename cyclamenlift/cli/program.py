"""The entry point of the command line."""

import importlib
import sys

import fire
from fire.core import FireExit

from cyclamenlift.cli.registry import Recorder

NAME = 'cyclamenlift'
MODULES = (
    'check',
    'control',
    'daemon',
    'drain',
    'event_history',
    'event_publish',
    'event_show',
    'event_validate',
    'explain',
    'losses',
    'quarantine',
    'replace_storage',
    'report_burn',
    'status',
    'version',
)


def main(arguments: list[str] | None = None) -> None:
    """Run one command and leave with its exit status.

    0: done; 1: refused or failed; 2: wrong use or wrong settings.
    """
    sys.exit(run(sys.argv[1:] if arguments is None else arguments))


def run(arguments: list[str]) -> int:
    """Run one command and return its exit status."""
    for module in MODULES:
        importlib.import_module(f'cyclamenlift.cli.{module}')
    recorder = Recorder()
    fire.core.Display = show
    # fire would turn 007 into a number and a,b into a tuple. Its decorator
    # for this shows up as a command in every help text.
    fire.parser.DefaultParseValue = str
    try:
        fire.Fire(recorder.tree(), command=arguments, name=NAME)
    except FireExit as exit_:
        return exit_.code
    except KeyboardInterrupt:
        return 1
    return int(recorder.status)


def show(lines: list[str], out) -> None:
    """Write help at once: a pager would be another process."""
    out.write('\n'.join(lines) + '\n')
