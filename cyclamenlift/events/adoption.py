"""Which document a daemon puts in force: pure decisions, no sockets.

A running daemon only moves forward: every document that it is offered was
committed, since control instances show none before. A starting daemon has
nothing to compare with, so it waits for a version that a majority of
control instances confirms. Without a majority it takes the highest that
several others report, marked as unconfirmed.

A majority read names a version; the document may come from anybody. So only
small answers are asked of all control instances, and one copy of the
document of one: five copies of 129 KB, 4,216 routes, took a link of
2 Mbit/s for 2.6 s.
"""

import dataclasses

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.packing import unpack
from cyclamenlift.core.problems import Problem
from cyclamenlift.events.changes import apply_change
from cyclamenlift.events.history import DocumentHistory
from cyclamenlift.models.document import document_from_bytes
from cyclamenlift.models.document import MAX_CANONICAL_BYTES
from cyclamenlift.models.lines import Lines
from cyclamenlift.models.lines import lines_from_canonical
from cyclamenlift.models.lines import rules_by_line
from cyclamenlift.models.lines import rules_from_lines
from cyclamenlift.models.rules import EventRules
from cyclamenlift.wire.gen.protocol.ttypes import DocumentChange

MIN_SOURCES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A version that ``source`` reported, with its document if it sent it.

    ``document`` holds packed canonical bytes, as an earlier release sends
    them; ``changes`` lead to the version from one that is known here, or
    from nothing. ``majority`` says that a control instance confirmed by a
    majority read that no higher version was committed when it answered.
    """

    source: str
    version: int
    document: bytes = b''
    majority: bool = False
    changes: tuple[DocumentChange, ...] = ()

    @property
    def is_whole(self) -> bool:
        """Tell whether it brings a document that needs no other one."""
        return bool(self.document) or self.starts_from_nothing

    @property
    def starts_from_nothing(self) -> bool:
        return bool(self.changes) and not self.changes[0].base_version

    @property
    def packed_bytes(self) -> int:
        """How many bytes of a document came with it."""
        return len(self.document) + sum(len(c.packed) for c in self.changes)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """The lines of a version, and the change that made them, if one did."""

    version: int
    lines: Lines
    packed: bytes = b''


class Adoption:
    """The document in force on one daemon, and what others report."""

    def __init__(self) -> None:
        self.history = DocumentHistory()
        self.rules: EventRules | None = None
        self.confirmed = False
        # The highest version that a majority read has named.
        self.majority_version = 0
        self.heard: dict[str, Offer] = {}

    @property
    def version(self) -> int:
        """The version in force, 0 for none."""
        return self.history.version

    @property
    def running(self) -> bool:
        """Tell whether this daemon may move forward by anybody's word."""
        return self.confirmed or self.rules is not None

    def believes(self, version: int) -> bool:
        """Tell whether a document of this version may come into force.

        What a daemon is offered was committed, so one that is not below
        what a majority named is as good from anybody.
        """
        return self.running or 0 < self.majority_version <= version

    def consider(self, offer: Offer) -> Result[bool, Problem]:
        """Weigh an offer; Success(True) when it came into force.

        A document that does not parse is refused whole: a Failure, and
        the old one stays.
        """
        if offer.majority:
            self.majority_version = max(self.majority_version, offer.version)
        if offer.majority and offer.version == self.version:
            self.confirmed = True
        if offer.version <= self.version:
            return Success(False)
        if not self.believes(offer.version):
            self.hear(offer)
            return Success(False)
        return self.adopt(offer)

    def hear(self, offer: Offer) -> None:
        """Remember the latest word of a source."""
        before = self.heard.get(offer.source)
        known = before is not None and before.version == offer.version
        if known and not offer.is_whole:
            return
        self.heard[offer.source] = offer

    def adopt(self, offer: Offer) -> Result[bool, Problem]:
        """Put the offered document in force, whole or not at all."""
        try:
            steps = self.steps_of(offer)
            if not steps or steps[-1].version != offer.version:
                return Success(False)
            known = rules_by_line(self.history.lines, self.rules)
            rules = rules_from_lines(steps[-1].lines, offer.version, known)
        except ValueError as error:
            detail = str(error).replace('\n', ' ')[:200]
            where = f'version {offer.version} from {offer.source}'
            return Failure(Problem(ResultCode.DOCUMENT_INVALID, detail, where))
        for step in steps:
            self.history.put(step.version, step.lines, step.packed)
        self.rules = rules
        named = 0 < self.majority_version <= offer.version
        self.confirmed = self.confirmed or named
        self.heard.clear()
        return Success(True)

    def steps_of(self, offer: Offer) -> list[Step]:
        """Return the versions from ours to the offered one.

        They are none, or end before it, if the offer has no document or its
        changes begin at a version that is not in force here. ValueError if
        it can't be read.
        """
        if offer.document:
            data = unpack(offer.document, MAX_CANONICAL_BYTES)
            document_from_bytes(data)
            return [Step(offer.version, lines_from_canonical(data))]
        steps: list[Step] = []
        version, lines = self.version, self.history.lines
        for change in offer.changes:
            if not change.base_version:
                lines = apply_change((), change.packed)
                steps.append(Step(change.version, lines))
            elif change.base_version == version:
                lines = apply_change(lines, change.packed)
                steps.append(Step(change.version, lines, change.packed))
            else:
                continue
            version = change.version
        return steps

    def best_heard(self) -> Offer | None:
        """Return the highest version that several others speak of.

        None while fewer than ``MIN_SOURCES`` reported a document: one
        instance's word is never enough. The offer may lack its bytes, to
        be fetched from its source.
        """
        offers = [o for o in self.heard.values() if o.version > self.version]
        if len(offers) < MIN_SOURCES:
            return None
        return max(offers, key=lambda o: (o.version, o.is_whole))

    def fall_back(self) -> Result[bool, Problem]:
        """Take the highest version heard, unconfirmed, if its bytes came."""
        best = self.best_heard()
        if self.running or best is None or not best.is_whole:
            return Success(False)
        return self.adopt(best)
