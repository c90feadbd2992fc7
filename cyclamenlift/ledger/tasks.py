"""The ledger's client: claims and their ends, sent to whoever leads."""

from collections.abc import Callable
import random

import structlog

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.scheduler import Root
from cyclamenlift.core.streams import Address
from cyclamenlift.ledger.errands import Errand
from cyclamenlift.ledger.errands import LeaderErrands
from cyclamenlift.ledger.finder import LeaderFinder
from cyclamenlift.ledger.messages import no_majority
from cyclamenlift.wire.gen.protocol.ttypes import ClaimAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnd
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEndAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnding
from cyclamenlift.wire.gen.protocol.ttypes import ClaimRequest
from cyclamenlift.wire.gen.protocol.ttypes import ClaimVerdict
from cyclamenlift.wire.network import Link
from cyclamenlift.wire.network import PeerNetwork

PATIENCE_SECONDS = 1.0
MAX_RELEASES = 1_000
RELEASE_SECONDS = 30.0
LOG = structlog.get_logger('ledger')


class ClaimClient(LeaderErrands):
    """Asks the control instances for claims on behalf of one daemon.

    An attempt is sent again with the same attempt id, which the ledger
    answers with the same grant. When no majority is found within
    ``patience_seconds`` the answer is NO_MAJORITY; a claim that may have
    been taken nevertheless is then released. If the release is lost too,
    the key stays taken: later attempts learn that the outcome is unknown,
    and none runs.
    """

    channel = 'claims'

    def __init__(
        self,
        root: Root,
        network: PeerNetwork,
        control: list[Address],
        rng: random.Random,
        patience_seconds: float = PATIENCE_SECONDS,
    ):
        finder = LeaderFinder(control, rng)
        super().__init__(root, network, finder, channel='claims')
        self.patience_seconds = patience_seconds
        self.releases = 0
        network.subscribe(ClaimAnswer, self.on_claim_answer)
        network.subscribe(ClaimEndAnswer, self.on_end_answer)

    # -- commands ---------------------------------------------------------

    def claim(
        self,
        request: ClaimRequest,
        deadline: float,
        done: Callable[[ClaimAnswer], None],
    ) -> None:
        """Ask for a claim; ``done`` runs once, by ``deadline`` at latest.

        The attempt id must be fresh for each call. The request's number
        and time left are filled in here.
        """
        patience_ends = self.now() + self.patience_seconds
        self.begin(request, deadline, min(deadline, patience_ends), done)

    def end(
        self,
        ending: ClaimEnd,
        deadline: float,
        done: Callable[[bool], None],
    ) -> None:
        """Report the end of an attempt until a majority holds it.

        ``done`` gets False when the deadline came first, or when another
        ending of this attempt stands already.
        """
        self.begin(ending, deadline, deadline, done)

    # -- asking -----------------------------------------------------------

    def prepare(self, errand: Errand, now: float) -> None:
        """Tell how much time the call has left."""
        if is_claim(errand):
            left = max(0.0, errand.deadline - now)
            errand.message.time_left_ms = int(left * MILLISECONDS)

    def give_up(self, errand: Errand) -> None:
        """End without an answer; free what may have been taken."""
        if not is_claim(errand):
            self.finish(errand, False)
            return
        self.finish(errand, no_majority(errand.message.request_id))
        if errand.maybe_taken():
            self.release(errand.message)

    def release(self, request: ClaimRequest) -> None:
        """Free a claim that nobody will use.

        Releases are limited in number: an outage must not grow a backlog.
        """
        if self.releases >= MAX_RELEASES:
            return
        self.releases += 1
        ending = ClaimEnd(
            service_name=request.service_name,
            key=request.key,
            attempt_id=request.attempt_id,
            ending=ClaimEnding.RELEASED,
            key_expires_unix_ms=request.key_expires_unix_ms,
        )
        deadline = self.now() + RELEASE_SECONDS
        self.end(ending, deadline, self.note_release)

    def note_release(self, released: bool) -> None:
        self.releases -= 1
        if not released:
            LOG.warning('claim_not_released')

    # -- answers ----------------------------------------------------------

    def on_claim_answer(self, link: Link, answer: ClaimAnswer) -> None:
        self.learn_name(link)
        errand = self.errands.get(answer.request_id)
        if errand is None or not is_claim(errand):
            return
        if answer.verdict == ClaimVerdict.NOT_LEADER:
            self.refused(errand, link, answer.leader)
        elif answer.verdict == ClaimVerdict.NO_MAJORITY:
            self.on_lost_leader(errand, link)
        else:
            self.on_decision(errand, link, answer)

    def on_decision(
        self, errand: Errand, link: Link, answer: ClaimAnswer
    ) -> None:
        """Hand over what the ledger decided, unless it comes too late."""
        if link.address is not None:
            self.finder.note_leader(link.address)
        if self.now() >= errand.give_up_at:
            self.give_up(errand)
            return
        self.finish(errand, answer)
        if answer.code == ResultCode.LEDGER_FULL and errand.hops > 1:
            # This answer comes from outside the log: an earlier question
            # may still be granted.
            self.release(errand.message)

    def on_end_answer(self, link: Link, answer: ClaimEndAnswer) -> None:
        self.learn_name(link)
        errand = self.errands.get(answer.request_id)
        if errand is None or is_claim(errand):
            return
        decided = link.hello is not None and (
            answer.leader == link.hello.instance
        )
        if answer.committed or decided:
            if link.address is not None:
                self.finder.note_leader(link.address)
            self.finish(errand, bool(answer.committed))
            return
        self.refused(errand, link, answer.leader)

    def refused(self, errand: Errand, link: Link, hint: str) -> None:
        """Ask on: the instance does not lead, and may know who does."""
        hinted = self.finder.place_of(hint or '')
        self.on_not_leader(errand, link, hinted)


def is_claim(errand: Errand) -> bool:
    """Tell a claim from the end of one."""
    return isinstance(errand.message, ClaimRequest)
