"""Reads that confirm leadership after they were asked.

A leader may have been frozen for any time, so neither its clock nor an
answer from before the read proves anything. A read waits for a round of
requests that started after it, answered by a quorum in the same term, and
for an own entry of that term to be committed.
"""

from cyclamenlift.replication.effects import ReadReady
from cyclamenlift.replication.progress import Read
from cyclamenlift.replication.sending import start_round
from cyclamenlift.replication.state import ReplicaState


def ask_read(state: ReplicaState, token: int, now: float) -> None:
    """Ask for a confirmed read (leader only).

    Reads that come while a round is under way share the next one.
    """
    state.leadership.reads.append(Read(token))
    start_waiting_reads(state, now)


def start_waiting_reads(state: ReplicaState, now: float) -> None:
    """Start a round for the reads that wait for one."""
    if state.leadership is None:
        return
    rounds = {read.round_id for read in state.leadership.reads}
    if rounds == {0}:
        start_round(state, now)
        confirm_reads(state)


def confirmed_round(state: ReplicaState) -> int:
    """Return the newest round that a quorum has answered."""
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
    """Release the reads whose round is confirmed."""
    leadership = state.leadership
    if not leadership.reads or state.commit_index < leadership.start_index:
        return
    confirmed = confirmed_round(state)
    waiting = []
    for read in leadership.reads:
        if 0 < read.round_id <= confirmed:
            state.outbox.add(ReadReady(read.token, state.commit_index))
        else:
            waiting.append(read)
    leadership.reads = waiting
