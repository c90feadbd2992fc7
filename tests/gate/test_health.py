"""Health pages that mislead, either way."""

from cyclamenlift.gate.health import HealthCheck
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.tasks import Gate
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.runtime.builders import platform_like_dialect
from tests.runtime.builders import quiet_scheduler


class Timer:
    """A timer that runs nothing."""

    def cancel(self) -> None:
        """Cancel nothing."""


def checked() -> tuple[Gate, HealthCheck]:
    gate = Gate(quiet_scheduler(), None, 'prices', 6, platform_like_dialect())
    gate.registration.announce(Announcement('i-1', 'prices', 6), 0.0)
    gate.set_target_state(TargetState.READY)
    health = HealthCheck(gate, None, None)
    health.timer = Timer()
    return gate, health


def judge(health: HealthCheck, good: bool, times: int) -> None:
    for _ in range(times):
        health.judge(good)


def test_a_target_that_answers_well_is_no_worse_for_its_page():
    gate, health = checked()
    for _ in range(10):
        gate.state.errors.note(False, 0.0)
    judge(health, False, 5)
    assert gate.state.target_state == TargetState.READY


def test_a_page_counts_where_nothing_else_is_known():
    gate, health = checked()
    judge(health, False, 2)
    assert gate.state.target_state == TargetState.UNHEALTHY


def test_a_page_counts_where_calls_fail_too():
    gate, health = checked()
    for _ in range(10):
        gate.state.errors.note(True, 0.0)
    judge(health, False, 2)
    assert gate.state.target_state == TargetState.UNHEALTHY
