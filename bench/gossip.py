"""Measure cost and speed of the membership protocol by number of members.

Run ``.venv/bin/python -m bench.gossip``; it ends by itself. Each size runs
in a process of its own on the pure protocol state, see
``bench.gossip_loop``.
"""

import argparse
import concurrent.futures
import dataclasses
import statistics

from rich.console import Console
from rich.table import Table

from bench.fit import fit_line
from bench.gossip_loop import GossipLoop
from bench.gossip_loop import PERIOD
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

SIZES = (50, 100, 200, 400, 680)
STEADY_PERIODS = 20
MAX_SPREAD_PERIODS = 40
MAX_LOSS_PERIODS = 60
MAX_COLD_PERIODS = 60
DATA_CENTRE_SHARE = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Bytes, in and out, and CPU time of one member per second."""

    bytes_mean: float
    bytes_max: float
    cpu_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class SizeResult:
    """Results for one number of members; None if over the period limit."""

    members: int
    steady: Cost
    drain_at_once: int
    drain_periods: int | None
    version_periods: int | None
    loss: Cost
    loss_periods: int | None
    cold: Cost
    cold_periods: int | None
    cold_known_10: float
    largest_packet: int


def take_cost(loop: GossipLoop, periods: int) -> Cost:
    """Return the cost since the last reset, and reset the counters."""
    seconds = max(1, periods) * PERIOD
    traffic = [loop.traffic[address] for address in loop.members]
    rates = [(t.bytes_in + t.bytes_out) / seconds for t in traffic]
    cpu = statistics.fmean(t.seconds for t in traffic) / seconds
    loop.reset_traffic()
    return Cost(statistics.fmean(rates), max(rates), cpu * 1000)


def build_converged(members: int) -> GossipLoop:
    """Return members that know each other and have no updates queued."""
    loop = GossipLoop()
    states = [loop.add(number) for number in range(members)]
    loop.queue.clear()
    records = [state.own for state in states]
    for state in states:
        for record in records:
            if record.instance != state.own.instance:
                state.store(record, 0.0, spread=False)
        state.queue.sent.clear()
        state.changes.clear()
        state.joined = True
    loop.reset_traffic()
    return loop


def measure_steady(loop: GossipLoop) -> Cost:
    for _ in range(STEADY_PERIODS):
        loop.run_period()
    return take_cost(loop, STEADY_PERIODS)


def measure_drain(loop: GossipLoop) -> tuple[int, int | None]:
    """Return how many know a drain at once, and periods until all do."""
    address, state = next(iter(loop.members.items()))
    name = state.own.instance
    loop.send(address, state.announce(TargetState.DRAINING, None, loop.now))
    loop.deliver()

    def knows(record) -> bool:
        return record.target_state == TargetState.DRAINING

    at_once = sum(knows(s.table.get(name)) for s in loop.members.values())
    done = loop.run_until(
        lambda: loop.all_know(name, knows), MAX_SPREAD_PERIODS
    )
    return at_once, done


def measure_version(loop: GossipLoop) -> int | None:
    """Return the periods until all members have one member's version.

    A member that sees the version announces it from its next round on, like
    one that has to fetch the document first.
    """
    address, state = next(iter(loop.members.items()))
    loop.send(address, state.announce(None, 1, loop.now))
    loop.deliver()

    def step_done() -> bool:
        for place, member in loop.members.items():
            if member.versions and member.own.config_version == 0:
                loop.send(place, member.announce(None, 1, loop.now))
        loop.deliver()
        return all(s.own.config_version == 1 for s in loop.members.values())

    return loop.run_until(step_done, MAX_SPREAD_PERIODS)


def measure_loss(loop: GossipLoop) -> tuple[Cost, int | None]:
    """Kill an eighth of the members; run until the others converge."""
    lost_count = len(loop.members) // DATA_CENTRE_SHARE
    loop.reset_traffic()
    for number in range(3, 3 + lost_count):
        loop.kill(number)
    began = loop.now
    done = loop.run_until(loop.all_agree, MAX_LOSS_PERIODS)
    return take_cost(loop, int((loop.now - began) / PERIOD)), done


def measure_cold_start(members: int) -> tuple[Cost, int | None, float]:
    """Start all members at once; also return the share known after 10 s."""
    loop = GossipLoop()
    for number in range(members):
        loop.add(number)
    for _ in range(10):
        loop.run_period()
    known = statistics.fmean(
        s.table.live_count() for s in loop.members.values()
    )
    rest = loop.run_until(loop.all_agree, MAX_COLD_PERIODS - 10)
    done = None if rest is None else rest + 10
    cost = take_cost(loop, int(loop.now / PERIOD))
    return cost, done, known / members


def measure(members: int) -> SizeResult:
    """Run all measurements for one number of members."""
    loop = build_converged(members)
    steady_cost = measure_steady(loop)
    at_once, drained = measure_drain(loop)
    versioned = measure_version(loop)
    for _ in range(10):
        loop.run_period()
    loss, lost = measure_loss(loop)
    cold, joined, known = measure_cold_start(members)
    largest = max(t.largest for t in loop.traffic.values())
    return SizeResult(
        members,
        steady_cost,
        at_once,
        drained,
        versioned,
        loss,
        lost,
        cold,
        joined,
        known,
        largest,
    )


def format_periods(value: int | None, limit: int) -> str:
    return f'over {limit}' if value is None else str(value)


def print_results(results: list[SizeResult]) -> None:
    """Print the table and the fitted lines."""
    table = Table(title='membership, one member, period 1 s')
    for title in (
        'members',
        'steady B/s mean (max)',
        'steady CPU ms/s',
        'drain known at once',
        'all know, periods',
        'version at all, periods',
        'eighth lost: B/s, CPU ms/s, periods',
        'all start at once: B/s mean (max), periods',
        'known after 10 s',
    ):
        table.add_column(title, justify='right')
    for r in results:
        table.add_row(
            str(r.members),
            f'{r.steady.bytes_mean:.0f} ({r.steady.bytes_max:.0f})',
            f'{r.steady.cpu_ms:.3f}',
            str(r.drain_at_once),
            format_periods(r.drain_periods, MAX_SPREAD_PERIODS),
            format_periods(r.version_periods, MAX_SPREAD_PERIODS),
            f'{r.loss.bytes_mean:.0f}, {r.loss.cpu_ms:.3f}, '
            + format_periods(r.loss_periods, MAX_LOSS_PERIODS),
            f'{r.cold.bytes_mean:.0f} ({r.cold.bytes_max:.0f}), '
            + format_periods(r.cold_periods, MAX_COLD_PERIODS),
            f'{r.cold_known_10:.2f}',
        )
    console = Console(width=150)
    console.print(table)
    for name, values in (
        ('steady bytes/s', [r.steady.bytes_mean for r in results]),
        ('steady CPU ms/s', [r.steady.cpu_ms for r in results]),
    ):
        points = list(zip([r.members for r in results], values))
        line = fit_line(points)
        console.print(
            f'{name}: {line.base:.4g} + {line.slope:.4g} a member, '
            f'rms error {line.error:.2g}'
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', type=int, nargs='+', default=SIZES)
    parser.add_argument('--processes', type=int, default=3)
    arguments = parser.parse_args()
    with concurrent.futures.ProcessPoolExecutor(arguments.processes) as pool:
        # Largest first, so that it does not run alone at the end.
        sizes = sorted(arguments.sizes, reverse=True)
        results = list(pool.map(measure, sizes))
    print_results(sorted(results, key=lambda r: r.members))


if __name__ == '__main__':
    main()
