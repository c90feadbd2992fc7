"""Committing entries and taking snapshots of committed state."""

from cyclamenlift.replication.effects import Apply
from cyclamenlift.replication.effects import PersistSnapshot
from cyclamenlift.replication.effects import TakeSnapshot
from cyclamenlift.replication.snapshots import Snapshot
from cyclamenlift.replication.state import ReplicaState

# The limits between snapshots divided by this are the limits of the covered
# entries that stay in the in-memory log.
KEPT_LOG_DIVISOR = 4
# A snapshot is due only after commands of its size divided by this, so that
# writing large ones takes a bounded part of all that is written.
SNAPSHOT_SIZE_DIVISOR = 4


def may_commit(state: ReplicaState, index: int) -> bool:
    """Return whether a quorum of copies of this entry commits it.

    Only entries of the leader's own term are committed by counting copies;
    an older entry may be on a majority and still be overwritten.
    """
    return state.log.term_at(index) == state.term


def instances_with_entry(state: ReplicaState, index: int) -> dict[str, str]:
    """Map the instances that have synced ``index`` to their storage ids."""
    found = {
        name: progress.storage_id
        for name, progress in state.leadership.progress.items()
        if progress.match_index >= index
    }
    if state.log.durable_index >= index:
        found[state.instance] = state.storage_id
    return found


def advance_commit(state: ReplicaState) -> None:
    """Commit up to the newest entry synced by a quorum (leader only)."""
    indexes = {p.match_index for p in state.leadership.progress.values()}
    indexes.add(state.log.durable_index)
    for index in sorted(indexes, reverse=True):
        if index <= state.commit_index:
            return
        if may_commit(state, index) and state.has_quorum(
            instances_with_entry(state, index)
        ):
            commit_to(state, index)
            finalize_configuration(state)
            return


def finalize_configuration(state: ReplicaState) -> None:
    """Append the final configuration once the joint one is committed."""
    latest = state.voters.latest
    if not latest.final and latest.index <= state.commit_index:
        state.append_configuration(latest.finalized())


def commit_to(state: ReplicaState, index: int) -> None:
    """Apply the entries up to ``index`` and take a snapshot when due."""
    entries = state.log.between(state.commit_index, index)
    state.commit_index = index
    state.uncovered_bytes += sum(len(entry.command) for entry in entries)
    state.outbox.add(Apply(tuple(entries)))
    if is_snapshot_due(state):
        state.snapshot_requested = True
        state.outbox.add(TakeSnapshot(index))


def is_snapshot_due(state: ReplicaState) -> bool:
    """Return whether enough was committed since the last snapshot.

    Both limits bound how long it takes to apply what no snapshot covers,
    after a restart or on an empty disk.
    """
    if state.snapshot_requested or state.snapshot_writes:
        return False
    entries = state.commit_index - state.snapshot_index
    if entries >= state.limits.snapshot_entries:
        return True
    size = len(state.snapshot.data) if state.snapshot else 0
    return state.uncovered_bytes >= max(
        state.limits.snapshot_bytes, size // SNAPSHOT_SIZE_DIVISOR
    )


def snapshot_taken(state: ReplicaState, index: int, data: bytes) -> None:
    """Persist the state machine's state at ``index``.

    Everything in a snapshot is committed, so its configuration is final.

    Call this while handling the ``TakeSnapshot`` effect: no later entry
    may have been applied, but later ones may have been committed.
    """
    state.snapshot_requested = False
    if state.snapshot_writes or index <= state.log.base_index:
        return
    configuration = state.voters.at(index)
    snapshot = Snapshot(
        index=index,
        term=state.log.term_at(index),
        stamp_unix_ms=state.last_stamp,
        configuration=configuration.finalized() if configuration else None,
        data=data,
    )
    ticket = state.outbox.next_ticket()
    state.snapshot_writes[ticket] = snapshot
    state.uncovered_bytes = state.log.bytes_between(index, state.commit_index)
    state.outbox.add(PersistSnapshot(ticket, snapshot, keep_log=True))


def snapshots_synced(state: ReplicaState, ticket: int, now: float) -> None:
    """Compact the in-memory log after a snapshot is synced.

    Some covered entries are kept, so that an instance that lags slightly
    behind does not need a full snapshot.
    """
    for written in [t for t in state.snapshot_writes if t <= ticket]:
        snapshot = state.snapshot_writes.pop(written)
        if snapshot.index <= state.snapshot_index:
            continue
        state.snapshot = snapshot
        state.log.compact(last_index_to_drop(state, now))


def last_index_to_drop(state: ReplicaState, now: float) -> int:
    """Return up to which entry the in-memory log is no longer needed.

    An instance that is receiving a snapshot needs the entries after it.
    """
    limits = state.limits
    start = state.log.start_of_tail(
        state.snapshot_index,
        limits.snapshot_entries // KEPT_LOG_DIVISOR,
        limits.snapshot_bytes // KEPT_LOG_DIVISOR,
    )
    if state.leadership is None:
        return start
    sending = [
        progress.transfer.snapshot.index
        for progress in state.leadership.progress.values()
        if progress.transfer and progress.is_reachable(now, limits.election)
    ]
    return min([start, *sending])
