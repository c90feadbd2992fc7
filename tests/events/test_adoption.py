"""Which document version a daemon adopts."""

import pytest
from returns.result import Failure
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.events.adoption import Adoption
from cyclamenlift.events.adoption import Offer
from cyclamenlift.events.history import DocumentHistory
from cyclamenlift.models.lines import lines_from_canonical
from tests.events.builders import document
from tests.events.builders import offer

BROKEN = b'{"event": 1}'
# Each step: an offer, then the expected version and confirmation.
CASES = {
    'a starting daemon trusts no single source': [
        (offer(5, 'p'), 0, False),
        (offer(7, 'q'), 0, False),
    ],
    'a majority read lets it start': [
        (offer(5, 'p'), 0, False),
        (offer(6, 'c', majority=True), 6, True),
    ],
    'a majority-confirmed empty store lets it start, too': [
        (offer(0, 'c', majority=True, data=b''), 0, True),
        (offer(1, 'p'), 1, True),
    ],
    'a running daemon adopts newer versions from any source': [
        (offer(3, 'c', majority=True), 3, True),
        (offer(4, 'p'), 4, True),
        (offer(9, 'q'), 9, True),
    ],
    'a running daemon never adopts an older version': [
        (offer(3, 'c', majority=True), 3, True),
        (offer(2, 'c', majority=True), 3, True),
        (offer(2, 'p'), 3, True),
    ],
    'a majority-confirmed version may come from any source': [
        (offer(5, 'c', majority=True, data=b''), 0, False),
        (offer(4, 'p'), 0, False),
        (offer(5, 'p'), 5, True),
    ],
    'so may a later one, since all offers are committed': [
        (offer(5, 'c', majority=True, data=b''), 0, False),
        (offer(6, 'p'), 6, True),
    ],
    'a version without its document is not adopted': [
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


def history_of(*versions) -> DocumentHistory:
    history = DocumentHistory()
    for version in versions:
        lines = lines_from_canonical(document(f'v{version}'))
        history.put(version, lines)
    return history


def changes_offer(history, known) -> Offer:
    changes = tuple(history.since(known))
    return Offer('p', history.version, changes=changes)


def test_changes_lead_from_the_current_version_to_the_newest():
    adoption = Adoption()
    adoption.consider(offer(3, 'c', majority=True))
    sender = history_of(2, 3, 5, 9)
    assert adoption.consider(changes_offer(sender, 3)) == Success(True)
    assert (adoption.version, adoption.rules.event) == (9, 'v9')
    # Its own history in turn serves daemons that are further behind.
    assert [c.version for c in adoption.history.since(3)] == [5, 9]


def test_changes_that_start_earlier_are_applied_from_the_current_version():
    adoption = Adoption()
    adoption.consider(offer(5, 'c', majority=True))
    sender = history_of(3, 5, 9)
    assert adoption.consider(changes_offer(sender, 3)) == Success(True)
    assert adoption.rules.event == 'v9'


def test_changes_of_an_unknown_base_version_are_ignored():
    adoption = Adoption()
    adoption.consider(offer(3, 'c', majority=True))
    sender = history_of(4, 5)
    assert adoption.consider(changes_offer(sender, 4)) == Success(False)
    assert (adoption.version, adoption.rules.event) == (3, 'v3')


def test_a_truncated_change_is_rejected_completely():
    adoption = Adoption()
    adoption.consider(offer(3, 'c', majority=True, data=document('other')))
    sender = history_of(3, 5)
    sender.changes[-1].packed = sender.changes[-1].packed[:-1]
    result = adoption.consider(changes_offer(sender, 3))
    assert isinstance(result, Failure)
    assert (adoption.version, adoption.rules.event) == (3, 'other')
