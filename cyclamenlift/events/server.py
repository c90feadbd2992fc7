"""Documents for daemons: the server on a control instance."""

import collections
import random

from returns.result import Success
import structlog

from cyclamenlift.events.state import EventStore
from cyclamenlift.wire.gen.protocol.ttypes import DocumentAnswer
from cyclamenlift.wire.gen.protocol.ttypes import DocumentRequest
from cyclamenlift.wire.tasks import Link
from cyclamenlift.wire.tasks import PeerNetwork

LINKS_KEPT = 1024
LINKS_TOLD = 8
LOG = structlog.get_logger('events')


def answer_from(
    version: int, packed: bytes, request: DocumentRequest, committed: bool
) -> DocumentAnswer:
    """Return the answer; the document only to one who lacks it."""
    lacks = version > (request.known_version or 0)
    return DocumentAnswer(
        request_id=request.request_id or 0,
        version=version,
        document=b'',
        committed=committed,
        packed_document=packed if lacks else b'',
    )


def log_given(
    link: Link, request: DocumentRequest, answer: DocumentAnswer
) -> None:
    """Tell that a document went out: to whom, how large, behind what."""
    if not answer.packed_document:
        return
    LOG.info(
        'document_given',
        version=answer.version,
        known=request.known_version,
        packed_bytes=len(answer.packed_document),
        peer=link.hello.instance if link.hello else '',
        pending=link.pending,
    )


class DocumentServer:
    """Answers what is in force, and tells a few of a new version at once.

    ``committed`` is set only after a majority confirmed, following the
    request, that this instance leads. A follower, or a leader that is cut
    off, answers what it has without that mark, and a follower says where
    the leader is. Those who asked while no leader was known hear again once
    there is one: after a restart of all they wait for just that. A new
    version goes to a few daemons unasked; the rest learn of it from each
    other.

    ``names_leader`` is for instances that know each other by membership,
    where all use one address. One that only control was told may not be
    how daemons reach the leader.
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
        self.replica = replica
        self.store = store
        self.instance = instance
        self.rng = rng
        self.links: collections.OrderedDict[int, Link] = (
            collections.OrderedDict()
        )
        self.waiting: list[tuple[Link, DocumentRequest]] = []
        # Who asked while no leader was known, by the number of the link.
        self.unsure: dict[int, tuple[Link, DocumentRequest]] = {}
        self.reading = False
        network.subscribe(DocumentRequest, self.on_request)
        network.subscribe_lost(self.on_link_lost)
        replica.leader_hooks.append(self.on_leader)

    def on_request(self, link: Link, request: DocumentRequest) -> None:
        self.links[link.number] = link
        while len(self.links) > LINKS_KEPT:
            self.links.popitem(last=False)
        if self.replica.leader != self.instance:
            if not self.replica.leader:
                self.unsure[link.number] = (link, request)
            self.give(link, request, False)
            return
        self.waiting.append((link, request))
        if not self.reading:
            self.read_for_waiting()

    def on_leader(self, leader: str) -> None:
        """Answer those again who asked while no leader was known."""
        if not leader:
            return
        asked = list(self.unsure.values())
        self.unsure.clear()
        for link, request in asked:
            self.on_request(link, request)

    def read_for_waiting(self) -> None:
        """Confirm leadership once for all who wait now.

        Those who ask while the read is under way wait for the next one: a
        read proves nothing about what was committed after it began.
        """
        batch, self.waiting = self.waiting, []
        self.reading = True

        def finish(result) -> None:
            self.reading = False
            committed = isinstance(result, Success)
            for link, request in batch:
                self.give(link, request, committed)
            if self.waiting:
                self.read_for_waiting()

        self.replica.read_barrier(finish)

    def give(
        self, link: Link, request: DocumentRequest, committed: bool
    ) -> None:
        answer = self.answer(request, committed)
        link.send(answer)
        log_given(link, request, answer)

    def answer(
        self, request: DocumentRequest, committed: bool
    ) -> DocumentAnswer:
        packed = self.store.packed_document()
        answer = answer_from(self.store.version, packed, request, committed)
        follows = self.replica.leader not in ('', self.instance)
        if follows and self.names_leader:
            address = self.replica.address_of(self.replica.leader)
            answer.leader_address = str(address) if address else ''
        return answer

    def tell(self, version: int) -> None:
        """Send a new version to a few of those who asked lately."""
        links = list(self.links.values())
        chosen = self.rng.sample(links, min(LINKS_TOLD, len(links)))
        for link in chosen:
            self.give(link, DocumentRequest(0, 0), False)

    def on_link_lost(self, link: Link) -> None:
        self.links.pop(link.number, None)
        self.unsure.pop(link.number, None)
