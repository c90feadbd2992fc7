"""What each mechanism of deciding is worth: days played without it.

Each play is a day of a deployment, run by a program that is given, on a copy
of this repository whose daemons are told to run without one mechanism. What
is done already is not played again, so a run that was cut goes on::

    python -m bench.ablation --player PROGRAM --copies FOLDER \\
        --out ablation.json --plays "SITE DAY" --plays "SITE DAY" --jobs 4

The table is written with ``--table`` from the same file.
"""

import argparse
from collections.abc import Callable
import concurrent.futures
import dataclasses
import json
import pathlib
import re
import shutil
import statistics
import subprocess
import threading

from cyclamenlift.runtime.mechanisms import MECHANISMS

ROOT = pathlib.Path(__file__).parents[1]
WORTH = re.compile(r'^worth (-?\d+\.\d+)', re.MULTILINE)
# Seconds that one day may take: ten times the usual.
MOST_SECONDS = 900
ALL = 'all on'
NOT_COPIED = shutil.ignore_patterns('.git', '.venv', '__pycache__')


@dataclasses.dataclass(frozen=True, slots=True)
class Play:
    """One day of one deployment without one mechanism."""

    site: str
    day: str
    without: str

    @property
    def name(self) -> str:
        return f'{self.site} {self.day} {self.without}'


class Results:
    """The worth of each play by name, kept in a file after each."""

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.lock = threading.Lock()
        self.worth: dict[str, float] = {}
        if path.exists():
            self.worth = json.loads(path.read_text())

    def note(self, play: Play, worth: float) -> None:
        with self.lock:
            self.worth[play.name] = worth
            text = json.dumps(self.worth, indent=1, sort_keys=True)
            self.path.write_text(text + '\n')


def read_worth(text: str) -> float | None:
    """Return the worth that a play printed, None if it printed none.

    >>> read_worth('worth 0.605 = whole day 0.821')
    0.605
    """
    found = WORTH.search(text)
    return float(found[1]) if found else None


def without_line(name: str) -> str:
    """Return the line of a deploy file that switches a mechanism off."""
    return f'env = {{ CYCLAMENLIFT_WITHOUT = "{name}" }}\n'


def make_copy(folder: pathlib.Path, name: str) -> pathlib.Path:
    """Return a copy of the repository that runs without ``name``."""
    copy = folder / f'without-{name.replace(" ", "-")}'
    if copy.exists():
        return copy
    subprocess.run(
        ('git', 'clone', '--quiet', str(ROOT), str(copy)), check=True
    )
    shutil.copytree(ROOT, copy, ignore=NOT_COPIED, dirs_exist_ok=True)
    if name != ALL:
        path = copy / 'deploy' / 'system.toml'
        text = path.read_text()
        head = '[roles.daemon]\n'
        path.write_text(text.replace(head, head + without_line(name)))
    return copy


def play(player: str, folder: pathlib.Path, one: Play) -> float | None:
    """Play one day; return its worth, None where it failed."""
    copy = make_copy(folder, one.without)
    command = (
        player,
        'run',
        one.site,
        one.day,
        '--no-cpu',
        '--jobs',
        '1',
        '--why',
        f'Ablation: {one.day} without {one.without}',
    )
    done = subprocess.run(
        command,
        cwd=copy,
        capture_output=True,
        text=True,
        timeout=MOST_SECONDS,
        check=False,
    )
    return read_worth(done.stdout)


def wanted(pairs: list[str], names: list[str]) -> list[Play]:
    """Return all plays, those with everything on first."""
    split = [pair.rsplit(' ', 1) for pair in pairs]
    return [
        Play(site, day, name) for name in (ALL, *names) for site, day in split
    ]


def run_plays(
    plays: list[Play],
    results: Results,
    jobs: int,
    run: Callable[[Play], float | None],
) -> None:
    """Play what is not done yet, mechanisms beside each other."""

    def run_one(one: Play) -> None:
        worth = run(one)
        if worth is None:
            print(f'{one.name}: no result', flush=True)
            return
        results.note(one, worth)
        print(f'{one.name}: {worth}', flush=True)

    left = [p for p in plays if p.name not in results.worth]
    by_copy: dict[str, list[Play]] = {}
    for one in left:
        by_copy.setdefault(one.without, []).append(one)
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        # A copy is built by its first play, so its plays do not overlap.
        list(pool.map(lambda p: [run_one(one) for one in p], by_copy.values()))


def table(plays: list[Play], results: Results) -> str:
    """Return what each mechanism is worth, as a table of a page."""
    days = [(p.site, p.day) for p in plays if p.without == ALL]
    labels = [
        f'{pathlib.Path(s).stem} {pathlib.Path(d).stem}' for s, d in days
    ]
    lines = [
        '| without | ' + ' | '.join(labels) + ' | mean | spread |',
        '|---' * (len(days) + 3) + '|',
    ]
    for name in dict.fromkeys(p.without for p in plays):
        cells, losses = [], []
        for site, day in days:
            worth = results.worth.get(Play(site, day, name).name)
            base = results.worth.get(Play(site, day, ALL).name)
            if worth is None or base is None:
                cells.append('not run')
                continue
            change = worth - base
            losses.append(change)
            cells.append(f'{worth:.3f}' if name == ALL else f'{change:+.3f}')
        mean = statistics.mean(losses) if losses else 0.0
        spread = statistics.pstdev(losses) if losses else 0.0
        ends = '| |' if name == ALL else f'{mean:+.3f} | {spread:.3f} |'
        lines.append(f'| {name} | ' + ' | '.join(cells) + f' | {ends}')
    return '\n'.join(lines) + '\n'


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument('--player')
    parser.add_argument('--copies', type=pathlib.Path)
    parser.add_argument('--out', type=pathlib.Path, required=True)
    parser.add_argument('--plays', action='append', required=True)
    parser.add_argument('--names', default=','.join(MECHANISMS))
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--table', action='store_true')
    given = parser.parse_args()
    plays = wanted(given.plays, given.names.split(','))
    results = Results(given.out)
    if given.table:
        print(table(plays, results))
        return
    given.copies.mkdir(parents=True, exist_ok=True)
    run_plays(
        plays,
        results,
        given.jobs,
        lambda one: play(given.player, given.copies.resolve(), one),
    )


if __name__ == '__main__':
    main()
