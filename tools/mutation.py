"""Apply a mutant to a copy of the sources and run its tests there."""

import dataclasses
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parents[1]
TEST_TIMEOUT_SECONDS = 300
COPIED_PATHS = (
    'cyclamenlift',
    'tests',
    'bench',
    'demo',
    'tools',
    'pyproject.toml',
    'docs',
)
EXIT_TESTS_FAILED = 1


class StaleMutantError(Exception):
    """The text that a mutant replaces is no longer in the source."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """Replaces ``old`` by ``new`` in ``path``; ``tests`` must then fail."""

    name: str
    path: str
    old: str
    new: str
    tests: str


def copy_path(source: pathlib.Path, destination: pathlib.Path) -> None:
    if source.is_dir():
        ignored = shutil.ignore_patterns('__pycache__', 'results')
        shutil.copytree(source, destination, ignore=ignored)
    elif source.exists():
        shutil.copy(source, destination)


def copy_sources(folder: pathlib.Path) -> None:
    """Copy the files that the tests need."""
    for part in COPIED_PATHS:
        copy_path(ROOT / part, folder / part)


def apply_mutant(mutant: Mutant, folder: pathlib.Path) -> None:
    """Replace the first match; raise StaleMutantError if there is none."""
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
        timeout=TEST_TIMEOUT_SECONDS,
        check=False,
    )
    return done.returncode


def is_killed(mutant: Mutant) -> bool:
    """Return whether a test fails; other errors of pytest do not count."""
    with tempfile.TemporaryDirectory(prefix='mutant-') as name:
        folder = pathlib.Path(name)
        copy_sources(folder)
        apply_mutant(mutant, folder)
        return run_tests(folder, mutant.tests) == EXIT_TESTS_FAILED


def passes_without_mutant(tests: str) -> bool:
    """Return whether the tests pass in an unmodified copy."""
    with tempfile.TemporaryDirectory(prefix='mutant-') as name:
        folder = pathlib.Path(name)
        copy_sources(folder)
        return run_tests(folder, tests) == 0
