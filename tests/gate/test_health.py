"""Health pages that report the wrong state, either way."""

from cyclamenlift.gate.health import HealthCheck
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.tasks import Gate
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.gate.builders import NoTimer
from tests.runtime.builders import null_scheduler
from tests.runtime.builders import platform_like_dialect


def checked() -> tuple[Gate, HealthCheck]:
    gate = Gate(null_scheduler(), None, 'prices', 6, platform_like_dialect())
    gate.registration.announce(Announcement('i-1', 'prices', 6), 0.0)
    gate.set_target_state(TargetState.READY)
    health = HealthCheck(gate, None, None)
    health.timer = NoTimer()
    return gate, health


def judge(health: HealthCheck, good: bool, times: int) -> None:
    for _ in range(times):
        health.record_result(good)


def test_successful_answers_overrule_a_failing_page():
    gate, health = checked()
    for _ in range(10):
        gate.state.errors.note(False, 0.0)
    judge(health, False, 5)
    assert gate.state.target_state == TargetState.READY


def test_failing_page_counts_without_answers():
    gate, health = checked()
    judge(health, False, 2)
    assert gate.state.target_state == TargetState.UNHEALTHY


def test_failing_page_counts_if_calls_fail_too():
    gate, health = checked()
    for _ in range(10):
        gate.state.errors.note(True, 0.0)
    judge(health, False, 2)
    assert gate.state.target_state == TargetState.UNHEALTHY


class Period:
    """Settings that define only the polling period."""

    health_seconds = 0.08


def aged(gate: Gate, health: HealthCheck, age: float) -> HealthCheck:
    """Make the newest load figure of the target ``age`` seconds old."""
    health.settings = Period()
    gate.reports.note_answer([('x-load', '0,0,6,100')], 0.0)
    gate.state.performance.pace.reported_at -= age
    health.request_sent_at = gate.now()
    return health


def test_idle_target_is_polled_less_often():
    """The gate queries the pace before each long call, so polls are rarer."""
    gate, health = checked()
    assert aged(gate, health, 0.4).is_load_recent()
    assert not aged(gate, health, 0.5).is_load_recent()


def test_target_is_polled_often_while_calls_are_held():
    gate, health = checked()
    aged(gate, health, 0.1)
    gate.state.queue['held'] = None
    assert not health.is_load_recent()
