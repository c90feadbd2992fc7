"""Show that the proofs can fail: ``python -m tools.mutants [WORD]``.

Each mutant breaks one rule in a copy of the tree and runs the tests that
should notice. A mutant that survives is a proof that proves nothing. The
exit status is 1 if any survived.
"""

import dataclasses
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parents[1]
SECONDS = 300
COPIED = ('cyclamenlift', 'tests', 'demo', 'tools', 'pyproject.toml', 'docs')


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """One broken rule: ``old`` in ``path`` becomes ``new``."""

    name: str
    path: str
    old: str
    new: str
    tests: str


PATH_TESTS = 'tests/runtime/test_path.py'
SYSTEM = 'tests/system/test_failures.py'

MUTANTS = (
    Mutant(
        'unknown tries are forgotten',
        'cyclamenlift/calls/state.py',
        'if self.unknown_code is not None:\n            return '
        'self.unknown_code\n        return self.last_code',
        'return self.last_code',
        'tests/calls/test_state.py',
    ),
    Mutant(
        'bookings are tried again after an unknown end',
        'cyclamenlift/calls/state.py',
        'if ending.kind is not EndKind.NOT_RUN and not self.idempotent:',
        'if False:',
        PATH_TESTS,
    ),
    Mutant(
        'a lost connection counts as not run',
        'cyclamenlift/calls/attempt.py',
        'return not self.link.was_up',
        'return True',
        PATH_TESTS,
    ),
    Mutant(
        'the target client says unsent for everything',
        'cyclamenlift/gate/running.py',
        'if failure.sent:',
        'if False:',
        PATH_TESTS,
    ),
    Mutant(
        'the end of a connection makes any answer whole',
        'cyclamenlift/http/answer_parser.py',
        'return self.head_ready and self.until_close and not self.problem',
        'return self.head_ready',
        'tests/http/test_client.py',
    ),
    Mutant(
        'a keyed call runs without its claim',
        'cyclamenlift/calls/life.py',
        'self.keyed.claim()\n            return',
        'self.keyed.held = True',
        PATH_TESTS,
    ),
    Mutant(
        'a not-run end keeps the key',
        'cyclamenlift/calls/keyed.py',
        'ClaimEnding.RELEASED, None, lambda',
        'ClaimEnding.UNKNOWN, None, lambda',
        PATH_TESTS,
    ),
    Mutant(
        'an error of a target is forgotten',
        'cyclamenlift/calls/life.py',
        'self.fallback = attempt',
        'pass',
        PATH_TESTS,
    ),
    Mutant(
        'overload from deeper is tried again',
        'cyclamenlift/calls/life.py',
        'failed and not self.refused_deeper(attempt)',
        'failed',
        PATH_TESTS,
    ),
    Mutant(
        'a draining gate takes calls',
        'cyclamenlift/gate/state.py',
        'if self.target_state == TargetState.DRAINING:\n            return '
        'self.refuse',
        'if False:\n            return self.refuse',
        'tests/gate/test_state.py ' + SYSTEM + '::'
        'test_drained_target_gets_no_new_work_within_seconds',
    ),
    Mutant(
        'probes have no budget at the gate',
        'cyclamenlift/gate/probes.py',
        'if self.tokens < 1.0:',
        'if False:',
        'tests/gate/test_probes.py',
    ),
    Mutant(
        'a stop does not wait for calls',
        'cyclamenlift/runtime/daemon.py',
        'if not idle and now < self.stop_deadline:',
        'if False:',
        SYSTEM + '::test_graceful_stops_cut_off_no_upload',
    ),
    Mutant(
        'retries have no budget',
        'cyclamenlift/calls/budgets.py',
        'if self.balance < 1.0:',
        'if False:',
        'tests/calls/test_state.py',
    ),
    Mutant(
        'a late answer may reach another call',
        'cyclamenlift/calls/tasks.py',
        'if attempt is None or attempt.link is not link:',
        'if attempt is None:',
        'tests/calls/test_tasks.py',
    ),
)


def run(mutant: Mutant) -> bool:
    """Return whether the tests noticed the mutant."""
    with tempfile.TemporaryDirectory(prefix='mutant-') as name:
        folder = pathlib.Path(name)
        for part in COPIED:
            copy(ROOT / part, folder / part)
        path = folder / mutant.path
        text = path.read_text()
        if mutant.old not in text:
            raise SystemExit(f'{mutant.name}: its text is not in {path.name}')
        path.write_text(text.replace(mutant.old, mutant.new, 1))
        done = subprocess.run(
            [sys.executable, '-m', 'pytest', '-x', '-q', '--no-header']
            + ['-p', 'no:cacheprovider', *mutant.tests.split()],
            cwd=folder,
            env={'PYTHONPATH': str(folder), 'PATH': '/usr/bin:/bin'},
            capture_output=True,
            text=True,
            timeout=SECONDS,
            check=False,
        )
    return 'failed' in done.stdout or done.returncode == 1


def copy(source: pathlib.Path, goal: pathlib.Path) -> None:
    if source.is_dir():
        ignored = shutil.ignore_patterns('__pycache__')
        shutil.copytree(source, goal, ignore=ignored)
    elif source.exists():
        shutil.copy(source, goal)


def main() -> int:
    word = sys.argv[1] if len(sys.argv) > 1 else ''
    survived = 0
    for mutant in MUTANTS:
        if word not in mutant.name and word not in mutant.path:
            continue
        noticed = run(mutant)
        survived += not noticed
        mark = 'noticed ' if noticed else 'SURVIVED'
        sys.stdout.write(f'{mark} {mutant.name} ({mutant.tests})\n')
        sys.stdout.flush()
    return 1 if survived else 0


if __name__ == '__main__':
    sys.exit(main())
