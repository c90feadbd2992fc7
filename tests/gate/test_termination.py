"""An end of the target, and a connection that merely broke."""

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
    return GateBench(can_ask=False)


def ended(logs) -> list[list[str]]:
    return [e['fingerprints'] for e in logs if e['event'] == 'target_ended']


def run(bench: GateBench, *names: bytes) -> None:
    for number, name in enumerate(names):
        bench.call(number, fingerprint=name)


def break_off(bench: GateBench, kind=CLOSED) -> None:
    for listener in bench.target.listeners:
        listener.on_failure(kind)


def test_all_that_ran_when_nobody_listens_any_more_is_told(bench):
    run(bench, b'a', b'b')
    with capture_logs() as logs:
        break_off(bench)
        assert bench.target.looks == 1
        bench.gate.ends.note_connection_refused()
        bench.gate.ends.note_connection_refused()
    assert ended(logs) == [[b'a'.hex(), b'b'.hex()]]


def test_another_incarnation_shows_the_end_of_the_one_before(bench):
    run(bench, b'a')
    with capture_logs() as logs:
        break_off(bench)
        bench.gate.announce(Announcement('i-2', 'prices', 8))
    assert ended(logs) == [[b'a'.hex()]]
    assert [e['incarnation'] for e in logs if 'ran' in e] == ['i-1']


def test_a_connection_that_broke_while_others_are_answered_says_nothing(
    bench,
):
    run(bench, b'a')
    with capture_logs() as logs:
        break_off(bench)
        bench.gate.ends.note_answer(begun_at=1.0)
        bench.gate.ends.note_connection_refused()
    assert ended(logs) == []


def test_a_target_that_said_that_it_leaves_says_nothing(bench):
    run(bench, b'a')
    bench.gate.target_leaves('i-1')
    with capture_logs() as logs:
        break_off(bench)
        bench.gate.ends.note_connection_refused()
    assert ended(logs) == []


def test_a_call_that_was_too_slow_or_spoilt_is_not_one_that_broke(bench):
    run(bench, b'a')
    with capture_logs() as logs:
        break_off(bench, TargetFailure(True, 'spoilt', FailureKind.OTHER))
        bench.gate.ends.note_connection_refused()
    assert ended(logs) == []


def test_a_target_that_only_takes_connections_is_not_believed_to_run(bench):
    """Guards against a first end that others know only after a retry."""
    run(bench, b'a')
    break_off(bench)
    before = bench.asked
    bench.gate.ends.note_connected()
    assert bench.asked == before + 1
    assert not bench.told
    bench.gate.ends.note_connection_refused()
    assert [told.code for told in bench.told] == [ResultCode.TARGET_ENDED]


def test_a_page_that_was_asked_before_the_break_shows_nothing(bench):
    """Guards against an answer from before the end that counts after it."""
    run(bench, b'a')
    break_off(bench)
    bench.gate.ends.note_alive(asked_at=-0.1)
    assert not bench.told
    bench.gate.ends.note_alive(asked_at=0.1)
    assert [told.code for told in bench.told] == [ResultCode.TARGET_BROKE_OFF]
