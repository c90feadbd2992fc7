"""Case 2: large answers that pass through a daemon that freezes.

Thirty clients on one machine of ten fetch large files of a service with two
servers on other machines. While the answers are on their way, one of those machines
freezes. See claim.txt.
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
DOWNLOADS = 30
TIMEOUT_MS = 1500
DEADLINE_MS = 2976
FREEZE_AFTER = 0.3
FREEZE_SECONDS = 3.5
ANSWER = ('--answer-bytes', '540000', '--answer-seconds', '0.7')
SIDES = [
    rig.Side('front', 'zone-a'),
    rig.Side('maps', 'zone-b', (*ANSWER, '--slots', '18')),
    rig.Side('maps', 'zone-c', (*ANSWER, '--slots', '18')),
    *(rig.Side('front', f'zone-{"abc"[n % 3]}') for n in range(7)),
]
ENTRY, FROZEN = 0, 1


def run(system: rig.Rig, out) -> int:
    system.start_all()
    routes = [rig.route('r-maps', '/maps/', 'download', 'maps', TIMEOUT_MS)]
    value = rig.configuration(1, ['front', 'maps'], routes)
    if system.order('/v1/Config.Replace', 0, value) != 200:
        raise rig.CouldNotRun('the first configuration was refused')
    system.wait_ready(range(len(SIDES)))
    warm_up(system, out)
    time.sleep(5.0)
    jobs = [lambda n=n: fetch(system, n) for n in range(DOWNLOADS)]
    began = time.monotonic()
    trouble = threading.Thread(target=freeze, args=(system, began, out))
    if TROUBLE:
        trouble.start()
    outcomes = client.all_at_once(jobs)
    if TROUBLE:
        trouble.join()
    return judge(system, outcomes, out)


def fetch(system: rig.Rig, number: int) -> client.Outcome:
    path = f'/maps/area-{number}'
    return client.request(system.entry(ENTRY), 'GET', path, DEADLINE_MS)


def warm_up(system: rig.Rig, out) -> None:
    """Fetch one file after the other until ten came whole in a row."""
    good = 0
    deadline = time.monotonic() + 30
    while good < 10:
        outcome = fetch(system, 1000 + good)
        good = good + 1 if outcome.whole and outcome.status == 200 else 0
        if time.monotonic() > deadline:
            raise rig.CouldNotRun(f'not served: {outcome.line()}')
    out.write('warm: ten files in a row came whole\n')


def freeze(system: rig.Rig, began: float, out) -> None:
    """Freeze daemon and server of one machine, and wake them again."""
    time.sleep(max(0.0, began + FREEZE_AFTER - time.monotonic()))
    names = (f'daemon-{FROZEN}', f'server-{FROZEN}')
    for name in names:
        system.send_signal(name, signal.SIGSTOP)
    out.write(f'{time.monotonic() - began:.3f} s: {names} stopped\n')
    time.sleep(FREEZE_SECONDS)
    for name in names:
        system.send_signal(name, signal.SIGCONT)
    out.write(f'{time.monotonic() - began:.3f} s: {names} continued\n')


def judge(system: rig.Rig, outcomes, out) -> int:
    """Apply the rule to what the clients saw."""
    timeout = TIMEOUT_MS / 1000
    for outcome in sorted(outcomes, key=lambda o: o.path):
        out.write(outcome.line() + '\n')
    for number in (1, 2):
        ids = {o.call_id for o in outcomes}
        ran = [e for e in system.events(number) if e['event'] == 'ran']
        mine = sum(e['id'] in ids for e in ran)
        out.write(f'server {number} ran {mine} of the requests\n')
    lasting = [o for o in outcomes if o.ended is None or o.ended > timeout]
    late = [o for o in lasting if o.ended is None or o.ended > timeout + 0.5]
    out.write(
        f'{len(outcomes)} requests, {len(lasting)} not ended at the timeout '
        f'of the route, {len(late)} of them without a final answer half a '
        f'second later\n'
    )
    broken = len(late) >= 8 and len(late) * 4 > len(lasting)
    out.write(f'rule broken: {broken}\n')
    return int(broken)


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
