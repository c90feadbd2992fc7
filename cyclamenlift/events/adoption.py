"""Which document a daemon puts in force: pure decisions, no sockets.

A running daemon only moves forward: every document that it is offered was
committed, since control instances show none before. A starting daemon has
nothing to compare with, so it waits for a version that a majority of
control instances confirms. Without a majority it takes the highest that
several others report, marked as unconfirmed.
"""

import dataclasses

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.packing import unpack
from cyclamenlift.core.problems import Problem
from cyclamenlift.models.document import document_from_bytes
from cyclamenlift.models.document import MAX_CANONICAL_BYTES
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import rules_from_document

MIN_SOURCES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A version that ``source`` reported; packed bytes only if it sent them.

    ``majority`` says that a control instance confirmed by a majority read
    that no higher version was committed when it answered.
    """

    source: str
    version: int
    document: bytes = b''
    majority: bool = False


class Adoption:
    """The document in force on one daemon, and what others report."""

    def __init__(self) -> None:
        self.version = 0
        self.document = b''
        self.rules: EventRules | None = None
        self.confirmed = False
        self.heard: dict[str, Offer] = {}

    @property
    def running(self) -> bool:
        """Tell whether this daemon may move forward by anybody's word."""
        return self.confirmed or self.rules is not None

    def consider(self, offer: Offer) -> Result[bool, Problem]:
        """Weigh an offer; Success(True) when it came into force.

        A document that does not parse is refused whole: a Failure, and
        the old one stays.
        """
        if offer.majority and offer.version == self.version:
            self.confirmed = True
        if offer.version <= self.version:
            return Success(False)
        if not offer.majority and not self.running:
            self.hear(offer)
            return Success(False)
        if not offer.document:
            return Success(False)
        return self.adopt(offer)

    def hear(self, offer: Offer) -> None:
        """Remember the latest word of a source."""
        before = self.heard.get(offer.source)
        known = before is not None and before.version == offer.version
        if known and not offer.document:
            return
        self.heard[offer.source] = offer

    def adopt(self, offer: Offer) -> Result[bool, Problem]:
        """Put the offered document in force, whole or not at all."""
        try:
            data = unpack(offer.document, MAX_CANONICAL_BYTES)
            document = document_from_bytes(data)
        except ValueError as error:
            detail = str(error).replace('\n', ' ')[:200]
            where = f'version {offer.version} from {offer.source}'
            return Failure(Problem(ResultCode.DOCUMENT_INVALID, detail, where))
        self.rules = rules_from_document(document, offer.version)
        self.version = offer.version
        self.document = offer.document
        self.confirmed = self.confirmed or offer.majority
        self.heard.clear()
        return Success(True)

    def best_heard(self) -> Offer | None:
        """Return the highest version that several others speak of.

        None while fewer than ``MIN_SOURCES`` reported a document: one
        instance's word is never enough. The offer may lack its bytes, to
        be fetched from its source.
        """
        offers = [o for o in self.heard.values() if o.version > self.version]
        if len(offers) < MIN_SOURCES:
            return None
        return max(offers, key=lambda o: (o.version, bool(o.document)))

    def fall_back(self) -> Result[bool, Problem]:
        """Take the highest version heard, unconfirmed, if its bytes came."""
        best = self.best_heard()
        if self.running or best is None or not best.document:
            return Success(False)
        return self.adopt(best)
