"""Which incarnation of a target counts, whatever comes late."""

from hypothesis import given
from hypothesis import strategies as st

from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.registration import AnnouncementOutcome
from cyclamenlift.gate.registration import FROM_HEALTH_PAGE
from cyclamenlift.gate.registration import Registration


def said(
    name: str, sequence: int = FROM_HEALTH_PAGE, **fields
) -> Announcement:
    return Announcement(name, 'prices', 6, sequence=sequence, **fields)


def test_the_first_announcement_counts_and_later_ones_renew_it():
    registration = Registration()
    assert registration.announce(said('a', 1), 0.0) is AnnouncementOutcome.NEW
    assert (
        registration.announce(said('a', 2), 1.0) is AnnouncementOutcome.AGAIN
    )
    assert registration.incarnation == 'a'


def test_a_late_announcement_of_an_older_incarnation_changes_nothing():
    registration = Registration()
    registration.announce(said('old', 9), 0.0)
    registration.announce(said('new', 1), 1.0)
    late = said('old', 10, draining=True)
    assert registration.announce(late, 2.0) is AnnouncementOutcome.STALE
    assert registration.incarnation == 'new'
    assert not registration.draining


def test_an_announcement_that_was_overtaken_changes_nothing():
    registration = Registration()
    registration.announce(said('a', 5, draining=True), 0.0)
    assert (
        registration.announce(said('a', 4), 1.0) is AnnouncementOutcome.STALE
    )
    assert registration.draining


def test_a_drain_is_not_taken_back_by_the_same_incarnation():
    registration = Registration()
    registration.announce(said('a', 5, draining=True), 0.0)
    assert (
        registration.announce(said('a', 6), 1.0) is AnnouncementOutcome.STALE
    )
    assert registration.draining


def test_a_new_incarnation_begins_without_the_drain_of_the_old_one():
    registration = Registration()
    registration.announce(said('a', 5, draining=True), 0.0)
    registration.announce(said('b', 1), 1.0)
    assert not registration.draining


def test_one_that_left_before_it_was_known_never_comes_in():
    registration = Registration()
    assert not registration.leave('a')
    assert (
        registration.announce(said('a', 7), 1.0) is AnnouncementOutcome.STALE
    )
    assert registration.current is None


def test_what_was_learned_by_asking_is_renewed_by_any_announcement():
    registration = Registration()
    registration.announce(said('a'), 0.0)
    assert (
        registration.announce(said('a', 1), 1.0) is AnnouncementOutcome.AGAIN
    )


def test_a_doubt_lasts_until_the_target_speaks_again():
    registration = Registration()
    registration.announce(said('a', 1), 0.0)
    registration.doubt('another')
    assert not registration.doubted
    registration.doubt('a')
    assert registration.doubted
    registration.announce(said('a', 2), 1.0)
    assert not registration.doubted


def started(name: str, born_ms: int, sequence: int, **fields) -> Announcement:
    return said(name, sequence, born_ms=born_ms, **fields)


def test_a_restart_under_the_same_name_is_a_new_incarnation():
    registration = Registration()
    registration.announce(started('a', 1000, 9, draining=True), 0.0)
    again = started('a', 5000, 1)
    assert registration.announce(again, 1.0) is AnnouncementOutcome.NEW
    assert not registration.draining
    assert registration.born_ms == 5000


def test_a_restart_after_a_farewell_opens_again():
    registration = Registration()
    registration.announce(started('a', 1000, 3), 0.0)
    assert registration.leave('a', 1000)
    assert (
        registration.announce(started('a', 5000, 1), 1.0)
        is AnnouncementOutcome.NEW
    )
    assert not registration.draining


def test_a_late_word_of_the_life_before_changes_nothing():
    registration = Registration()
    registration.announce(started('a', 1000, 3), 0.0)
    registration.announce(started('a', 5000, 1), 1.0)
    late = started('a', 1000, 99, draining=True)
    assert registration.announce(late, 2.0) is AnnouncementOutcome.STALE
    assert not registration.leave('a', 1000)
    assert not registration.draining
    assert registration.born_ms == 5000


def test_an_older_target_that_was_never_heard_of_does_not_come_in():
    registration = Registration()
    registration.announce(started('new', 5000, 1), 0.0)
    late = started('old', 1000, 9)
    assert registration.announce(late, 1.0) is AnnouncementOutcome.STALE
    assert registration.incarnation == 'new'


def test_twice_started_within_a_second():
    registration = Registration()
    registration.announce(started('a', 1000, 1), 0.0)
    registration.announce(started('a', 1400, 1, draining=True), 0.1)
    assert (
        registration.announce(started('a', 1800, 1), 0.2)
        is AnnouncementOutcome.NEW
    )
    assert not registration.draining
    late = started('a', 1400, 2, draining=True)
    assert registration.announce(late, 0.3) is AnnouncementOutcome.STALE
    assert not registration.draining


def test_one_that_left_before_it_was_known_may_start_again():
    registration = Registration(unix_ms=lambda: 2000)
    assert not registration.leave('a')
    late = started('a', 1000, 7)
    assert registration.announce(late, 1.0) is AnnouncementOutcome.STALE
    assert (
        registration.announce(started('a', 3000, 1), 2.0)
        is AnnouncementOutcome.NEW
    )


def test_a_target_that_tells_its_start_never_leaves_it_out():
    registration = Registration()
    registration.announce(started('a', 1000, 1), 0.0)
    other = said('a', 2, draining=True)
    assert registration.announce(other, 1.0) is AnnouncementOutcome.STALE
    assert not registration.draining


def test_the_page_brings_back_one_that_a_late_word_had_replaced():
    registration = Registration()
    registration.announce(said('alive', 4), 0.0)
    registration.announce(said('dead', 9), 1.0)
    assert registration.announce(said('alive'), 2.0) is AnnouncementOutcome.NEW
    assert registration.incarnation == 'alive'
    assert (
        registration.announce(said('alive', 5), 3.0)
        is AnnouncementOutcome.AGAIN
    )


def test_the_page_does_not_bring_back_one_that_left():
    registration = Registration()
    registration.announce(said('a', 4), 0.0)
    registration.leave('a')
    registration.announce(said('b', 1), 1.0)
    assert registration.announce(said('a'), 2.0) is AnnouncementOutcome.STALE


def words_of_lives() -> list[Announcement]:
    """Return what three lives of one name say, the last one not leaving."""
    words = []
    for born_ms in (1000, 2000, 3000):
        words.extend(started('a', born_ms, n) for n in (1, 2, 3))
        if born_ms < 3000:
            words.append(started('a', born_ms, 4, draining=True))
    return words


@given(st.permutations(words_of_lives()))
def test_in_whatever_order_words_come_the_last_life_counts(words):
    registration = Registration()
    newest = 0
    for word in words:
        registration.announce(word, 0.0)
        newest = max(newest, word.born_ms)
        assert registration.born_ms == newest
    assert not registration.draining
    assert registration.current.sequence == 3
