"""Health pages that mislead, either way."""

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


class Period:
    """Settings of which only the period counts."""

    health_seconds = 0.08


def aged(gate: Gate, health: HealthCheck, age: float) -> HealthCheck:
    """Let the newest figure of the target's load be ``age`` seconds old."""
    health.settings = Period()
    gate.note_answer_head([('x-load', '0,0,6,100')])
    gate.state.learning.pace.told_at -= age
    health.asked_at = gate.now()
    return health


def test_a_quiet_target_is_asked_for_its_load_less_often():
    """The gate asks before each long call, so all else is only news."""
    gate, health = checked()
    assert aged(gate, health, 0.4).heard_lately()
    assert not aged(gate, health, 0.5).heard_lately()


def test_held_calls_hear_of_the_end_of_a_spell_soon():
    gate, health = checked()
    aged(gate, health, 0.1)
    gate.state.queue['held'] = None
    assert not health.heard_lately()
