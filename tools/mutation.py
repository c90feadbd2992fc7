"""One broken rule, and the run of the tests that should notice it."""

import dataclasses
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parents[1]
SECONDS = 300
COPIED = (
    'cyclamenlift',
    'tests',
    'bench',
    'demo',
    'tools',
    'pyproject.toml',
    'docs',
)
EXIT_FAILED_TESTS = 1


class StaleMutantError(Exception):
    """The text that a mutant breaks is no longer in the code."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """One broken rule: ``old`` in ``path`` becomes ``new``."""

    name: str
    path: str
    old: str
    new: str
    tests: str


def copy(source: pathlib.Path, goal: pathlib.Path) -> None:
    if source.is_dir():
        ignored = shutil.ignore_patterns('__pycache__', 'results')
        shutil.copytree(source, goal, ignore=ignored)
    elif source.exists():
        shutil.copy(source, goal)


def copy_tree(folder: pathlib.Path) -> None:
    """Copy what the tests need."""
    for part in COPIED:
        copy(ROOT / part, folder / part)


def break_rule(mutant: Mutant, folder: pathlib.Path) -> None:
    """Replace the text once; raise StaleMutantError if it is not there."""
    path = folder / mutant.path
    text = path.read_text()
    if mutant.old not in text:
        raise StaleMutantError(f'{mutant.name}: not in {mutant.path}')
    path.write_text(text.replace(mutant.old, mutant.new, 1))


def run_tests(folder: pathlib.Path, tests: str) -> int:
    """Run tests in a copy and return the exit status of pytest."""
    done = subprocess.run(
        [sys.executable, '-m', 'pytest', '-x', '-q', '--no-header']
        + ['-p', 'no:cacheprovider', *tests.split()],
        cwd=folder,
        env={'PYTHONPATH': str(folder), 'PATH': '/usr/bin:/bin'},
        capture_output=True,
        text=True,
        timeout=SECONDS,
        check=False,
    )
    return done.returncode


def is_noticed(mutant: Mutant) -> bool:
    """Return whether a test fails; an error of another kind does not count."""
    with tempfile.TemporaryDirectory(prefix='mutant-') as name:
        folder = pathlib.Path(name)
        copy_tree(folder)
        break_rule(mutant, folder)
        return run_tests(folder, mutant.tests) == EXIT_FAILED_TESTS


def passes_unbroken(tests: str) -> bool:
    """Return whether the tests pass in a copy that nothing is broken in."""
    with tempfile.TemporaryDirectory(prefix='mutant-') as name:
        folder = pathlib.Path(name)
        copy_tree(folder)
        return run_tests(folder, tests) == 0
