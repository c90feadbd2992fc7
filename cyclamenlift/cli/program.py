"""Entry point of the command line."""

import importlib
import sys

import fire
from fire.core import FireExit

from cyclamenlift.cli.registry import CommandRunner

NAME = 'cyclamenlift'
MODULES = (
    'account_list',
    'account_show',
    'check',
    'control',
    'daemon',
    'drain',
    'evacuate_end',
    'evacuate_list',
    'evacuate_start',
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
    """Run one command and exit with its status.

    0: success; 1: refused or failed; 2: wrong usage or invalid settings.
    """
    sys.exit(run(sys.argv[1:] if arguments is None else arguments))


def run(arguments: list[str]) -> int:
    """Run one command and return its exit status."""
    for module in MODULES:
        importlib.import_module(f'cyclamenlift.cli.{module}')
    runner = CommandRunner()
    fire.core.Display = print_help
    # By default, fire parses 007 as a number and a,b as a tuple. Its
    # decorator against this would appear as a command in every help text.
    fire.parser.DefaultParseValue = str
    try:
        fire.Fire(runner.command_tree(), command=arguments, name=NAME)
    except FireExit as exit_:
        return exit_.code
    except KeyboardInterrupt:
        return 1
    return int(runner.status)


def print_help(lines: list[str], out) -> None:
    """Print help directly: a pager would be a separate process."""
    out.write('\n'.join(lines) + '\n')
