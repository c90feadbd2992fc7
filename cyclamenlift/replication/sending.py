"""Leader messages: heartbeat rounds, entries and snapshot chunks."""

from cyclamenlift.replication.progress import Transfer
from cyclamenlift.replication.state import ReplicaState
from cyclamenlift.wire.gen.protocol.ttypes import AppendRequest
from cyclamenlift.wire.gen.protocol.ttypes import LogEntry
from cyclamenlift.wire.gen.protocol.ttypes import SnapshotChunk


def start_round(state: ReplicaState, now: float) -> None:
    """Start a new round and send a request of it to every peer."""
    leadership = state.leadership
    leadership.heartbeat_at = now + state.limits.heartbeat
    leadership.open_round(now, state.limits.election)
    for peer in state.peers:
        send_append(state, peer, now)


def replicate(state: ReplicaState, now: float) -> None:
    """Send entries to peers that lack some and have none in flight."""
    last_index = state.log.last_index
    for peer, progress in state.leadership.progress.items():
        if progress.next_index <= last_index and progress.is_ready:
            send_append(state, peer, now)


def send_append(state: ReplicaState, peer: str, now: float) -> None:
    """Send missing entries or a snapshot chunk, or else a heartbeat.

    With entries in flight, or when the last ones were not answered in
    time, only a heartbeat is sent; its answer tells where to continue.
    """
    progress = state.leadership.progress[peer]
    if progress.retry_at is not None and now >= progress.retry_at:
        progress.start_probing()
    if progress.next_index <= state.log.base_index:
        send_chunk(state, peer, now)
        return
    entries = []
    if progress.is_ready:
        entries = state.log.after(
            progress.next_index - 1,
            state.limits.batch_entries,
            state.limits.batch_bytes,
        )
    send_entries(state, peer, progress.next_index - 1, entries)
    if entries:
        progress.next_index += len(entries)
        progress.retry_at = now + state.limits.election / 2


def send_entries(
    state: ReplicaState, peer: str, previous: int, entries: list[LogEntry]
) -> None:
    request = AppendRequest(
        term=state.term,
        leader=state.instance,
        previous_index=previous,
        previous_term=state.log.term_at(previous),
        entries=entries,
        commit_index=state.commit_index,
        round_id=state.leadership.round_id,
    )
    state.outbox.send(peer, request)


def send_chunk(state: ReplicaState, peer: str, now: float) -> None:
    """Send the next snapshot chunk, or a heartbeat if one is in flight."""
    progress = state.leadership.progress[peer]
    if not progress.is_ready:
        send_entries(state, peer, state.log.base_index, [])
        return
    if progress.transfer is None:
        snapshot = state.snapshot
        progress.transfer = Transfer(snapshot, snapshot.encode())
    snapshot_transfer = progress.transfer
    end = snapshot_transfer.offset + state.limits.chunk_bytes
    chunk = SnapshotChunk(
        term=state.term,
        leader=state.instance,
        last_index=snapshot_transfer.snapshot.index,
        last_term=snapshot_transfer.snapshot.term,
        offset=snapshot_transfer.offset,
        data=snapshot_transfer.payload[snapshot_transfer.offset : end],
        last=end >= len(snapshot_transfer.payload),
        round_id=state.leadership.round_id,
    )
    progress.retry_at = now + state.limits.election / 2
    state.outbox.send(peer, chunk)
