"""The way in: messages, ticks and finished syncs."""

from cyclamenlift.replication.commits import advance_commit
from cyclamenlift.replication.commits import snapshots_synced
from cyclamenlift.replication.elections import tick_election
from cyclamenlift.replication.elections import vote_synced
import cyclamenlift.replication.following  # noqa: F401 (registers)
import cyclamenlift.replication.installing  # noqa: F401 (registers)
from cyclamenlift.replication.leading import continue_leading
from cyclamenlift.replication.leading import tick_leader
from cyclamenlift.replication.queries import Role
from cyclamenlift.replication.receivers import RECEIVERS
from cyclamenlift.replication.state import ReplicaState


def receive(state: ReplicaState, sender: str, message, now: float) -> None:
    """Take one message of the instance ``sender``."""
    if sender in state.peers:
        RECEIVERS.get(type(message).__name__)(state, sender, message, now)


def tick(state: ReplicaState, now: float) -> None:
    """Do what is due at ``now``; call it several times a heartbeat."""
    state.disk.tick(state.outbox, now, state.limits.election)
    if state.role is Role.LEADER:
        tick_leader(state, now)
    else:
        tick_election(state, now)


def synced(state: ReplicaState, ticket: int, now: float) -> None:
    """Note that all writes up to ``ticket`` are durable."""
    state.log.synced(ticket)
    state.outbox.synced(ticket)
    snapshots_synced(state, ticket)
    vote_synced(state, ticket, now)
    if state.leadership is not None:
        advance_commit(state)
        continue_leading(state, now)


def connection_lost(state: ReplicaState, sender: str, now: float) -> None:
    """Note that the connection from ``sender`` broke.

    If it led, its process has probably ended, so an election is due soon:
    within two heartbeats, at a random instant. Should it be alive after
    all, the pre-vote fails and nothing has changed.
    """
    if sender != state.leader or state.role is not Role.FOLLOWER:
        return
    state.leader_heard_at = float('-inf')
    soon = now + 2 * state.limits.heartbeat * state.rng.random()
    state.election_deadline = min(state.election_deadline, soon)
