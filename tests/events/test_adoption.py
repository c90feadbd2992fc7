"""Which document a daemon puts in force."""

import pytest
from returns.result import Failure

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.events.adoption import Adoption
from tests.events.builders import offer

BROKEN = b'{"event": 1}'
# Each step: an offer; then the version in force and whether it is confirmed.
CASES = {
    'a starting daemon takes no single word': [
        (offer(5, 'p'), 0, False),
        (offer(7, 'q'), 0, False),
    ],
    'a majority read starts it': [
        (offer(5, 'p'), 0, False),
        (offer(6, 'c', majority=True), 6, True),
    ],
    'an empty store that a majority confirms starts it, too': [
        (offer(0, 'c', majority=True, data=b''), 0, True),
        (offer(1, 'p'), 1, True),
    ],
    'a running daemon moves forward by any word': [
        (offer(3, 'c', majority=True), 3, True),
        (offer(4, 'p'), 4, True),
        (offer(9, 'q'), 9, True),
    ],
    'and never back': [
        (offer(3, 'c', majority=True), 3, True),
        (offer(2, 'c', majority=True), 3, True),
        (offer(2, 'p'), 3, True),
    ],
    'a version without its bytes is no document': [
        (offer(3, 'c', majority=True), 3, True),
        (offer(4, 'p', data=b''), 3, True),
    ],
}


@pytest.mark.parametrize('steps', CASES.values(), ids=CASES)
def test_adoption(steps):
    adoption = Adoption()
    for given, version, confirmed in steps:
        adoption.consider(given)
        found = (adoption.version, adoption.confirmed)
        assert found == (version, confirmed)


@pytest.mark.parametrize('majority', [False, True])
def test_a_document_that_does_not_parse_leaves_the_old_one(majority):
    adoption = Adoption()
    adoption.consider(offer(3, 'c', majority=True))
    rules = adoption.rules
    result = adoption.consider(offer(4, 'p', majority=majority, data=BROKEN))
    assert isinstance(result, Failure)
    assert result.failure().code == ResultCode.DOCUMENT_INVALID
    assert adoption.version == 3
    assert adoption.rules is rules


@pytest.mark.parametrize(
    'offers, version',
    [
        ([offer(5, 'p')], 0),
        ([offer(5, 'p'), offer(6, 'p')], 0),
        ([offer(5, 'p'), offer(0, 'q', data=b'')], 0),
        ([offer(5, 'p'), offer(6, 'q'), offer(4, 'r')], 6),
        ([offer(5, 'p'), offer(6, 'q', data=b'')], 0),
        ([offer(5, 'p'), offer(6, 'q', data=b''), offer(6, 'q')], 6),
    ],
)
def test_falling_back_needs_several_and_takes_the_highest(offers, version):
    adoption = Adoption()
    for given in offers:
        adoption.consider(given)
    adoption.fall_back()
    assert adoption.version == version
    assert not adoption.confirmed


def test_a_fallback_is_confirmed_later():
    adoption = Adoption()
    for given in (offer(5, 'p'), offer(6, 'q')):
        adoption.consider(given)
    adoption.fall_back()
    adoption.consider(offer(6, 'c', majority=True, data=b''))
    assert adoption.confirmed
