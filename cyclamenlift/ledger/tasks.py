"""The ledger's client: claims and their ends, sent to whoever leads."""

import collections
from collections.abc import Callable
import dataclasses
import itertools
import random

from circuits.core.components import BaseComponent
import structlog

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import Root
from cyclamenlift.core.tasks import Timer
from cyclamenlift.ledger.finder import LeaderFinder
from cyclamenlift.ledger.messages import no_majority
from cyclamenlift.wire.gen.protocol.ttypes import ClaimAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnd
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEndAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnding
from cyclamenlift.wire.gen.protocol.ttypes import ClaimRequest
from cyclamenlift.wire.gen.protocol.ttypes import ClaimVerdict
from cyclamenlift.wire.tasks import Link
from cyclamenlift.wire.tasks import PeerNetwork

PATIENCE_SECONDS = 1.0
SILENCE_SECONDS = 0.25
SPACING_SECONDS = 0.05
MAX_SPACING_SECONDS = 2.0
MAX_RELEASES = 1_000
RELEASE_SECONDS = 30.0
LOG = structlog.get_logger('ledger')


@dataclasses.dataclass(slots=True)
class Errand:
    """One message that must reach the leader, and who was asked last.

    ``deadline`` is the call's, ``give_up_at`` ends the asking. ``open_asks``
    counts, for each instance, the times it was asked without proving that
    it does not lead: each of them may have put the message into the log.
    """

    message: ClaimRequest | ClaimEnd
    deadline: float
    give_up_at: float
    done: Callable
    asked: Address | None = None
    hops: int = 0
    open_asks: collections.Counter[Address] = dataclasses.field(
        default_factory=collections.Counter
    )
    timer: Timer | None = None

    @property
    def is_claim(self) -> bool:
        return isinstance(self.message, ClaimRequest)

    def maybe_taken(self) -> bool:
        """Tell whether a leader may have put it into the log."""
        return any(self.open_asks.values())


class ClaimClient(BaseComponent):
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
        super().__init__(channel='claims')
        self.loop = root
        self.network = network
        self.finder = LeaderFinder(control, rng)
        self.patience_seconds = patience_seconds
        self.numbers = itertools.count(1)
        self.errands: dict[int, Errand] = {}
        self.releases = 0
        network.subscribe(ClaimAnswer, self.on_claim_answer)
        network.subscribe(ClaimEndAnswer, self.on_end_answer)
        network.subscribe_lost(self.on_link_lost)
        self.register(root)

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

    def begin(self, message, deadline: float, give_up_at: float, done) -> None:
        message.request_id = next(self.numbers)
        errand = Errand(message, deadline, give_up_at, done)
        self.errands[message.request_id] = errand
        self.ask(errand)

    # -- asking -----------------------------------------------------------

    def now(self) -> float:
        return self.loop.scheduler.clock.now()

    def ask(self, errand: Errand) -> None:
        """Send to the likeliest leader, and again if it stays silent."""
        now = self.now()
        address = self.finder.choose(errand.asked)
        if address is None or now >= errand.give_up_at:
            self.plan(errand, now, self.give_up)
            return
        errand.asked = address
        errand.hops += 1
        if errand.is_claim:
            left = max(0.0, errand.deadline - now)
            errand.message.time_left_ms = int(left * MILLISECONDS)
        self.plan(errand, now + SILENCE_SECONDS, self.on_silence)
        if self.network.send(address, errand.message):
            errand.open_asks[address] += 1

    def plan(
        self, errand: Errand, at: float, step: Callable[[Errand], None]
    ) -> None:
        """Run ``step`` at an instant, in place of what was planned."""
        if errand.timer is not None:
            errand.timer.cancel()
        if at >= errand.give_up_at:
            at, step = errand.give_up_at, self.give_up
        errand.timer = self.loop.scheduler.at(at, lambda: step(errand))

    def ask_next(self, errand: Errand) -> None:
        """Ask another instance; after one round of all, with spacing."""
        now = self.now()
        first_round = errand.hops <= len(self.finder.control)
        wait = 0.0 if first_round else self.spacing(errand.hops)
        self.plan(errand, now + wait, self.ask)

    def spacing(self, hops: int) -> float:
        """Return the wait before the next question, longer each round."""
        rounds = hops // max(1, len(self.finder.control))
        return min(MAX_SPACING_SECONDS, SPACING_SECONDS * 2 ** min(rounds, 6))

    def on_silence(self, errand: Errand) -> None:
        self.finder.note_silent(errand.asked)
        self.ask(errand)

    def give_up(self, errand: Errand) -> None:
        """End without an answer; free what may have been taken."""
        if not errand.is_claim:
            self.finish(errand, False)
            return
        self.finish(errand, no_majority(errand.message.request_id))
        if errand.maybe_taken():
            self.release(errand.message)

    def finish(self, errand: Errand, answer) -> None:
        if errand.timer is not None:
            errand.timer.cancel()
        del self.errands[errand.message.request_id]
        errand.done(answer)

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
        if errand is None or not errand.is_claim:
            return
        if answer.verdict == ClaimVerdict.NOT_LEADER:
            self.on_not_leader(errand, link, answer.leader)
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
        if errand is None or errand.is_claim:
            return
        decided = link.hello is not None and (
            answer.leader == link.hello.instance
        )
        if answer.committed or decided:
            if link.address is not None:
                self.finder.note_leader(link.address)
            self.finish(errand, bool(answer.committed))
            return
        self.on_not_leader(errand, link, answer.leader)

    def on_not_leader(self, errand: Errand, link: Link, hint: str) -> None:
        """Follow the hint of an instance that does not lead."""
        if errand.open_asks[link.address] > 0:
            errand.open_asks[link.address] -= 1
        if link.address != errand.asked:
            return
        self.finder.note_refused(link.address, hint or '')
        self.ask_next(errand)

    def on_lost_leader(self, errand: Errand, link: Link) -> None:
        """Ask on: the instance led no majority when it answered."""
        if link.address == errand.asked:
            self.finder.note_silent(link.address)
            self.ask_next(errand)

    def on_link_lost(self, link: Link) -> None:
        """Ask others at once for what was asked over a lost connection."""
        if link.address is None:
            return
        self.finder.note_silent(link.address)
        for errand in list(self.errands.values()):
            if not link.was_up:
                errand.open_asks.pop(link.address, None)
            if errand.asked == link.address:
                self.ask_next(errand)

    def learn_name(self, link: Link) -> None:
        if link.hello is not None and link.address is not None:
            self.finder.note_name(link.hello.instance, link.address)
