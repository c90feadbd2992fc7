"""Measure the cost of the replicated log: ``python -m bench.replication``.

Real processes on loopback with real syncs. Measured are a bare sync, the
rate and latency of commits by number of concurrent proposals, recovery after
a kill of the leader, and restart time and storage size by length of history.
The results are written to ``bench/results/replication.json``.
"""

import dataclasses
import json
import os
import pathlib
import shutil
import statistics
import tempfile
import time

import fire

from bench.replication_cluster import Instance
from bench.replication_cluster import Processes

INSTANCE_NAMES = ('a', 'b', 'c', 'd', 'e')
CLUSTER_SIZES = (3, 5)
CONCURRENCY = (1, 8, 64, 256, 1024)
HISTORY_LENGTHS = (0, 500, 2000, 8000, 32000)
LOAD_SECONDS = 2
ROUNDS = 3
KILLS = 10
SYNCS = 2000
SYNC_BYTES = 300
POLL_SECONDS = 0.005
MILLISECONDS = 1000
RESULTS = pathlib.Path(__file__).parent / 'results' / 'replication.json'


@dataclasses.dataclass(frozen=True, slots=True)
class CommitPoint:
    """Commit rate and latency: medians of several rounds."""

    instances: int
    waiting: int
    commits_per_second: float
    p50_ms: float
    p99_ms: float
    worst_p99_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryPoint:
    """Time from the kill of the leader to the next commit."""

    instances: int
    runs: int
    least_ms: float
    median_ms: float
    most_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class RestartPoint:
    """Time for a killed instance to open its folder and to catch up."""

    changes: int
    folder_bytes: int
    open_ms: float
    current_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class SyncPoint:
    """The disk alone: an append and its sync, without a replica."""

    syncs: int
    p50_ms: float
    p99_ms: float


def measure_sync() -> SyncPoint:
    times = []
    with tempfile.TemporaryFile(dir=tempfile.gettempdir()) as file:
        for _ in range(SYNCS):
            began_at = time.monotonic()
            os.write(file.fileno(), b'x' * SYNC_BYTES)
            os.fdatasync(file.fileno())
            times.append(MILLISECONDS * (time.monotonic() - began_at))
    times.sort()
    return SyncPoint(SYNCS, times[SYNCS // 2], times[SYNCS * 99 // 100])


def measure_commits(cluster: Processes, size: int, waiting: int):
    leader = cluster.leader()
    reports = [
        leader.ask('load', waiting, LOAD_SECONDS) for _ in range(ROUNDS)
    ]
    if any(report['failed'] for report in reports):
        raise RuntimeError(f'a proposal failed: {reports}')

    def median(key: str) -> float:
        return statistics.median(report[key] for report in reports)

    return CommitPoint(
        instances=size,
        waiting=waiting,
        commits_per_second=median('per_second'),
        p50_ms=median('p50_ms'),
        p99_ms=median('p99_ms'),
        worst_p99_ms=max(report['p99_ms'] for report in reports),
    )


def wait_for_commit(instances: list[Instance]) -> None:
    while True:
        for instance in instances:
            if 'answer' in instance.ask('propose', 'x'):
                return
        time.sleep(POLL_SECONDS)


def measure_recovery(cluster: Processes, size: int) -> RecoveryPoint:
    """Kill and restart the leader several times."""
    times = []
    for _ in range(KILLS):
        cluster.propose('x')
        leader = cluster.leader()
        others = [i for i in cluster.running() if i is not leader]
        leader.kill()
        killed_at = time.monotonic()
        wait_for_commit(others)
        times.append(MILLISECONDS * (time.monotonic() - killed_at))
        cluster.restart(leader.name)
    return RecoveryPoint(
        instances=size,
        runs=KILLS,
        least_ms=min(times),
        median_ms=statistics.median(times),
        most_ms=max(times),
    )


def folder_bytes(folder: pathlib.Path) -> int:
    return sum(path.stat().st_size for path in folder.iterdir())


def measure_restart(changes: int) -> RestartPoint:
    """Kill and restart a follower after a number of changes."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix='replication-'))
    try:
        with Processes(folder, INSTANCE_NAMES[:3]) as cluster:
            leader = cluster.leader()
            if changes:
                leader.ask('fill', changes)
            name = next(n for n in INSTANCE_NAMES if n != leader.name)
            cluster.wait_for(lambda: has_caught_up(cluster, name, leader))
            cluster.instances[name].kill()
            size = folder_bytes(folder / name)
            instance = cluster.restart(name)
            restarted_at = time.monotonic()
            cluster.wait_for(lambda: has_caught_up(cluster, name, leader))
            catch_up_seconds = time.monotonic() - restarted_at
    finally:
        shutil.rmtree(folder)
    open_seconds = instance.started['seconds']
    return RestartPoint(
        changes=changes,
        folder_bytes=size,
        open_ms=MILLISECONDS * open_seconds,
        current_ms=MILLISECONDS * (open_seconds + catch_up_seconds),
    )


def has_caught_up(cluster: Processes, name: str, leader: Instance) -> bool:
    status = cluster.instances[name].ask('status')
    committed = leader.ask('status')['commit_index']
    return status['applied_index'] >= committed > 0


def print_point(point) -> None:
    fields = dataclasses.asdict(point)
    print(
        type(point).__name__,
        *(f'{name}={value:.4g}' for name, value in fields.items()),
        flush=True,
    )


def measure_cluster(size: int) -> list:
    folder = pathlib.Path(tempfile.mkdtemp(prefix='replication-'))
    points: list = []
    try:
        with Processes(folder, INSTANCE_NAMES[:size]) as cluster:
            for waiting in CONCURRENCY:
                points.append(measure_commits(cluster, size, waiting))
                print_point(points[-1])
            points.append(measure_recovery(cluster, size))
            print_point(points[-1])
    finally:
        shutil.rmtree(folder)
    return points


def main(output: str = str(RESULTS)) -> None:
    """Run all measurements and save the results as JSON."""
    points: list = [measure_sync()]
    print_point(points[0])
    for size in CLUSTER_SIZES:
        points.extend(measure_cluster(size))
    for changes in HISTORY_LENGTHS:
        points.append(measure_restart(changes))
        print_point(points[-1])
    path = pathlib.Path(output)
    path.parent.mkdir(exist_ok=True)
    rows = [
        {'kind': type(point).__name__, **dataclasses.asdict(point)}
        for point in points
    ]
    path.write_text(json.dumps(rows, indent=1) + '\n')


if __name__ == '__main__':
    fire.Fire(main)
