"""What the commands write: people read standard error or tables."""

import json
import sys

import pydantic_core
from rich.console import Console
from rich.table import Table

from cyclamenlift.core.problems import Problem

PLAIN_WIDTH = 160


def say(line: str) -> None:
    """Write one line of a result."""
    sys.stdout.write(line + '\n')


def say_table(table: Table) -> None:
    """Write a table, in its full width where no terminal limits it."""
    width = None if sys.stdout.isatty() else PLAIN_WIDTH
    Console(file=sys.stdout, width=width).print(table)


def complain(problem: Problem) -> None:
    """Write one problem to standard error."""
    sys.stderr.write(problem.line() + '\n')


def complain_all(problems: list[Problem]) -> None:
    for problem in problems:
        complain(problem)


def say_json(value) -> None:
    """Write a value as JSON that people can read, too."""
    plain = pydantic_core.to_jsonable_python(value)
    say(json.dumps(plain, indent=2, sort_keys=True))
