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
ANSWER_TIMEOUT_SECONDS = 0.25
# Backoff in seconds between two attempts once all instances were asked;
# doubled with each further round.
BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
MAX_BACKOFF_DOUBLINGS = 6


@dataclasses.dataclass(slots=True)
class LeaderRequest:
    """A request to the leader and the state of its attempts.

    ``deadline`` is the call's deadline, ``give_up_at`` ends the attempts.
    ``asked`` is the instance asked last. ``unresolved_attempts`` counts, by
    instance, the attempts after which it did not prove that it is not the
    leader: each may have appended the message to the log. ``silent`` holds
    the instances that timed out, ``asked_in_round`` those asked in this
    round over all instances, and ``hinted`` the one named as leader.
    ``maybe_appended`` means that an earlier request may have appended the
    message already.
    """

    message: object
    deadline: float
    give_up_at: float
    done: Callable
    asked: Address | None = None
    attempt_count: int = 0
    unresolved_attempts: collections.Counter[Address] = dataclasses.field(
        default_factory=collections.Counter
    )
    silent: set[Address] = dataclasses.field(default_factory=set)
    asked_in_round: set[Address] = dataclasses.field(default_factory=set)
    hinted: Address | None = None
    timer: Timer | None = None
    maybe_appended: bool = False
    began_at: float = 0.0

    def is_maybe_appended(self) -> bool:
        """Return whether a leader may have appended it to the log."""
        return self.maybe_appended or any(self.unresolved_attempts.values())


class LeaderClient(BaseComponent):
    """Sends requests to control instances in turn until the leader answers.

    The next instance is tried after a timeout, a lost connection, or an
    answer of an instance that is not the leader. A message may therefore
    reach several instances and must be idempotent. ``give_up`` ends a
    request that has expired.
    """

    max_backoff_seconds = MAX_BACKOFF_SECONDS

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
        self.pending_requests: dict[int, LeaderRequest] = {}
        network.subscribe_lost(self.on_link_lost)
        self.register(root)

    # -- commands ---------------------------------------------------------

    def submit(
        self,
        message,
        deadline: float,
        give_up_at: float,
        done: Callable,
        maybe_appended: bool = False,
    ) -> None:
        """Assign a request id and send to the first instance."""
        message.request_id = next(self.request_ids)
        pending = LeaderRequest(
            message,
            deadline,
            give_up_at,
            done,
            maybe_appended=maybe_appended,
            began_at=self.now(),
        )
        self.pending_requests[message.request_id] = pending
        self.ask(pending)

    def give_up(self, pending: LeaderRequest) -> None:
        """End a request without an answer."""
        raise NotImplementedError

    def finish(self, pending: LeaderRequest, answer) -> None:
        """End a request and pass on its answer."""
        if pending.timer is not None:
            pending.timer.cancel()
        del self.pending_requests[pending.message.request_id]
        pending.done(answer)

    # -- attempts ---------------------------------------------------------

    def now(self) -> float:
        return self.loop.scheduler.clock.now()

    def prepare(self, pending: LeaderRequest, now: float) -> None:
        """Update a message before it is sent."""

    def ask(self, pending: LeaderRequest) -> None:
        """Send to the most likely leader and set a timeout for the answer."""
        now = self.now()
        address = self.next_address(pending)
        if address is None or now >= pending.give_up_at:
            self.schedule(pending, now, self.give_up)
            return
        pending.asked = address
        pending.attempt_count += 1
        self.prepare(pending, now)
        self.schedule(
            pending, now + ANSWER_TIMEOUT_SECONDS, self.on_answer_timeout
        )
        if self.network.send(address, pending.message):
            pending.unresolved_attempts[address] += 1

    def next_address(self, pending: LeaderRequest) -> Address | None:
        """Return the instance to ask: the hinted leader, else the next one."""
        hinted, pending.hinted = pending.hinted, None
        if pending.asked_in_round.issuperset(self.finder.control):
            pending.asked_in_round.clear()
        address = hinted or self.finder.choose(
            pending.asked, self.network.is_established, pending.asked_in_round
        )
        if address is not None:
            pending.asked_in_round.add(address)
        return address

    def schedule(
        self,
        pending: LeaderRequest,
        at: float,
        step: Callable[[LeaderRequest], None],
    ) -> None:
        """Schedule ``step``, replacing what was scheduled before."""
        if pending.timer is not None:
            pending.timer.cancel()
        if at >= pending.give_up_at:
            at, step = pending.give_up_at, self.give_up
        pending.timer = self.loop.scheduler.at(at, lambda: step(pending))

    def ask_next(self, pending: LeaderRequest) -> None:
        """Ask another instance, with backoff after the first round."""
        now = self.now()
        first_round = pending.attempt_count <= len(self.finder.control)
        wait = 0.0 if first_round else self.backoff(pending.attempt_count)
        self.schedule(pending, now + wait, self.ask)

    def backoff(self, attempt_count: int) -> float:
        """Return the backoff before the next attempt, by round."""
        rounds = attempt_count // max(1, len(self.finder.control))
        wait = BACKOFF_SECONDS * 2 ** min(rounds, MAX_BACKOFF_DOUBLINGS)
        return min(self.max_backoff_seconds, wait)

    def on_answer_timeout(self, pending: LeaderRequest) -> None:
        pending.silent.add(pending.asked)
        self.finder.note_unresponsive(pending.asked)
        self.ask(pending)

    # -- answers ----------------------------------------------------------

    def on_not_leader(
        self, pending: LeaderRequest, link: Link, hinted: Address | None
    ) -> None:
        """Follow the leader hint of an instance that is not the leader.

        A hint to an instance that timed out is ignored: followers name a
        lost leader until another one is elected.
        """
        if pending.unresolved_attempts[link.address] > 0:
            pending.unresolved_attempts[link.address] -= 1
        if link.address != pending.asked:
            return
        if hinted in pending.silent or hinted == link.address:
            hinted = None
        pending.hinted = hinted
        self.finder.note_not_leader(link.address, hinted)
        self.ask_next(pending)

    def on_no_quorum(self, pending: LeaderRequest, link: Link) -> None:
        """Ask another instance: this one had no quorum when it answered."""
        if link.address == pending.asked:
            self.finder.note_unresponsive(link.address)
            self.ask_next(pending)

    def on_link_lost(self, link: Link) -> None:
        """Retry at once what was sent over a lost connection."""
        if link.address is None:
            return
        self.finder.note_unresponsive(link.address)
        for pending in list(self.pending_requests.values()):
            if not link.was_established:
                pending.unresolved_attempts.pop(link.address, None)
            if pending.asked == link.address:
                self.ask_next(pending)

    def record_instance_address(self, link: Link) -> None:
        """Record the address of the instance that answers on ``link``."""
        if link.hello is not None and link.address is not None:
            self.finder.record_address(link.hello.instance, link.address)
