"""Case 1: an order that a frozen daemon took comes into force too late.

An operator evacuates a zone, takes it back and evacuates it again. The order
to take it back was first sent to a daemon that stood still, and then to
another one. See claim.txt.
"""

import http.client
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
ZONES = ['zone-a', 'zone-b', 'zone-c']
ZONE = 'zone-b'
START = f'/v1/Evacuate.Start/{ZONE}'
FINISH = f'/v1/Evacuate.Finish/{ZONE}'
EVACUATE_SECONDS = 5.0
FREEZE_SECONDS = 3.5
WATCH_SECONDS = 12.0
SIDES = [
    rig.Side('front', 'zone-b'),
    rig.Side('shop', 'zone-b'),
    rig.Side('shop', 'zone-c'),
    rig.Side('front', 'zone-a'),
    *(rig.Side('front', f'zone-{"abc"[n % 3]}') for n in range(6)),
]
ENTRY, EVACUATED, OTHER, FROZEN = 0, 1, 2, 3


class Load(threading.Thread):
    """Clients of one machine: a request every 40 ms, each in a thread."""

    def __init__(self, entry):
        super().__init__(daemon=True)
        self.entry = entry
        self.over = False
        self.statuses: dict[int, int] = {}

    def run(self) -> None:
        while not self.over:
            threading.Thread(target=self.send, daemon=True).start()
            time.sleep(0.04)

    def send(self) -> None:
        outcome = client.request(self.entry, 'GET', '/shop/a', 1000)
        count = self.statuses.get(outcome.status, 0)
        self.statuses[outcome.status] = count + 1


def run(system: rig.Rig, out) -> int:
    system.start_all()
    routes = [rig.route('r-shop', '/shop/', 'idempotent', 'shop')]
    value = rig.configuration(1, ['front', 'shop'], routes)
    if system.order('/v1/Config.Replace', 0, value) != 200:
        raise rig.CouldNotRun('the first configuration was refused')
    system.wait_ready(range(len(SIDES)))
    load = Load(system.entry(ENTRY))
    load.start()
    time.sleep(5.0)
    if not runs_since(system, time.monotonic() - 2.0):
        raise rig.CouldNotRun(f'{ZONE} serves nothing before its evacuation')
    order(system, OTHER, START, out)
    time.sleep(EVACUATE_SECONDS + 1.0)
    early = runs_since(system, time.monotonic() - 1.0)
    out.write(f'{early} requests ran in {ZONE} in the second before\n')
    acknowledged = orders_around_freeze(system, out)
    time.sleep(WATCH_SECONDS)
    load.over = True
    time.sleep(1.2)
    out.write(f'answers to clients by status: {load.statuses}\n')
    return judge(system, acknowledged, out)


def orders_around_freeze(system: rig.Rig, out) -> float:
    """Take the zone back and evacuate it again; return the last ack."""
    name = f'daemon-{FROZEN}'
    if TROUBLE:
        system.send_signal(name, signal.SIGSTOP)
        out.write(f'{time.monotonic():.3f}: {name} stopped\n')
    began = time.monotonic()
    if order(system, FROZEN, FINISH, out) != 200:
        order(system, OTHER, FINISH, out)
    time.sleep(1.0)
    order(system, OTHER, START, out)
    acknowledged = time.monotonic()
    time.sleep(max(0.0, began + FREEZE_SECONDS - time.monotonic()))
    if TROUBLE:
        system.send_signal(name, signal.SIGCONT)
        out.write(f'{time.monotonic():.3f}: {name} continued\n')
    return acknowledged


def order(system: rig.Rig, number: int, path: str, out) -> int:
    """Send an order to one daemon, as an operator who waits for a second."""
    place = (system.hosts[number], system.ports[3])
    connection = http.client.HTTPConnection(*place, timeout=1.0)
    try:
        connection.request('POST', path)
        status = connection.getresponse().status
    except (OSError, http.client.HTTPException):
        status = 0
    finally:
        connection.close()
    out.write(
        f'{time.monotonic():.3f}: {path} sent to daemon-{number}: '
        f'{status or "no answer within a second"}\n'
    )
    return status


def runs_since(system: rig.Rig, since: float) -> int:
    """Return how many requests ran in the zone since a time."""
    events = system.events(EVACUATED)
    return sum(e['event'] == 'ran' and e['at'] > since for e in events)


def judge(system: rig.Rig, acknowledged: float, out) -> int:
    """Apply the rule to what the server in the zone has run."""
    late = runs_since(system, acknowledged + EVACUATE_SECONDS)
    out.write(
        f'{acknowledged:.3f}: the last order, an evacuation, was '
        f'acknowledged\n{late} requests ran in {ZONE} later than '
        f'{EVACUATE_SECONDS} s after it\n'
    )
    for host in (FROZEN, OTHER):
        for line in system.log(f'daemon-{host}').splitlines():
            if 'evacuations_in_force' in line or 'Evacuate' in line:
                out.write(f'daemon-{host} logged: {line}\n')
    out.write(f'rule broken: {late > 0}\n')
    return int(late > 0)


def main() -> int:
    system = rig.Rig(5, SIDES, ZONES)
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
