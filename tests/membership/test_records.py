"""Precedence and validation of member records."""

import pytest

from cyclamenlift.membership.records import is_valid_record
from cyclamenlift.membership.records import MAX_INCARNATION
from cyclamenlift.membership.records import supersedes
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from tests.membership.builders import record

ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
DEAD = MemberState.DEAD
LEFT = MemberState.LEFT


@pytest.mark.parametrize(
    'new, known, expected',
    [
        ((5, ALIVE), None, True),
        ((5, ALIVE), (5, ALIVE), False),
        ((5, SUSPECT), (5, ALIVE), True),
        ((5, ALIVE), (5, SUSPECT), False),
        ((6, ALIVE), (5, SUSPECT), True),
        ((5, DEAD), (5, SUSPECT), True),
        ((5, SUSPECT), (5, DEAD), False),
        ((6, SUSPECT), (5, DEAD), True),
        ((6, ALIVE), (5, DEAD), True),
        ((5, LEFT), (5, DEAD), True),
        ((5, DEAD), (5, LEFT), False),
        ((6, ALIVE), (5, LEFT), True),
        ((4, LEFT), (5, ALIVE), False),
        ((4, DEAD), (5, ALIVE), False),
    ],
)
def test_incarnation_takes_precedence_over_state(new, known, expected):
    old = known and record(incarnation=known[0], state=known[1])
    fresh = record(incarnation=new[0], state=new[1])
    assert supersedes(fresh, old) is expected


@pytest.mark.parametrize(
    'field, value',
    [
        ('instance', ''),
        ('instance', None),
        ('instance', 'x' * 65),
        ('incarnation', None),
        ('incarnation', -1),
        ('incarnation', MAX_INCARNATION + 1),
        ('state', None),
        ('state', 77),
        ('gossip_address', ''),
        ('gossip_address', 'no address'),
        ('gossip_address', '10.0.0.1:0'),
        ('gossip_address', '10.0.0.1:99999'),
        ('peer_address', None),
        ('target_state', 9),
        ('slots', -1),
        ('config_version', 2**60),
        ('target_name', None),
    ],
)
def test_an_invalid_record_is_detected(field, value):
    assert is_valid_record(record())
    assert not is_valid_record(record(**{field: value}))
