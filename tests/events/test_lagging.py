"""A daemon that knows of a newer document than its own.

Failures: callers got 404, which is final, for newly added routes from daemons
that were still pulling the document with these routes; and a daemon that had
just started served callers with its first document although it knew of a newer
one.
"""

from cyclamenlift.events.lagging import CATCH_UP_SECONDS
from cyclamenlift.events.lagging import Lag
from cyclamenlift.events.lagging import WORD_COUNTS_SECONDS
from tests.events.builders import CONTROL
from tests.events.builders import FollowerBed
from tests.events.builders import PEERS


def test_a_daemon_is_behind_until_it_has_what_it_heard_of():
    lag = Lag()
    assert not lag.is_behind(3, 0.0)
    lag.hear(4, 0.0)
    assert lag.is_behind(3, 1.0)
    assert not lag.is_behind(4, 1.0)
    assert not lag.is_behind(5, 1.0)


def test_a_word_that_nobody_repeats_is_forgotten():
    lag = Lag()
    lag.hear(9, 0.0)
    lag.hear(4, 4.0)
    assert not lag.is_behind(3, WORD_COUNTS_SECONDS)
    lag.hear(9, WORD_COUNTS_SECONDS)
    assert lag.is_behind(3, WORD_COUNTS_SECONDS + 1.0)


def test_a_starting_daemon_takes_callers_once_it_has_caught_up():
    lag = Lag()
    assert not lag.has_caught_up(0, 0.0)
    lag.hear(4, 0.0)
    assert not lag.has_caught_up(3, 0.0)
    assert lag.has_caught_up(4, 0.1)
    lag.hear(5, 0.2)
    assert lag.has_caught_up(4, 0.3)


def test_it_does_not_wait_for_ever():
    lag = Lag()
    for tenth in range(round(CATCH_UP_SECONDS * 10)):
        lag.hear(4, tenth / 10)
        assert not lag.has_caught_up(3, tenth / 10)
    assert lag.has_caught_up(3, CATCH_UP_SECONDS)


def test_a_follower_is_behind_while_it_pulls():
    bed = FollowerBed()
    bed.follower.start()
    bed.follower.note_version(4, PEERS[0])
    assert not bed.follower.has_caught_up()
    bed.give(CONTROL[0], 3, committed=True)
    assert bed.follower.is_behind()
    assert not bed.follower.has_caught_up()
    bed.give(CONTROL[0], 4)
    assert not bed.follower.is_behind()
    assert bed.follower.has_caught_up()
