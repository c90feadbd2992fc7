"""Leader election: a pre-vote without side effects, then a durable vote."""

from cyclamenlift.replication.leading import start_leading
from cyclamenlift.replication.message_handlers import MESSAGE_HANDLERS
from cyclamenlift.replication.queries import Role
from cyclamenlift.replication.state import Campaign
from cyclamenlift.replication.state import ReplicaState
from cyclamenlift.wire.gen.protocol.ttypes import VoteAnswer
from cyclamenlift.wire.gen.protocol.ttypes import VoteRequest


def tick_election(state: ReplicaState, now: float) -> None:
    """Start a pre-vote when the election deadline has passed."""
    if now < state.election_deadline:
        return
    state.schedule_pre_vote(now)
    state.voters.majority_founds = now >= state.founding_deadline
    if state.may_campaign and not state.is_stalled(now):
        start_pre_vote(state, now)


def start_pre_vote(state: ReplicaState, now: float) -> None:
    """Ask peers whether they would grant a vote, keeping the term.

    Without a pre-vote, an instance that was partitioned away would return
    with a higher term and depose a working leader.
    """
    state.role = Role.CANDIDATE
    state.leader = ''
    state.campaign = Campaign(state.term + 1, pre_vote=True)
    state.campaign.votes[state.instance] = state.storage_id
    request = make_request(state, state.campaign)
    for peer in state.peers:
        state.outbox.send(peer, request)
    check_campaign(state, now)


def start_vote(state: ReplicaState, now: float) -> None:
    """Become a candidate in a new term.

    The requests state the end of the local log, so they are sent only after
    that log and the own vote are synced: the statement must still be true
    after a crash.
    """
    state.restarted_with_log = False
    state.term += 1
    state.voted_for = state.instance
    ticket = state.persist_term()
    campaign = Campaign(state.term, pre_vote=False, own_ticket=ticket)
    state.campaign = campaign
    state.reset_election_deadline(now)
    request = make_request(state, campaign)
    for peer in state.peers:
        state.outbox.send_synced(peer, request)


def make_request(state: ReplicaState, campaign: Campaign) -> VoteRequest:
    return VoteRequest(
        term=campaign.term,
        candidate=state.instance,
        storage_id=state.storage_id,
        last_index=state.log.last_index,
        last_term=state.log.last_term,
        pre_vote=campaign.pre_vote,
    )


def vote_synced(state: ReplicaState, ticket: int, now: float) -> None:
    """Count the candidate's own vote once it is durable."""
    campaign = state.campaign
    if campaign is None or campaign.pre_vote:
        return
    if campaign.own_ticket <= ticket:
        campaign.votes[state.instance] = state.storage_id
        check_campaign(state, now)


def check_campaign(state: ReplicaState, now: float) -> None:
    campaign = state.campaign
    if not state.has_quorum(campaign.votes):
        return
    if campaign.pre_vote:
        start_vote(state, now)
    else:
        start_leading(state, campaign.votes, now)


def is_log_up_to_date(state: ReplicaState, request: VoteRequest) -> bool:
    """Return whether the candidate's log is at least as up to date."""
    theirs = (request.last_term, request.last_index)
    return theirs >= (state.log.last_term, state.log.last_index)


def has_active_leader(state: ReplicaState, now: float) -> bool:
    if state.role is Role.LEADER:
        return True
    return now - state.leader_contact_at < state.limits.election


@MESSAGE_HANDLERS.register('VoteRequest')
def receive_request(
    state: ReplicaState, sender: str, request: VoteRequest, now: float
) -> None:
    if request.pre_vote:
        answer_pre_vote(state, sender, request, now)
    else:
        answer_vote(state, sender, request, now)


def answer_pre_vote(
    state: ReplicaState, sender: str, request: VoteRequest, now: float
) -> None:
    granted = (
        request.term > state.term
        and state.may_vote
        and is_log_up_to_date(state, request)
        and not has_active_leader(state, now)
    )
    term = request.term if granted else state.term
    state.outbox.send(sender, make_answer(state, term, granted, True))


def answer_vote(
    state: ReplicaState, sender: str, request: VoteRequest, now: float
) -> None:
    """Grant at most one vote a term, to a log at least as up to date."""
    if request.term > state.term:
        state.follow(request.term, '', now)
    granted = (
        request.term == state.term
        and state.may_vote
        and state.voted_for in ('', sender)
        and is_log_up_to_date(state, request)
    )
    if granted:
        state.restarted_with_log = False
        state.reset_election_deadline(now)
    if granted and not state.voted_for:
        state.voted_for = sender
        state.persist_term()
    send_vote(state, sender, make_answer(state, state.term, granted, False))


def send_vote(state: ReplicaState, to: str, answer: VoteAnswer) -> None:
    """Send the answer after the vote is synced, so no crash undoes it."""
    state.outbox.send_synced(to, answer)


def make_answer(
    state: ReplicaState, term: int, granted: bool, pre_vote: bool
) -> VoteAnswer:
    return VoteAnswer(
        term=term,
        voter=state.instance,
        storage_id=state.storage_id,
        granted=granted,
        pre_vote=pre_vote,
    )


@MESSAGE_HANDLERS.register('VoteAnswer')
def receive_answer(
    state: ReplicaState, sender: str, answer: VoteAnswer, now: float
) -> None:
    """Count a granted vote under the voter's storage id."""
    if answer.term > state.term and not answer.granted:
        state.follow(answer.term, '', now)
        return
    campaign = state.campaign
    if campaign is None or not answer.granted:
        return
    if (answer.term, answer.pre_vote) != (campaign.term, campaign.pre_vote):
        return
    campaign.votes[sender] = answer.storage_id
    check_campaign(state, now)
