"""Distinguishing a target's termination from a broken connection."""

import pytest
from structlog.testing import capture_logs

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.http.target import FailureKind
from cyclamenlift.http.target import TargetFailure
from tests.gate.builders import GateBench

CLOSED = TargetFailure(True, 'closed', FailureKind.CLOSED)


@pytest.fixture
def bench():
    return GateBench(can_query=False)


def ended(logs) -> list[list[str]]:
    return [e['fingerprints'] for e in logs if e['event'] == 'target_ended']


def run(bench: GateBench, *names: bytes) -> None:
    for number, name in enumerate(names):
        bench.send_call(number, fingerprint=name)


def disconnect(bench: GateBench, kind=CLOSED) -> None:
    for listener in bench.target.listeners:
        listener.on_failure(kind)


def test_refused_connection_reports_all_running_requests(bench):
    run(bench, b'a', b'b')
    with capture_logs() as logs:
        disconnect(bench)
        assert bench.target.looks == 1
        bench.gate.termination.note_connection_refused()
        bench.gate.termination.note_connection_refused()
    assert ended(logs) == [[b'a'.hex(), b'b'.hex()]]


def test_new_incarnation_reports_the_end_of_the_previous_one(bench):
    run(bench, b'a')
    with capture_logs() as logs:
        disconnect(bench)
        bench.gate.announce(Announcement('i-2', 'prices', 8))
    assert ended(logs) == [[b'a'.hex()]]
    assert [e['incarnation'] for e in logs if 'ran' in e] == ['i-1']


def test_broken_connection_is_no_termination_while_others_are_answered(
    bench,
):
    run(bench, b'a')
    with capture_logs() as logs:
        disconnect(bench)
        bench.gate.termination.note_answer(begun_at=1.0)
        bench.gate.termination.note_connection_refused()
    assert ended(logs) == []


def test_departure_is_no_unexpected_termination(bench):
    run(bench, b'a')
    bench.gate.target_leaves('i-1')
    with capture_logs() as logs:
        disconnect(bench)
        bench.gate.termination.note_connection_refused()
    assert ended(logs) == []


def test_timeout_or_corrupt_answer_is_no_termination(bench):
    run(bench, b'a')
    with capture_logs() as logs:
        disconnect(bench, TargetFailure(True, 'spoilt', FailureKind.OTHER))
        bench.gate.termination.note_connection_refused()
    assert ended(logs) == []


def test_accepted_connection_does_not_prove_that_a_target_runs(bench):
    """Guards against a termination that is reported only after a retry."""
    run(bench, b'a')
    disconnect(bench)
    before = bench.queries
    bench.gate.termination.note_connected()
    assert bench.queries == before + 1
    assert not bench.outcomes
    bench.gate.termination.note_connection_refused()
    assert [message.code for message in bench.outcomes] == [
        ResultCode.TARGET_ENDED
    ]


def test_health_request_from_before_the_break_proves_nothing(bench):
    """Guards against counting an answer to a request sent before the break."""
    run(bench, b'a')
    disconnect(bench)
    bench.gate.termination.note_alive(request_sent_at=-0.1)
    assert not bench.outcomes
    bench.gate.termination.note_alive(request_sent_at=0.1)
    assert [message.code for message in bench.outcomes] == [
        ResultCode.TARGET_BROKE_OFF
    ]
