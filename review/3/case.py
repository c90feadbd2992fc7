"""Case 3: servers that restart under their ids get no work ever again.

The two servers of a service are restarted as planned, one after the other:
each reports that it drains, serves on, exits, and starts again under the id
that it had. See claim.txt.
"""

import os
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True

from common import client
from common import rig

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SETTLE_SECONDS = 10.0
WATCH_SECONDS = 30.0
SIDES = [
    rig.Side('prices', 'zone-b'),
    rig.Side('prices', 'zone-c'),
    rig.Side('shop', 'zone-b', ('--work', '0.35', '--slots', '8')),
    rig.Side('shop', 'zone-c', ('--work', '0.35', '--slots', '8')),
]
ENTRIES, RESTARTED = (0, 1), (2, 3)
# A request in three is for the service with the two servers.
PATHS = ('/shop/a', '/prices/a', '/prices/b')


class Load(threading.Thread):
    """Clients of two machines: a request every 15 ms, each in a thread."""

    def __init__(self, entries):
        super().__init__(daemon=True)
        self.entries = entries
        self.over = False
        self.outcomes: list[client.Outcome] = []

    def run(self) -> None:
        number = 0
        while not self.over:
            path = PATHS[number % len(PATHS)]
            entry = self.entries[number // len(PATHS) % len(self.entries)]
            number += 1
            threading.Thread(
                target=self.send, args=(entry, path), daemon=True
            ).start()
            time.sleep(0.015)

    def send(self, entry, path: str) -> None:
        outcome = client.request(entry, 'GET', path, 1000)
        self.outcomes.append(outcome)


def run(system: rig.Rig, out) -> int:
    system.start_all()
    configure(system)
    load = Load([system.entry(number) for number in ENTRIES])
    load.start()
    time.sleep(5.0)
    for number in RESTARTED:
        restart(system, number, out)
        time.sleep(3.0)
    out.write(f'{time.monotonic():.3f}: both servers are up again\n')
    time.sleep(SETTLE_SECONDS)
    watched_from = time.monotonic()
    out.write(f'{watched_from:.3f}: looked at from here on\n')
    time.sleep(WATCH_SECONDS)
    load.over = True
    time.sleep(1.2)
    return judge(system, load, watched_from, out)


def configure(system: rig.Rig) -> None:
    """Send the first configuration, then add a route."""
    first = [rig.route('r-prices', '/prices/', 'idempotent', 'prices')]
    later = [rig.route('r-shop', '/shop/', 'idempotent', 'shop')]
    value = rig.configuration(1, ['prices', 'shop'], first)
    if system.order('/v1/Config.Replace', 0, value) != 200:
        raise rig.CouldNotRun('the first configuration was refused')
    system.wait_ready(range(len(SIDES)))
    hosts = [{'host': 'shop.example', 'path_rules': later}]
    change = {'version': 2, 'upsert': {'virtual_hosts': hosts}}
    if system.order('/v1/Config.Patch', 1, change) != 200:
        raise rig.CouldNotRun('the added route was refused')
    time.sleep(3.0)


def restart(system: rig.Rig, number: int, out) -> None:
    """Restart a server as planned, and wait until it is acknowledged."""
    name = f'server-{number}'
    system.send_signal(name, signal.SIGUSR1)
    system.processes[name].wait(timeout=15)
    out.write(f'{time.monotonic():.3f}: {name} has drained and ended\n')
    time.sleep(0.5)
    began = time.monotonic()
    new_id = f'i-{number}' if TROUBLE else f'i-{number}-next'
    system.start_server(number, new_id)
    out.write(f'{began:.3f}: {name} started as {new_id}\n')
    while not acknowledged_since(system, number, began):
        if time.monotonic() > began + 10.0:
            raise rig.CouldNotRun(f'{name} is not acknowledged')
        time.sleep(0.1)


def acknowledged_since(system: rig.Rig, number: int, since: float) -> bool:
    return any(
        e['event'] == 'told' and e['status'] == 200 and e['at'] > since
        for e in system.events(number)
    )


def judge(system: rig.Rig, load: Load, watched_from: float, out) -> int:
    """Apply the rule to what the clients saw in steady state."""
    shares = {}
    for kind in ('shop', 'prices'):
        mine = [o for o in load.outcomes if o.path.startswith(f'/{kind}')]
        before = [o for o in mine if o.sent_at <= watched_from]
        late = [o for o in mine if o.sent_at > watched_from]
        out.write(
            f'{kind}: answers by status: before {by_status(before)}, '
            f'from then on {by_status(late)}\n'
        )
        served = sum(o.status == 200 for o in late)
        shares[kind] = served / max(1, len(late))
        if len(late) < 20:
            raise rig.CouldNotRun(f'only {len(late)} requests for {kind}')
    for number in RESTARTED:
        events = system.events(number)
        told = [e for e in events if e['event'] == 'told']
        ran = [e for e in events if e['event'] == 'ran']
        late = [e for e in ran if e['at'] > watched_from]
        out.write(
            f'server {number}: {len(late)} requests from then on; its last '
            f'check-in: {told[-1]}\n'
        )
        log = system.log(f'daemon-{number}').splitlines()
        for line in [x for x in log if '"target_' in x][:8]:
            out.write(f'daemon-{number} logged: {line}\n')
    broken = shares['shop'] < shares['prices'] / 4
    out.write(
        f'served from then on: {shares["shop"]:.3f} of the requests on the '
        f'added route, {shares["prices"]:.3f} of those on the first one\n'
        f'rule broken: {broken}\n'
    )
    return int(broken)


def by_status(outcomes: list[client.Outcome]) -> dict[int, int]:
    counts: dict[int, int] = {}
    for outcome in outcomes:
        counts[outcome.status] = counts.get(outcome.status, 0) + 1
    return counts


def main() -> int:
    system = rig.Rig(5, SIDES, ['zone-a', 'zone-b', 'zone-c'])
    with (HERE / 'record.txt').open('w', buffering=1) as out:
        out.write(f'trouble: {TROUBLE}\n')
        try:
            return run(system, out)
        except rig.CouldNotRun as error:
            out.write(f'could not run: {error}\n')
            return 2
        finally:
            system.close()


if __name__ == '__main__':
    sys.exit(main())
