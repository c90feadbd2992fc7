"""Keeps a daemon's configuration up to date."""

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
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import Root
from cyclamenlift.events.adoption import Adoption
from cyclamenlift.events.adoption import Offer
from cyclamenlift.events.document_answers import document_size
from cyclamenlift.events.document_answers import LinkBudget
from cyclamenlift.events.document_answers import log_document_answer
from cyclamenlift.events.document_answers import needs_document
from cyclamenlift.events.document_answers import version_answer
from cyclamenlift.events.document_pulling import DocumentPuller
from cyclamenlift.events.evacuation_following import EvacuationFollower
from cyclamenlift.events.version_lag import VersionLag
from cyclamenlift.models.lines import canonical_from_lines
from cyclamenlift.models.rules import EventRules
from cyclamenlift.wire.gen.protocol.ttypes import DocumentAnswer
from cyclamenlift.wire.gen.protocol.ttypes import DocumentRequest
from cyclamenlift.wire.tasks import Link
from cyclamenlift.wire.tasks import PeerNetwork

POLL_SECONDS = 5.0
# Polls in the time in which a version must be confirmed, so that one that is
# lost does no harm.
POLLS_TO_CONFIRM = 4.0
CONFIRM_SECONDS = 0.5
# The wait after the first request, which is lost if all instances start at
# once and none listens yet. Doubled up to the regular interval.
FIRST_CONFIRM_SECONDS = 0.1
FALL_BACK_SECONDS = 3.0
JITTER = 0.5
# A leader that several instances name is asked once within this time, in
# seconds: longer than a round trip, shorter than a poll.
HINT_SECONDS = 0.05
NEVER = float('-inf')
LOG = structlog.get_logger('events')


class ConfigFollower(BaseComponent):
    """Keeps the newest event document in force on this daemon.

    New versions arrive in three ways: gossip announces one (``note_version``)
    and it is pulled from that peer; a control instance pushes it to a few
    daemons; and a slow poll of one control instance at a time finds versions
    that both missed. A peer that doesn't deliver is replaced by another peer
    that announced the version, a busy one by a control instance, which has a
    faster link. Until a majority read has confirmed the version, all control
    instances are asked for it twice a second; the document is then pulled from
    one.
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
        self.request_ids = itertools.count(1)
        self.hooks: list[Callable[[EventRules], None]] = []
        # Called with the leader's address each time it is reported.
        self.leader_hooks: list[Callable[[Address], None]] = []
        self.evacuations = EvacuationFollower(root.scheduler.clock.unix_ms)
        self.puller = DocumentPuller(self)
        self.link_budget = LinkBudget()
        self.lag = VersionLag()
        # Request the full document next, since the last diff did not apply.
        self.needs_full_document = False
        # The newest version that failed to parse here. It would fail from any
        # source.
        self.unreadable_version = 0
        self.fall_back_at = 0.0
        self.asked_at: dict[str, float] = {}
        self.started = False
        self.poll_seconds = POLL_SECONDS
        # Whether each poll asks all control instances, so that the leader
        # confirms the version each time.
        self.polls_all = False
        # When a majority read confirmed a version last.
        self.majority_at = NEVER
        self.confirm_wait = FIRST_CONFIRM_SECONDS
        network.subscribe(DocumentAnswer, self.on_answer)
        network.subscribe(DocumentRequest, self.on_request)
        network.subscribe_lost(self.puller.on_link_lost)
        self.register(root)

    # -- queries ----------------------------------------------------------

    @property
    def rules(self) -> EventRules | None:
        """The current rules, None while there is no document."""
        return self.adoption.rules

    @property
    def confirmed(self) -> bool:
        """Whether a majority read has confirmed the current version."""
        return self.adoption.confirmed

    @property
    def version(self) -> int:
        """The current version, 0 for none."""
        return self.adoption.version

    def is_behind(self) -> bool:
        """Return whether a newer version is known to exist."""
        return self.lag.is_behind(self.version, self.now())

    def has_caught_up(self) -> bool:
        """Return whether the newest known version was once in force here."""
        return self.lag.has_caught_up(self.version, self.now())

    def confirmed_within(self, seconds: float) -> bool:
        """Return whether a majority read confirmed the version lately."""
        return self.now() - self.majority_at <= seconds

    # -- commands ---------------------------------------------------------

    def confirm_every(self, seconds: float) -> None:
        """Have the version confirmed more than once in so many seconds."""
        self.poll_seconds = min(POLL_SECONDS, seconds / POLLS_TO_CONFIRM)
        self.polls_all = True

    def subscribe(self, hook: Callable[[EventRules], None]) -> None:
        """Call ``hook`` with the rules whenever they change."""
        self.hooks.append(hook)

    def start(self) -> None:
        """Start polling the control instances."""
        if self.started:
            return
        self.started = True
        self.fall_back_at = self.now() + FALL_BACK_SECONDS
        self.poll()

    def update_control_address(self, address: Address, live: bool) -> None:
        """Add a control instance, or remove one that is gone.

        One that announces itself while nothing is confirmed here has usually
        just started and has missed earlier requests.
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
        """Remove an address that isn't a control instance."""
        if address in self.control:
            self.control.remove(address)
            LOG.info('control_lost', address=str(address))

    def stop(self) -> None:
        """Stop polling; the current document stays in force."""
        self.started = False
        self.puller.current = None

    def note_version(self, version: int, peer_address: str) -> None:
        """Handle the gossip that a peer has this version in force."""
        if version <= self.version:
            return
        self.lag.record_report(version, self.now())
        if not self.adoption.running:
            self.adoption.record_offer(Offer(peer_address, version))
            return
        self.pull(version, peer_address)

    # -- asking -----------------------------------------------------------

    def now(self) -> float:
        return self.loop.scheduler.clock.now()

    def poll(self) -> None:
        """Ask all instances until confirmed, then one at a time."""
        if not self.started:
            return
        period = self.poll_seconds if self.confirmed else self.confirm_wait
        self.confirm_wait = min(CONFIRM_SECONDS, 2 * self.confirm_wait)
        factor = self.rng.uniform(1 - JITTER, 1 + JITTER)
        self.loop.scheduler.after(period * factor, self.poll)
        if not self.control:
            self.try_fall_back()
            return
        if self.confirmed and not self.polls_all:
            self.ask_unlinked()
            self.ask(self.rng.choice(self.control))
            return
        for address in self.control:
            self.ask(address, with_document=False)
        self.try_fall_back()

    def ask_unlinked(self) -> None:
        """Ask unconnected control instances, so that all can push."""
        for address in self.control:
            if not self.network.has_link(address):
                self.ask(address)

    def ask(self, address: Address, with_document: bool = True) -> int:
        """Request the newest version, with or without its document.

        Returns the request id that the answer will carry.
        """
        self.asked_at[str(address)] = self.now()
        request = DocumentRequest(
            request_id=next(self.request_ids),
            known_version=0 if self.needs_full_document else self.version,
            takes_changes=True,
            without_document=not with_document,
        )
        self.network.send(address, request)
        return request.request_id

    def asked_ms(self, source: str) -> int:
        """Return the time since the last request to ``source``, or -1."""
        asked_at = self.asked_at.get(source)
        if asked_at is None:
            return -1
        return round((self.now() - asked_at) * MILLISECONDS)

    def try_fall_back(self) -> None:
        """Adopt the highest reported version if no majority answers."""
        if self.adoption.running or self.now() < self.fall_back_at:
            return
        reported = self.adoption.best_reported()
        if reported is None:
            return
        if not reported.is_complete:
            self.pull(reported.version, reported.source)
            return
        self.handle_result(self.adoption.fall_back(), reported)

    # -- messages ---------------------------------------------------------

    def on_answer(self, link: Link, answer: DocumentAnswer) -> None:
        """Handle an answer from a control instance or a peer."""
        from_control = link.address in self.control
        self.evacuations.note(
            answer.evacuations, str(link.address or link.stream.remote)
        )
        offer = Offer(
            source=str(link.address or link.stream.remote),
            version=answer.version or 0,
            document=packed_document_of(answer),
            majority=from_control and bool(answer.committed),
            changes=tuple(answer.changes or ()),
        )
        self.handle_result(self.adoption.consider(offer), offer)
        self.pull_missing(offer, bool(answer.busy))
        self.puller.on_answered(offer, answer.request_id or 0)
        if offer.majority:
            self.majority_at = self.now()
            self.note_leader(link.address)
        if from_control and answer.leader_address:
            self.ask_hinted_leader(answer.leader_address)

    def pull_missing(self, offer: Offer, busy: bool) -> None:
        """Pull a version that an answer named but did not include."""
        if offer.version <= self.version:
            return
        self.lag.record_report(offer.version, self.now())
        if not self.adoption.is_trusted(offer.version):
            return
        if busy:
            self.puller.leave_busy_source(offer.source)
        else:
            self.pull(offer.version, offer.source)

    def pull(self, version: int, address: str) -> None:
        """Fetch a version unless it is known to be unreadable here."""
        if version != self.unreadable_version:
            self.puller.pull(version, address)

    def note_leader(self, address: Address) -> None:
        for hook in self.leader_hooks:
            hook(address)

    def ask_hinted_leader(self, leader_address: str) -> None:
        """Ask the leader that a follower named, unless just asked."""
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
        """Send a peer the changes it needs, or report that we are busy."""
        history = self.adoption.history
        # Only the leader can confirm that nothing newer is committed.
        answer = version_answer(history.version, request, committed=False)
        answer.evacuations = self.evacuations.view.state
        if needs_document(history, request):
            self.add_document(answer, request)
        link.send(answer)
        log_document_answer(link, request, answer)

    def add_document(
        self, answer: DocumentAnswer, request: DocumentRequest
    ) -> None:
        history = self.adoption.history
        if request.takes_changes:
            answer.changes = history.since(request.known_version or 0)
        else:
            answer.packed_document = compress(
                canonical_from_lines(history.lines)
            )
        if not self.link_budget.reserve(document_size(answer), self.now()):
            answer.changes = []
            answer.packed_document = b''
            answer.busy = True

    def handle_result(
        self, result: Result[bool, Problem], offer: Offer
    ) -> None:
        """Log a rejected document, or notify subscribers of a new one."""
        if isinstance(result, Failure):
            problem = result.failure()
            LOG.warning('document_refused', problem=problem.line())
            self.note_rejected(offer)
            return
        if not result.unwrap():
            return
        self.needs_full_document = False
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

    def note_rejected(self, offer: Offer) -> None:
        """Request the full document next, after a diff that failed.

        A diff may have been applied to the wrong base. A full document is the
        same from every source and may need a later release; the polls look for
        its successor.
        """
        self.needs_full_document = True
        if offer.is_complete:
            self.unreadable_version = offer.version


def packed_document_of(answer: DocumentAnswer) -> bytes:
    """Return the compressed document of an answer, empty if none."""
    if answer.packed_document:
        return answer.packed_document
    return compress(answer.document) if answer.document else b''
