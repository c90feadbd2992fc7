"""What the path adds to a direct call: ``python -m bench.path``.

One entry daemon and one gate daemon (two processes) between a sender and a
stand-in target with a constant service time. Direct calls and calls through
the path alternate in rounds, so that noise of the machine meets both. The
processor time of both daemons is read from the system.
"""

import dataclasses
import json
import sys

import fire
import psutil

from cyclamenlift.standins.fleet import DaemonHandle
from cyclamenlift.standins.fleet import Fleet
from cyclamenlift.standins.fleet import temporary_fleet
from cyclamenlift.standins.fleet import wait_until
from cyclamenlift.standins.load import LoadPlan
from cyclamenlift.standins.load import run_load
from cyclamenlift.standins.loops import run_precisely
from demo.document import demo_document

SERVICE_MS = 2.0
ROUNDS = 3
MICROSECONDS = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One rate: latency in milliseconds, processor time in microseconds."""

    rate: float
    direct_p50: float
    direct_p99: float
    path_p50: float
    path_p99: float
    added_p50: float
    added_p99: float
    entry_us: float
    gate_us: float
    failures: int


def start(fleet: Fleet) -> tuple[DaemonHandle, DaemonHandle, str]:
    """Start control, target, gate and entry; publish the document."""
    fleet.start_controls(1)
    target = fleet.start_target(
        'prices-0', 'prices', 64, service_ms=SERVICE_MS, sigma=0
    )
    gate = fleet.start_daemon('gate', 'bole', target)
    entry = fleet.start_daemon('entry', 'bole')
    path = fleet.folder / 'event.json'
    path.write_text(json.dumps(demo_document()))
    wait_until(lambda: fleet.controls[0].status(), 20, 'control')
    done = fleet.command(
        'event',
        'publish',
        str(path),
        '--base=0',
        f'--console={fleet.consoles()}',
    )
    if done.returncode:
        raise SystemExit(done.stdout + done.stderr)
    fleet.wait_in_force(1, 2)
    return entry, gate, target.address


async def send(address: str, rate: float, seconds: float, seed: int):
    plan = LoadPlan(
        addresses=(address,), rate=rate, seconds=seconds, seed=seed
    )
    return await run_load(plan)


def cpu_seconds(daemon: DaemonHandle) -> float:
    times = psutil.Process(daemon.running.process.pid).cpu_times()
    return times.user + times.system


async def measure(entry, gate, target: str, rate: float, seconds: float):
    """Return the point of one rate over alternating rounds."""
    direct, through = [], []
    spent = [0.0, 0.0]
    for seed in range(1, ROUNDS + 1):
        direct.append(await send(target, rate, seconds, seed))
        before = [cpu_seconds(d) for d in (entry, gate)]
        through.append(await send(entry.entry, rate, seconds, seed))
        after = [cpu_seconds(d) for d in (entry, gate)]
        for side in (0, 1):
            spent[side] += after[side] - before[side]
    return make_point(rate, direct, through, spent)


def make_point(rate: float, direct, through, spent) -> Point:
    found = [merge(direct), merge(through)]
    p50 = [h.get_value_at_percentile(50.0) / 1000 for h in found]
    p99 = [h.get_value_at_percentile(99.0) / 1000 for h in found]
    calls = sum(s.total.sent for s in through)
    return Point(
        rate=rate,
        direct_p50=p50[0],
        direct_p99=p99[0],
        path_p50=p50[1],
        path_p99=p99[1],
        added_p50=round(p50[1] - p50[0], 3),
        added_p99=round(p99[1] - p99[0], 3),
        entry_us=round(spent[0] / calls * MICROSECONDS, 1),
        gate_us=round(spent[1] / calls * MICROSECONDS, 1),
        failures=sum(s.failures() for s in through),
    )


def merge(summaries):
    """Return one histogram over all rounds."""
    first = summaries[0].total.latency
    for other in summaries[1:]:
        first.add(other.total.latency)
    return first


def main(rates: str = '10,100,300', seconds: float = 6.0) -> None:
    """Print one JSON line for each rate.

    Args:
        rates: Calls a second, with commas between.
        seconds: Length of one round; three rounds each way for a rate.
    """
    listed = rates if isinstance(rates, tuple) else str(rates).split(',')
    with temporary_fleet('warning') as fleet:
        entry, gate, target = start(fleet)
        for rate in listed:
            point = run_precisely(
                measure(entry, gate, target, float(rate), seconds)
            )
            sys.stdout.write(json.dumps(dataclasses.asdict(point)) + '\n')
            sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(main)
