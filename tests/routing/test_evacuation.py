"""Entries choose no target of an evacuated data centre.

Guards against calls that are sent there after the order, against targets that
are not used again after its end, and against callers that are not told why
nothing is left.
"""

from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from tests.routing.builders import build_record
from tests.routing.builders import build_rules
from tests.routing.builders import build_state
from tests.routing.builders import SERVICE


def chosen(state, now: float, count: int = 60) -> set[str]:
    choices = [state.choose(SERVICE, now) for _ in range(count)]
    return {choice.instance for choice in choices if choice is not None}


def test_targets_of_an_evacuated_data_centre_are_not_chosen():
    state = build_state(4)
    state.set_evacuated(frozenset({'near'}), 1.0)
    assert chosen(state, 1.0) == {'t1', 't3'}
    # Neither a new record nor a new document brings them back.
    state.note_member(build_record(0, incarnation=2), 2.0)
    state.set_rules(build_rules(2))
    assert chosen(state, 2.0) == {'t1', 't3'}


def test_targets_are_used_again_after_the_end_of_an_evacuation():
    state = build_state(4, slow_start_ms=2000)
    state.set_evacuated(frozenset({'near', 'far'}), 1.0)
    assert state.choose(SERVICE, 1.0) is None
    state.set_evacuated(frozenset(), 5.0)
    group = state.services[SERVICE].group
    shares = [group.ramp(c, 5.0) for c in group.candidates.values()]
    # Their load returns step by step.
    assert len(shares) == 4 and max(shares) < 0.5
    assert chosen(state, 9.0) == {'t0', 't1', 't2', 't3'}


def test_a_service_with_nothing_left_but_evacuated_targets_is_told_apart():
    state = build_state(2)
    assert not state.is_evacuated(SERVICE)
    state.set_evacuated(frozenset({'near', 'far'}), 1.0)
    assert state.is_evacuated(SERVICE)
    for number in range(2):
        state.note_member(build_record(number, state=MemberState.LEFT), 2.0)
    assert not state.is_evacuated(SERVICE)


def test_the_targets_beside_a_refusing_one_are_known():
    state = build_state(4)
    assert state.targets_beside(SERVICE, 't0') == {'t0', 't2'}
    assert state.targets_beside(SERVICE, 'nobody') == set()
