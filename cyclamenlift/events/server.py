"""Serves documents to daemons from a control instance."""

import collections
from collections.abc import Callable
import random

from returns.result import Success

from cyclamenlift.events.document_answers import log_document_answer
from cyclamenlift.events.document_answers import needs_document
from cyclamenlift.events.document_answers import version_answer
from cyclamenlift.events.history import DocumentHistory
from cyclamenlift.events.history import packed_size
from cyclamenlift.events.state import EventStore
from cyclamenlift.models.lines import lines_from_canonical
from cyclamenlift.wire.gen.protocol.ttypes import DocumentAnswer
from cyclamenlift.wire.gen.protocol.ttypes import DocumentRequest
from cyclamenlift.wire.gen.protocol.ttypes import EvacuationState
from cyclamenlift.wire.tasks import Link
from cyclamenlift.wire.tasks import PeerNetwork

LINKS_KEPT = 1024
PUSH_FANOUT = 8
# Maximum size of a change that is pushed unrequested, in bytes: one packet.
# Several instances may push to the same daemon, and larger changes are pulled
# by the daemons that need them.
MAX_PUSHED_BYTES = 1_400


class DocumentServer:
    """Serves the current document and pushes new versions.

    ``committed`` is set only after a majority has confirmed, following the
    request, that this instance leads. A follower or a partitioned leader
    answers with its local data without that flag, and a follower names the
    leader. Requests that arrive while no leader is known are answered again
    once there is one: after a full restart, daemons wait for exactly that. A
    new version is pushed to a few daemons; the others learn of it by gossip. A
    requester that accepts changes gets those since its own version.

    ``names_leader`` is for instances that discover each other by membership,
    where all use the same address. An address that was configured for control
    instances only may not be reachable from daemons.
    """

    def __init__(
        self,
        network: PeerNetwork,
        replica,
        store: EventStore,
        instance: str,
        rng: random.Random,
        names_leader: bool = False,
    ):
        self.names_leader = names_leader
        # Returns the evacuated data centres, None if there never were any.
        self.evacuations: Callable[[], EvacuationState | None] = lambda: None
        self.replica = replica
        self.store = store
        self.instance = instance
        self.rng = rng
        self.history = DocumentHistory()
        # Recent requesters and their last request, by link number.
        self.links: collections.OrderedDict[
            int, tuple[Link, DocumentRequest]
        ] = collections.OrderedDict()
        self.waiting: list[tuple[Link, DocumentRequest]] = []
        # Requests received while no leader was known, by link number.
        self.awaiting_leader: dict[int, tuple[Link, DocumentRequest]] = {}
        self.reading = False
        network.subscribe(DocumentRequest, self.on_request)
        network.subscribe_lost(self.on_link_lost)
        replica.leader_hooks.append(self.on_leader)

    def on_request(self, link: Link, request: DocumentRequest) -> None:
        self.links[link.number] = (link, request)
        while len(self.links) > LINKS_KEPT:
            self.links.popitem(last=False)
        if self.replica.leader != self.instance:
            if not self.replica.leader:
                self.awaiting_leader[link.number] = (link, request)
            self.send_answer(link, request, False)
            return
        self.waiting.append((link, request))
        if not self.reading:
            self.answer_waiting()

    def on_leader(self, leader: str) -> None:
        """Answer again the requests received while no leader was known."""
        if not leader:
            return
        asked = list(self.awaiting_leader.values())
        self.awaiting_leader.clear()
        for link, request in asked:
            self.on_request(link, request)

    def answer_waiting(self) -> None:
        """Confirm leadership once for all waiting requests.

        Requests that arrive during the read wait for the next one: a read says
        nothing about entries that were committed after it began.
        """
        batch, self.waiting = self.waiting, []
        self.reading = True

        def finish(result) -> None:
            self.reading = False
            committed = isinstance(result, Success)
            for link, request in batch:
                self.send_answer(link, request, committed)
            if self.waiting:
                self.answer_waiting()

        self.replica.read_barrier(finish)

    def send_answer(
        self, link: Link, request: DocumentRequest, committed: bool
    ) -> None:
        answer = self.answer(request, committed)
        link.send(answer)
        log_document_answer(link, request, answer)

    def answer(
        self, request: DocumentRequest, committed: bool
    ) -> DocumentAnswer:
        history = self.current_history()
        answer = version_answer(history.version, request, committed)
        answer.evacuations = self.evacuations()
        if needs_document(history, request):
            if request.takes_changes:
                answer.changes = history.since(request.known_version or 0)
            else:
                answer.packed_document = self.store.packed_document()
        follows = self.replica.leader not in ('', self.instance)
        if follows and self.names_leader:
            address = self.replica.address_of(self.replica.leader)
            answer.leader_address = str(address) if address else ''
        return answer

    def current_history(self) -> DocumentHistory:
        """Return the history, updated to the version of the store."""
        version = self.store.version
        if version < self.history.version:
            # The store was recreated, for example after a disk failure.
            self.history = DocumentHistory()
        if version > self.history.version:
            lines = lines_from_canonical(self.store.document())
            self.history.put(version, lines)
        return self.history

    def push_version(self, version: int) -> None:
        """Push a new version to a random sample of recent requesters."""
        asked = list(self.links.values())
        chosen = self.rng.sample(asked, min(PUSH_FANOUT, len(asked)))
        for link, request in chosen:
            link.send(self.pushed_answer(request))

    def pushed_answer(self, request: DocumentRequest) -> DocumentAnswer:
        """Return a pushed answer, with the newest change if it is small."""
        if not request.takes_changes:
            return self.answer(DocumentRequest(0, 0), False)
        history = self.current_history()
        answer = version_answer(history.version, DocumentRequest(0, 0), False)
        answer.evacuations = self.evacuations()
        last = history.last()
        if packed_size(last) <= MAX_PUSHED_BYTES:
            answer.changes = last
        return answer

    def on_link_lost(self, link: Link) -> None:
        self.links.pop(link.number, None)
        self.awaiting_leader.pop(link.number, None)
