"""``make demo``: a small fleet under load, with a drain and a crash.

The senders and the stand-in targets, not the load balancer, count every
number in the table. The exit status is 1 if a guarantee was violated.
"""

import asyncio
import json
import sys
import time

from rich.console import Console
from rich.table import Table

from cyclamenlift.standins.fleet import Fleet
from cyclamenlift.standins.fleet import FleetError
from cyclamenlift.standins.fleet import temporary_fleet
from cyclamenlift.standins.fleet import wait_until
from cyclamenlift.standins.load import LoadPlan
from cyclamenlift.standins.load import run_load
from cyclamenlift.standins.load import Summary
from cyclamenlift.standins.summary import CallClass
from cyclamenlift.standins.summary import CallKind
from demo.document import demo_document

DATA_CENTRES = ('bole', 'kirkos')
LOAD_SECONDS = 10.0
DRAIN_AT = 3.0
KILL_AT = 6.0
UPLOAD_BYTES = 3_000_000
MIN_ANSWERED_SHARE = 0.95
TARGET_COUNTS = (('prices', 4), ('scheduling', 2), ('documents', 2))


def start_fleet(fleet: Fleet) -> None:
    """Start control instances, and targets each with its daemon."""
    fleet.start_controls(3)
    number = 0
    for service, count in TARGET_COUNTS:
        for _ in range(count):
            name = f'{service}-{number}'
            target = fleet.start_target(name, service, 20, seed=number + 1)
            fleet.start_daemon(
                name,
                DATA_CENTRES[number % 2],
                target,
                health_path='/health',
                gossip_seconds=0.3,
            )
            number += 1


def publish(fleet: Fleet) -> None:
    """Publish the event document with the command line."""
    path = fleet.folder / 'event.json'
    path.write_text(json.dumps(demo_document()))

    def accepted() -> bool:
        done = fleet.command(
            'event',
            'publish',
            str(path),
            '--base=0',
            '--change_id=demo-1',
            f'--console={fleet.consoles()}',
        )
        if done.returncode:
            publish.last = done.stdout + done.stderr
        return done.returncode == 0

    publish.last = ''
    try:
        wait_until(accepted, 30.0, 'the document published')
    except FleetError as error:
        raise FleetError(f'{error}: {publish.last}') from error


async def send_load(fleet: Fleet) -> dict[str, Summary]:
    """Send all loads concurrently; drain one target and kill another."""
    entries = tuple(d.entry for d in fleet.daemons[-4:])
    plans = {
        'price look-ups': LoadPlan(
            addresses=entries,
            service='prices',
            rate=150.0,
            seconds=LOAD_SECONDS,
            prefix='look',
        ),
        'bookings, sent twice': LoadPlan(
            addresses=entries,
            service='scheduling',
            rate=15.0,
            seconds=LOAD_SECONDS,
            booking_share=1.0,
            duplicate_share=1.0,
            prefix='book',
        ),
        'uploads': LoadPlan(
            addresses=entries,
            service='documents',
            rate=1.5,
            seconds=LOAD_SECONDS,
            upload_share=1.0,
            upload_bytes=UPLOAD_BYTES,
            prefix='up',
        ),
    }
    loop = asyncio.get_running_loop()
    loop.call_later(DRAIN_AT, drain_daemon, fleet, 0)
    loop.call_later(KILL_AT, kill_target, fleet, 1)
    results = await asyncio.gather(*(run_load(p) for p in plans.values()))
    return dict(zip(plans, results, strict=True))


def drain_daemon(fleet: Fleet, number: int) -> None:
    daemon = fleet.daemons[number]
    fleet.start(
        'drain', ['cyclamenlift', 'drain', f'--addresses={daemon.admin}']
    )


def kill_target(fleet: Fleet, number: int) -> None:
    """Kill a target without a drain."""
    fleet.targets[number].running.kill()


async def send_direct(fleet: Fleet) -> Summary:
    """Send look-ups directly to two targets, as the baseline."""
    alive = fleet.targets[2:4]
    plan = LoadPlan(
        addresses=tuple(t.address for t in alive),
        service='prices',
        rate=150.0,
        seconds=4.0,
        prefix='direct',
    )
    return await run_load(plan)


async def send_through(fleet: Fleet) -> Summary:
    """Send the same look-ups through entries."""
    entries = tuple(d.entry for d in fleet.daemons[-4:])
    plan = LoadPlan(
        addresses=entries,
        service='prices',
        rate=150.0,
        seconds=4.0,
        prefix='through',
    )
    return await run_load(plan)


def count_duplicate_runs(fleet: Fleet) -> int:
    """Return how many keys ran more than once over all live targets."""
    runs: dict[str, int] = {}
    for target in fleet.targets:
        if target.running.alive():
            for key, count in target.counters()['runs_by_key'].items():
                runs[key] = runs.get(key, 0) + count
    return sum(1 for count in runs.values() if count > 1)


def count_lost_uploads(fleet: Fleet, summary: Summary) -> int:
    """Return how many answered uploads no live target has completely."""
    stored = set()
    for target in fleet.targets:
        if target.running.alive():
            for upload in target.counters()['uploads']:
                stored.add(upload['sha256'])
    return sum(
        1 for _, digest in summary.uploads_answered if digest not in stored
    )


def print_summaries(
    summaries: dict[str, Summary], duplicate_runs: int, lost: int
) -> None:
    table = Table(title='cyclamenlift demo: counted by senders and targets')
    for name in (
        'load',
        'calls',
        'answered',
        'not run',
        'unknown',
        'other',
        'p50 ms',
        'p99 ms',
    ):
        table.add_column(name, justify='left' if name == 'load' else 'right')
    for name, summary in summaries.items():
        total = summary.total.as_json()
        other_count = total['sent'] - sum(
            total[c.value]
            for c in (
                CallClass.ANSWERED,
                CallClass.NOT_RUN,
                CallClass.UNKNOWN,
            )
        )
        latency = total['latency_ms']
        table.add_row(
            name,
            str(total['sent']),
            str(total['answered']),
            str(total['not_run']),
            str(total['unknown']),
            str(other_count),
            f'{latency["p50"]:.2f}',
            f'{latency["p99"]:.2f}',
        )
    console = Console(width=100)
    console.print(table)
    console.print(
        f'keys run more than once: {duplicate_runs}   lost uploads: {lost}'
    )


def format_added_latency(through: Summary, direct: Summary) -> str:
    """Return the latency added to a direct call, p50 and p99, as text."""
    through_latency = through.total.as_json()['latency_ms']
    direct_latency = direct.total.as_json()['latency_ms']
    p50 = through_latency['p50'] - direct_latency['p50']
    p99 = through_latency['p99'] - direct_latency['p99']
    return f'added to a direct call: p50 {p50:.2f} ms, p99 {p99:.2f} ms'


def answered_share(summary: Summary) -> float:
    """Return the share of operations that were answered.

    Two attempts with one key are one operation: while the first runs, the
    second is answered "in progress" at once.
    """
    total = summary.total
    if not summary.keys_answered:
        return total.classes[CallClass.ANSWERED] / max(1, total.sent)
    booked = summary.kinds[CallKind.BOOKING].sent / 2
    uploaded = summary.kinds[CallKind.UPLOAD].sent
    return len(set(summary.keys_answered)) / max(1, booked + uploaded)


def find_violations(
    summaries: dict[str, Summary], duplicate_runs: int, lost: int
) -> list[str]:
    """Return a description of each violated guarantee."""
    violations = []
    if duplicate_runs:
        violations.append(f'{duplicate_runs} keys ran more than once')
    if lost:
        violations.append(f'{lost} uploads were lost')
    for name, summary in summaries.items():
        classes = summary.total.classes
        if classes[CallClass.BROKEN]:
            violations.append(f'{name}: incomplete or mismatched answers')
        if classes[CallClass.NO_ANSWER]:
            violations.append(f'{name}: calls without an answer')
        if answered_share(summary) < MIN_ANSWERED_SHARE:
            violations.append(f'{name}: too few calls were answered')
    return violations


def main() -> int:
    started_at = time.monotonic()
    with temporary_fleet() as fleet:
        start_fleet(fleet)
        publish(fleet)
        fleet.wait_for_version(1, len(fleet.daemons))
        sys.stdout.write(
            f'{len(fleet.processes)} processes, document in force after '
            f'{time.monotonic() - started_at:.1f} s\n'
        )
        summaries = asyncio.run(send_load(fleet))
        duplicate_runs = count_duplicate_runs(fleet)
        lost = count_lost_uploads(fleet, summaries['uploads'])
        through = asyncio.run(send_through(fleet))
        direct = asyncio.run(send_direct(fleet))
    print_summaries(summaries, duplicate_runs, lost)
    sys.stdout.write(format_added_latency(through, direct) + '\n')
    violations = find_violations(summaries, duplicate_runs, lost)
    for line in violations:
        sys.stdout.write(f'GUARANTEE VIOLATED: {line}\n')
    if not violations:
        sys.stdout.write('all guarantees held\n')
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
