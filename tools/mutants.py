"""Show that the proofs can fail: ``python -m tools.mutants [WORD]``.

Each mutant breaks one rule in a copy of the tree and runs the tests that
should notice. A mutant that survives is a proof that proves nothing. Before
that, the same tests run once in a copy in which nothing is broken, so that
no failure from elsewhere passes for a proof.

``WORD`` chooses mutants by their name or path. The exit status is 1 if any
mutant survived, 2 if the tests fail without one or a mutant is stale.
"""

import sys

from tools.mutants_calls import CALL_MUTANTS
from tools.mutants_control import CONTROL_MUTANTS
from tools.mutants_quarantine import QUARANTINE_MUTANTS
from tools.mutation import is_noticed
from tools.mutation import Mutant
from tools.mutation import passes_unbroken
from tools.mutation import StaleMutantError

MUTANTS = (*CALL_MUTANTS, *CONTROL_MUTANTS, *QUARANTINE_MUTANTS)
EXIT_SURVIVED = 1
EXIT_NO_PROOF = 2


def say(line: str) -> None:
    sys.stdout.write(line + '\n')
    sys.stdout.flush()


def choose(word: str) -> list[Mutant]:
    """Return the mutants whose name or path holds ``word``."""
    return [m for m in MUTANTS if word in m.name or word in m.path]


def without_repeats(tests: str) -> str:
    return ' '.join(dict.fromkeys(tests.split()))


def main() -> int:
    """Run the chosen mutants and return the exit status."""
    chosen = choose(sys.argv[1] if len(sys.argv) > 1 else '')
    tests = without_repeats(' '.join(mutant.tests for mutant in chosen))
    if not chosen or not passes_unbroken(tests):
        say(f'no proof: the tests fail without a mutant ({tests})')
        return EXIT_NO_PROOF
    survived = 0
    for mutant in chosen:
        try:
            noticed = is_noticed(mutant)
        except StaleMutantError as error:
            say(f'STALE    {error}')
            return EXIT_NO_PROOF
        survived += not noticed
        mark = 'noticed ' if noticed else 'SURVIVED'
        say(f'{mark} {mutant.name} ({mutant.tests})')
    say(f'{len(chosen) - survived} of {len(chosen)} noticed')
    return EXIT_SURVIVED if survived else 0


if __name__ == '__main__':
    sys.exit(main())
