"""A request that ends every target that runs it.

Seen: one look-up came again and again, at any daemon; 19 and 22 targets
ended under it, and up to all look-ups of that service were refused for
seconds. How: each daemon sent it on as soon as a target was back, and one
attempt that broke off was tried again at the next target. Cause: an end of a
target was a broken connection like any other; nothing remembered what it was
running, so nothing could tell that it was the same request each time. Proof:
the gates' lines of one series name the same request at each end, and with
nothing but that request and steady look-ups it comes about here.
"""

import json
import time

import pytest

from cyclamenlift.standins.fleet import temporary_fleet
from cyclamenlift.standins.fleet import wait_until
from tests.system.builders import call
from tests.system.builders import document
from tests.system.builders import FAST_GOSSIP
from tests.system.builders import publish
from tests.system.builders import SERVICE
from tests.system.builders import WAIT_SECONDS
from tests.system.ending import Callers
from tests.system.ending import END_PATH
from tests.system.ending import EndingTargets

TARGETS = 5
SECONDS = 12.0
# What is allowed: three more arrivals later than 3 s after the third end.
ENDS_THAT_TELL = 3
GRACE_SECONDS = 3.0
MOST_LATER = 3
# The time at the end in which all targets should be back.
LAST_SECONDS = 4.0
SERVED_SHARE = 0.95


@pytest.fixture
def fleet():
    with temporary_fleet() as made:
        yield made


def operator_lifts(fleet) -> None:
    """See the request in the list of one daemon and lift it for all."""
    admins = [daemon.admin for daemon in fleet.daemons]
    (row,) = listed(fleet, admins[0])
    assert row['standing'] == 'quarantined'
    lift = f'--lift={row["fingerprint"]}'
    done = fleet.command('quarantine', f'--addresses={admins[0]}', lift)
    assert done.returncode == 0, done.stderr
    wait_until(
        lambda: not any(listed(fleet, admin) for admin in admins),
        WAIT_SECONDS,
        'all know that it was lifted',
    )


def listed(fleet, admin: str) -> list[dict]:
    """Return the list that operators see of one daemon."""
    done = fleet.command('quarantine', f'--addresses={admin}', '--json=true')
    assert done.returncode == 0, done.stderr
    found = json.loads(done.stdout)['requests']
    return [row for row in found if row['standing'] == 'quarantined']


def test_a_request_that_ends_targets_is_soon_sent_to_none(fleet):
    fleet.start_controls(1)
    targets = EndingTargets(fleet, TARGETS)
    publish(fleet, document(deadline_ms=1200), 0, 'c1')
    entries = [daemon.entry for daemon in fleet.daemons]
    targets.watch()
    look_ups = Callers(entries, '/prices/{}', 0.02)
    harmful = Callers(entries, f'{END_PATH}?page=1', 0.3)
    threads = [look_ups.begin(SECONDS), harmful.begin(SECONDS)]
    for thread in threads:
        thread.join()
    ended_at = time.monotonic()
    look_ups.join()
    targets.stop()
    operator_lifts(fleet)
    ends = targets.ends()
    assert len(ends) >= 1
    if len(ends) >= ENDS_THAT_TELL:
        known_at = ends[ENDS_THAT_TELL - 1] + GRACE_SECONDS
        assert sum(at > known_at for at in ends) <= MOST_LATER
    assert look_ups.served_since(ended_at - LAST_SECONDS) >= SERVED_SHARE


def test_targets_that_are_killed_together_convict_nobody(fleet):
    """A hot look-up is in flight at each of them, time and again."""
    fleet.start_controls(1)
    targets = EndingTargets(fleet, TARGETS)
    publish(fleet, document(deadline_ms=1200), 0, 'c1')
    entries = [daemon.entry for daemon in fleet.daemons]
    targets.watch()
    look_ups = Callers(entries, '/prices/hot', 0.01)
    thread = look_ups.begin(8.0)
    for _ in range(2):
        time.sleep(1.0)
        for target in targets.handles[:3]:
            target.running.kill()
        time.sleep(2.5)
    thread.join()
    look_ups.join()
    targets.stop()
    logs = [daemon.running.log.read_text() for daemon in fleet.daemons]
    assert not any('request_quarantined' in text for text in logs)
    assert look_ups.served_since(0.0) >= SERVED_SHARE


def test_a_fleet_that_has_just_started_serves_at_once(fleet):
    """Nobody knows of any end, so no gate waits to hear of one."""
    fleet.start_controls(1)
    publish(fleet, document(), 0, 'c1')
    target = fleet.start_target('prices-0', SERVICE, 4, service_ms=5)
    for name, beside in (('prices-0', target), ('entry', None)):
        fleet.start_daemon(
            name,
            'dc-0',
            beside,
            health_path='/health',
            gossip_seconds=FAST_GOSSIP,
        )
    fleet.wait_for_version(1, 2)
    entry = fleet.daemons[-1].entry
    assert {call(entry)[0] for _ in range(12)} == {200}
