"""``make demo``: a small fleet, a load, a drain and a kill.

Every number in the table is counted by the senders and the stand-in
targets, not by the product. The exit status is 1 if a promise broke.
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
LEAST_ANSWERED = 0.95
FLEET = (('prices', 4), ('scheduling', 2), ('documents', 2))


def start_fleet(fleet: Fleet) -> None:
    """Start control instances, targets and the daemons beside them."""
    fleet.start_controls(3)
    number = 0
    for service, count in FLEET:
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
    """Publish the event document through the command line."""
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
    """Send all loads side by side; drain one target and kill another."""
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
    loop.call_later(DRAIN_AT, drain, fleet, 0)
    loop.call_later(KILL_AT, kill, fleet, 1)
    found = await asyncio.gather(*(run_load(p) for p in plans.values()))
    return dict(zip(plans, found, strict=True))


def drain(fleet: Fleet, number: int) -> None:
    daemon = fleet.daemons[number]
    fleet.start(
        'drain', ['cyclamenlift', 'drain', f'--addresses={daemon.admin}']
    )


def kill(fleet: Fleet, number: int) -> None:
    """Take a target away without warning."""
    fleet.targets[number].running.kill()


async def send_direct(fleet: Fleet) -> Summary:
    """Send the same look-ups straight to targets, for comparison."""
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
    """Send look-ups through entries to the same two targets."""
    entries = tuple(d.entry for d in fleet.daemons[-4:])
    plan = LoadPlan(
        addresses=entries,
        service='prices',
        rate=150.0,
        seconds=4.0,
        prefix='through',
    )
    return await run_load(plan)


def count_doubled(fleet: Fleet) -> int:
    """Return the keys that ran more than once, over all targets."""
    runs: dict[str, int] = {}
    for target in fleet.targets:
        if target.running.alive():
            for key, count in target.counters()['runs_by_key'].items():
                runs[key] = runs.get(key, 0) + count
    return sum(1 for count in runs.values() if count > 1)


def count_lost_uploads(fleet: Fleet, summary: Summary) -> int:
    """Return the answered uploads that no target holds whole."""
    held = set()
    for target in fleet.targets:
        if target.running.alive():
            for upload in target.counters()['uploads']:
                held.add(upload['sha256'])
    return sum(1 for _, sha in summary.uploads_answered if sha not in held)


def show(summaries: dict[str, Summary], doubled: int, lost: int) -> None:
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
        rest = total['sent'] - sum(
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
            str(rest),
            f'{latency["p50"]:.2f}',
            f'{latency["p99"]:.2f}',
        )
    console = Console(width=100)
    console.print(table)
    console.print(f'doubled keys: {doubled}   lost uploads: {lost}')


def added(through: Summary, direct: Summary) -> str:
    """Return what the path added to a direct call, p50 and p99."""
    first = through.total.as_json()['latency_ms']
    second = direct.total.as_json()['latency_ms']
    p50 = first['p50'] - second['p50']
    p99 = first['p99'] - second['p99']
    return f'added to a direct call: p50 {p50:.2f} ms, p99 {p99:.2f} ms'


def answered_share(summary: Summary) -> float:
    """Return the share of operations that were answered.

    Two attempts with one key are one operation: while the first runs, the
    second is told "in progress" at once.
    """
    total = summary.total
    if not summary.keys_answered:
        return total.classes[CallClass.ANSWERED] / max(1, total.sent)
    booked = summary.kinds[CallKind.BOOKING].sent / 2
    uploaded = summary.kinds[CallKind.UPLOAD].sent
    return len(set(summary.keys_answered)) / max(1, booked + uploaded)


def find_broken(
    summaries: dict[str, Summary], doubled: int, lost: int
) -> list[str]:
    """Return the promises that did not hold."""
    broken = []
    if doubled:
        broken.append(f'{doubled} keys ran more than once')
    if lost:
        broken.append(f'{lost} uploads were lost')
    for name, summary in summaries.items():
        classes = summary.total.classes
        if classes[CallClass.BROKEN]:
            broken.append(f'{name}: answers not whole or not their own')
        if classes[CallClass.NO_ANSWER]:
            broken.append(f'{name}: calls without any answer')
        if answered_share(summary) < LEAST_ANSWERED:
            broken.append(f'{name}: too few were answered')
    return broken


def main() -> int:
    began = time.monotonic()
    with temporary_fleet() as fleet:
        start_fleet(fleet)
        publish(fleet)
        fleet.wait_for_version(1, len(fleet.daemons))
        sys.stdout.write(
            f'{len(fleet.processes)} processes, document in force after '
            f'{time.monotonic() - began:.1f} s\n'
        )
        summaries = asyncio.run(send_load(fleet))
        doubled = count_doubled(fleet)
        lost = count_lost_uploads(fleet, summaries['uploads'])
        through = asyncio.run(send_through(fleet))
        direct = asyncio.run(send_direct(fleet))
    show(summaries, doubled, lost)
    sys.stdout.write(added(through, direct) + '\n')
    broken = find_broken(summaries, doubled, lost)
    for line in broken:
        sys.stdout.write(f'BROKEN PROMISE: {line}\n')
    if not broken:
        sys.stdout.write('every promise held\n')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
