"""Leader role: replicate entries, process answers, verify the quorum."""

from cyclamenlift.replication.commits import advance_commit
from cyclamenlift.replication.log import KIND_NO_OP
from cyclamenlift.replication.message_handlers import MESSAGE_HANDLERS
from cyclamenlift.replication.progress import Leadership
from cyclamenlift.replication.progress import Progress
from cyclamenlift.replication.queries import Role
from cyclamenlift.replication.reads import confirm_reads
from cyclamenlift.replication.reads import start_read_round
from cyclamenlift.replication.sending import replicate
from cyclamenlift.replication.sending import start_round
from cyclamenlift.replication.state import ReplicaState
from cyclamenlift.replication.voter_changes import AWAIT_VOTERS_SECONDS
from cyclamenlift.replication.voter_changes import change_voters
from cyclamenlift.wire.gen.protocol.ttypes import AppendAnswer
from cyclamenlift.wire.gen.protocol.ttypes import SnapshotAnswer


def start_leading(
    state: ReplicaState, votes: dict[str, str], now: float
) -> None:
    """Become leader of this term and append a first entry.

    The entry is a no-op, or the initial configuration of a new cluster.
    """
    state.role = Role.LEADER
    state.leader = state.instance
    state.campaign = None
    next_index = state.log.last_index + 1
    state.leadership = Leadership(
        start_index=next_index,
        heartbeat_at=now,
        voters_deadline=now + AWAIT_VOTERS_SECONDS,
        progress={
            peer: Progress(
                storage_id=votes.get(peer, ''),
                next_index=next_index,
                contact_at=now,
            )
            for peer in state.peers
        },
    )
    if state.voters.latest is None:
        state.append_configuration(
            state.voters.first_configuration(votes, state.addresses)
        )
    else:
        state.append([state.make_entry(KIND_NO_OP, b'')])
    start_round(state, now)


def tick_leader(state: ReplicaState, now: float) -> None:
    """Step down without a quorum or with a stalled disk, else heartbeat."""
    if not has_quorum_contact(state, now) or state.is_stalled(now):
        state.follow(state.term, '', now)
        return
    if now >= state.leadership.heartbeat_at:
        start_round(state, now)
        confirm_reads(state)
        change_voters(state, now)


def has_quorum_contact(state: ReplicaState, now: float) -> bool:
    """Return whether a quorum answered within an election timeout."""
    oldest = now - state.limits.election
    present = {
        name: progress.storage_id
        for name, progress in state.leadership.progress.items()
        if progress.contact_at >= oldest
    }
    present[state.instance] = state.storage_id
    return state.has_quorum(present)


@MESSAGE_HANDLERS.register('AppendAnswer')
def receive_append_answer(
    state: ReplicaState, sender: str, answer: AppendAnswer, now: float
) -> None:
    if not accept_answer(state, sender, answer, now):
        return
    progress = state.leadership.progress[sender]
    if answer.accepted:
        progress.record_accepted(answer.match_index)
        advance_commit(state)
    else:
        progress.record_rejected(answer.hint_index)
    continue_leading(state, now)


@MESSAGE_HANDLERS.register('SnapshotAnswer')
def receive_snapshot_answer(
    state: ReplicaState, sender: str, answer: SnapshotAnswer, now: float
) -> None:
    if not accept_answer(state, sender, answer, now):
        return
    progress = state.leadership.progress[sender]
    if answer.installed:
        progress.record_accepted(answer.last_index)
    elif progress.is_sending(answer.last_index):
        progress.transfer.offset = answer.next_offset
        progress.retry_at = None
        progress.probing = False
    continue_leading(state, now)


def accept_answer(
    state: ReplicaState,
    sender: str,
    answer: AppendAnswer | SnapshotAnswer,
    now: float,
) -> bool:
    """Record an answer; return False if it belongs to another term."""
    if answer.term > state.term:
        state.follow(answer.term, '', now)
    if state.leadership is None or answer.term != state.term:
        return False
    progress = state.leadership.progress[sender]
    progress.reset_on_new_storage(answer.storage_id, state.log.last_index + 1)
    state.leadership.record_answer(progress, answer.round_id)
    return True


def continue_leading(state: ReplicaState, now: float) -> None:
    """Complete confirmed reads, then send the next entries or chunks."""
    confirm_reads(state)
    replicate(state, now)
    start_read_round(state, now)
