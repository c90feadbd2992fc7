"""Client base class for requests that only the control leader answers."""

import collections
from collections.abc import Callable
import dataclasses
import itertools

from circuits.core.components import BaseComponent

from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import Root
from cyclamenlift.core.tasks import Timer
from cyclamenlift.ledger.finder import LeaderFinder
from cyclamenlift.wire.tasks import Link
from cyclamenlift.wire.tasks import PeerNetwork

# Seconds without an answer before another instance is asked.
SILENCE_SECONDS = 0.25
# Backoff in seconds between two attempts once all instances were asked;
# doubled with each further round.
BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
MAX_BACKOFF_DOUBLINGS = 6


@dataclasses.dataclass(slots=True)
class Errand:
    """A request to the leader and the state of its attempts.

    ``deadline`` is the call's deadline, ``give_up_at`` ends the attempts.
    ``asked`` is the instance asked last. ``unresolved_attempts`` counts, by
    instance, the attempts after which it did not prove that it is not the
    leader: each may have appended the message to the log. ``silent`` holds
    the instances that timed out, ``asked_in_round`` those asked in this
    round over all instances, and ``hinted`` the one named as leader.
    ``was_taken`` means that an earlier request may have appended the
    message already.
    """

    message: object
    deadline: float
    give_up_at: float
    done: Callable
    asked: Address | None = None
    hops: int = 0
    unresolved_attempts: collections.Counter[Address] = dataclasses.field(
        default_factory=collections.Counter
    )
    silent: set[Address] = dataclasses.field(default_factory=set)
    asked_in_round: set[Address] = dataclasses.field(default_factory=set)
    hinted: Address | None = None
    timer: Timer | None = None
    was_taken: bool = False
    began_at: float = 0.0

    def maybe_taken(self) -> bool:
        """Return whether a leader may have appended it to the log."""
        return self.was_taken or any(self.unresolved_attempts.values())


class LeaderErrands(BaseComponent):
    """Sends requests to control instances in turn until the leader answers.

    The next instance is tried after a timeout, a lost connection, or an
    answer of an instance that is not the leader. A message may therefore
    reach several instances and must be idempotent. ``give_up`` ends a
    request that has expired.
    """

    max_spacing_seconds = MAX_BACKOFF_SECONDS

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
        self.request_ids = itertools.count(1)
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
        """Assign a request id and send to the first instance."""
        message.request_id = next(self.request_ids)
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
        """End a request without an answer."""
        raise NotImplementedError

    def finish(self, errand: Errand, answer) -> None:
        """End a request and pass on its answer."""
        if errand.timer is not None:
            errand.timer.cancel()
        del self.errands[errand.message.request_id]
        errand.done(answer)

    # -- attempts ---------------------------------------------------------

    def now(self) -> float:
        return self.loop.scheduler.clock.now()

    def prepare(self, errand: Errand, now: float) -> None:
        """Update a message before it is sent."""

    def ask(self, errand: Errand) -> None:
        """Send to the most likely leader and set a timeout for the answer."""
        now = self.now()
        address = self.next_place(errand)
        if address is None or now >= errand.give_up_at:
            self.plan(errand, now, self.give_up)
            return
        errand.asked = address
        errand.hops += 1
        self.prepare(errand, now)
        self.plan(errand, now + SILENCE_SECONDS, self.on_answer_timeout)
        if self.network.send(address, errand.message):
            errand.unresolved_attempts[address] += 1

    def next_place(self, errand: Errand) -> Address | None:
        """Return the instance to ask: the hinted leader, else the next one."""
        hinted, errand.hinted = errand.hinted, None
        if errand.asked_in_round.issuperset(self.finder.control):
            errand.asked_in_round.clear()
        address = hinted or self.finder.choose(
            errand.asked, self.network.is_up, errand.asked_in_round
        )
        if address is not None:
            errand.asked_in_round.add(address)
        return address

    def plan(
        self, errand: Errand, at: float, step: Callable[[Errand], None]
    ) -> None:
        """Schedule ``step``, replacing what was scheduled before."""
        if errand.timer is not None:
            errand.timer.cancel()
        if at >= errand.give_up_at:
            at, step = errand.give_up_at, self.give_up
        errand.timer = self.loop.scheduler.at(at, lambda: step(errand))

    def ask_next(self, errand: Errand) -> None:
        """Ask another instance, with backoff after the first round."""
        now = self.now()
        first_round = errand.hops <= len(self.finder.control)
        wait = 0.0 if first_round else self.backoff(errand.hops)
        self.plan(errand, now + wait, self.ask)

    def backoff(self, hops: int) -> float:
        """Return the backoff before the next attempt, by round."""
        rounds = hops // max(1, len(self.finder.control))
        wait = BACKOFF_SECONDS * 2 ** min(rounds, MAX_BACKOFF_DOUBLINGS)
        return min(self.max_spacing_seconds, wait)

    def on_answer_timeout(self, errand: Errand) -> None:
        errand.silent.add(errand.asked)
        self.finder.note_unresponsive(errand.asked)
        self.ask(errand)

    # -- answers ----------------------------------------------------------

    def on_not_leader(
        self, errand: Errand, link: Link, hinted: Address | None
    ) -> None:
        """Follow the leader hint of an instance that is not the leader.

        A hint to an instance that timed out is ignored: followers name a
        lost leader until another one is elected.
        """
        if errand.unresolved_attempts[link.address] > 0:
            errand.unresolved_attempts[link.address] -= 1
        if link.address != errand.asked:
            return
        if hinted in errand.silent or hinted == link.address:
            hinted = None
        errand.hinted = hinted
        self.finder.note_not_leader(link.address, hinted)
        self.ask_next(errand)

    def on_lost_leader(self, errand: Errand, link: Link) -> None:
        """Ask another instance: this one had no quorum when it answered."""
        if link.address == errand.asked:
            self.finder.note_unresponsive(link.address)
            self.ask_next(errand)

    def on_link_lost(self, link: Link) -> None:
        """Retry at once what was sent over a lost connection."""
        if link.address is None:
            return
        self.finder.note_unresponsive(link.address)
        for errand in list(self.errands.values()):
            if not link.was_up:
                errand.unresolved_attempts.pop(link.address, None)
            if errand.asked == link.address:
                self.ask_next(errand)

    def record_instance_address(self, link: Link) -> None:
        """Record the address of the instance that answers on ``link``."""
        if link.hello is not None and link.address is not None:
            self.finder.record_address(link.hello.instance, link.address)
