"""Measure the effect of each routing mechanism by switching it off.

Each run simulates one day of a deployment with the program ``--player``, on
a copy of this repository whose daemons run without one mechanism. Completed
runs are not repeated, so an interrupted command can be resumed::

    python -m bench.ablation --player PROGRAM --copies FOLDER \\
        --out ablation.json --plays "SITE DAY" --plays "SITE DAY" --jobs 4

``--table`` prints the table of the results in the same file.
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
SCORE = re.compile(r'^worth (-?\d+\.\d+)', re.MULTILINE)
# Time limit of one run in seconds: ten times the usual duration.
RUN_TIMEOUT_SECONDS = 900
ALL_ENABLED = 'all on'
IGNORED_FILES = shutil.ignore_patterns('.git', '.venv', '__pycache__')


@dataclasses.dataclass(frozen=True, slots=True)
class DayRun:
    """One simulated day of a deployment without one mechanism."""

    site: str
    day: str
    without: str

    @property
    def name(self) -> str:
        return f'{self.site} {self.day} {self.without}'


class Results:
    """Scores by name of the run, saved to a file after each run."""

    def __init__(self, path: pathlib.Path):
        self.path = path
        self.lock = threading.Lock()
        self.scores: dict[str, float] = {}
        if path.exists():
            self.scores = json.loads(path.read_text())

    def record(self, run: DayRun, score: float) -> None:
        with self.lock:
            self.scores[run.name] = score
            text = json.dumps(self.scores, indent=1, sort_keys=True)
            self.path.write_text(text + '\n')


def read_score(text: str) -> float | None:
    """Return the score that a run printed, None if it printed none.

    >>> read_score('worth 0.605 = whole day 0.821')
    0.605
    """
    found = SCORE.search(text)
    return float(found[1]) if found else None


def disabling_line(name: str) -> str:
    """Return the line of ``system.toml`` that disables a mechanism."""
    return f'env = {{ CYCLAMENLIFT_WITHOUT = "{name}" }}\n'


def make_copy(folder: pathlib.Path, name: str) -> pathlib.Path:
    """Return a copy of the repository with mechanism ``name`` disabled."""
    copy = folder / f'without-{name.replace(" ", "-")}'
    if copy.exists():
        return copy
    subprocess.run(
        ('git', 'clone', '--quiet', str(ROOT), str(copy)), check=True
    )
    shutil.copytree(ROOT, copy, ignore=IGNORED_FILES, dirs_exist_ok=True)
    if name != ALL_ENABLED:
        path = copy / 'deploy' / 'system.toml'
        text = path.read_text()
        head = '[roles.daemon]\n'
        path.write_text(text.replace(head, head + disabling_line(name)))
    return copy


def simulate_day(
    player: str, folder: pathlib.Path, day_run: DayRun
) -> float | None:
    """Simulate one day; return its score, None if the run failed."""
    copy = make_copy(folder, day_run.without)
    command = (
        player,
        'run',
        day_run.site,
        day_run.day,
        '--no-cpu',
        '--jobs',
        '1',
        '--why',
        f'Ablation: {day_run.day} without {day_run.without}',
    )
    done = subprocess.run(
        command,
        cwd=copy,
        capture_output=True,
        text=True,
        timeout=RUN_TIMEOUT_SECONDS,
        check=False,
    )
    return read_score(done.stdout)


def list_runs(pairs: list[str], names: list[str]) -> list[DayRun]:
    """Return all runs, starting with those that disable nothing."""
    split = [pair.rsplit(' ', 1) for pair in pairs]
    return [
        DayRun(site, day, name)
        for name in (ALL_ENABLED, *names)
        for site, day in split
    ]


def execute_missing_runs(
    runs: list[DayRun],
    results: Results,
    jobs: int,
    run: Callable[[DayRun], float | None],
) -> None:
    """Execute the missing runs, with different mechanisms in parallel."""

    def execute_run(day_run: DayRun) -> None:
        score = run(day_run)
        if score is None:
            print(f'{day_run.name}: no result', flush=True)
            return
        results.record(day_run, score)
        print(f'{day_run.name}: {score}', flush=True)

    missing = [p for p in runs if p.name not in results.scores]
    by_copy: dict[str, list[DayRun]] = {}
    for day_run in missing:
        by_copy.setdefault(day_run.without, []).append(day_run)
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        # The first run creates the copy, so runs of one copy are sequential.
        list(
            pool.map(
                lambda p: [execute_run(day_run) for day_run in p],
                by_copy.values(),
            )
        )


def table(runs: list[DayRun], results: Results) -> str:
    """Return the score change without each mechanism as a Markdown table."""
    days = [(p.site, p.day) for p in runs if p.without == ALL_ENABLED]
    labels = [
        f'{pathlib.Path(s).stem} {pathlib.Path(d).stem}' for s, d in days
    ]
    lines = [
        '| without | ' + ' | '.join(labels) + ' | mean | spread |',
        '|---' * (len(days) + 3) + '|',
    ]
    for name in dict.fromkeys(p.without for p in runs):
        cells, changes = [], []
        for site, day in days:
            score = results.scores.get(DayRun(site, day, name).name)
            base = results.scores.get(DayRun(site, day, ALL_ENABLED).name)
            if score is None or base is None:
                cells.append('not run')
                continue
            change = score - base
            changes.append(change)
            cells.append(
                f'{score:.3f}' if name == ALL_ENABLED else f'{change:+.3f}'
            )
        mean = statistics.mean(changes) if changes else 0.0
        spread = statistics.pstdev(changes) if changes else 0.0
        ends = (
            '| |' if name == ALL_ENABLED else f'{mean:+.3f} | {spread:.3f} |'
        )
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
    options = parser.parse_args()
    runs = list_runs(options.plays, options.names.split(','))
    results = Results(options.out)
    if options.table:
        print(table(runs, results))
        return
    options.copies.mkdir(parents=True, exist_ok=True)
    execute_missing_runs(
        runs,
        results,
        options.jobs,
        lambda day_run: simulate_day(
            options.player, options.copies.resolve(), day_run
        ),
    )


if __name__ == '__main__':
    main()
