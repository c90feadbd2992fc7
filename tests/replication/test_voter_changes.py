"""Voters that the leader adds, replaces and removes automatically."""

import math

import pytest

from cyclamenlift.replication import following
from cyclamenlift.replication.inputs import tick
from cyclamenlift.replication.message_handlers import InvariantError
from cyclamenlift.replication.state import ReplicaState
from cyclamenlift.replication.voter_changes import AWAIT_VOTERS_SECONDS
from cyclamenlift.replication.voter_changes import awaits_voters
from cyclamenlift.replication.voters import Configuration
from tests.replication.builders import SafetyViolation
from tests.replication.late_message_explorer import LateMessageCluster
from tests.replication.voter_change_explorer import ALL
from tests.replication.voter_change_explorer import GrowingCluster
from tests.replication.voter_change_explorer import JOINERS

# The last one found a log that stayed without a leader, since a voter whose
# removal was under way refused its vote.
SEEDS = [*range(25), 1038]
STEPS = 500
MAKE_ANSWER = following.make_answer


def bootstrapped_cluster() -> GrowingCluster:
    cluster = GrowingCluster(0)
    cluster.recover()
    return cluster


def test_founders_bootstrap_and_add_the_others():
    cluster = bootstrapped_cluster()
    assert set(cluster.voters()) == set(ALL)


def test_bootstrap_needs_all_founders():
    cluster = GrowingCluster(0)
    cluster.down = {'c'}
    pass_time(cluster)
    assert not cluster.voters()


def pass_time(cluster: GrowingCluster) -> None:
    """Simulate ten seconds without faults for the running nodes."""
    for _ in range(200):
        cluster.now += 0.05
        for name in ALL:
            if name not in cluster.down:
                tick(cluster.nodes[name].state, cluster.now)
                cluster.process_effects(name)
                cluster.sync(name)
        while cluster.messages:
            cluster.deliver(0)


def test_joiner_without_a_configuration_never_votes():
    for name in JOINERS:
        node = GrowingCluster(0).nodes[name]
        assert not node.state.may_vote


def test_a_lost_disk_is_replaced_without_an_operator():
    cluster = bootstrapped_cluster()
    before = cluster.voters()
    name = next(n for n in before if not cluster.leads(n))
    cluster.wipe_if_tolerable(name)
    cluster.recover()
    after = cluster.voters()
    assert after[name] != before[name]
    assert set(after) == set(before)


# Guards against an empty disk that is never repaired, as the instance knows
# its seeds alone and drops the messages of a leader that is none of them.
@pytest.mark.parametrize('leader', JOINERS)
def test_a_lost_disk_is_replaced_by_a_leader_that_is_not_known(leader):
    cluster = bootstrapped_cluster()
    cluster.elect(leader, ALL)
    assert cluster.leads(leader)
    before = cluster.voters()
    cluster.wipe_if_tolerable('a')
    cluster.untold.add('a')
    cluster.recover()
    assert cluster.leads(leader)
    assert cluster.voters()['a'] != before['a']


def lose_two_disks(cluster: GrowingCluster) -> list[str]:
    """Return two followers that come back with empty disks at once."""
    lost = [n for n in cluster.voters() if not cluster.leads(n)][:2]
    for name in lost:
        cluster.wipe_if_tolerable(name)
        cluster.lost.clear()
    return lost


# Guards against a repair whose time grows with the number of lost disks, as
# each storage becomes a voter by a change, and two syncs, of its own.
def test_two_lost_disks_are_replaced_by_one_change():
    cluster = bootstrapped_cluster()
    leader = next(n for n in ALL if cluster.leads(n))
    before = cluster.voters()
    history = len(cluster.nodes[leader].state.voters.history)
    lost = lose_two_disks(cluster)
    cluster.recover()
    after = cluster.voters()
    assert all(after[name] != before[name] for name in lost)
    state = cluster.nodes[leader].state
    assert cluster.leads(leader)
    changes = state.voters.history[history:]
    assert [change.final for change in changes] == [False, True]


def test_unreachable_voter_is_removed_down_to_the_wanted_number():
    cluster = bootstrapped_cluster()
    gone = next(n for n in ALL if not cluster.leads(n))
    cluster.down.add(gone)
    pass_time(cluster)
    assert len(cluster.voters()) == 5
    assert gone not in cluster.voters()


def test_returning_instance_becomes_a_voter_again():
    cluster = bootstrapped_cluster()
    gone = next(n for n in ALL if not cluster.leads(n))
    cluster.down.add(gone)
    for _ in range(60):
        cluster.step()
        cluster.cut.clear()
    cluster.recover()
    assert gone in cluster.voters()


@pytest.mark.parametrize('seed', SEEDS)
def test_safety_holds_during_voter_changes(seed):
    cluster = GrowingCluster(seed)
    cluster.recover(60)
    cluster.run(STEPS)
    cluster.recover()
    assert len(cluster.voters()) >= 5
    before = len(cluster.committed)
    leader = next(n for n in ALL if cluster.leads(n))
    cluster.propose(leader)
    cluster.recover(20)
    assert len(cluster.committed) > before


# Guards against a leader that counts an answer for a round that it did not
# send: contact, or a read, would rest on an answer from an earlier term.
@pytest.mark.parametrize('seed', range(15))
def test_late_messages_confirm_no_round_of_a_later_term(seed):
    cluster = LateMessageCluster(seed)
    cluster.recover(60)
    cluster.run(STEPS)


def name_any_round(state, request, accepted, match_index, hint_index=0):
    answer = MAKE_ANSWER(state, request, accepted, match_index, hint_index)
    answer.round_id = request.round_id
    return answer


def test_the_search_with_late_messages_finds_a_planted_fault(monkeypatch):
    monkeypatch.setattr(following, 'make_answer', name_any_round)
    with pytest.raises(SafetyViolation):
        for seed in range(60):
            cluster = LateMessageCluster(seed)
            cluster.recover(60)
            cluster.run(STEPS)


def half_is_enough(self, present) -> bool:
    held = sum(present.get(n) == s for n, s in self.storage_ids.items())
    return held >= len(self.storage_ids) // 2


FAULTS = {
    'half_is_a_majority': [(Configuration, 'has_majority', half_is_enough)],
}


@pytest.mark.parametrize('fault', FAULTS)
def test_explorer_detects_a_planted_fault(fault, monkeypatch):
    for owner, name, broken in FAULTS[fault]:
        monkeypatch.setattr(owner, name, broken)
    with pytest.raises((SafetyViolation, InvariantError)):
        for seed in range(60):
            cluster = GrowingCluster(seed)
            cluster.recover(60)
            cluster.run(STEPS)
            cluster.recover()


def founded_cluster() -> tuple[GrowingCluster, ReplicaState]:
    """Return a cluster whose founders have just elected a leader."""
    cluster = GrowingCluster(0)
    cluster.down = set(JOINERS)
    pass_time(cluster)
    leader = next(name for name in ALL if cluster.leads(name))
    state = cluster.nodes[leader].state
    state.leadership.voters_deadline = cluster.now + AWAIT_VOTERS_SECONDS
    return cluster, state


# Guards against a change that is confirmed by two of three founders and is
# lost with their disks, though two lost disks have to be borne.
def test_commands_wait_for_the_voters_that_are_wanted():
    cluster, state = founded_cluster()
    assert len(cluster.voters()) < state.limits.wanted_voters
    assert awaits_voters(state, cluster.now)
    cluster.down = set()
    pass_time(cluster)
    state.leadership.voters_deadline = math.inf
    assert len(cluster.voters()) >= state.limits.wanted_voters
    assert not awaits_voters(state, cluster.now)


# Guards against commands that wait for good for instances that never start.
def test_commands_do_not_wait_for_voters_beyond_a_bound():
    cluster, state = founded_cluster()
    cluster.now += AWAIT_VOTERS_SECONDS
    assert not awaits_voters(state, cluster.now)
