"""Targets of the own data centre first, as long as they are as good.

The load: a hundred targets in five data centres, used to a fifth, and an
entry that heard of few of them lately. Each call to another data centre
costs about two kilobytes there and back; with targets chosen whatever their
place, four calls in five went far.
"""

import pytest

from cyclamenlift.routing.messages import Need
from tests.routing.builders import build_record
from tests.routing.builders import build_state
from tests.routing.builders import SERVICE
from tests.runtime.builders import build_pace

TARGETS = 100
NEED = Need('look-up', 0.660, 1.3)


@pytest.fixture
def state():
    """An entry whose data centre has every fifth target."""
    state = build_state(0, policy='expected_finish')
    for number in range(TARGETS):
        place = 'near' if number % 5 == 0 else f'far-{number % 5}'
        state.note_member(build_record(number, data_centre=place), 0.0)
    return state


def near_share(state, now: float, draws: int = 300) -> float:
    group = state.services[SERVICE].group
    found = 0
    for _ in range(draws):
        choice = state.choose(SERVICE, now, frozenset(), NEED)
        found += group.is_near(group.candidates[choice.instance])
    return found / draws


def near_names() -> list[str]:
    return [f't{number}' for number in range(0, TARGETS, 5)]


def test_calls_stay_near_while_targets_there_are_as_good(state):
    assert near_share(state, 100.0) == 1.0


def test_a_known_far_target_is_no_reason_to_leave(state):
    for number in range(TARGETS):
        if number % 5:
            state.note_load(SERVICE, f't{number}', build_pace(100), 100.0)
    assert near_share(state, 100.1) == 1.0


def test_calls_leave_when_the_near_targets_are_full(state):
    for name in near_names():
        full = build_pace(100, in_flight=8, slots=8)
        state.note_load(SERVICE, name, full, 100.0)
    assert near_share(state, 100.1) == 0.0


def test_calls_leave_when_the_near_targets_are_slow(state):
    for name in near_names():
        state.note_load(SERVICE, name, build_pace(700), 100.0)
    assert near_share(state, 100.1) == 0.0


def test_all_near_targets_take_part(state):
    chosen = {
        state.choose(SERVICE, 100.0, frozenset(), NEED).instance
        for _ in range(600)
    }
    assert chosen == set(near_names())
