"""How a log begins, with founders that are late or never come.

Two logs would begin by this order of events: some founders elect a leader and
commit, and others, with empty logs, elect another. It is kept from happening
by two majorities of all founders, which have one in common: one votes, with
empty logs, for who begins; the other holds whatever that log commits. A
founder votes once a term and with an empty log alone, and one that lost its
disk, and so forgot both, comes back without ``bootstrap`` and never votes to
begin a log.
"""

import pytest

from cyclamenlift.replication.message_handlers import InvariantError
from cyclamenlift.replication.state import Limits
from cyclamenlift.replication.voters import Voters
from tests.replication.builders import SafetyViolation
from tests.replication.founding_explorer import FOUNDING
from tests.replication.founding_explorer import FoundingCluster

THREE = ('a', 'b', 'c')
FIVE = ('a', 'b', 'c', 'd', 'e')
SEEDS = range(60)
STEPS = 250


def explored(seed: int, founders) -> FoundingCluster:
    cluster = FoundingCluster(seed, founders)
    cluster.run(STEPS)
    cluster.recover()
    return cluster


# Guards against a second log, an entry that is lost, and founders that wait
# for one that never comes.
@pytest.mark.parametrize('founders', [THREE, FIVE])
@pytest.mark.parametrize('seed', SEEDS)
def test_one_log_begins_once_a_majority_of_founders_runs(seed, founders):
    cluster = explored(seed, founders)
    enough = cluster.founders_that_run() > len(founders) // 2
    if enough and not cluster.wiped:
        assert cluster.has_leader()
        assert cluster.committed


def begin_alone(self, present) -> bool:
    return any(name in present for name in self.names)


def forget_to_be_wiped(monkeypatch) -> None:
    """Let instances that lost their disks keep ``bootstrap``."""
    monkeypatch.setattr(
        'tests.replication.founding_explorer.FoundingNode.lost',
        property(lambda _self: False, lambda _self, _lost: None),
        raising=False,
    )


PLANTED = {
    'one_founder_begins': lambda patch: patch.setattr(
        Voters, 'can_bootstrap', begin_alone
    ),
    'wiped_founders_begin': forget_to_be_wiped,
}


@pytest.mark.parametrize('fault', PLANTED)
def test_the_search_finds_a_planted_rule(fault, monkeypatch):
    PLANTED[fault](monkeypatch)
    with pytest.raises((SafetyViolation, InvariantError)):
        for seed in range(2000):
            explored(seed, FIVE)


# Guards against a log that begins without a founder that is just late.
def test_all_founders_are_waited_for_at_first():
    cluster = FoundingCluster(0, THREE)
    cluster.starts = {'a': 0.0, 'b': 0.0, 'c': 1.5}
    cluster.recover(20)
    assert not cluster.has_leader()


# Guards against a system that never takes an order, as one founder is lost
# for good before it has voted, or is no control instance at all.
def test_a_founder_that_never_comes_is_not_waited_for():
    cluster = FoundingCluster(0, THREE)
    cluster.starts = {'a': 0.0, 'b': 0.0, 'x': 0.0, 'y': 0.0}
    cluster.recover()
    leader = next(n for n in cluster.running() if cluster.leads(n))
    latest = cluster.nodes[leader].state.voters.latest
    assert set(latest.storage_ids) == {'a', 'b', 'x', 'y'}
    assert latest.storages == 4


# Guards against a cluster whose founders found it alone unless told so.
def test_without_a_founding_time_all_are_needed():
    assert Limits(1.0, 0.1, 6).founding == 0.0
    voters = Voters(THREE)
    assert not voters.can_bootstrap({'a': 'a-1', 'b': 'b-1'})
    assert FOUNDING.founding > 0.0


# Guards against two logs: three of five founders vote for the first, two of
# them commit, and the third, without an entry yet, begins another with the
# two that came late.
def test_a_majority_of_those_who_voted_commits_nothing():
    voters = Voters(FIVE)
    votes = {name: f'{name}-1' for name in FIVE[:3]}
    first = voters.first_configuration(votes, {})
    assert not first.has_majority({'a': 'a-1', 'b': 'b-1'})
    assert first.has_majority(votes)


# Guards against a founder that is not there counting as a vote or a copy.
def test_a_founder_without_a_storage_counts_for_nobody():
    voters = Voters(THREE)
    first = voters.first_configuration({'a': 'a-1', 'b': 'b-1'}, {})
    assert (first.storages, first.majority) == (2, 2)
    assert not first.has_majority({'a': 'a-1', 'c': ''})
    assert first.has_majority({'a': 'a-1', 'b': 'b-1'})
