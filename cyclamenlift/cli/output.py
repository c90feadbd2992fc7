"""Output of the commands: results to stdout, problems to stderr."""

import json
import sys

import pydantic_core
from rich.console import Console
from rich.table import Table

from cyclamenlift.core.problems import Problem

DEFAULT_WIDTH = 160


def print_line(line: str) -> None:
    """Print one line to standard output."""
    sys.stdout.write(line + '\n')


def print_table(table: Table) -> None:
    """Print a table, 160 columns wide if the output is no terminal."""
    width = None if sys.stdout.isatty() else DEFAULT_WIDTH
    Console(file=sys.stdout, width=width).print(table)


def print_problem(problem: Problem) -> None:
    """Print one problem to standard error."""
    sys.stderr.write(problem.line() + '\n')


def print_problems(problems: list[Problem]) -> None:
    for problem in problems:
        print_problem(problem)


def print_json(value) -> None:
    """Print a value as indented JSON."""
    plain = pydantic_core.to_jsonable_python(value)
    print_line(json.dumps(plain, indent=2, sort_keys=True))
