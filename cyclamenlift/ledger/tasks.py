"""The claim client, which sends claims and their ends to the leader."""

from collections.abc import Callable
import random

import structlog

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import Root
from cyclamenlift.ledger.finder import LeaderFinder
from cyclamenlift.ledger.leader_client import LeaderClient
from cyclamenlift.ledger.leader_client import LeaderRequest
from cyclamenlift.ledger.refusals import no_majority
from cyclamenlift.wire.gen.protocol.ttypes import ClaimAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnd
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEndAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnding
from cyclamenlift.wire.gen.protocol.ttypes import ClaimRequest
from cyclamenlift.wire.gen.protocol.ttypes import ClaimVerdict
from cyclamenlift.wire.tasks import Link
from cyclamenlift.wire.tasks import PeerNetwork

CLAIM_TIMEOUT_SECONDS = 1.0
MAX_PENDING_RELEASES = 1_000
RELEASE_SECONDS = 30.0
LOG = structlog.get_logger('ledger')


class ClaimClient(LeaderClient):
    """Requests claims from the control instances on behalf of a daemon.

    An attempt is retried with the same attempt id, which the ledger answers
    with the same grant. If no majority answers within
    ``claim_timeout_seconds``, the answer is NO_MAJORITY, and a claim that
    may have been granted nevertheless is released. If the release is lost
    too, the key stays held: later attempts get an unknown outcome and none
    of them runs.
    """

    channel = 'claims'

    def __init__(
        self,
        root: Root,
        network: PeerNetwork,
        control: list[Address],
        rng: random.Random,
        claim_timeout_seconds: float = CLAIM_TIMEOUT_SECONDS,
    ):
        finder = LeaderFinder(control, rng)
        super().__init__(root, network, finder, channel='claims')
        self.claim_timeout_seconds = claim_timeout_seconds
        self.pending_releases = 0
        network.subscribe(ClaimAnswer, self.on_claim_answer)
        network.subscribe(ClaimEndAnswer, self.on_end_answer)

    # -- commands ---------------------------------------------------------

    def claim(
        self,
        request: ClaimRequest,
        deadline: float,
        done: Callable[[ClaimAnswer], None],
    ) -> None:
        """Request a claim; ``done`` is called once, by ``deadline``.

        The attempt id must be unique for each call. The request id and the
        time left are filled in here.
        """
        times_out_at = self.now() + self.claim_timeout_seconds
        self.submit(request, deadline, min(deadline, times_out_at), done)

    def end(
        self,
        ending: ClaimEnd,
        deadline: float,
        done: Callable[[bool], None],
    ) -> None:
        """Report the end of an attempt until it is committed.

        ``done`` gets False if the deadline passed first, or if another
        ending of this attempt is already recorded.
        """
        self.submit(ending, deadline, deadline, done)

    # -- attempts ---------------------------------------------------------

    def prepare(self, pending: LeaderRequest, now: float) -> None:
        """Fill in the time that the call has left."""
        if is_claim(pending):
            left = max(0.0, pending.deadline - now)
            pending.message.time_left_ms = int(left * MILLISECONDS)

    def give_up(self, pending: LeaderRequest) -> None:
        """End without an answer and release a claim that may be granted."""
        if not is_claim(pending):
            self.finish(pending, False)
            return
        self.finish(pending, no_majority(pending.message.request_id))
        if pending.is_maybe_appended():
            self.release(pending.message)

    def release(self, request: ClaimRequest) -> None:
        """Release a claim that will not be used.

        The number of pending releases is limited, so that no backlog grows
        during an outage.
        """
        if self.pending_releases >= MAX_PENDING_RELEASES:
            return
        self.pending_releases += 1
        ending = ClaimEnd(
            service_name=request.service_name,
            key=request.key,
            attempt_id=request.attempt_id,
            ending=ClaimEnding.RELEASED,
            key_expires_unix_ms=request.key_expires_unix_ms,
        )
        deadline = self.now() + RELEASE_SECONDS
        self.end(ending, deadline, self.on_release_finished)

    def on_release_finished(self, released: bool) -> None:
        self.pending_releases -= 1
        if not released:
            LOG.warning('claim_not_released')

    # -- answers ----------------------------------------------------------

    def on_claim_answer(self, link: Link, answer: ClaimAnswer) -> None:
        self.record_instance_address(link)
        pending = self.pending_requests.get(answer.request_id)
        if pending is None or not is_claim(pending):
            return
        if answer.verdict == ClaimVerdict.NOT_LEADER:
            self.on_refused(pending, link, answer.leader)
        elif answer.verdict == ClaimVerdict.NO_MAJORITY:
            self.on_no_quorum(pending, link)
        else:
            self.on_decision(pending, link, answer)

    def on_decision(
        self, pending: LeaderRequest, link: Link, answer: ClaimAnswer
    ) -> None:
        """Pass on the ledger's decision, unless it is too late."""
        if link.address is not None:
            self.finder.note_leader(link.address)
        if self.now() >= pending.give_up_at:
            self.give_up(pending)
            return
        self.finish(pending, answer)
        if answer.code == ResultCode.LEDGER_FULL and pending.attempt_count > 1:
            # This refusal was not made by the ledger itself: an earlier
            # attempt may still be granted.
            self.release(pending.message)

    def on_end_answer(self, link: Link, answer: ClaimEndAnswer) -> None:
        self.record_instance_address(link)
        pending = self.pending_requests.get(answer.request_id)
        if pending is None or is_claim(pending):
            return
        decided = link.hello is not None and (
            answer.leader == link.hello.instance
        )
        if answer.committed or decided:
            if link.address is not None:
                self.finder.note_leader(link.address)
            self.finish(pending, bool(answer.committed))
            return
        self.on_refused(pending, link, answer.leader)

    def on_refused(
        self, pending: LeaderRequest, link: Link, hint: str
    ) -> None:
        """Ask the next instance, following a leader hint if there is one."""
        hinted = self.finder.address_by_name(hint or '')
        self.on_not_leader(pending, link, hinted)


def is_claim(pending: LeaderRequest) -> bool:
    """Return whether the request is a claim, not the end of one."""
    return isinstance(pending.message, ClaimRequest)
