"""A gate whose target is gone refuses calls until it is back.

Guards against calls admitted for a target that has ended. Two of ten targets
of a service terminate for good while the others are overloaded, so entries try
every gate that is left. Each of the two gates got 14 calls a second, among
them uploads of 60 KB over links of 4.3 Mbit/s, and refused them when no
connection could be made: up to 0.8 s later, with an objective of 0.64 s.
"""

import pytest
from structlog.testing import capture_logs

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.health import HealthCheck
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.gate.builders import GateBench
from tests.gate.builders import NoTimer

UPLOAD = 60_000


@pytest.fixture
def bench():
    return GateBench(can_query=False)


def refuse_connection(bench: GateBench) -> None:
    """Simulate a refused connection to the target."""
    bench.gate.termination.note_connection_refused()


def codes(bench: GateBench) -> list[int]:
    return [message.code for message in bench.outcomes]


def test_calls_are_refused_at_once_while_the_target_is_absent(bench):
    """Guards against calls admitted for a target that is known to be gone."""
    refuse_connection(bench)
    bench.send_call(1)
    assert codes(bench) == [ResultCode.TARGET_UNREACHABLE]
    assert bench.target.requests == []


def test_no_body_is_requested_while_the_target_is_absent(bench):
    """Guards against uploads that cross slow links in vain."""
    refuse_connection(bench)
    bench.send_call(1, length=UPLOAD)
    assert bench.credits == []
    assert codes(bench) == [ResultCode.TARGET_UNREACHABLE]


def test_waiting_calls_are_refused_when_the_target_is_gone(bench):
    """Guards against callers that wait for slots of an absent target."""
    bench.gate.state.set_slots(1)
    bench.send_call(1, length=UPLOAD)
    bench.send_call(2)
    assert len(bench.gate.state.queue) == 1
    refuse_connection(bench)
    assert codes(bench) == [ResultCode.TARGET_UNREACHABLE] * 2
    assert bench.gate.is_idle()


def test_entries_are_notified_of_an_absent_target(bench):
    """Guards against entries that keep selecting the gate."""
    states = []
    bench.gate.state_hooks.append(lambda state: states.append(state))
    refuse_connection(bench)
    assert states == [TargetState.STARTING]
    assert bench.gate.figures().state == TargetState.STARTING


def test_earlier_answers_do_not_overrule_a_refused_connection(bench):
    """Guards against a target that counts as ready seconds after its end."""
    health = HealthCheck(bench.gate, None, None)
    health.timer = NoTimer()
    for _ in range(10):
        bench.gate.state.errors.note(False, 0.0)
    refuse_connection(bench)
    for _ in range(3):
        health.record_result(False)
    assert bench.gate.state.target_state == TargetState.STARTING
    bench.send_call(1)
    assert codes(bench) == [ResultCode.TARGET_UNREACHABLE]


@pytest.mark.parametrize(
    'appear',
    [
        lambda gate: gate.termination.note_connected(),
        lambda gate: gate.announce(Announcement('i-2', 'prices', 8)),
        lambda gate: gate.termination.note_alive(request_sent_at=1.0),
    ],
    ids=['takes connections', 'announces itself', 'answers its page'],
)
def test_calls_are_admitted_again_once_the_target_is_back(bench, appear):
    """Guards against a target that stays excluded after its return."""
    refuse_connection(bench)
    appear(bench.gate)
    assert bench.gate.state.target_state == TargetState.READY
    bench.send_call(1)
    assert len(bench.target.requests) == 1


def test_unidentified_target_is_not_reported_as_ready():
    """Guards against entries directed to a gate that admits no calls."""
    bench = GateBench(can_query=False)
    bench.gate.announcements.doubt()
    refuse_connection(bench)
    bench.gate.termination.note_connected()
    assert not bench.gate.presence.absent
    assert bench.gate.state.target_state == TargetState.STARTING


def test_delayed_announcement_does_not_bring_a_target_back(bench):
    """Guards against an announcement in flight when its sender ended."""
    refuse_connection(bench)
    bench.gate.announce(Announcement('i-1', 'prices', 8, sequence=9))
    bench.send_call(1)
    assert codes(bench) == [ResultCode.TARGET_UNREACHABLE]


def test_target_with_open_connections_is_not_absent(bench):
    """Guards against a busy target that refuses a single connection."""
    bench.target.connected = True
    refuse_connection(bench)
    bench.send_call(1)
    assert len(bench.target.requests) == 1


def test_departing_target_is_reported_as_draining(bench):
    """Guards against a drain that is undone by the target's end."""
    bench.gate.drain()
    refuse_connection(bench)
    assert bench.gate.state.target_state == TargetState.DRAINING
    bench.send_call(1)
    assert codes(bench) == [ResultCode.DRAINING]


def test_absence_and_return_are_logged_once_each(bench):
    """Guards against a change of presence that is not logged."""
    with capture_logs() as logs:
        refuse_connection(bench)
        refuse_connection(bench)
        bench.gate.termination.note_connected()
    events = [e['event'] for e in logs if e['event'].startswith('target_')]
    assert events == ['target_absent', 'target_present']
