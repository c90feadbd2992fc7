"""Entry points of the protocol: messages, ticks and completed syncs."""

from cyclamenlift.replication.commits import advance_commit
from cyclamenlift.replication.commits import snapshots_synced
from cyclamenlift.replication.elections import tick_election
from cyclamenlift.replication.elections import vote_synced
import cyclamenlift.replication.following  # noqa: F401 (registers)
import cyclamenlift.replication.installing  # noqa: F401 (registers)
from cyclamenlift.replication.leading import continue_leading
from cyclamenlift.replication.leading import tick_leader
from cyclamenlift.replication.message_handlers import MESSAGE_HANDLERS
from cyclamenlift.replication.queries import Role
from cyclamenlift.replication.state import ReplicaState
from cyclamenlift.wire.gen.protocol.ttypes import AppendRequest
from cyclamenlift.wire.gen.protocol.ttypes import SnapshotChunk

# What only the leader of a term sends.
LEADER_MESSAGES = (AppendRequest, SnapshotChunk)


def accepts(state: ReplicaState, sender: str, message) -> bool:
    """Return whether a message from ``sender`` is processed.

    Votes and answers count only from known peers. A leader is followed even
    if it is unknown here: a majority of some voter set elected it. An
    instance with an empty disk knows its seeds alone, and what membership
    has told it so far.
    """
    return sender in state.peers or isinstance(message, LEADER_MESSAGES)


def receive(state: ReplicaState, sender: str, message, now: float) -> None:
    """Process a message from the instance ``sender``."""
    if accepts(state, sender, message):
        MESSAGE_HANDLERS.get(type(message).__name__)(
            state, sender, message, now
        )


def tick(state: ReplicaState, now: float) -> None:
    """Run the timers; must be called several times per heartbeat."""
    state.disk.tick(state.outbox, now, state.limits.election)
    if state.role is Role.LEADER:
        tick_leader(state, now)
    else:
        tick_election(state, now)


def synced(state: ReplicaState, ticket: int, now: float) -> None:
    """Process the completion of all writes up to ``ticket``."""
    state.log.synced(ticket)
    state.outbox.synced(ticket)
    snapshots_synced(state, ticket, now)
    vote_synced(state, ticket, now)
    if state.leadership is not None:
        advance_commit(state)
        continue_leading(state, now)


def connection_lost(state: ReplicaState, sender: str, now: float) -> None:
    """Process the loss of the connection from ``sender``.

    If it was the leader, its process has probably ended, so the election
    deadline moves to a random time within two heartbeats. If the leader is
    still alive, the pre-vote fails without side effects.
    """
    if sender != state.leader or state.role is not Role.FOLLOWER:
        return
    state.leader_contact_at = float('-inf')
    soon = now + 2 * state.limits.heartbeat * state.rng.random()
    state.election_deadline = min(state.election_deadline, soon)
