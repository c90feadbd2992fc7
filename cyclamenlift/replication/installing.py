"""Receiving and installing a snapshot that a leader sends in chunks."""

from cyclamenlift.replication.effects import PersistSnapshot
from cyclamenlift.replication.effects import RestoreMachine
from cyclamenlift.replication.following import accept_leader
from cyclamenlift.replication.message_handlers import MESSAGE_HANDLERS
from cyclamenlift.replication.snapshots import Snapshot
from cyclamenlift.replication.snapshots import SnapshotError
from cyclamenlift.replication.state import IncomingSnapshot
from cyclamenlift.replication.state import ReplicaState
from cyclamenlift.wire.gen.protocol.ttypes import SnapshotAnswer
from cyclamenlift.wire.gen.protocol.ttypes import SnapshotChunk


@MESSAGE_HANDLERS.register('SnapshotChunk')
def receive_chunk(
    state: ReplicaState, sender: str, chunk: SnapshotChunk, now: float
) -> None:
    if chunk.term < state.term:
        state.outbox.send(sender, make_answer(state, chunk, 0, False))
        return
    accept_leader(state, chunk.term, sender, now)
    if chunk.last_index <= state.commit_index:
        state.incoming = None
        state.outbox.send_synced(sender, make_answer(state, chunk, 0, True))
        return
    incoming = store_chunk(state, chunk)
    installed = False
    if chunk.last and incoming.complete:
        installed = install(state, b''.join(incoming.chunks), chunk)
        incoming = state.incoming = None
    offset = incoming.offset if incoming else 0
    answer = make_answer(state, chunk, offset, installed)
    state.outbox.send_synced(sender, answer)


def store_chunk(state: ReplicaState, chunk: SnapshotChunk) -> IncomingSnapshot:
    """Store the next chunk in order and ignore any other."""
    incoming = state.incoming
    known = incoming is not None and (
        (incoming.term, incoming.last_index) == (chunk.term, chunk.last_index)
    )
    if not known:
        incoming = IncomingSnapshot(chunk.term, chunk.last_index)
        state.incoming = incoming
    if chunk.offset == incoming.offset:
        incoming.chunks.append(chunk.data)
        incoming.offset += len(chunk.data)
        incoming.complete = chunk.last
    return incoming


def install(state: ReplicaState, payload: bytes, chunk: SnapshotChunk) -> bool:
    """Replace log and state machine; return False for a bad snapshot."""
    try:
        snapshot = Snapshot.decode(payload)
    except SnapshotError:
        return False
    if snapshot.index != chunk.last_index:
        return False
    ticket = state.outbox.next_ticket()
    keep_log = state.log.term_at(snapshot.index) == snapshot.term
    if keep_log:
        state.log.cover(snapshot.index, ticket)
    else:
        state.log.reset(snapshot.index, snapshot.term, ticket)
        state.voters.reset(None)
    state.voters.restart_from(snapshot.configuration)
    state.refresh_peers()
    state.snapshot = snapshot
    state.commit_index = snapshot.index
    state.uncovered_bytes = 0
    state.last_stamp = max(state.last_stamp, snapshot.stamp_unix_ms)
    state.outbox.add(PersistSnapshot(ticket, snapshot, keep_log))
    state.outbox.add(RestoreMachine(snapshot))
    return True


def make_answer(
    state: ReplicaState, chunk: SnapshotChunk, offset: int, installed: bool
) -> SnapshotAnswer:
    """Return an answer in the current term; it confirms only its rounds."""
    return SnapshotAnswer(
        term=state.term,
        follower=state.instance,
        storage_id=state.storage_id,
        last_index=chunk.last_index,
        next_offset=offset,
        installed=installed,
        round_id=chunk.round_id if chunk.term == state.term else 0,
    )
