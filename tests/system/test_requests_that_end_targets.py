"""Requests that crash every target that runs them are quarantined.

Guards against one look-up that is sent again and again, to any daemon, and
crashes a target each time: 19 and 22 targets crashed in this way, and up to
all look-ups of the service were refused for seconds. Each daemon forwarded
the request as soon as a target was back, and retried a broken attempt on the
next target. A crash looked like any other broken connection and nothing
recorded which request was running, so repeated crashes could not be traced to
one request. The logs of the gates name the same request at each crash; that
request and steady look-ups are enough to reproduce the failure here.
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
from tests.system.crashing_targets import Callers
from tests.system.crashing_targets import CRASH_PATH
from tests.system.crashing_targets import CrashingTargets

TARGETS = 5
LOAD_SECONDS = 12.0
# Allowed: three more crashes later than 3 s after the third one.
CRASHES_TO_DETECT = 3
GRACE_SECONDS = 3.0
MAX_LATER_CRASHES = 3
# At the end of the load, the seconds in which all targets should be back.
RECOVERED_SECONDS = 4.0
MIN_SUCCESS_SHARE = 0.95


@pytest.fixture
def fleet():
    with temporary_fleet() as made:
        yield made


def lift_as_operator(fleet) -> None:
    """Find the request in one daemon's list and lift its quarantine."""
    admins = [daemon.admin for daemon in fleet.daemons]
    (row,) = quarantined_requests(fleet, admins[0])
    assert row['standing'] == 'quarantined'
    lift = f'--lift={row["fingerprint"]}'
    done = fleet.command('quarantine', f'--addresses={admins[0]}', lift)
    assert done.returncode == 0, done.stderr
    wait_until(
        lambda: (
            not any(quarantined_requests(fleet, admin) for admin in admins)
        ),
        WAIT_SECONDS,
        'no daemon quarantines the request',
    )


def quarantined_requests(fleet, admin: str) -> list[dict]:
    """Return the quarantined requests that a daemon lists for operators."""
    done = fleet.command('quarantine', f'--addresses={admin}', '--json=true')
    assert done.returncode == 0, done.stderr
    found = json.loads(done.stdout)['requests']
    return [row for row in found if row['standing'] == 'quarantined']


def test_a_request_that_crashes_targets_is_quarantined(fleet):
    fleet.start_controls(1)
    targets = CrashingTargets(fleet, TARGETS)
    publish(fleet, document(deadline_ms=1200), 0, 'c1')
    entries = [daemon.entry for daemon in fleet.daemons]
    targets.supervise()
    look_ups = Callers(entries, '/prices/{}', 0.02)
    harmful = Callers(entries, f'{CRASH_PATH}?page=1', 0.3)
    threads = [
        look_ups.start_in_thread(LOAD_SECONDS),
        harmful.start_in_thread(LOAD_SECONDS),
    ]
    for thread in threads:
        thread.join()
    load_ended_at = time.monotonic()
    look_ups.join()
    targets.stop()
    lift_as_operator(fleet)
    crash_times = targets.crash_times()
    assert len(crash_times) >= 1
    if len(crash_times) >= CRASHES_TO_DETECT:
        detected_by = crash_times[CRASHES_TO_DETECT - 1] + GRACE_SECONDS
        assert sum(at > detected_by for at in crash_times) <= MAX_LATER_CRASHES
    assert (
        look_ups.success_share_since(load_ended_at - RECOVERED_SECONDS)
        >= MIN_SUCCESS_SHARE
    )


def test_targets_that_are_killed_together_quarantine_no_request(fleet):
    """Each of them is running the same popular look-up, both times."""
    fleet.start_controls(1)
    targets = CrashingTargets(fleet, TARGETS)
    publish(fleet, document(deadline_ms=1200), 0, 'c1')
    entries = [daemon.entry for daemon in fleet.daemons]
    targets.supervise()
    look_ups = Callers(entries, '/prices/hot', 0.01)
    thread = look_ups.start_in_thread(8.0)
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
    assert look_ups.success_share_since(0.0) >= MIN_SUCCESS_SHARE


def test_a_fleet_that_has_just_started_serves_at_once(fleet):
    """No crash is known yet, so no gate waits for reports of one."""
    fleet.start_controls(1)
    publish(fleet, document(), 0, 'c1')
    target = fleet.start_target('prices-0', SERVICE, 4, service_ms=5)
    for name, local_target in (('prices-0', target), ('entry', None)):
        fleet.start_daemon(
            name,
            'dc-0',
            local_target,
            health_path='/health',
            gossip_seconds=FAST_GOSSIP,
        )
    fleet.wait_for_version(1, 2)
    entry = fleet.daemons[-1].entry
    assert {call(entry)[0] for _ in range(12)} == {200}
