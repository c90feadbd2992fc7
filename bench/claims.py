"""Measure the cost of claims: ``python -m bench.claims``.

Real control instances on loopback with real syncs, driven by the claim
client of one daemon. Measured are the rate and latency of claims by the
number outstanding, alone and with the end that follows each claim; memory by
the number of keys held, with the slowest claim while filling; and the time
for which a snapshot of that many keys blocks the event loop. Prints one JSON
line for each point and takes about 90 seconds.
"""

import dataclasses
import json
import time

import fire

from bench.claim_load import ClaimLoad
from bench.control_fleet import document
from bench.control_fleet import processor_seconds
from bench.control_fleet import publish
from bench.control_fleet import resident_megabytes
from bench.control_fleet import wait_for_leader
from cyclamenlift.ledger.records import Attempt
from cyclamenlift.runtime.state_machine import ControlStateMachine
from cyclamenlift.standins.fleet import ControlHandle
from cyclamenlift.standins.fleet import Fleet
from cyclamenlift.standins.fleet import temporary_fleet

CLUSTER_SIZES = (3, 5)
OUTSTANDING = (1, 32, 128, 256)
WITH_END = 32
LOAD_SECONDS = 3.0
HELD_KEYS = (10_000, 50_000, 100_000, 200_000)
FILL_OUTSTANDING = 256
MAX_CLAIMS = 300_000
SNAPSHOT_ENTRIES = 5_000
SNAPSHOTS = 5
EVENT_ENDS_MS = 2_082_758_400_000
START_MS = 1_800_000_000_000
DIGITS = 4
MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class RatePoint:
    """Claim rate and latency; ``*_core`` is CPU time by elapsed time."""

    instances: int
    outstanding: int
    with_end: bool
    claims_per_second: float
    p50_ms: float
    p99_ms: float
    worst_ms: float
    refused: int
    leader_core: float
    client_core: float


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryPoint:
    """Memory and claim latency with a number of keys held."""

    held: int
    leader_rss_mb: float
    follower_rss_mb: float
    worst_claim_ms: float
    p99_claim_ms: float
    claims_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPoint:
    """Median time of a snapshot, 5,000 claims after the previous one."""

    held: int
    snapshot_ms: float
    snapshot_mb: float


def print_point(point) -> None:
    """Print one point as a JSON line."""
    row = {'kind': type(point).__name__}
    for name, value in dataclasses.asdict(point).items():
        row[name] = value
        if isinstance(value, float):
            row[name] = float(f'{value:.{DIGITS}g}')
    print(json.dumps(row), flush=True)


def start_cluster(fleet: Fleet, size: int) -> ControlHandle:
    """Start a cluster, publish a document and return the leader."""
    fleet.start_controls(size, max_claims=MAX_CLAIMS)
    leader = wait_for_leader(fleet)
    publish(leader, 0, document())
    return leader


def measure_rate(
    load: ClaimLoad,
    leader: ControlHandle,
    size: int,
    outstanding: int,
    with_end: bool,
) -> RatePoint:
    pid = leader.running.process.pid
    cpu_used, started_at = processor_seconds(pid), time.monotonic()
    figures = load.run(outstanding, LOAD_SECONDS, with_end=with_end)
    cpu_used = processor_seconds(pid) - cpu_used
    return RatePoint(
        instances=size,
        outstanding=outstanding,
        with_end=with_end,
        claims_per_second=figures.per_second,
        p50_ms=figures.p50_ms,
        p99_ms=figures.p99_ms,
        worst_ms=figures.worst_ms,
        refused=figures.refused,
        leader_core=cpu_used / (time.monotonic() - started_at),
        client_core=figures.client_core,
    )


def measure_rates(size: int) -> None:
    with temporary_fleet() as fleet:
        leader = start_cluster(fleet, size)
        load = ClaimLoad([c.peer for c in fleet.controls])
        load.run(1, claims=10)
        for outstanding in OUTSTANDING:
            print_point(measure_rate(load, leader, size, outstanding, False))
        print_point(measure_rate(load, leader, size, WITH_END, True))
        load.close()


def measure_memory() -> None:
    """Measure three instances while they fill up with keys."""
    with temporary_fleet() as fleet:
        leader = start_cluster(fleet, CLUSTER_SIZES[0])
        follower = next(c for c in fleet.controls if c is not leader)
        load = ClaimLoad([c.peer for c in fleet.controls])
        held = 0
        for goal in HELD_KEYS:
            figures = load.run(FILL_OUTSTANDING, claims=goal - held)
            held += figures.claims
            print_point(
                MemoryPoint(
                    held=held,
                    leader_rss_mb=resident_megabytes(
                        leader.running.process.pid
                    ),
                    follower_rss_mb=resident_megabytes(
                        follower.running.process.pid
                    ),
                    worst_claim_ms=figures.worst_ms,
                    p99_claim_ms=figures.p99_ms,
                    claims_per_second=figures.per_second,
                )
            )
        load.close()


def grant_claims(machine: ControlStateMachine, first: int, count: int) -> None:
    """Grant new keys in a state machine, without a log."""
    for number in range(first, first + count):
        name = f'key-{number:012d}-0123456789abcdef'
        attempt = Attempt('sale', name, name, 0, b'f' * 32, 1000)
        machine.ledger.claim(attempt, EVENT_ENDS_MS)


def measure_snapshots() -> None:
    """Time snapshots, each after new claims as in a running instance."""
    machine = ControlStateMachine()
    machine.ledger.advance(START_MS)
    held = 0
    for goal in HELD_KEYS:
        grant_claims(machine, held, goal - SNAPSHOTS * SNAPSHOT_ENTRIES - held)
        held = len(machine.ledger)
        machine.snapshot()
        times = []
        for _ in range(SNAPSHOTS):
            count = min(SNAPSHOT_ENTRIES, goal - held)
            grant_claims(machine, held, count)
            held = len(machine.ledger)
            started_at = time.monotonic()
            data = machine.snapshot()
            times.append(MILLISECONDS * (time.monotonic() - started_at))
        print_point(
            SnapshotPoint(
                held=held,
                snapshot_ms=sorted(times)[SNAPSHOTS // 2],
                snapshot_mb=len(data) / 2**20,
            )
        )


def main() -> None:
    """Run all measurements."""
    for size in CLUSTER_SIZES:
        measure_rates(size)
    measure_memory()
    measure_snapshots()


if __name__ == '__main__':
    fire.Fire(main)
