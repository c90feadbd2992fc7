"""Measure how the cost of a daemon grows: ``python -m bench.slopes``.

Real processes on loopback, about 60 daemons at most. Each stage prints its
points, the line fitted through them and the error of the fit, and ends its
processes. The figures are used in ``docs/CAPACITY.md``.
"""

import contextlib
import dataclasses
import json
import pathlib
import random
import socket
import statistics
import sys
import time

import fire
import psutil

from bench.fit import fit_line
from cyclamenlift.core.registry import Registry
from cyclamenlift.standins.fleet import ControlHandle
from cyclamenlift.standins.fleet import DaemonHandle
from cyclamenlift.standins.fleet import Fleet
from cyclamenlift.standins.fleet import http_request
from cyclamenlift.standins.fleet import TargetHandle
from cyclamenlift.standins.fleet import temporary_fleet
from cyclamenlift.standins.fleet import wait_until
from cyclamenlift.standins.load import LoadPlan
from cyclamenlift.standins.load import run_load
from cyclamenlift.standins.loops import run_precisely
from demo.document import demo_document

STAGES: Registry = Registry('stage')
RESULTS = pathlib.Path(__file__).parent / 'results' / 'slopes.json'
MEMBER_SIZES = (10, 20, 40, 60)
SERVICE_SIZES = (1, 23, 46, 91)
CALL_RATES = (50, 100, 200, 300)
CALLER_SIZES = (0, 100, 200, 400, 800)
IDLE_SECONDS = 15.0
SETTLE_SECONDS = 100.0
LOAD_SECONDS = 8.0
SLOTS = 64
BATCH = 5
MEBIBYTE = 1024.0**2
READY_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """One measured value at one size."""

    stage: str
    value: str
    unit: str
    size: float
    measured: float


class Recorder:
    """Collects points and prints the lines fitted through them."""

    def __init__(self) -> None:
        self.points: list[Point] = []

    def record(
        self, stage: str, value: str, unit: str, size: float, measured: float
    ) -> None:
        point = Point(stage, value, unit, size, round(measured, 5))
        self.points.append(point)
        print_line(json.dumps(dataclasses.asdict(point)))

    def print_fits(self) -> None:
        names = dict.fromkeys((p.stage, p.value, p.unit) for p in self.points)
        for stage, value, unit in names:
            points = [
                (p.size, p.measured)
                for p in self.points
                if (p.stage, p.value) == (stage, value)
            ]
            line = fit_line(points)
            print_line(
                f'{stage}, {value}: {line.base:.4g} + {line.slope:.4g} x size'
                f' {unit}, rms error {line.error:.2g}, {len(points)} points'
            )


def print_line(text: str) -> None:
    sys.stdout.write(text + '\n')
    sys.stdout.flush()


def cpu_seconds(handle: DaemonHandle | ControlHandle) -> float:
    times = psutil.Process(handle.running.process.pid).cpu_times()
    return times.user + times.system


def memory(handle: DaemonHandle | ControlHandle) -> float:
    """Return the resident memory in MiB."""
    process = psutil.Process(handle.running.process.pid)
    return process.memory_info().rss / MEBIBYTE


def idle_cpu(handles: list) -> list[float]:
    """Return the CPU time of each idle process, in ms per second."""
    before = [cpu_seconds(h) for h in handles]
    time.sleep(IDLE_SECONDS)
    after = [cpu_seconds(h) for h in handles]
    scale = 1000.0 / IDLE_SECONDS
    return [scale * (b - a) for a, b in zip(before, after)]


def gossip_bytes(daemon: DaemonHandle) -> float:
    """Return the bytes of gossip, in and out, since the start."""
    _status, _headers, body = http_request(daemon.admin, 'GET', '/metrics')
    return sum(
        float(line.rsplit(' ', 1)[1])
        for line in body.decode().splitlines()
        if line.startswith('cyclamenlift_gossip_') and '_bytes_total' in line
    )


def publish(fleet: Fleet, document: dict, base: int) -> float:
    """Publish a document; return the time at which it was accepted."""
    path = fleet.folder / f'event-{base}.json'
    path.write_text(json.dumps(document))
    done = fleet.command(
        'event',
        'publish',
        str(path),
        f'--base={base}',
        f'--console={fleet.consoles()}',
    )
    if done.returncode:
        raise SystemExit(done.stdout + done.stderr)
    return time.monotonic()


def document_with(services: int) -> dict:
    """Return the document of the demo with a number of services."""
    document = demo_document()
    first = document['services'][0]
    extra = [
        {**first, 'name': f'service-{number:02d}'}
        for number in range(services - 1)
    ]
    document['services'] = [first, *extra]
    return document


def start_control(fleet: Fleet) -> None:
    fleet.start_controls(1)
    wait_until(lambda: fleet.controls[0].status(), 20, 'control')


def start_daemons(fleet: Fleet, count: int, target: TargetHandle) -> None:
    """Start daemons in batches, all with the same target.

    A free port is reserved only once its process listens, hence the batches.
    No connections are kept warm: together they would exceed the limit of the
    target, and each daemon would reopen its own repeatedly.
    """
    for number in range(count):
        fleet.start_daemon(
            f'daemon-{number}', 'dc-a', target, warm_connections=0
        )
        if (number + 1) % BATCH == 0 or number + 1 == count:
            for daemon in fleet.daemons[-BATCH:]:
                wait_until(daemon.status, READY_SECONDS, daemon.running.name)


@STAGES.register('members')
def members_stage(recorder: Recorder) -> None:
    """Idle cost, document distribution and links, by number of daemons."""
    for size in MEMBER_SIZES:
        with temporary_fleet('warning') as fleet:
            start_control(fleet)
            target = fleet.start_target('prices-0', 'prices', SLOTS)
            publish(fleet, document_with(1), 0)
            start_daemons(fleet, size, target)
            fleet.wait_for_version(1, size, READY_SECONDS)
            measure_members(fleet, size, recorder)


@STAGES.register('settled')
def settled_stage(recorder: Recorder) -> None:
    """Idle cost after the updates of the start have stopped circulating.

    Member records of a start are forwarded for about two minutes. The sizes
    run at the same time, each as a cluster of its own.
    """
    with contextlib.ExitStack() as stack:
        fleets = {}
        for size in MEMBER_SIZES:
            fleet = stack.enter_context(temporary_fleet('warning'))
            start_control(fleet)
            target = fleet.start_target('prices-0', 'prices', SLOTS)
            publish(fleet, document_with(1), 0)
            start_daemons(fleet, size, target)
            fleets[size] = fleet
        time.sleep(SETTLE_SECONDS)
        for size, fleet in fleets.items():
            measure_idle('settled', fleet, size, recorder)


def measure_idle(
    stage: str, fleet: Fleet, size: int, recorder: Recorder
) -> None:
    daemons = fleet.daemons
    before = [gossip_bytes(d) for d in daemons]
    *costs, control = idle_cpu([*daemons, fleet.controls[0]])
    cost = statistics.fmean(costs)
    recorder.record(stage, 'idle CPU', 'ms/s', size, cost)
    recorder.record(stage, 'control CPU', 'ms/s', size, control)
    held = memory(fleet.controls[0])
    recorder.record(stage, 'control memory', 'MiB', size, held)
    spent = [gossip_bytes(d) - b for d, b in zip(daemons, before)]
    rate = statistics.fmean(spent) / IDLE_SECONDS
    recorder.record(stage, 'gossip payload', 'B/s', size, rate)
    rss = statistics.fmean(memory(d) for d in daemons)
    recorder.record(stage, 'memory', 'MiB', size, rss)


def measure_members(fleet: Fleet, size: int, recorder: Recorder) -> None:
    measure_idle('members', fleet, size, recorder)
    accepted = publish(fleet, document_with(2), 1)
    fleet.wait_for_version(2, size, READY_SECONDS)
    seconds = time.monotonic() - accepted
    recorder.record('members', 'document everywhere', 's', size, seconds)
    entry = fleet.daemons[0]
    memory_before = memory(entry)
    send(entry, 200.0, LOAD_SECONDS)
    growth = memory(entry) - memory_before
    recorder.record('members', 'growth of an entry', 'MiB', size, growth)


@STAGES.register('services')
def services_stage(recorder: Recorder) -> None:
    """Memory and idle cost, by number of services in the document."""
    for size in SERVICE_SIZES:
        with temporary_fleet('warning') as fleet:
            start_control(fleet)
            target = fleet.start_target('prices-0', 'prices', SLOTS)
            publish(fleet, document_with(size), 0)
            start_daemons(fleet, 4, target)
            fleet.wait_for_version(1, 4)
            cost = statistics.fmean(idle_cpu(fleet.daemons))
            recorder.record('services', 'idle CPU', 'ms/s', size, cost)
            rss = statistics.fmean(memory(d) for d in fleet.daemons)
            recorder.record('services', 'memory', 'MiB', size, rss)
            data = len(json.dumps(document_with(size)))
            recorder.record('services', 'document', 'B', size, data)


@STAGES.register('calls')
def calls_stage(recorder: Recorder) -> None:
    """CPU time and memory of an entry and a gate, by call rate."""
    with temporary_fleet('warning') as fleet:
        start_control(fleet)
        target = fleet.start_target(
            'prices-0', 'prices', SLOTS, service_ms=2.0, sigma=0
        )
        publish(fleet, document_with(1), 0)
        gate = fleet.start_daemon('gate', 'dc-a', target)
        entry = fleet.start_daemon('entry', 'dc-a')
        fleet.wait_for_version(1, 2)
        send(entry, 50.0, 2.0)
        for rate in CALL_RATES:
            before = [cpu_seconds(d) for d in (entry, gate)]
            sent = send(entry, float(rate), LOAD_SECONDS)
            after = [cpu_seconds(d) for d in (entry, gate)]
            for name, a, b in zip(('entry', 'gate'), before, after):
                cost = 1000.0 * (b - a) / sent.seconds
                recorder.record('calls', f'{name} CPU', 'ms/s', rate, cost)
            recorder.record(
                'calls', 'entry memory', 'MiB', rate, memory(entry)
            )
            recorder.record('calls', 'gate memory', 'MiB', rate, memory(gate))
            recorder.record('calls', 'failed', 'calls', rate, sent.failures())


def send(entry: DaemonHandle, rate: float, seconds: float):
    plan = LoadPlan(
        addresses=(entry.entry,),
        rate=rate,
        seconds=seconds,
        seed=random.Random(rate).randrange(1_000),
    )
    return run_precisely(run_load(plan))


@STAGES.register('callers')
def callers_stage(recorder: Recorder) -> None:
    """Memory of an entry, by number of idle caller connections."""
    with temporary_fleet('warning') as fleet:
        entry = fleet.start_daemon('entry', 'dc-a', idle_seconds=300)
        wait_until(entry.status, READY_SECONDS, 'entry')
        host, _, port = entry.entry.rpartition(':')
        connections: list[socket.socket] = []
        for size in CALLER_SIZES:
            while len(connections) < size:
                connections.append(socket.create_connection((host, int(port))))
            time.sleep(1.0)
            recorder.record('callers', 'memory', 'MiB', size, memory(entry))
        for connection in connections:
            connection.close()


def save(points: list[Point]) -> None:
    """Save the points; keep saved points of stages that did not run."""
    stages = {p.stage for p in points}
    old = json.loads(RESULTS.read_text()) if RESULTS.exists() else []
    kept = [p for p in old if p['stage'] not in stages]
    kept.extend(dataclasses.asdict(p) for p in points)
    RESULTS.write_text(json.dumps(kept, indent=1) + '\n')


def main(stages: str = 'members,settled,services,calls,callers') -> None:
    """Run stages in order, save their points and print the fitted lines.

    Args:
        stages: Names of stages, separated by commas.
    """
    stage_names = (
        stages if isinstance(stages, tuple) else str(stages).split(',')
    )
    recorder = Recorder()
    for name in stage_names:
        STAGES.get(name)(recorder)
        save(recorder.points)
    recorder.print_fits()


if __name__ == '__main__':
    fire.Fire(main)
