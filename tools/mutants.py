"""Mutation testing: ``python -m tools.mutants [PATTERN]``.

Each mutant breaks one rule in a copy of the tree and runs the tests that
should fail. A mutant that survives shows that these tests do not check the
rule. The same tests run once in an unmodified copy first, so that an
unrelated failure does not count as a killed mutant.

``PATTERN`` selects mutants whose name or path contains it. The exit status
is 1 if a mutant survived, 2 if the tests fail without one or a mutant is
stale.
"""

import sys

from tools.mutants_accounts import ACCOUNT_MUTANTS
from tools.mutants_calls import CALL_MUTANTS
from tools.mutants_control import CONTROL_MUTANTS
from tools.mutants_quarantine import QUARANTINE_MUTANTS
from tools.mutation import is_killed
from tools.mutation import Mutant
from tools.mutation import passes_without_mutant
from tools.mutation import StaleMutantError

MUTANTS = (
    *ACCOUNT_MUTANTS,
    *CALL_MUTANTS,
    *CONTROL_MUTANTS,
    *QUARANTINE_MUTANTS,
)
EXIT_SURVIVED = 1
EXIT_INVALID_RUN = 2


def print_line(line: str) -> None:
    sys.stdout.write(line + '\n')
    sys.stdout.flush()


def select_mutants(pattern: str) -> list[Mutant]:
    """Return the mutants whose name or path contains ``pattern``."""
    return [m for m in MUTANTS if pattern in m.name or pattern in m.path]


def without_duplicates(tests: str) -> str:
    return ' '.join(dict.fromkeys(tests.split()))


def main() -> int:
    """Run the selected mutants and return the exit status."""
    selected = select_mutants(sys.argv[1] if len(sys.argv) > 1 else '')
    tests = without_duplicates(' '.join(mutant.tests for mutant in selected))
    if not selected or not passes_without_mutant(tests):
        print_line(f'invalid run: tests fail or none selected ({tests})')
        return EXIT_INVALID_RUN
    survived = 0
    for mutant in selected:
        try:
            killed = is_killed(mutant)
        except StaleMutantError as error:
            print_line(f'STALE    {error}')
            return EXIT_INVALID_RUN
        survived += not killed
        verdict = 'killed  ' if killed else 'SURVIVED'
        print_line(f'{verdict} {mutant.name} ({mutant.tests})')
    print_line(f'{len(selected) - survived} of {len(selected)} killed')
    return EXIT_SURVIVED if survived else 0


if __name__ == '__main__':
    sys.exit(main())
