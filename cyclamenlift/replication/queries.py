"""Status of a replica and, on the leader, of its peers."""

import dataclasses
import enum
from typing import TYPE_CHECKING

from cyclamenlift.replication.voters import Configuration

if TYPE_CHECKING:
    from cyclamenlift.replication.state import ReplicaState


class Role(enum.StrEnum):
    """Role of a replica in its term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    STOPPED = 'stopped'


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceStatus:
    """One control instance as seen by the answering replica.

    ``counts`` means that its storage id is in the committed and final voter
    set, ``caught_up`` that it holds every committed entry, and
    ``reachable`` that it answered within an election timeout. A repair is
    complete when all three are true; the cluster then tolerates the loss of
    another disk. ``match_index`` is -1 if unknown (the answering replica is
    not the leader), ``storage_id`` is empty if it never answered.
    """

    instance: str
    storage_id: str
    voter_storage_id: str
    match_index: int
    counts: bool
    caught_up: bool
    reachable: bool = False

    @property
    def repair_complete(self) -> bool:
        return self.counts and self.caught_up and self.reachable


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """Status of one replica; ``instances`` is sorted by name."""

    instance: str
    role: Role
    leader: str
    term: int
    last_index: int
    commit_index: int
    applied_index: int
    snapshot_index: int
    storage_id: str
    established: bool
    instances: tuple[InstanceStatus, ...]


def make_status(
    instance: str,
    peers: tuple[str, ...],
    state: 'ReplicaState | None',
    applied_index: int,
    now: float,
) -> ReplicaStatus:
    """Return a replica's status; ``state`` is None if it is stopped."""
    if state is None:
        return stopped_status(instance)
    voters = state.voters.at(state.commit_index)
    names = sorted((instance, *peers))
    return ReplicaStatus(
        instance=instance,
        role=state.role,
        leader=state.leader,
        term=state.term,
        last_index=state.log.last_index,
        commit_index=state.commit_index,
        applied_index=applied_index,
        snapshot_index=state.snapshot_index,
        storage_id=state.storage_id,
        established=voters is not None,
        instances=tuple(
            instance_status(state, name, voters, now) for name in names
        ),
    )


def stopped_status(instance: str) -> ReplicaStatus:
    return ReplicaStatus(
        instance=instance,
        role=Role.STOPPED,
        leader='',
        term=0,
        last_index=0,
        commit_index=0,
        applied_index=0,
        snapshot_index=0,
        storage_id='',
        established=False,
        instances=(),
    )


def instance_status(
    state: 'ReplicaState',
    name: str,
    voters: Configuration | None,
    now: float,
) -> InstanceStatus:
    storage_id, match_index, reachable = '', -1, False
    if name == state.instance:
        storage_id = state.storage_id
        match_index = state.log.durable_index
        reachable = True
    elif state.leadership is not None:
        progress = state.leadership.progress[name]
        storage_id = progress.storage_id
        match_index = progress.match_index
        reachable = progress.is_reachable(now, state.limits.election)
    voter_storage_id = voters.storage_ids.get(name, '') if voters else ''
    counts = bool(voters) and voters.final and storage_id == voter_storage_id
    return InstanceStatus(
        instance=name,
        storage_id=storage_id,
        voter_storage_id=voter_storage_id,
        match_index=match_index,
        counts=counts and bool(storage_id),
        caught_up=0 < state.commit_index <= match_index,
        reachable=reachable,
    )
