"""Instances that come back after a minute of fast changes.

Each member announces each version of the configuration, some seven a second
for a minute. What that takes of the byte budget must not be missing when an
instance with nothing in memory, which knows only its seeds, asks for members:
an empty control instance has to know the leader within a fraction of the time
in which it must be repaired, a daemon the targets of every service.
"""

import pytest

from tests.membership.fleet import CONTROL
from tests.membership.fleet import DAEMONS
from tests.membership.fleet import Fleet
from tests.membership.fleet import SEEDS

CHANGES_BEGIN = 5.0
CHANGING_SECONDS = 60.0
CHANGES_PER_SECOND = 7.0
DOWN_SECONDS = 1.2
# How long after its start an instance may not know all others: an eighth of
# the time in which a repair must be complete (4 s).
KNOWN_WITHIN_SECONDS = 0.5


def changing_fleet(seed: int, hosts: list[str]) -> Fleet:
    """Return members that announce versions until ``now``."""
    fleet = Fleet(seed)
    for host in hosts:
        fleet.at(0.0, fleet.start, host)
    for number in range(int(CHANGING_SECONDS * CHANGES_PER_SECOND)):
        now = CHANGES_BEGIN + number / CHANGES_PER_SECOND
        for host in hosts:
            fleet.at(now, fleet.announce, host, number + 1)
    return fleet


def restart(fleet: Fleet, hosts: list[str]) -> None:
    """Restart hosts right after the changes; run until they must know all."""
    lost_at = CHANGES_BEGIN + CHANGING_SECONDS
    for host in hosts:
        fleet.at(lost_at, fleet.kill, host)
        fleet.at(lost_at + DOWN_SECONDS, fleet.start, host)
    fleet.run_until(lost_at + DOWN_SECONDS + KNOWN_WITHIN_SECONDS)


# Guards against a leader that empty control instances don't get to know, as
# the only seed that runs has spent its budget on announcements of versions.
@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize('lost', [SEEDS[:2], SEEDS[1:], SEEDS[::2]])
def test_empty_control_instances_know_all_after_many_changes(seed, lost):
    fleet = changing_fleet(seed, CONTROL)
    restart(fleet, lost)
    assert [fleet.unknown_to(host) for host in lost] == [set(), set()]


# Guards against a daemon without targets after its start, for the same cause.
@pytest.mark.parametrize('seed', range(10))
@pytest.mark.parametrize('lost', [DAEMONS[:1], DAEMONS])
def test_daemons_know_all_after_many_changes(seed, lost):
    fleet = changing_fleet(seed, CONTROL + DAEMONS)
    restart(fleet, lost)
    assert {host for host in lost if fleet.unknown_to(host)} == set()
