"""The current incarnation of a target, with delayed announcements."""

from hypothesis import given
from hypothesis import strategies as st

from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.registration import AnnouncementOutcome
from cyclamenlift.gate.registration import FROM_HEALTH_PAGE
from cyclamenlift.gate.registration import Registration


def announced(
    name: str, sequence: int = FROM_HEALTH_PAGE, **fields
) -> Announcement:
    return Announcement(name, 'prices', 6, sequence=sequence, **fields)


def test_first_announcement_registers_and_later_ones_update():
    registration = Registration()
    assert (
        registration.announce(announced('a', 1), 0.0)
        is AnnouncementOutcome.NEW
    )
    assert (
        registration.announce(announced('a', 2), 1.0)
        is AnnouncementOutcome.UPDATED
    )
    assert registration.incarnation == 'a'


def test_delayed_announcement_of_an_older_incarnation_is_ignored():
    registration = Registration()
    registration.announce(announced('old', 9), 0.0)
    registration.announce(announced('new', 1), 1.0)
    late = announced('old', 10, draining=True)
    assert registration.announce(late, 2.0) is AnnouncementOutcome.STALE
    assert registration.incarnation == 'new'
    assert not registration.draining


def test_reordered_announcement_is_ignored():
    registration = Registration()
    registration.announce(announced('a', 5, draining=True), 0.0)
    assert (
        registration.announce(announced('a', 4), 1.0)
        is AnnouncementOutcome.STALE
    )
    assert registration.draining


def test_a_drain_is_not_taken_back_by_the_same_incarnation():
    registration = Registration()
    registration.announce(announced('a', 5, draining=True), 0.0)
    assert (
        registration.announce(announced('a', 6), 1.0)
        is AnnouncementOutcome.STALE
    )
    assert registration.draining


def test_a_new_incarnation_begins_without_the_drain_of_the_old_one():
    registration = Registration()
    registration.announce(announced('a', 5, draining=True), 0.0)
    registration.announce(announced('b', 1), 1.0)
    assert not registration.draining


def test_incarnation_that_left_while_unknown_is_not_registered():
    registration = Registration()
    assert not registration.leave('a')
    assert (
        registration.announce(announced('a', 7), 1.0)
        is AnnouncementOutcome.STALE
    )
    assert registration.current is None


def test_announcement_updates_data_of_the_health_page():
    registration = Registration()
    registration.announce(announced('a'), 0.0)
    assert (
        registration.announce(announced('a', 1), 1.0)
        is AnnouncementOutcome.UPDATED
    )


def test_doubt_lasts_until_the_next_announcement():
    registration = Registration()
    registration.announce(announced('a', 1), 0.0)
    registration.doubt('another')
    assert not registration.doubted
    registration.doubt('a')
    assert registration.doubted
    registration.announce(announced('a', 2), 1.0)
    assert not registration.doubted


def started(name: str, born_ms: int, sequence: int, **fields) -> Announcement:
    return announced(name, sequence, born_ms=born_ms, **fields)


def test_a_restart_under_the_same_name_is_a_new_incarnation():
    registration = Registration()
    registration.announce(started('a', 1000, 9, draining=True), 0.0)
    again = started('a', 5000, 1)
    assert registration.announce(again, 1.0) is AnnouncementOutcome.NEW
    assert not registration.draining
    assert registration.born_ms == 5000


def test_restart_after_a_departure_is_registered():
    registration = Registration()
    registration.announce(started('a', 1000, 3), 0.0)
    assert registration.leave('a', 1000)
    assert (
        registration.announce(started('a', 5000, 1), 1.0)
        is AnnouncementOutcome.NEW
    )
    assert not registration.draining


def test_delayed_announcement_from_before_a_restart_is_ignored():
    registration = Registration()
    registration.announce(started('a', 1000, 3), 0.0)
    registration.announce(started('a', 5000, 1), 1.0)
    late = started('a', 1000, 99, draining=True)
    assert registration.announce(late, 2.0) is AnnouncementOutcome.STALE
    assert not registration.leave('a', 1000)
    assert not registration.draining
    assert registration.born_ms == 5000


def test_unknown_older_incarnation_is_not_registered():
    registration = Registration()
    registration.announce(started('new', 5000, 1), 0.0)
    late = started('old', 1000, 9)
    assert registration.announce(late, 1.0) is AnnouncementOutcome.STALE
    assert registration.incarnation == 'new'


def test_two_restarts_within_a_second():
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


def test_incarnation_that_left_while_unknown_may_restart():
    registration = Registration(unix_ms=lambda: 2000)
    assert not registration.leave('a')
    late = started('a', 1000, 7)
    assert registration.announce(late, 1.0) is AnnouncementOutcome.STALE
    assert (
        registration.announce(started('a', 3000, 1), 2.0)
        is AnnouncementOutcome.NEW
    )


def test_announcement_without_the_known_start_is_ignored():
    registration = Registration()
    registration.announce(started('a', 1000, 1), 0.0)
    other = announced('a', 2, draining=True)
    assert registration.announce(other, 1.0) is AnnouncementOutcome.STALE
    assert not registration.draining


def test_page_restores_a_wrongly_replaced_incarnation():
    registration = Registration()
    registration.announce(announced('alive', 4), 0.0)
    registration.announce(announced('dead', 9), 1.0)
    assert (
        registration.announce(announced('alive'), 2.0)
        is AnnouncementOutcome.NEW
    )
    assert registration.incarnation == 'alive'
    assert (
        registration.announce(announced('alive', 5), 3.0)
        is AnnouncementOutcome.UPDATED
    )


def test_page_does_not_restore_an_incarnation_that_left():
    registration = Registration()
    registration.announce(announced('a', 4), 0.0)
    registration.leave('a')
    registration.announce(announced('b', 1), 1.0)
    assert (
        registration.announce(announced('a'), 2.0) is AnnouncementOutcome.STALE
    )


def announcements_of_incarnations() -> list[Announcement]:
    """Return the announcements of three incarnations; the last stays."""
    announcements = []
    for born_ms in (1000, 2000, 3000):
        announcements.extend(started('a', born_ms, n) for n in (1, 2, 3))
        if born_ms < 3000:
            announcements.append(started('a', born_ms, 4, draining=True))
    return announcements


@given(st.permutations(announcements_of_incarnations()))
def test_latest_incarnation_counts_in_any_order_of_arrival(announcements):
    registration = Registration()
    newest = 0
    for announcement in announcements:
        registration.announce(announcement, 0.0)
        newest = max(newest, announcement.born_ms)
        assert registration.born_ms == newest
    assert not registration.draining
    assert registration.current.sequence == 3


HEARTBEAT_SECONDS = 1.5


def announce_for(
    registration: Registration, seconds: float, born_ms: int
) -> AnnouncementOutcome:
    """Let one start of a target announce itself; return the last outcome."""
    outcome = AnnouncementOutcome.STALE
    for number in range(1 + int(seconds / HEARTBEAT_SECONDS)):
        now = 100.0 + number * HEARTBEAT_SECONDS
        outcome = registration.announce(started('a', born_ms, number + 1), now)
    return outcome


def left_registration() -> Registration:
    """Return a registration whose target has left."""
    registration = Registration()
    registration.announce(started('a', 9000, 1), 0.0)
    registration.leave('a', 9000)
    return registration


# Guards against a target whose clock was set back before it started again,
# and that is refused until its clock has caught up.
def test_a_target_that_goes_on_to_announce_an_earlier_start_is_used():
    registration = left_registration()
    assert announce_for(registration, 8.0, 4000) is AnnouncementOutcome.UPDATED
    assert not registration.draining and registration.born_ms == 4000


# Guards against announcements of the start that left, which goes on to run,
# and of one before it that come late, in a burst or for a few seconds.
def test_a_start_that_left_or_is_only_late_is_not_used():
    assert announce_for(left_registration(), 30.0, 9000) is (
        AnnouncementOutcome.STALE
    )
    assert announce_for(left_registration(), 4.0, 4000) is (
        AnnouncementOutcome.STALE
    )
    registration = left_registration()
    for number in range(9):
        registration.announce(started('a', 4000, number + 1), 100.0)
    assert registration.draining


# Guards against an old start that takes the place of one that runs.
def test_an_earlier_start_does_not_replace_one_that_announces_itself():
    registration = Registration()
    for number in range(1, 40):
        now = number * HEARTBEAT_SECONDS
        registration.announce(started('a', 9000, number), now)
        registration.announce(started('a', 4000, number), now)
    assert registration.born_ms == 9000


# Guards against a late departure of the start before, with a later time.
def test_a_departure_of_the_start_before_the_clock_was_set_back_is_late():
    registration = left_registration()
    announce_for(registration, 8.0, 4000)
    assert not registration.leave('a', 9000)
    assert not registration.draining
    assert registration.leave('a', 4000)


def drain(
    registration: Registration,
    born_ms: int,
    now: float = 102.0,
    awaited: bool = True,
) -> AnnouncementOutcome:
    """Let a start of the target say that it drains."""
    announcement = started('a', born_ms, 3, draining=True)
    return registration.announce(announcement, now, awaited)


def running_registration(*starts: int) -> Registration:
    """Return a registration that knows these starts; the last one runs."""
    registration = Registration()
    for born_ms in starts:
        registration.announce(started('a', born_ms, 1), 0.0)
    return registration


# Guards against a drain that is confirmed but has no effect, as the clock of
# the target was set back before it started.
def test_a_drain_of_an_earlier_start_that_waits_for_the_answer_counts():
    registration = running_registration(9000)
    registration.announce(started('a', 4000, 1), 100.0, True)
    assert registration.born_ms == 9000
    assert drain(registration, 4000) is AnnouncementOutcome.NEW
    assert registration.draining and registration.born_ms == 4000
    late = started('a', 9000, 2)
    assert registration.announce(late, 103.0, True) is (
        AnnouncementOutcome.STALE
    )


# Guards against the same with a target that leaves without a drain before.
def test_a_departure_of_an_earlier_start_that_waits_counts():
    registration = running_registration(9000)
    registration.announce(started('a', 4000, 1), 100.0, True)
    assert registration.leave('a', 4000, awaited=True)
    assert registration.draining and registration.born_ms == 4000


# Guards against a drain of a start that ended, which was delayed and drains
# the one that runs; or whose sender is gone.
def test_a_late_drain_of_a_start_that_was_replaced_drains_nothing():
    registration = running_registration(1000, 3000, 9000)
    for born_ms in (1000, 3000):
        assert drain(registration, born_ms) is AnnouncementOutcome.STALE
        assert not registration.leave('a', born_ms, awaited=True)
    assert drain(registration, 4000, awaited=False) is (
        AnnouncementOutcome.STALE
    )
    assert not registration.leave('a', 4000)
    assert not registration.draining


# Guards against a start that runs and is refused for good, as a drain of an
# earlier one, which the gate had never known, came late.
def test_a_start_that_goes_on_after_such_a_drain_is_used_again():
    registration = running_registration(9000)
    drain(registration, 4000, now=99.0)
    outcome = AnnouncementOutcome.STALE
    for number in range(6):
        announcement = started('a', 9000, number + 2)
        outcome = registration.announce(announcement, 100.0 + 1.5 * number)
    assert outcome is AnnouncementOutcome.UPDATED
    assert not registration.draining and registration.born_ms == 9000
