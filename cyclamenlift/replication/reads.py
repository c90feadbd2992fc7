"""Linearizable reads, which confirm leadership after the request.

A leader may have been frozen for any length of time, so neither its clock
nor an answer from before the read proves that it still leads. A read waits
for a round of requests that started after it to be answered by a quorum in
the same term, and for an entry of the leader's own term to be committed.
"""

from cyclamenlift.replication.effects import ReadReady
from cyclamenlift.replication.progress import Read
from cyclamenlift.replication.sending import start_round
from cyclamenlift.replication.state import ReplicaState


def request_read(state: ReplicaState, token: int, now: float) -> None:
    """Request a confirmed read (leader only).

    Reads that arrive during a round share the next one.
    """
    state.leadership.reads.append(Read(token))
    start_read_round(state, now)


def start_read_round(state: ReplicaState, now: float) -> None:
    """Start a round if no pending read has one yet."""
    if state.leadership is None:
        return
    rounds = {read.round_id for read in state.leadership.reads}
    if rounds == {0}:
        start_round(state, now)
        confirm_reads(state)


def confirmed_round(state: ReplicaState) -> int:
    """Return the newest round answered by a quorum, 0 if there is none."""
    leadership = state.leadership
    rounds = {p.acked_round for p in leadership.progress.values()}
    rounds.add(leadership.round_id)
    for round_id in sorted(rounds, reverse=True):
        present = {
            name: progress.storage_id
            for name, progress in leadership.progress.items()
            if progress.acked_round >= round_id
        }
        present[state.instance] = state.storage_id
        if state.has_quorum(present):
            return round_id
    return 0


def confirm_reads(state: ReplicaState) -> None:
    """Complete the reads whose round a quorum has answered."""
    leadership = state.leadership
    if not leadership.reads or state.commit_index < leadership.start_index:
        return
    confirmed = confirmed_round(state)
    unconfirmed = []
    for read in leadership.reads:
        if 0 < read.round_id <= confirmed:
            state.outbox.add(ReadReady(read.token, state.commit_index))
        else:
            unconfirmed.append(read)
    leadership.reads = unconfirmed
