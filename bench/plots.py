"""Plot latency by policy and fault, and call outcomes over time.

    python -m bench.plots policies bench/results/policies-dundee.jsonl \\
        docs/plots/policies-dundee.svg
    python -m bench.plots losses docs/plots/losses.svg before.log after.log
"""

import pathlib
import statistics

import fire
import matplotlib as mpl
import matplotlib.pyplot as plt

from bench.policies import FAULTS
from bench.policies import load_results
from bench.policies import POLICY_NAMES
from cyclamenlift.reports.losses import count
from cyclamenlift.reports.losses import read_lines

# Outcomes of calls, in the order in which the areas are stacked.
OUTCOMES = {
    'answered': '#66a61e',
    'refused': '#e6ab02',
    'lost': '#d1495b',
}
COLOURS = {
    'random': '#b0b0b0',
    'round_robin': '#8da0cb',
    'least_calls': '#66a61e',
    'power_of_two': '#e6ab02',
    'hot_cold': '#d1495b',
}
BAR_WIDTH = 0.16
# Length of a window in the plot of losses.
WINDOW_SECONDS = 1.0


def policies(results: str, out: str) -> None:
    """Plot p99 by scenario and policy, with the range over the runs.

    Args:
        results: File that ``bench.policies run`` wrote.
        out: SVG file to write.
    """
    mpl.use('svg')
    mpl.rcParams['svg.hashsalt'] = 'cyclamenlift'
    found = load_results(results)
    scenarios = [s for s in FAULTS if any(k[0] == s for k in found)]
    figure, axes = plt.subplots(figsize=(11, 4.5), layout='constrained')
    for number, policy in enumerate(POLICY_NAMES):
        draw_policy(axes, found, scenarios, policy, number)
    site = next(iter(found.values()))[0]['site']
    axes.set_title(f'Look-ups at the sizes of {site}: p99 by policy')
    axes.set_ylabel('p99 in ms, from the intended start')
    axes.set_yscale('log')
    axes.yaxis.set_major_formatter('{x:.0f}')
    axes.yaxis.set_minor_formatter('{x:.0f}')
    axes.set_xticks(range(len(scenarios)), scenarios)
    axes.grid(axis='y', alpha=0.3, which='both')
    axes.set_axisbelow(True)
    axes.legend(ncols=len(POLICY_NAMES), frameon=False, fontsize=9)
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, metadata={'Date': None})


def losses(out: str, *logs: str) -> None:
    """Plot call outcomes over time, one panel for each log.

    Args:
        out: SVG file to write.
        logs: Files, each with the JSON log lines of all processes of a day.
    """
    mpl.use('svg')
    mpl.rcParams['svg.hashsalt'] = 'cyclamenlift'
    figure, panels = plt.subplots(
        len(logs), sharex=True, squeeze=False, layout='constrained'
    )
    for axes, name in zip(panels[:, 0], logs, strict=True):
        text = pathlib.Path(name).read_text(errors='replace')
        draw_losses(axes, count(read_lines(text.splitlines()), WINDOW_SECONDS))
        axes.set_title(pathlib.Path(name).stem, fontsize=9)
        axes.set_ylabel('calls a second')
    panels[-1, 0].set_xlabel('seconds')
    panels[0, 0].legend(ncols=len(OUTCOMES), frameon=False, fontsize=9)
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, metadata={'Date': None})


def draw_losses(axes, windows) -> None:
    """Draw the outcomes of the calls of each window as stacked areas."""
    starts = sorted(windows)
    found = [windows[start] for start in starts]
    rates = (
        [w.answered / WINDOW_SECONDS for w in found],
        [w.refused.total() / WINDOW_SECONDS for w in found],
        [
            (w.unknown.total() + w.target_errors) / WINDOW_SECONDS
            for w in found
        ],
    )
    axes.stackplot(
        starts, *rates, labels=list(OUTCOMES), colors=list(OUTCOMES.values())
    )


def draw_policy(axes, found, scenarios, policy: str, number: int) -> None:
    """Draw one policy's bars: the median, with minimum and maximum."""
    for place, scenario in enumerate(scenarios):
        rows = found.get((scenario, policy))
        if not rows:
            continue
        values = [row['p99'] for row in rows]
        middle = statistics.median(values)
        offset = (number - (len(POLICY_NAMES) - 1) / 2) * BAR_WIDTH
        axes.bar(
            place + offset,
            middle,
            BAR_WIDTH,
            color=COLOURS[policy],
            label=policy if place == 0 else None,
            yerr=[[middle - min(values)], [max(values) - middle]],
            error_kw={'elinewidth': 0.8, 'capsize': 2},
        )


if __name__ == '__main__':
    fire.Fire({'losses': losses, 'policies': policies})
