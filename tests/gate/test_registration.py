"""Which incarnation of a target counts, whatever comes late."""

from cyclamenlift.gate.registration import Announced
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.registration import Registration


def said(name: str, sequence: int = 0, **fields) -> Announcement:
    return Announcement(name, 'prices', 6, sequence=sequence, **fields)


def test_the_first_announcement_counts_and_later_ones_renew_it():
    registration = Registration()
    assert registration.announce(said('a', 1), 0.0) is Announced.NEW
    assert registration.announce(said('a', 2), 1.0) is Announced.AGAIN
    assert registration.incarnation == 'a'


def test_a_late_announcement_of_an_older_incarnation_changes_nothing():
    registration = Registration()
    registration.announce(said('old', 9), 0.0)
    registration.announce(said('new', 1), 1.0)
    late = said('old', 10, draining=True)
    assert registration.announce(late, 2.0) is Announced.STALE
    assert registration.incarnation == 'new'
    assert not registration.draining


def test_an_announcement_that_was_overtaken_changes_nothing():
    registration = Registration()
    registration.announce(said('a', 5, draining=True), 0.0)
    assert registration.announce(said('a', 4), 1.0) is Announced.STALE
    assert registration.draining


def test_a_drain_is_not_taken_back_by_the_same_incarnation():
    registration = Registration()
    registration.announce(said('a', 5, draining=True), 0.0)
    assert registration.announce(said('a', 6), 1.0) is Announced.STALE
    assert registration.draining


def test_a_new_incarnation_begins_without_the_drain_of_the_old_one():
    registration = Registration()
    registration.announce(said('a', 5, draining=True), 0.0)
    registration.announce(said('b', 1), 1.0)
    assert not registration.draining


def test_one_that_left_before_it_was_known_never_comes_in():
    registration = Registration()
    assert not registration.leave('a')
    assert registration.announce(said('a', 7), 1.0) is Announced.STALE
    assert registration.current is None


def test_what_was_learned_by_asking_is_renewed_by_any_announcement():
    registration = Registration()
    registration.announce(said('a'), 0.0)
    assert registration.announce(said('a', 1), 1.0) is Announced.AGAIN


def test_a_doubt_lasts_until_the_target_speaks_again():
    registration = Registration()
    registration.announce(said('a', 1), 0.0)
    registration.doubt('another')
    assert not registration.doubted
    registration.doubt('a')
    assert registration.doubted
    registration.announce(said('a', 2), 1.0)
    assert not registration.doubted
