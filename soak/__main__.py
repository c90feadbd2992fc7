"""``python -m soak --seed=1 --seeds=50 --seconds=20``: play and report."""

import collections
import sys

import fire

from soak.promises import broken_promises
from soak.records import Record
from soak.run import play


def print_line(line: str) -> None:
    sys.stdout.write(line + '\n')
    sys.stdout.flush()


def report(seed: int, record: Record, broken: list[str]) -> None:
    """Print a line on a run, and what was broken with the faults."""
    statuses = collections.Counter(o.status for o in record.outcomes)
    counts = ' '.join(f'{s}:{n}' for s, n in sorted(statuses.items()))
    verdict = 'broken' if broken else 'held'
    print_line(
        f'seed {seed}: {verdict}, {len(record.faults)} faults, {counts}'
    )
    for line in broken[:20]:
        print_line(f'  {line}')
    if broken:
        for line in record.faults:
            print_line(f'  {line}')


def main(seed: int = 1, seeds: int = 1, seconds: float = 20.0) -> None:
    """Play ``seeds`` runs from ``seed`` on; exit with 1 if one broke."""
    failed = 0
    for number in range(seed, seed + seeds):
        record = play(number, seconds)
        broken = broken_promises(record)
        report(number, record, broken)
        failed += bool(broken)
    print_line(f'{seeds} seeds, {failed} broke a promise')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main)
