"""How long each order took, from the log lines of a play.

Whoever sends an order sends it again until a clear answer is heard, so the
last one ended it, and a gap between two of them is the price of one that was
lost. A line of a play is a time, a place and a line of ours::

    python -m bench.order_times PLAY.log OTHER.log
    python -m bench.order_times PLAY.log --most 5

An order begins with its first ``order_taken`` at any instance. Plays of code
that does not write this line have ``change_answered`` of the leader alone:
there an order begins with its first answer, which is later than its sending.

``calm`` is the longest part of an order's time in one stretch in which
control was stable, as the play says; the bound holds for such stretches.
``held`` is the longest that an instance took for one answer that was in time.
Nobody hears an answer that is not in time (an instance that was frozen gives
it), and nobody stops at one that leaves the outcome open: both are counted
as ``void``, and do not end an order. What waits in a socket of an instance
that stands still is taken only when it goes on: a row whose last answer comes
at the end of a freeze is no order that somebody waited for.
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

LINE = re.compile(r'\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$')
UNSTABLE = re.compile(r'^the core was not stable: (.+)$')
SPAN = re.compile(r'(-?[\d.]+) to (-?[\d.]+)')
VERDICT = 'short of the gate'
TAKEN = 'order_taken'
ANSWERED = 'change_answered'
CARRIED = 'order_carried'
EVENTS = (TAKEN, ANSWERED, CARRIED)
# Codes of answers after which an order is not sent again.
CLEAR = {int(code) for code, status in STATUS_BY_CODE.items() if status < 500}
# Seconds after which a caller has gone on to another instance.
CALLER_WAITS = 1.0


class Span(NamedTuple):
    """Seconds of a play from ``start`` to ``end``."""

    start: float
    end: float


@dataclasses.dataclass(slots=True)
class Order:
    """What became of one order."""

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
    # When it arrived last at each place that has not answered yet.
    waiting: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def seconds(self) -> float | None:
        """The time until the last answer, None if there was none."""
        return self.answers[-1] - self.first if self.answers else None

    @property
    def gap(self) -> float:
        """The longest time between two answers."""
        pairs = zip(self.answers, self.answers[1:])
        return max((b - a for a, b in pairs), default=0.0)

    def note(self, at: float, place: str, entry: dict) -> None:
        """Count one line of the order."""
        if entry['event'] == TAKEN:
            self.arrivals += 1
            self.waiting[place] = at
        elif entry['event'] == CARRIED:
            self.ways[entry['via']] += 1
        else:
            self.note_answer(at, place, entry['code'])

    def note_answer(self, at: float, place: str, code: int) -> None:
        self.codes[str(code)] += 1
        held = at - self.waiting.pop(place, at)
        if code in CLEAR and held <= CALLER_WAITS:
            self.answers.append(at)
            self.held = max(self.held, held)
        else:
            self.void += 1


@dataclasses.dataclass(slots=True)
class Play:
    """All orders of one play, and what the play says of them."""

    orders: list[Order]
    unstable: list[Span]
    verdict: str

    def calm(self, order: Order) -> float:
        """Return an order's longest time in one stable stretch."""
        if not order.answers:
            return 0.0
        longest, start = 0.0, order.first
        for span in sorted(self.unstable):
            longest = max(longest, min(span.start, order.answers[-1]) - start)
            start = max(start, span.end)
        return max(longest, order.answers[-1] - start)


def entries(lines: Iterable[str]) -> list[tuple[float, str, dict]]:
    """Return time, place and fields of lines about orders, by time."""
    found = []
    for line in lines:
        match = LINE.match(line)
        if match is None:
            continue
        entry = json.loads(match[3])
        if entry.get('event') in EVENTS:
            found.append((float(match[1]), match[2], entry))
    return sorted(found, key=lambda parts: parts[0])


def find_orders(found: list[tuple[float, str, dict]]) -> list[Order]:
    """Return what became of each order that was first seen in the play.

    Orders of before the requests, at times below 0, are left out: nothing
    bounds the first document.
    """
    orders: dict[str, Order] = {}
    for at, place, entry in found:
        name = entry['order'] if 'order' in entry else entry['change']
        order = orders.setdefault(name, Order(name, at))
        order.note(at, place, entry)
    return [order for order in orders.values() if order.first >= 0]


def read_play(lines: list[str]) -> Play:
    """Return what the output of a play says of its orders."""
    unstable, verdict = [], ''
    for line in lines:
        if match := UNSTABLE.match(line):
            spans = SPAN.findall(match[1])
            unstable = [Span(float(a), float(b)) for a, b in spans]
        elif line.startswith(VERDICT):
            verdict = line.strip()
    return Play(find_orders(entries(lines)), unstable, verdict)


def counted(counter: collections.Counter) -> str:
    """Return counts in one field of a table.

    >>> counted(collections.Counter({'200': 3, '503': 1}))
    '200:3,503:1'
    """
    pairs = (f'{name}:{count}' for name, count in sorted(counter.items()))
    return ','.join(pairs) or '-'


def total(counters: Iterable[collections.Counter]) -> collections.Counter:
    """Return all counts in one."""
    return sum(counters, collections.Counter())


def summary(name: str, play: Play) -> list[str]:
    """Return what stands out in a play: the largest of each figure."""
    done = [o for o in play.orders if o.answers]
    if not done:
        return [f'== {name}: no order was answered']
    slowest = max(done, key=lambda o: o.seconds)
    lines = [
        f'== {name}: {len(play.orders)} orders, '
        f'{len(play.orders) - len(done)} without an answer, '
        f'{sum(len(o.answers) for o in done)} answers, '
        f'{sum(o.void for o in play.orders)} void',
        f'   longest {slowest.seconds:.2f} s ({slowest.name} from '
        f'{slowest.first:.2f}), calm {max(map(play.calm, done)):.2f}, '
        f'gap {max(o.gap for o in done):.2f}, '
        f'held {max(o.held for o in done):.2f}',
        f'   codes {counted(total(o.codes for o in play.orders))}'
        f'  ways {counted(total(o.ways for o in play.orders))}',
    ]
    return [*lines, f'   {play.verdict}'] if play.verdict else lines


def table(play: Play, most: int) -> list[str]:
    """Return a line for each order, the longest first."""
    orders = sorted(play.orders, key=lambda o: -(o.seconds or 0.0))
    lines = [
        f'{"order":12} {"first":>7} {"last":>7} {"takes":>6} {"calm":>6} '
        f'{"gap":>6} {"held":>6} {"in":>3} {"out":>3} {"void":>4} codes'
    ]
    for order in orders[:most]:
        last = f'{order.answers[-1]:.2f}' if order.answers else '-'
        takes = f'{order.seconds:.2f}' if order.answers else '-'
        lines.append(
            f'{order.name:12} {order.first:7.2f} {last:>7} {takes:>6} '
            f'{play.calm(order):6.2f} {order.gap:6.2f} {order.held:6.2f} '
            f'{order.arrivals:3} {len(order.answers):3} {order.void:4} '
            f'{counted(order.codes)}'
        )
    return lines


def main(*plays: str, most: int = 1000) -> None:
    """Print how long each order took, and the longest of each play.

    Args:
        plays: Files with the output of plays.
        most: Orders to list of each, the longest first; 0 for none.
    """
    for name in plays:
        with pathlib.Path(name).open(errors='replace') as lines:
            play = read_play([line for line in lines if is_wanted(line)])
        print('\n'.join(summary(name, play)))
        if most:
            print('\n'.join(table(play, most)))


def is_wanted(line: str) -> bool:
    """Say whether a line may tell something, before it is parsed."""
    return line.startswith(('the core was', VERDICT)) or any(
        event in line for event in EVENTS
    )


if __name__ == '__main__':
    fire.Fire(main)
