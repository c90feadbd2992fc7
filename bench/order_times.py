"""Report how long each operator command took, from the log of a simulated run.

The sender of a command ("order") repeats it until it receives a definite
answer, so the last answer completes the command, and a gap between two
answers is the cost of a lost one. A line of a run has a time, an instance
and a log line of ours::

    python -m bench.order_times PLAY.log OTHER.log
    python -m bench.order_times PLAY.log --most 5

A command begins with its first ``order_taken`` at any instance. Code that
does not log this event logs only ``change_answered`` of the leader: there a
command begins with its first answer, which is later than it was sent.

``calm`` is the longest part of a command's time in one stretch in which
control was stable according to the run; the time limit applies to such
stretches. ``held`` is the longest time that an instance took for one answer
that was in time. Late answers reach nobody (an instance that was frozen gives
them), and an answer that leaves the outcome open does not stop the sender:
both are counted as ``void`` and do not complete a command. Data waiting in a
socket of a frozen instance is read only when the instance resumes: a row
whose last answer comes at the end of a freeze is not a command that a sender
still waited for.
"""

import collections
from collections.abc import Iterable
import dataclasses
import json
import pathlib
import re
from typing import NamedTuple

import fire

from cyclamenlift.platform.operators import STATUS_BY_CODE

LINE_PATTERN = re.compile(r'\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$')
UNSTABLE_PATTERN = re.compile(r'^the core was not stable: (.+)$')
SPAN_PATTERN = re.compile(r'(-?[\d.]+) to (-?[\d.]+)')
VERDICT_PREFIX = 'short of the gate'
TAKEN = 'order_taken'
ANSWERED = 'change_answered'
CARRIED = 'order_carried'
EVENTS = (TAKEN, ANSWERED, CARRIED)
# Codes of definite answers, after which an order is not sent again.
DEFINITE_CODES = {
    int(code) for code, status in STATUS_BY_CODE.items() if status < 500
}
# Seconds after which a sender moves on to another instance.
SENDER_TIMEOUT_SECONDS = 1.0


class Span(NamedTuple):
    """An interval of a run, in seconds."""

    start: float
    end: float


@dataclasses.dataclass(slots=True)
class Order:
    """Arrivals and answers of one operator command."""

    name: str
    first: float
    arrivals: int = 0
    answers: list[float] = dataclasses.field(default_factory=list)
    void: int = 0
    codes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    ways: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    held: float = 0.0
    # Time of the last arrival at each instance that has not answered yet.
    waiting: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def seconds(self) -> float | None:
        """Seconds until the last answer, None if there was none."""
        return self.answers[-1] - self.first if self.answers else None

    @property
    def gap(self) -> float:
        """Longest time between two answers."""
        pairs = zip(self.answers, self.answers[1:])
        return max((b - a for a, b in pairs), default=0.0)

    def record(self, at: float, instance: str, entry: dict) -> None:
        """Record one log line of the order."""
        if entry['event'] == TAKEN:
            self.arrivals += 1
            self.waiting[instance] = at
        elif entry['event'] == CARRIED:
            self.ways[entry['via']] += 1
        else:
            self.record_answer(at, instance, entry['code'])

    def record_answer(self, at: float, instance: str, code: int) -> None:
        self.codes[str(code)] += 1
        held = at - self.waiting.pop(instance, at)
        if code in DEFINITE_CODES and held <= SENDER_TIMEOUT_SECONDS:
            self.answers.append(at)
            self.held = max(self.held, held)
        else:
            self.void += 1


@dataclasses.dataclass(slots=True)
class RunLog:
    """All orders of one run, its unstable intervals and its verdict."""

    orders: list[Order]
    unstable: list[Span]
    verdict: str

    def calm(self, order: Order) -> float:
        """Return the longest stable interval within an order's time."""
        if not order.answers:
            return 0.0
        longest, start = 0.0, order.first
        for span in sorted(self.unstable):
            longest = max(longest, min(span.start, order.answers[-1]) - start)
            start = max(start, span.end)
        return max(longest, order.answers[-1] - start)


def parse_entries(lines: Iterable[str]) -> list[tuple[float, str, dict]]:
    """Return time, instance and fields of lines on orders, by time."""
    parsed = []
    for line in lines:
        match = LINE_PATTERN.match(line)
        if match is None:
            continue
        entry = json.loads(match[3])
        if entry.get('event') in EVENTS:
            parsed.append((float(match[1]), match[2], entry))
    return sorted(parsed, key=lambda parts: parts[0])


def find_orders(parsed: list[tuple[float, str, dict]]) -> list[Order]:
    """Return the orders that were first seen after the start of the load.

    Earlier orders, at times below 0, are omitted: no time limit applies to
    the first document.
    """
    orders: dict[str, Order] = {}
    for at, instance, entry in parsed:
        name = entry['order'] if 'order' in entry else entry['change']
        order = orders.setdefault(name, Order(name, at))
        order.record(at, instance, entry)
    return [order for order in orders.values() if order.first >= 0]


def read_run(lines: list[str]) -> RunLog:
    """Parse the output of a run."""
    unstable, verdict = [], ''
    for line in lines:
        if match := UNSTABLE_PATTERN.match(line):
            spans = SPAN_PATTERN.findall(match[1])
            unstable = [Span(float(a), float(b)) for a, b in spans]
        elif line.startswith(VERDICT_PREFIX):
            verdict = line.strip()
    return RunLog(find_orders(parse_entries(lines)), unstable, verdict)


def format_counts(counter: collections.Counter) -> str:
    """Return counts as one table cell.

    >>> format_counts(collections.Counter({'200': 3, '503': 1}))
    '200:3,503:1'
    """
    pairs = (f'{name}:{count}' for name, count in sorted(counter.items()))
    return ','.join(pairs) or '-'


def sum_counters(
    counters: Iterable[collections.Counter],
) -> collections.Counter:
    """Return the sum of several counters."""
    return sum(counters, collections.Counter())


def summary(name: str, run: RunLog) -> list[str]:
    """Return summary lines of a run: the maximum of each figure."""
    done = [o for o in run.orders if o.answers]
    if not done:
        return [f'== {name}: no order was answered']
    slowest = max(done, key=lambda o: o.seconds)
    lines = [
        f'== {name}: {len(run.orders)} orders, '
        f'{len(run.orders) - len(done)} without an answer, '
        f'{sum(len(o.answers) for o in done)} answers, '
        f'{sum(o.void for o in run.orders)} void',
        f'   longest {slowest.seconds:.2f} s ({slowest.name} from '
        f'{slowest.first:.2f}), calm {max(map(run.calm, done)):.2f}, '
        f'gap {max(o.gap for o in done):.2f}, '
        f'held {max(o.held for o in done):.2f}',
        f'   codes {format_counts(sum_counters(o.codes for o in run.orders))}'
        f'  ways {format_counts(sum_counters(o.ways for o in run.orders))}',
    ]
    return [*lines, f'   {run.verdict}'] if run.verdict else lines


def table(run: RunLog, most: int) -> list[str]:
    """Return table lines, one for each order, the longest first."""
    orders = sorted(run.orders, key=lambda o: -(o.seconds or 0.0))
    lines = [
        f'{"order":12} {"first":>7} {"last":>7} {"takes":>6} {"calm":>6} '
        f'{"gap":>6} {"held":>6} {"in":>3} {"out":>3} {"void":>4} codes'
    ]
    for order in orders[:most]:
        last = f'{order.answers[-1]:.2f}' if order.answers else '-'
        takes = f'{order.seconds:.2f}' if order.answers else '-'
        lines.append(
            f'{order.name:12} {order.first:7.2f} {last:>7} {takes:>6} '
            f'{run.calm(order):6.2f} {order.gap:6.2f} {order.held:6.2f} '
            f'{order.arrivals:3} {len(order.answers):3} {order.void:4} '
            f'{format_counts(order.codes)}'
        )
    return lines


def main(*plays: str, most: int = 1000) -> None:
    """Print a summary of each run and how long its orders took.

    Args:
        plays: Files with the output of runs.
        most: Maximum of orders listed per run; 0 for none.
    """
    for name in plays:
        with pathlib.Path(name).open(errors='replace') as lines:
            run = read_run([line for line in lines if is_relevant(line)])
        print('\n'.join(summary(name, run)))
        if most:
            print('\n'.join(table(run, most)))


def is_relevant(line: str) -> bool:
    """Return whether a line may be relevant, before it is parsed."""
    return line.startswith(('the core was', VERDICT_PREFIX)) or any(
        event in line for event in EVENTS
    )


if __name__ == '__main__':
    fire.Fire(main)
