"""Urgent changes reach all members with few bytes between data centres.

Each of two dozen members in five data centres forwards a drain as soon as it
learns of it. When members were chosen regardless of their data centre, four
packets in five went to another one.
"""

import pytest

from cyclamenlift.membership.state import FORWARD_FANOUT
from cyclamenlift.membership.state import REMOTE_PUSHES
from tests.membership.builders import record
from tests.membership.builders import state

PLACES = 5
MEMBERS = 24


def member(places: int = PLACES):
    """Return a member of the first data centre that knows all others."""
    one = state(others='')
    own = one.settings.data_centre
    for number in range(1, MEMBERS):
        place = own if number % places == 0 else f'far-{number % places}'
        known = record(f'm{number}', data_centre=place)
        one.store(known, 0.0, spread=False)
    return one


def are_nearby(one, sample) -> list[bool]:
    """Return for each sampled member whether it is in the same data centre."""
    return [r.data_centre == one.settings.data_centre for r in sample]


def test_all_but_one_are_in_the_same_data_centre():
    one = member()
    for _ in range(50):
        near = are_nearby(one, one.sample_nearby(FORWARD_FANOUT))
        assert len(near) == FORWARD_FANOUT
        assert near.count(False) == REMOTE_PUSHES


@pytest.mark.parametrize('count', [4, 8])
def test_remote_members_fill_up_when_few_are_nearby(count):
    one = member(places=MEMBERS)
    assert len(one.sample_nearby(count)) == count


def test_all_nearby_members_are_eligible():
    one = member(places=1)
    assert are_nearby(one, one.sample_nearby(4)) == [True] * 4


def test_no_member_is_sampled_twice():
    one = member()
    names = [r.instance for r in one.sample_nearby(12)]
    assert len(set(names)) == len(names)
