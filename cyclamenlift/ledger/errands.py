"""Messages that must reach whoever leads the control instances."""

import collections
from collections.abc import Callable
import dataclasses
import itertools

from circuits.core.components import BaseComponent

from cyclamenlift.core.scheduler import Root
from cyclamenlift.core.scheduler import Timer
from cyclamenlift.core.streams import Address
from cyclamenlift.ledger.finder import LeaderFinder
from cyclamenlift.wire.network import Link
from cyclamenlift.wire.network import PeerNetwork

# How long one instance may be silent before another one is asked, in
# seconds.
SILENCE_SECONDS = 0.25
# The wait between two questions once all instances were asked, in seconds;
# doubled with each further round.
SPACING_SECONDS = 0.05
MAX_SPACING_SECONDS = 2.0
MOST_DOUBLINGS = 6


@dataclasses.dataclass(slots=True)
class Errand:
    """One message that must reach the leader, and who was asked last.

    ``deadline`` is the call's, ``give_up_at`` ends the asking. ``open_asks``
    counts, for each instance, the times it was asked without proving that
    it does not lead: each of them may have put the message into the log.
    ``silent`` holds those who gave no answer, ``in_round`` those who were
    asked since all were, and ``hinted`` is who was named as the leader.
    ``was_taken`` says that it may be in the log since before it was an
    errand.
    """

    message: object
    deadline: float
    give_up_at: float
    done: Callable
    asked: Address | None = None
    hops: int = 0
    open_asks: collections.Counter[Address] = dataclasses.field(
        default_factory=collections.Counter
    )
    silent: set[Address] = dataclasses.field(default_factory=set)
    in_round: set[Address] = dataclasses.field(default_factory=set)
    hinted: Address | None = None
    timer: Timer | None = None
    was_taken: bool = False
    began_at: float = 0.0

    def maybe_taken(self) -> bool:
        """Tell whether a leader may have put it into the log."""
        return self.was_taken or any(self.open_asks.values())


class LeaderErrands(BaseComponent):
    """Asks one control instance after the other until one that leads answers.

    Another one is asked after a silence, a lost connection, or an answer of
    one that does not lead. A message may so reach several instances: it must
    be harmless to take it twice. ``give_up`` ends an errand whose time has
    come.
    """

    max_spacing_seconds = MAX_SPACING_SECONDS

    def __init__(
        self,
        root: Root,
        network: PeerNetwork,
        finder: LeaderFinder,
        channel: str,
    ):
        super().__init__(channel=channel)
        self.loop = root
        self.network = network
        self.finder = finder
        self.numbers = itertools.count(1)
        self.errands: dict[int, Errand] = {}
        network.subscribe_lost(self.on_link_lost)
        self.register(root)

    # -- commands ---------------------------------------------------------

    def begin(
        self,
        message,
        deadline: float,
        give_up_at: float,
        done: Callable,
        was_taken: bool = False,
    ) -> None:
        """Number a message and ask the first instance."""
        message.request_id = next(self.numbers)
        errand = Errand(
            message,
            deadline,
            give_up_at,
            done,
            was_taken=was_taken,
            began_at=self.now(),
        )
        self.errands[message.request_id] = errand
        self.ask(errand)

    def give_up(self, errand: Errand) -> None:
        """End an errand without an answer."""
        raise NotImplementedError

    def finish(self, errand: Errand, answer) -> None:
        """End an errand and hand over its answer."""
        if errand.timer is not None:
            errand.timer.cancel()
        del self.errands[errand.message.request_id]
        errand.done(answer)

    # -- asking -----------------------------------------------------------

    def now(self) -> float:
        return self.loop.scheduler.clock.now()

    def prepare(self, errand: Errand, now: float) -> None:
        """Bring a message up to date before it is sent."""

    def ask(self, errand: Errand) -> None:
        """Send to the likeliest leader, and again if it stays silent."""
        now = self.now()
        address = self.next_place(errand)
        if address is None or now >= errand.give_up_at:
            self.plan(errand, now, self.give_up)
            return
        errand.asked = address
        errand.hops += 1
        self.prepare(errand, now)
        self.plan(errand, now + SILENCE_SECONDS, self.on_silence)
        if self.network.send(address, errand.message):
            errand.open_asks[address] += 1

    def next_place(self, errand: Errand) -> Address | None:
        """Return whom to ask: who was named as the leader, else in turn."""
        hinted, errand.hinted = errand.hinted, None
        if errand.in_round.issuperset(self.finder.control):
            errand.in_round.clear()
        address = hinted or self.finder.choose(
            errand.asked, self.network.is_established, errand.in_round
        )
        if address is not None:
            errand.in_round.add(address)
        return address

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
        wait = SPACING_SECONDS * 2 ** min(rounds, MOST_DOUBLINGS)
        return min(self.max_spacing_seconds, wait)

    def on_silence(self, errand: Errand) -> None:
        errand.silent.add(errand.asked)
        self.finder.note_silent(errand.asked)
        self.ask(errand)

    # -- answers ----------------------------------------------------------

    def on_not_leader(
        self, errand: Errand, link: Link, hinted: Address | None
    ) -> None:
        """Follow the hint of an instance that does not lead.

        Not one to somebody who has been silent: those who do not lead go on
        naming a leader that is gone until they have another one.
        """
        if errand.open_asks[link.address] > 0:
            errand.open_asks[link.address] -= 1
        if link.address != errand.asked:
            return
        if hinted in errand.silent or hinted == link.address:
            hinted = None
        errand.hinted = hinted
        self.finder.note_refused(link.address, hinted)
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
            if not link.was_established:
                errand.open_asks.pop(link.address, None)
            if errand.asked == link.address:
                self.ask_next(errand)

    def learn_name(self, link: Link) -> None:
        """Remember where the instance that answers over ``link`` is."""
        if link.hello is not None and link.address is not None:
            self.finder.note_name(link.hello.instance, link.address)
