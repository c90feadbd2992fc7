"""A gate whose target is gone takes no calls until somebody is there again.

The load: two of ten targets of a service end for good while the others get
more than they can do, so entries ask every gate that is left. Each of the
two gates took 14 calls a second, among them uploads of 60 KB over links of
4.3 Mbit/s, and sent them back when no connection could be had: up to 0.8 s
later, for an objective of 0.64 s.
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
    return GateBench(can_ask=False)


def leave(bench: GateBench) -> None:
    """Let a connection to the target be refused."""
    bench.gate.ends.note_connection_refused()


def codes(bench: GateBench) -> list[int]:
    return [told.code for told in bench.told]


def test_calls_are_refused_at_once_while_nobody_listens(bench):
    """Guards against calls let in to a target that is known to be gone."""
    leave(bench)
    bench.call(1)
    assert codes(bench) == [ResultCode.TARGET_UNREACHABLE]
    assert bench.target.requests == []


def test_no_body_is_asked_for_while_nobody_listens(bench):
    """Guards against uploads that cross slow links to no target."""
    leave(bench)
    bench.call(1, length=UPLOAD)
    assert bench.credits == []
    assert codes(bench) == [ResultCode.TARGET_UNREACHABLE]


def test_calls_that_wait_are_sent_back_when_the_target_goes(bench):
    """Guards against callers that wait for slots of nobody."""
    bench.gate.state.set_slots(1)
    bench.call(1, length=UPLOAD)
    bench.call(2)
    assert len(bench.gate.state.queue) == 1
    leave(bench)
    assert codes(bench) == [ResultCode.TARGET_UNREACHABLE] * 2
    assert bench.gate.is_idle()


def test_entries_hear_that_nobody_is_there(bench):
    """Guards against a gate that stays in the choice of entries."""
    states = []
    bench.gate.state_hooks.append(lambda state: states.append(state))
    leave(bench)
    assert states == [TargetState.STARTING]
    assert bench.gate.figures().state == TargetState.STARTING


def test_good_answers_of_before_do_not_overrule_a_refused_page(bench):
    """Guards against a target that counts as ready seconds after its end."""
    health = HealthCheck(bench.gate, None, None)
    health.timer = NoTimer()
    for _ in range(10):
        bench.gate.state.errors.note(False, 0.0)
    leave(bench)
    for _ in range(3):
        health.record_result(False)
    assert bench.gate.state.target_state == TargetState.STARTING
    bench.call(1)
    assert codes(bench) == [ResultCode.TARGET_UNREACHABLE]


@pytest.mark.parametrize(
    'appear',
    [
        lambda gate: gate.ends.note_connected(),
        lambda gate: gate.announce(Announcement('i-2', 'prices', 8)),
        lambda gate: gate.ends.note_alive(asked_at=1.0),
    ],
    ids=['takes connections', 'announces itself', 'answers its page'],
)
def test_calls_are_let_in_again_once_somebody_is_there(bench, appear):
    """Guards against a target that stays out after it is back."""
    leave(bench)
    appear(bench.gate)
    assert bench.gate.state.target_state == TargetState.READY
    bench.call(1)
    assert len(bench.target.requests) == 1


def test_a_target_that_nobody_has_heard_of_is_not_told_as_ready():
    """Guards against entries that are sent to a gate which lets nobody in."""
    bench = GateBench(can_ask=False)
    bench.gate.announcements.doubt()
    leave(bench)
    bench.gate.ends.note_connected()
    assert not bench.gate.presence.absent
    assert bench.gate.state.target_state == TargetState.STARTING


def test_a_late_word_of_the_one_that_went_does_not_bring_it_back(bench):
    """Guards against a check-in that was under way when its sender ended."""
    leave(bench)
    bench.gate.announce(Announcement('i-1', 'prices', 8, sequence=9))
    bench.call(1)
    assert codes(bench) == [ResultCode.TARGET_UNREACHABLE]


def test_a_target_with_open_connections_is_not_taken_for_one_that_went(bench):
    """Guards against a target that is full and turns one connection away."""
    bench.target.connected = True
    leave(bench)
    bench.call(1)
    assert len(bench.target.requests) == 1


def test_a_target_that_leaves_is_told_as_leaving(bench):
    """Guards against a drain that is taken back by the end of its target."""
    bench.gate.drain()
    leave(bench)
    assert bench.gate.state.target_state == TargetState.DRAINING
    bench.call(1)
    assert codes(bench) == [ResultCode.DRAINING]


def test_one_line_tells_that_the_target_went_and_one_that_it_is_there(bench):
    """Guards against a belief that changes without a line."""
    with capture_logs() as logs:
        leave(bench)
        leave(bench)
        bench.gate.ends.note_connected()
    events = [e['event'] for e in logs if e['event'].startswith('target_')]
    assert events == ['target_absent', 'target_present']
