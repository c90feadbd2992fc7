"""Preference for targets of the own data centre if equally good.

The scenario is a hundred targets in five data centres at a fifth of their
capacity, and an entry with recent figures of few of them. Each call to another
data centre costs about two kilobytes in both directions; without the
preference four calls in five left the data centre.
"""

import pytest

from cyclamenlift.routing.messages import CallProfile
from tests.routing.builders import build_record
from tests.routing.builders import build_state
from tests.routing.builders import SERVICE
from tests.runtime.builders import build_pace

TARGETS = 100
NEED = CallProfile('look-up', 0.660, 1.3)


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


def test_recent_figures_of_far_targets_do_not_attract_calls(state):
    for number in range(TARGETS):
        if number % 5:
            state.note_load(SERVICE, f't{number}', build_pace(100), 100.0)
    assert near_share(state, 100.1) == 1.0


def test_calls_go_far_when_the_near_targets_are_full(state):
    for name in near_names():
        full = build_pace(100, in_flight=8, slots=8)
        state.note_load(SERVICE, name, full, 100.0)
    assert near_share(state, 100.1) == 0.0


def test_calls_go_far_when_the_near_targets_are_slow(state):
    for name in near_names():
        state.note_load(SERVICE, name, build_pace(700), 100.0)
    assert near_share(state, 100.1) == 0.0


def test_all_near_targets_are_chosen(state):
    chosen = {
        state.choose(SERVICE, 100.0, frozenset(), NEED).instance
        for _ in range(600)
    }
    assert chosen == set(near_names())
