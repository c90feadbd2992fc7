"""Choice of targets while machines have slowdowns.

In the scenario each target is seven times slower for half a second, a quarter
of the time, with few calls relative to its slots.
"""

import pytest

from cyclamenlift.routing.messages import CallProfile
from cyclamenlift.wire.gen.protocol.ttypes import LoadFigures
from tests.routing.builders import build_state
from tests.routing.builders import SERVICE
from tests.routing.builders import without_distance

NEED = CallProfile('look-up', 0.160, 1.0)
UPLOAD = CallProfile('upload', 0.190, 64.0)


def pace(percent: int) -> LoadFigures:
    return LoadFigures(in_flight=1, queued=0, slots=18, pace_percent=percent)


@pytest.fixture
def state():
    state = build_state(policy='expected_finish')
    for number in range(4):
        state.note_load(SERVICE, f't{number}', pace(100), 1.0)
    return state


def chosen(
    state, now: float, profile: CallProfile, draws: int = 60
) -> set[str]:
    found = (
        state.choose(SERVICE, now, frozenset(), profile) for _ in range(draws)
    )
    return {choice.instance for choice in found}


def test_a_target_in_a_slowdown_gets_no_call(state):
    state.note_load(SERVICE, 't0', pace(700), 1.0)
    assert 't0' not in chosen(state, 1.01, NEED)


def test_an_old_report_of_a_slowdown_expires(state):
    state.note_load(SERVICE, 't0', pace(700), 1.0)
    for number in range(4):
        state.note_load(SERVICE, f't{number}', pace(100), 2.0)
    assert 't0' in chosen(state, 2.01, NEED, 200)


def test_when_all_are_slow_all_are_used(state):
    without_distance(state)
    for number in range(4):
        state.note_load(SERVICE, f't{number}', pace(700), 1.0)
    assert len(chosen(state, 1.01, NEED, 200)) == 4


def test_a_large_body_stays_in_its_data_centre(state):
    near = {
        name
        for name, candidate in state.services[SERVICE].group.candidates.items()
        if state.services[SERVICE].group.is_near(candidate)
    }
    assert near
    assert chosen(state, 1.01, UPLOAD) <= near


def test_the_choice_states_the_pace_it_assumes(state):
    choice = state.choose(SERVICE, 1.01, frozenset(), NEED)
    assert choice.pace_percent == 100
    assert choice.seconds == pytest.approx(0.160, rel=0.2)


# The following tests send bodies of 60 KB on links that take 0.11 s for each,
# with several to one instance at a time.
SLOW_LINK = CallProfile('upload', 0.190, 1.0, body_seconds=0.11)


def waits(seconds: float) -> LoadFigures:
    figures = pace(100)
    figures.body_wait_ms = int(seconds * 1000)
    return figures


def test_a_body_goes_where_the_fewest_bodies_are_queued(state):
    for number in range(3):
        state.note_load(SERVICE, f't{number}', waits(0.3), 1.0)
    assert chosen(state, 1.01, SLOW_LINK) == {'t3'}
    # The queued bodies have arrived since.
    assert len(chosen(state, 1.35, SLOW_LINK, 200)) > 1
    # A call without a body does not wait behind them.
    assert len(chosen(state, 1.01, NEED, 200)) > 1


def test_a_body_stays_at_the_own_instance_if_it_is_as_good(state):
    group = state.services[SERVICE].group
    group.instance = 't1'
    assert chosen(state, 1.01, SLOW_LINK) == {'t1'}


def test_an_unknown_link_rate_adds_no_cost(state):
    assert state.profile('upload', 60_000).body_seconds == 0.0
    state.link_rate = 537_500.0
    assert state.profile('upload', 60_000).body_seconds == pytest.approx(
        0.11, 0.02
    )
