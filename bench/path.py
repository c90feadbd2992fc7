"""Measure the latency that the path adds to a call: ``python -m bench.path``.

One entry daemon and one gate daemon (two processes) between a sender and a
stand-in target with a constant service time. Direct calls and calls through
the path alternate in rounds, so that noise of the machine affects both. The
CPU time of both daemons is read from the operating system.

``python -m bench.path --closed=3000`` sends one call at a time instead, to a
target that answers at once: the latency that a single caller sees.
"""

import dataclasses
import json
import socket
import sys
import time

import fire
import psutil

from cyclamenlift.core.streams import Address
from cyclamenlift.standins.fleet import DaemonHandle
from cyclamenlift.standins.fleet import Fleet
from cyclamenlift.standins.fleet import temporary_fleet
from cyclamenlift.standins.fleet import wait_until
from cyclamenlift.standins.load import LoadPlan
from cyclamenlift.standins.load import run_load
from cyclamenlift.standins.loops import run_precisely
from demo.document import demo_document

SERVICE_MS = 2.0
CLOSED_SERVICE_MS = 0.01
ROUNDS = 3
READ_SIZE = 65536
CLOSED_REQUEST = (
    b'GET /prices?size=64 HTTP/1.1\r\n'
    b'Host: prices\r\n'
    b'Cyclamenlift-Timeout-Ms: 2000\r\n\r\n'
)
MICROSECONDS = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One rate: latency in milliseconds, CPU time in microseconds.

    A rate of 0 stands for sequential calls.
    """

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


def start_fleet(
    fleet: Fleet, service_ms: float = SERVICE_MS
) -> tuple[DaemonHandle, DaemonHandle, str]:
    """Start control, target, gate and entry; publish the document."""
    fleet.start_controls(1)
    target = fleet.start_target(
        'prices-0', 'prices', 64, service_ms=service_ms, sigma=0
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
    fleet.wait_for_version(1, 2)
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
    """Measure one rate in alternating rounds."""
    direct, through = [], []
    cpu_used = [0.0, 0.0]
    for seed in range(1, ROUNDS + 1):
        direct.append(await send(target, rate, seconds, seed))
        before = [cpu_seconds(d) for d in (entry, gate)]
        through.append(await send(entry.entry, rate, seconds, seed))
        after = [cpu_seconds(d) for d in (entry, gate)]
        for side in (0, 1):
            cpu_used[side] += after[side] - before[side]
    return make_point(rate, direct, through, cpu_used)


def call_sequentially(address: str, calls: int) -> list[float]:
    """Return the sorted latencies in ms of sequential calls."""
    found = []
    with socket.create_connection(Address.parse(address)) as caller:
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for _ in range(calls):
            started_at = time.perf_counter()
            caller.sendall(CLOSED_REQUEST)
            answer = caller.recv(READ_SIZE)
            found.append((time.perf_counter() - started_at) * 1000)
            if not answer.startswith(b'HTTP/1.1 200'):
                raise SystemExit(f'an answer began with {answer[:40]!r}')
    return sorted(found)


def measure_closed(entry, gate, target: str, calls: int) -> Point:
    """Measure sequential calls in alternating rounds."""
    direct, through = [], []
    cpu_used = [0.0, 0.0]
    for _ in range(ROUNDS):
        direct += call_sequentially(target, calls)
        before = [cpu_seconds(d) for d in (entry, gate)]
        through += call_sequentially(entry.entry, calls)
        after = [cpu_seconds(d) for d in (entry, gate)]
        for side in (0, 1):
            cpu_used[side] += after[side] - before[side]
    total = len(through)
    p50 = [sorted(found)[total // 2] for found in (direct, through)]
    p99 = [sorted(found)[total * 99 // 100] for found in (direct, through)]
    return Point(
        rate=0.0,
        direct_p50=round(p50[0], 3),
        direct_p99=round(p99[0], 3),
        path_p50=round(p50[1], 3),
        path_p99=round(p99[1], 3),
        added_p50=round(p50[1] - p50[0], 3),
        added_p99=round(p99[1] - p99[0], 3),
        entry_us=round(cpu_used[0] / total * MICROSECONDS, 1),
        gate_us=round(cpu_used[1] / total * MICROSECONDS, 1),
        failures=0,
    )


def make_point(rate: float, direct, through, cpu_used) -> Point:
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
        entry_us=round(cpu_used[0] / calls * MICROSECONDS, 1),
        gate_us=round(cpu_used[1] / calls * MICROSECONDS, 1),
        failures=sum(s.failures() for s in through),
    )


def merge(summaries):
    """Return one latency histogram over all rounds."""
    first = summaries[0].total.latency
    for other in summaries[1:]:
        first.add(other.total.latency)
    return first


def print_point(point: Point) -> None:
    sys.stdout.write(json.dumps(dataclasses.asdict(point)) + '\n')
    sys.stdout.flush()


def main(
    rates: str = '10,100,300', seconds: float = 6.0, closed: int = 0
) -> None:
    """Print one JSON line for each rate.

    Args:
        rates: Calls per second, separated by commas.
        seconds: Length of a round; a rate has three rounds each way.
        closed: If set, sequential calls per round, in place of rates.
    """
    if closed:
        with temporary_fleet('warning') as fleet:
            processes = start_fleet(fleet, CLOSED_SERVICE_MS)
            print_point(measure_closed(*processes, closed))
        return
    rate_list = rates if isinstance(rates, tuple) else str(rates).split(',')
    with temporary_fleet('warning') as fleet:
        entry, gate, target = start_fleet(fleet)
        for rate in rate_list:
            point = run_precisely(
                measure(entry, gate, target, float(rate), seconds)
            )
            print_point(point)


if __name__ == '__main__':
    fire.Fire(main)
