"""Follower role: append the leader's entries and acknowledge them."""

from cyclamenlift.replication.commits import commit_to
from cyclamenlift.replication.message_handlers import InvariantError
from cyclamenlift.replication.message_handlers import MESSAGE_HANDLERS
from cyclamenlift.replication.queries import Role
from cyclamenlift.replication.state import ReplicaState
from cyclamenlift.wire.gen.protocol.ttypes import AppendAnswer
from cyclamenlift.wire.gen.protocol.ttypes import AppendRequest
from cyclamenlift.wire.gen.protocol.ttypes import LogEntry


def accept_leader(
    state: ReplicaState, term: int, leader: str, now: float
) -> None:
    """Accept the sender as the leader of ``term``.

    Raises InvariantError if this replica leads the same term.
    """
    if term == state.term and state.role is Role.LEADER:
        raise InvariantError(f'{leader} also claims to lead term {term}')
    state.follow(term, leader, now)
    state.leader_contact_at = now
    state.restarted_with_log = False
    state.reset_election_deadline(now)


@MESSAGE_HANDLERS.register('AppendRequest')
def receive_request(
    state: ReplicaState, sender: str, request: AppendRequest, now: float
) -> None:
    if request.term < state.term:
        state.outbox.send(sender, make_answer(state, request, False, 0))
        return
    accept_leader(state, request.term, sender, now)
    if not log_matches(state, request):
        hint = conflict_hint(state, request)
        answer = make_answer(state, request, False, 0, hint)
        state.outbox.send_synced(sender, answer)
        return
    append_new_entries(state, request.entries)
    last = request.previous_index + len(request.entries)
    send_ack(state, sender, request, last)
    committed = min(request.commit_index, last)
    if committed > state.commit_index:
        commit_to(state, committed)


def log_matches(state: ReplicaState, request: AppendRequest) -> bool:
    """Return whether the log matches at the entry before the new ones."""
    if request.previous_index <= state.commit_index:
        return True
    ours = state.log.term_at(request.previous_index)
    return ours == request.previous_term


def conflict_hint(state: ReplicaState, request: AppendRequest) -> int:
    """Return the last index that may match, skipping whole terms."""
    last = state.log.last_index
    if last < request.previous_index:
        return last
    first = state.log.first_of_term(request.previous_index)
    return max(first - 1, state.commit_index)


def append_new_entries(state: ReplicaState, entries: list[LogEntry]) -> None:
    """Append new entries, truncating conflicting ones of an old leader."""
    for position, entry in enumerate(entries):
        if entry.index <= state.commit_index:
            continue
        if state.log.term_at(entry.index) == entry.term:
            continue
        if entry.index <= state.log.last_index:
            truncate_from(state, entry.index)
        state.append(entries[position:])
        return


def truncate_from(state: ReplicaState, index: int) -> None:
    if index <= state.commit_index:
        raise InvariantError(f'cannot truncate committed entry {index}')
    state.log.truncate_from(index)
    state.voters.truncate_from(index)
    state.refresh_peers()


def send_ack(
    state: ReplicaState, sender: str, request: AppendRequest, last: int
) -> None:
    """Acknowledge ``last`` after it is synced.

    A heartbeat without entries is answered at once with the index that is
    already durable, so that a slow disk does not look like a lost instance.
    """
    if request.entries or not state.term_is_durable:
        answer = make_answer(state, request, True, last)
        state.outbox.send_synced(sender, answer)
        return
    synced = min(last, state.log.durable_index)
    state.outbox.send(sender, make_answer(state, request, True, synced))


def make_answer(
    state: ReplicaState,
    request: AppendRequest,
    accepted: bool,
    match_index: int,
    hint_index: int = 0,
) -> AppendAnswer:
    """Return an answer in the current term.

    It confirms a round only of that term: rounds of an earlier term have the
    numbers of others if their leader leads again.
    """
    return AppendAnswer(
        term=state.term,
        follower=state.instance,
        storage_id=state.storage_id,
        accepted=accepted,
        match_index=match_index,
        round_id=request.round_id if request.term == state.term else 0,
        hint_index=hint_index,
    )
