"""One run of a soak: a fleet, callers, faults, then the promises."""

import collections
import json
import random
import time

from cyclamenlift.standins.fleet import Fleet
from cyclamenlift.standins.fleet import temporary_fleet
from soak.callers import Caller
from soak.callers import SERVICE
from soak.faults import FaultSeries
from soak.promises import HOT
from soak.promises import RECOVERY_SECONDS
from soak.promises import STEADY
from soak.promises import TAKEN
from soak.records import Limit
from soak.records import Record

TARGETS = 4
LIMIT = Limit(calls_per_second=15.0, burst_calls=15.0, slack_calls=20.0)
# Seconds between two calls of a caller, by account: the hot one asks for
# several times its limit.
GAPS = {HOT: 0.05, STEADY: 0.2, TAKEN: 0.3}
CALLERS_EACH = 2
CALM_SECONDS = 5.0


def document(accounts: dict[str, str]) -> dict:
    """Return a document with these accounts, by name with their keys."""
    limited = {
        'calls_per_second': LIMIT.calls_per_second,
        'burst_calls': LIMIT.burst_calls,
    }
    return {
        'event': 'soak',
        'starts_at': '2026-01-01T00:00:00Z',
        'ends_at': '2036-01-01T00:00:00Z',
        'services': [
            {
                'name': SERVICE,
                'deadline_ms': 2000,
                'operations': [{'method': 'POST', 'path': '/*'}],
            }
        ],
        'accounts': [
            {
                'name': name,
                'keys': [key] if key else [],
                **(limited if name == HOT else {}),
            }
            for name, key in accounts.items()
        ],
    }


def start_fleet(fleet: Fleet) -> None:
    """Start three control instances and daemons in two data centres."""
    fleet.start_controls(3)
    for number in range(TARGETS):
        name = f'prices-{number}'
        target = fleet.start_target(
            name, SERVICE, 8, service_ms=5, seed=number + 1
        )
        fleet.start_daemon(
            name,
            f'dc-{number % 2}',
            target,
            health_path='/health',
            gossip_seconds=0.2,
            account_slack_calls=LIMIT.slack_calls,
        )


def publish(fleet: Fleet, value: dict, base: int) -> float | None:
    """Publish a document; return when it was acknowledged, if it was."""
    path = fleet.folder / f'document-{base}.json'
    path.write_text(json.dumps(value))
    for _ in range(20):
        done = fleet.command(
            'event',
            'publish',
            str(path),
            f'--base={base}',
            f'--change_id=change-{base}',
            f'--console={fleet.consoles()}',
        )
        if done.returncode == 0:
            return time.monotonic()
        time.sleep(0.5)
    return None


def play(seed: int, seconds: float) -> Record:
    """Run a soak of faults for so long and return what was seen."""
    rng = random.Random(seed)
    record = Record(limit=LIMIT)
    keys = {HOT: 'key-hot', STEADY: 'key-steady', TAKEN: 'key-taken'}
    with temporary_fleet() as fleet:
        start_fleet(fleet)
        publish(fleet, document(keys), 0)
        fleet.wait_for_version(1, TARGETS)
        callers = start_callers(fleet, keys, record, rng)
        series = FaultSeries(fleet, rng, record.faults)
        series.run(seconds / 2.0)
        record.taken_at = publish(fleet, document({**keys, TAKEN: ''}), 1)
        series.run(seconds / 2.0)
        record.calm_at = time.monotonic()
        time.sleep(RECOVERY_SECONDS + CALM_SECONDS)
        for caller in callers:
            caller.stop()
        record.runs = count_runs(fleet)
    return record


def count_runs(fleet: Fleet) -> dict[str, int]:
    """Return how often all targets together ran each booking."""
    runs: collections.Counter[str] = collections.Counter()
    for target in fleet.targets:
        runs.update(target.counters()['runs_by_key'])
    return dict(runs)


def start_callers(fleet, keys, record, rng) -> list[Caller]:
    """Start callers of each account at each entry."""
    callers = [
        Caller(
            f'{account}-{index}-{number}',
            daemon.entry,
            account,
            key,
            GAPS[account],
            record,
            random.Random(rng.getrandbits(32)),
        )
        for index, daemon in enumerate(fleet.daemons)
        for account, key in keys.items()
        for number in range(CALLERS_EACH)
    ]
    for caller in callers:
        caller.thread.start()
    return callers
