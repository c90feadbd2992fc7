"""Guarantees of the load balancer while real processes fail.

All counts come from the stand-in targets or the caller.
"""

import hashlib
import signal
import time

import pytest

from cyclamenlift.core.codes import is_not_run
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.standins.fleet import temporary_fleet
from cyclamenlift.standins.fleet import wait_until
from tests.system.builders import call
from tests.system.builders import document
from tests.system.builders import entry_of
from tests.system.builders import in_background
from tests.system.builders import make_fleet
from tests.system.builders import publish
from tests.system.builders import runs_of
from tests.system.builders import SlowUpload
from tests.system.builders import WAIT_SECONDS

BODY = bytes(range(256)) * 8192
BODY_SHA256 = hashlib.sha256(BODY).hexdigest().encode()


@pytest.fixture
def fleet():
    with temporary_fleet() as made:
        yield made


def test_graceful_shutdown_completes_uploads(fleet):
    """An entry and a gate shut down while an upload passes through them."""
    make_fleet(fleet, 2, path_ms='/uploads=1500')
    publish(fleet, document(), 0, 'c1')
    entry = entry_of(fleet)
    upload = SlowUpload(entry.entry, BODY, 'up-1')
    wait_until(
        lambda: entry.status()['kept_body_bytes'] > 0,
        WAIT_SECONDS,
        'the upload has begun',
    )
    entry.running.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    response = in_background(upload.finish)
    running_upload = wait_until(
        lambda: [d for d in fleet.daemons[:2] if d.status()['in_flight'] > 0],
        WAIT_SECONDS,
        'a target runs the upload',
    )
    running_upload[0].running.send_signal(signal.SIGTERM)
    answer = response()
    assert answer.startswith(b'HTTP/1.1 200')
    assert BODY_SHA256 in answer
    assert entry.running.process.wait(WAIT_SECONDS) == 0
    assert running_upload[0].running.process.wait(WAIT_SECONDS) == 0
    assert runs_of(fleet, 'up-1') == 1


def test_drained_target_receives_no_new_calls(fleet):
    make_fleet(fleet, 2)
    publish(fleet, document(), 0, 'c1')
    entry, leaving = entry_of(fleet), fleet.daemons[0]
    assert {call(entry.entry)[0] for _ in range(20)} == {200}
    done = fleet.command('drain', f'--addresses={leaving.admin}')
    assert done.returncode == 0
    before = fleet.targets[0].counters()['runs']
    assert {call(entry.entry)[0] for _ in range(40)} == {200}
    assert {call(leaving.entry)[0] for _ in range(10)} == {200}
    assert fleet.targets[0].counters()['runs'] == before
    assert leaving.status()['state'] == 'draining'


def test_booking_runs_once_when_its_entry_is_killed(fleet):
    make_fleet(fleet, 2, path_ms='/bookings=800')
    publish(fleet, document(), 0, 'c1')
    entry, other = entry_of(fleet), fleet.daemons[0]
    first = in_background(call, entry.entry, 'POST', '/bookings', b'{}', 'k1')
    wait_until(
        lambda: runs_of(fleet, 'k1') == 1, WAIT_SECONDS, 'the booking runs'
    )
    entry.running.kill()
    first()
    for _ in range(5):
        _, code, _ = call(other.entry, 'POST', '/bookings', b'{}', 'k1')
        assert code in (
            ResultCode.CLAIM_IN_PROGRESS,
            ResultCode.CLAIM_UNKNOWN,
        )
    assert runs_of(fleet, 'k1') == 1


def test_second_attempt_gets_the_recorded_answer(fleet):
    make_fleet(fleet, 2)
    publish(fleet, document(), 0, 'c1')
    entry, other = entry_of(fleet), fleet.daemons[0]
    first = call(entry.entry, 'POST', '/bookings', b'{}', 'k1')
    assert first[1] == ResultCode.ANSWERED

    def recorded():
        second = call(other.entry, 'POST', '/bookings', b'{}', 'k1')
        return second if second[0] == 200 else None

    second = wait_until(recorded, WAIT_SECONDS, 'the answer is recorded')
    assert second[1] == ResultCode.ANSWERED_FROM_RECORD
    assert second[2] == first[2]
    reused = call(other.entry, 'POST', '/bookings', b'{"other": 1}', 'k1')
    assert reused[1] == ResultCode.KEY_REUSED
    assert runs_of(fleet, 'k1') == 1


def test_without_a_majority_bookings_are_not_run_and_look_ups_go_on(fleet):
    make_fleet(fleet, 2)
    publish(fleet, document(), 0, 'c1')
    entry = entry_of(fleet).entry
    for control in fleet.controls[:2]:
        control.running.kill()
    assert call(entry)[0] == 200
    status, code, _ = call(entry, 'POST', '/bookings', b'{}', 'k1')
    assert (status, code) == (503, ResultCode.NO_MAJORITY)
    assert is_not_run(code)
    assert runs_of(fleet, 'k1') == 0
    for control in fleet.controls[:2]:
        fleet.restart(control)

    def booked():
        return call(entry, 'POST', '/bookings', b'{}', 'k2')[0] == 200

    wait_until(booked, WAIT_SECONDS, 'a majority grants claims again')
    assert runs_of(fleet, 'k2') == 1


def test_restarted_daemon_applies_the_current_version(fleet):
    make_fleet(fleet, 2)
    publish(fleet, document(), 0, 'c1')
    victim = fleet.daemons[0]
    victim.running.kill()
    for number in range(1, 6):
        value = document(deadline_ms=1000 + number)
        publish(fleet, value, number, f'c{number + 1}')
    fleet.restart(victim)
    fleet.wait_for_version(6, len(fleet.daemons))
    wait_until(lambda: victim.status()['confirmed'], WAIT_SECONDS, 'confirmed')
    assert call(victim.entry)[0] == 200


def test_killed_target_fails_no_look_up(fleet):
    make_fleet(fleet, 3)
    publish(fleet, document(), 0, 'c1')
    entry = entry_of(fleet).entry
    codes = []
    for number in range(150):
        if number == 50:
            fleet.targets[0].running.kill()
        if number == 100:
            fleet.daemons[1].running.kill()
        codes.append(call(entry)[0])
    assert set(codes) == {200}


def test_probes_stay_within_their_budget_during_a_burst(fleet):
    """The counts come from gates and targets; all entries send at once."""
    budget = 4.0
    make_fleet(fleet, 3)
    publish(fleet, document(probe_budget_per_second=budget), 0, 'c1')
    gates = fleet.daemons[:3]
    began = time.monotonic()
    before = [d.status()['probes_answered'] for d in gates]
    asked = [t.counters()['health_requests'] for t in fleet.targets]
    pending = [
        in_background(
            lambda entry=d.entry: [call(entry)[0] for _ in range(150)]
        )
        for d in fleet.daemons
    ]
    assert all(set(statuses()) == {200} for statuses in pending)
    # ``probes_answered`` of a gate includes its health requests.
    after = [d.status()['probes_answered'] for d in gates]
    health = [t.counters()['health_requests'] for t in fleet.targets]
    allowed = budget * (time.monotonic() - began + 1.0)
    for number in range(len(gates)):
        spent = after[number] - before[number]
        assert spent <= allowed
        assert health[number] - asked[number] <= spent + 1


@pytest.mark.parametrize('victim', ['daemon', 'target'])
def test_frozen_process_fails_no_look_up(fleet, victim):
    """A frozen process keeps its connections; only timeouts reveal it."""
    make_fleet(fleet, 3)
    publish(fleet, document(), 0, 'c1')
    entry = entry_of(fleet).entry
    assert {call(entry)[0] for _ in range(60)} == {200}
    handles = {'daemon': fleet.daemons[0], 'target': fleet.targets[0]}
    handles[victim].running.send_signal(signal.SIGSTOP)
    try:
        found = [call(entry)[:2] for _ in range(60)]
        log = entry_of(fleet).running.log.read_text()
        assert set(found) == {(200, ResultCode.ANSWERED)}, log
    finally:
        handles[victim].running.send_signal(signal.SIGCONT)
