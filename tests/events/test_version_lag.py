"""A daemon that knows of a newer document than its own.

Failures: callers got 404, which is final, for newly added routes from daemons
that were still pulling the document with these routes; and a daemon that had
just started served callers with its first document although it knew of a newer
one.
"""

from cyclamenlift.events.version_lag import CATCH_UP_SECONDS
from cyclamenlift.events.version_lag import REPORT_VALID_SECONDS
from cyclamenlift.events.version_lag import VersionLag
from tests.events.builders import CONTROL
from tests.events.builders import FollowerBed
from tests.events.builders import PEERS


def test_a_daemon_is_behind_until_it_has_the_reported_version():
    lag = VersionLag()
    assert not lag.is_behind(3, 0.0)
    lag.record_report(4, 0.0)
    assert lag.is_behind(3, 1.0)
    assert not lag.is_behind(4, 1.0)
    assert not lag.is_behind(5, 1.0)


def test_a_report_that_is_not_repeated_expires():
    lag = VersionLag()
    lag.record_report(9, 0.0)
    lag.record_report(4, 4.0)
    assert not lag.is_behind(3, REPORT_VALID_SECONDS)
    lag.record_report(9, REPORT_VALID_SECONDS)
    assert lag.is_behind(3, REPORT_VALID_SECONDS + 1.0)


def test_a_starting_daemon_serves_callers_once_it_has_caught_up():
    lag = VersionLag()
    assert not lag.has_caught_up(0, 0.0)
    lag.record_report(4, 0.0)
    assert not lag.has_caught_up(3, 0.0)
    assert lag.has_caught_up(4, 0.1)
    lag.record_report(5, 0.2)
    assert lag.has_caught_up(4, 0.3)


def test_catching_up_has_a_time_limit():
    lag = VersionLag()
    for tenth in range(round(CATCH_UP_SECONDS * 10)):
        lag.record_report(4, tenth / 10)
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
