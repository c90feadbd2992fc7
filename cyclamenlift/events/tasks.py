"""The daemon's follower of the configuration."""

from collections.abc import Callable
import itertools
import random

from circuits.core.components import BaseComponent
from returns.result import Failure
from returns.result import Result
import structlog

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.compression import compress
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.scheduler import Root
from cyclamenlift.core.streams import Address
from cyclamenlift.events.adoption import Adoption
from cyclamenlift.events.adoption import Offer
from cyclamenlift.events.giving import bare_answer
from cyclamenlift.events.giving import given_bytes
from cyclamenlift.events.giving import lacks
from cyclamenlift.events.giving import LinkShare
from cyclamenlift.events.giving import log_given
from cyclamenlift.events.lagging import Lag
from cyclamenlift.events.pulling import Puller
from cyclamenlift.models.lines import canonical_from_lines
from cyclamenlift.models.rules import EventRules
from cyclamenlift.wire.gen.protocol.ttypes import DocumentAnswer
from cyclamenlift.wire.gen.protocol.ttypes import DocumentRequest
from cyclamenlift.wire.network import Link
from cyclamenlift.wire.network import PeerNetwork

POLL_SECONDS = 5.0
CONFIRM_SECONDS = 0.5
# The wait after the first question: where all start at once it went to
# instances that did not listen yet. Doubled until it is the usual one.
FIRST_CONFIRM_SECONDS = 0.1
FALL_BACK_SECONDS = 3.0
JITTER = 0.5
# A leader that is named by several is asked once within this time, in
# seconds: longer than a way there and back, shorter than a poll.
HINT_SECONDS = 0.05
NEVER = float('-inf')
LOG = structlog.get_logger('events')


class ConfigFollower(BaseComponent):
    """Keeps the newest event document in force on this daemon.

    New versions come from three sides: gossip names one (``note_version``)
    and it is pulled from that peer; a control instance tells a few daemons
    unasked; and a slow poll of one control instance at a time finds what
    both missed. A peer that brings nothing is left for another one that
    named the version, a busy one for a control instance, whose link is wide.
    Until a majority read has confirmed the version, all control instances
    are asked which one there is, twice a second; the document is then pulled
    from one.
    """

    channel = 'configuration'

    def __init__(
        self,
        root: Root,
        network: PeerNetwork,
        control: list[Address],
        rng: random.Random,
    ):
        super().__init__(channel='configuration')
        self.loop = root
        self.network = network
        self.control = list(control)
        self.rng = rng
        self.adoption = Adoption()
        self.numbers = itertools.count(1)
        self.hooks: list[Callable[[EventRules], None]] = []
        # Run with where the leader is, each time that this is told.
        self.leader_hooks: list[Callable[[Address], None]] = []
        self.puller = Puller(self)
        self.share = LinkShare()
        self.lag = Lag()
        # Whether the next document must come whole: the last one did not fit.
        self.wants_whole = False
        # The newest version that can't be read here, from whomever.
        self.unreadable_version = 0
        self.fall_back_at = 0.0
        self.asked_at: dict[str, float] = {}
        self.started = False
        self.confirm_wait = FIRST_CONFIRM_SECONDS
        network.subscribe(DocumentAnswer, self.on_answer)
        network.subscribe(DocumentRequest, self.on_request)
        network.subscribe_lost(self.puller.on_link_lost)
        self.register(root)

    # -- queries ----------------------------------------------------------

    @property
    def rules(self) -> EventRules | None:
        """The rules in force, None while there is no document."""
        return self.adoption.rules

    @property
    def confirmed(self) -> bool:
        """Whether a majority read has confirmed what is in force."""
        return self.adoption.confirmed

    @property
    def version(self) -> int:
        """The version in force, 0 for none."""
        return self.adoption.version

    def is_behind(self) -> bool:
        """Tell whether others are known to have a newer version."""
        return self.lag.is_behind(self.version, self.now())

    def has_caught_up(self) -> bool:
        """Tell whether the newest known version was in force here once."""
        return self.lag.has_caught_up(self.version, self.now())

    # -- commands ---------------------------------------------------------

    def subscribe(self, hook: Callable[[EventRules], None]) -> None:
        """Run ``hook`` with the rules whenever others come into force."""
        self.hooks.append(hook)

    def start(self) -> None:
        """Ask the control instances, now and from now on."""
        if self.started:
            return
        self.started = True
        self.fall_back_at = self.now() + FALL_BACK_SECONDS
        self.poll()

    def update_control_address(self, address: Address, live: bool) -> None:
        """Learn of a control instance, or that one is gone.

        One that tells of itself while nothing is confirmed here has just
        started, as a rule: what it was asked before did not reach it.
        """
        if live:
            if address not in self.control:
                self.control.append(address)
                LOG.info('control_found', address=str(address))
            if self.started and not self.confirmed:
                self.network.abort_connecting(address)
                self.ask(address, with_document=False)
        elif len(self.control) > 1:
            self.remove_control_address(address)

    def remove_control_address(self, address: Address) -> None:
        """Learn that an address is not one of a control instance."""
        if address in self.control:
            self.control.remove(address)
            LOG.info('control_lost', address=str(address))

    def stop(self) -> None:
        """Ask no more; what is in force stays so."""
        self.started = False
        self.puller.under_way = None

    def note_version(self, version: int, peer_address: str) -> None:
        """Learn from gossip which version a peer has in force."""
        if version <= self.version:
            return
        self.lag.hear(version, self.now())
        if not self.adoption.running:
            self.adoption.hear(Offer(peer_address, version))
            return
        self.pull(version, peer_address)

    # -- asking -----------------------------------------------------------

    def now(self) -> float:
        return self.loop.scheduler.clock.now()

    def poll(self) -> None:
        """Ask all until confirmed, then one at a time; plan the next."""
        if not self.started:
            return
        period = POLL_SECONDS if self.confirmed else self.confirm_wait
        self.confirm_wait = min(CONFIRM_SECONDS, 2 * self.confirm_wait)
        spread = self.rng.uniform(1 - JITTER, 1 + JITTER)
        self.loop.scheduler.after(period * spread, self.poll)
        if not self.control:
            self.try_fall_back()
            return
        if self.confirmed:
            self.ask_strangers()
            self.ask(self.rng.choice(self.control))
            return
        for address in self.control:
            self.ask(address, with_document=False)
        self.try_fall_back()

    def ask_strangers(self) -> None:
        """Ask those without a link, so that all can tell of news."""
        for address in self.control:
            if not self.network.has_link(address):
                self.ask(address)

    def ask(self, address: Address, with_document: bool = True) -> int:
        """Ask one instance for the newest version, or only which it is.

        Returns the number that its answer will carry.
        """
        self.asked_at[str(address)] = self.now()
        request = DocumentRequest(
            request_id=next(self.numbers),
            known_version=0 if self.wants_whole else self.version,
            takes_changes=True,
            without_document=not with_document,
        )
        self.network.send(address, request)
        return request.request_id

    def asked_ms(self, source: str) -> int:
        """Return how long ago ``source`` was last asked, -1 for never."""
        asked_at = self.asked_at.get(source)
        if asked_at is None:
            return -1
        return round((self.now() - asked_at) * MILLISECONDS)

    def try_fall_back(self) -> None:
        """Without a majority for long: take the highest that peers have."""
        if self.adoption.running or self.now() < self.fall_back_at:
            return
        best = self.adoption.best_heard()
        if best is None:
            return
        if not best.is_whole:
            self.pull(best.version, best.source)
            return
        self.conclude(self.adoption.fall_back(), best)

    # -- messages ---------------------------------------------------------

    def on_answer(self, link: Link, answer: DocumentAnswer) -> None:
        """Take an answer of a control instance or of a peer."""
        from_control = link.address in self.control
        offer = Offer(
            source=str(link.address or link.stream.remote),
            version=answer.version or 0,
            document=packed_of(answer),
            majority=from_control and bool(answer.committed),
            changes=tuple(answer.changes or ()),
        )
        self.conclude(self.adoption.consider(offer), offer)
        self.go_on(offer, bool(answer.busy))
        self.puller.on_answered(offer, answer.request_id or 0)
        if offer.majority:
            self.note_leader(link.address)
        if from_control and answer.leader_address:
            self.follow_hint(answer.leader_address)

    def go_on(self, offer: Offer, busy: bool) -> None:
        """Pull what an answer named and did not bring."""
        if offer.version <= self.version:
            return
        self.lag.hear(offer.version, self.now())
        if not self.adoption.believes(offer.version):
            return
        if busy:
            self.puller.leave(offer.source)
        else:
            self.pull(offer.version, offer.source)

    def pull(self, version: int, address: str) -> None:
        """Fetch a version, unless it is known to be of no use here."""
        if version != self.unreadable_version:
            self.puller.pull(version, address)

    def note_leader(self, address: Address) -> None:
        for hook in self.leader_hooks:
            hook(address)

    def follow_hint(self, leader_address: str) -> None:
        """Ask the leader that a follower named, unless it was just asked."""
        try:
            address = Address.parse(leader_address)
        except ValueError:
            LOG.warning('leader_hint_unreadable', address=leader_address[:100])
            return
        self.note_leader(address)
        if self.confirmed or not self.started:
            return
        asked_at = self.asked_at.get(str(address), NEVER)
        if self.now() - asked_at < HINT_SECONDS:
            return
        if address in self.control:
            self.ask(address, with_document=False)
        else:
            self.update_control_address(address, True)

    def on_request(self, link: Link, request: DocumentRequest) -> None:
        """Give a peer what it lacks, or send it on while others get theirs."""
        history = self.adoption.history
        # Only who leads control can tell that nothing newer is committed.
        answer = bare_answer(history.version, request, committed=False)
        if lacks(history, request):
            self.fill(answer, request)
        link.send(answer)
        log_given(link, request, answer)

    def fill(self, answer: DocumentAnswer, request: DocumentRequest) -> None:
        history = self.adoption.history
        if request.takes_changes:
            answer.changes = history.since(request.known_version or 0)
        else:
            answer.packed_document = compress(
                canonical_from_lines(history.lines)
            )
        if not self.share.take(given_bytes(answer), self.now()):
            answer.changes = []
            answer.packed_document = b''
            answer.busy = True

    def conclude(self, result: Result[bool, Problem], offer: Offer) -> None:
        """Log what was refused, pass on what came into force."""
        if isinstance(result, Failure):
            problem = result.failure()
            LOG.warning('document_refused', problem=problem.line())
            self.note_refused(offer)
            return
        if not result.unwrap():
            return
        self.wants_whole = False
        LOG.info(
            'document_in_force',
            version=self.version,
            confirmed=self.confirmed,
            source=offer.source,
            packed_bytes=offer.packed_bytes,
            asked_ms=self.asked_ms(offer.source),
        )
        for hook in self.hooks:
            hook(self.rules)

    def note_refused(self, offer: Offer) -> None:
        """Ask for it whole; one that came whole waits for the polls.

        A change may have met another document, but what a whole one holds
        is the same from everybody, and may be of a later release.
        """
        self.wants_whole = True
        if offer.is_whole:
            self.unreadable_version = offer.version


def packed_of(answer: DocumentAnswer) -> bytes:
    """Return the packed document of an answer, empty if it has none."""
    if answer.packed_document:
        return answer.packed_document
    return compress(answer.document) if answer.document else b''
