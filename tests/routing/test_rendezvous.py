"""Rendezvous hashing of suspect requests.

A request that may end targets arrives at many entries at once. Without
communicating, all of them should choose the same target.
"""

import pytest

from cyclamenlift.routing.messages import DEFAULT_PROFILE
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.routing.builders import build_record
from tests.routing.builders import build_state
from tests.routing.builders import SERVICE

NOBODY = frozenset()


def home(state, request: bytes, exclude=NOBODY) -> str:
    found = state.choose_by_hash(
        SERVICE, 1.0, exclude, DEFAULT_PROFILE, request
    )
    return found.instance if found else ''


@pytest.mark.parametrize('request_name', [b'a', b'b', b'c'])
def test_all_entries_choose_the_same_target(request_name):
    entries = [build_state(8, seed) for seed in range(5)]
    assert len({home(entry, request_name) for entry in entries}) == 1


def test_requests_have_different_targets():
    state = build_state(8)
    assert len({home(state, bytes([n])) for n in range(40)}) == 8


def test_only_requests_of_a_lost_target_move():
    state = build_state(8)
    before = {n: home(state, bytes([n])) for n in range(40)}
    gone = before[0]
    number = int(gone[1:])
    record = build_record(number, target_state=TargetState.UNHEALTHY)
    state.note_member(record, 1.0)
    after = {n: home(state, bytes([n])) for n in range(40)}
    moved = {n for n in before if before[n] != after[n]}
    assert moved == {n for n in before if before[n] == gone}


def test_excluded_targets_are_skipped_until_none_is_left():
    state = build_state(2)
    first = home(state, b'a')
    second = home(state, b'a', frozenset((first,)))
    assert {first, second} == {'t0', 't1'}
    assert home(state, b'a', frozenset((first, second))) == ''
