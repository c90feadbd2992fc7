"""A gate and requests that may terminate its target."""

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.http.target import FailureKind
from cyclamenlift.http.target import TargetFailure
from cyclamenlift.quarantine import QuarantineStatus
from cyclamenlift.quarantine import Report
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import Cancel
from tests.gate.builders import GateBench
from tests.quarantine.builders import name

BAD, OTHER = name('bad'), name('other')
CLOSED = TargetFailure(True, 'closed', FailureKind.CLOSED)


@pytest.fixture
def bench():
    return GateBench(can_query=False)


def accuse(bench: GateBench, *times: float) -> None:
    """Report that targets ended at ``times`` while running ``BAD``."""
    for at in times:
        report = Report(f'r{at}', 'prices', (BAD,), at, (at - 0.1,))
        bench.gate.quarantine.accept(report, 0)


def codes(bench: GateBench) -> list[int]:
    return [message.code for message in bench.outcomes]


def test_a_quarantined_request_is_refused_with_the_time_that_is_left(bench):
    accuse(bench, -2.0, -1.0)
    bench.send_call(1, fingerprint=BAD)
    bench.send_call(2, fingerprint=OTHER)
    assert codes(bench) == [ResultCode.REQUEST_QUARANTINED]
    assert bench.outcomes[0].retry_after_ms == 29_000
    assert len(bench.target.requests) == 1


def test_a_suspect_runs_once_at_a_time(bench):
    accuse(bench, -1.0)
    bench.send_call(1, fingerprint=BAD)
    bench.send_call(2, fingerprint=BAD)
    assert len(bench.target.requests) == 1
    assert codes(bench) == [ResultCode.REQUEST_QUARANTINED]


def test_after_a_quarantine_one_trial_is_let_through(bench):
    accuse(bench, -60.0, -59.0)
    bench.send_call(1, fingerprint=BAD)
    assert len(bench.target.requests) == 1
    first = next(iter(bench.gate.calls.values()))
    bench.gate.release(first, None, False)
    bench.send_call(2, fingerprint=BAD)
    assert len(bench.target.requests) == 1
    assert codes(bench) == [ResultCode.REQUEST_QUARANTINED]


def test_a_trial_with_a_body_is_let_through_once_it_is_gathered(bench):
    accuse(bench, -60.0, -59.0)
    bench.send_call(1, fingerprint=BAD, length=3)
    bench.gate.on_body_chunk(bench.gate_end, BodyChunk(1, b'abc', True))
    assert len(bench.target.requests) == 1
    assert codes(bench) == []


def test_queued_call_is_checked_again_before_it_begins(bench):
    bench.gate.state.queue_limit = 1
    while len(bench.gate.state.running) < bench.gate.state.concurrency_limit:
        bench.send_call(len(bench.gate.state.running), fingerprint=OTHER)
    begun = len(bench.target.requests)
    bench.send_call(99, fingerprint=BAD)
    assert len(bench.gate.state.queue) == 1
    accuse(bench, -2.0, -1.0)
    first = next(iter(bench.gate.calls.values()))
    bench.gate.release(first, 0.1, False)
    assert len(bench.target.requests) == begun
    assert codes(bench) == [ResultCode.REQUEST_QUARANTINED]
    assert len(bench.gate.state.running) == begun - 1


def test_starting_gate_admits_nothing_before_it_has_synchronized(bench):
    quarantine = bench.gate.quarantine
    quarantine.sync_deadline = 1.0
    quarantine.is_missing_reports = True
    bench.send_call(1, fingerprint=OTHER)
    assert codes(bench) == [ResultCode.NO_TARGET]
    quarantine.synced = True
    bench.send_call(2, fingerprint=OTHER)
    assert len(bench.target.requests) == 1


def test_starting_gate_admits_calls_if_no_peer_knows_more(bench):
    """Regression: a single target was out of use for up to a second."""
    bench.gate.quarantine.sync_deadline = 1.0
    bench.send_call(1, fingerprint=OTHER)
    assert len(bench.target.requests) == 1
    assert codes(bench) == []


def test_broken_call_reports_what_ran_at_the_termination(bench):
    bench.send_call(1, fingerprint=BAD)
    bench.send_call(2, fingerprint=OTHER)
    for listener in list(bench.target.listeners):
        listener.on_failure(CLOSED)
    assert bench.outcomes == []
    assert not bench.gate.is_idle()
    bench.gate.termination.note_connection_refused()
    assert codes(bench) == [ResultCode.TARGET_ENDED] * 2
    assert bench.outcomes[0].end.fingerprints == [BAD, OTHER]
    assert bench.outcomes[1].end is None
    assert bench.gate.is_idle()


def test_broken_call_is_reported_soon_without_a_termination(bench):
    bench.send_call(1, fingerprint=BAD)
    bench.target.listeners[0].on_failure(CLOSED)
    bench.gate.termination.note_alive(request_sent_at=bench.gate.now())
    assert codes(bench) == [ResultCode.TARGET_BROKE_OFF]
    assert bench.outcomes[0].end is None


def test_call_cancelled_just_before_the_termination_counts(bench):
    bench.send_call(1, fingerprint=BAD)
    bench.gate.on_cancel(bench.gate_end, Cancel(1))
    bench.gate.termination.note_connection_refused()
    assessment = bench.gate.quarantine.assess('prices', BAD)
    assert assessment.status is QuarantineStatus.SUSPECT


def test_old_broken_calls_are_forgotten(bench):
    bench.gate.now = lambda: 0.0
    bench.send_call(1, fingerprint=BAD)
    bench.target.listeners[0].on_failure(CLOSED)
    bench.gate.now = lambda: 100.0
    bench.send_call(2, fingerprint=OTHER)
    bench.target.listeners[1].on_failure(CLOSED)
    assert [b.fingerprint for b in bench.gate.termination.broken] == [OTHER]
