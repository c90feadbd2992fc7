"""The replicated store of event documents: a pure state machine.

Every control instance applies the same log and so holds the same store.
A change names the version it was made from; of two changes with one base
the first in the log wins. A change id that comes again gets the answer it
got first, so that an operator who lost an answer may resend.
"""

import collections
import dataclasses
import hashlib
from typing import ClassVar

import pydantic

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.compression import compress
from cyclamenlift.core.compression import decompress
from cyclamenlift.models.document import document_from_bytes
from cyclamenlift.models.document import EventDocument
from cyclamenlift.models.document import MAX_CANONICAL_BYTES
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import rules_from_document

CHANGE_IDS_KEPT = 4096
VERSIONS_KEPT = 4096
DOCUMENTS_KEPT = 64
MAX_ID_LENGTH = 128
BYTES_AS_BASE64 = pydantic.ConfigDict(
    ser_json_bytes='base64', val_json_bytes='base64'
)


@dataclasses.dataclass(frozen=True, slots=True)
class PublishOutcome:
    """What became of a change.

    ``version`` is the version the change made, 0 when it was refused.
    ``current_version`` is the version in force when it was applied.
    """

    code: int
    version: int
    current_version: int
    detail: str = ''

    def to_json(self) -> bytes:
        """Return the form in which the log answers."""
        return PUBLISH_OUTCOME.dump_json(self)

    @classmethod
    def from_json(cls, data: bytes) -> 'PublishOutcome':
        """Read it back; raise ValueError on foreign bytes."""
        return PUBLISH_OUTCOME.validate_json(data)


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecord:
    """Who made a version, from which base and when (leader's clock)."""

    version: int
    base_version: int
    change_id: str
    operator_name: str
    stamp_unix_ms: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """The first answer to a change id, and for which document it was."""

    change_id: str
    digest: str
    outcome: PublishOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class KeptDocument:
    """One full document; its canonical bytes, packed or, before, not."""

    __pydantic_config__: ClassVar = BYTES_AS_BASE64
    version: int
    document: bytes
    packed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EventSnapshot:
    """Everything that a restarted instance needs of the store."""

    version: int
    versions: list[VersionRecord]
    changes: list[ChangeRecord]
    documents: list[KeptDocument]


PUBLISH_OUTCOME = pydantic.TypeAdapter(PublishOutcome)
SNAPSHOT = pydantic.TypeAdapter(EventSnapshot)


def digest_of(document: bytes) -> str:
    """Return a digest that tells two documents apart."""
    return hashlib.sha256(document).hexdigest()


def parse_document(data: bytes) -> EventDocument | str:
    """Return the document, or why the bytes are none.

    The reason is cut short, since it is kept with the change id.
    """
    if len(data) > MAX_CANONICAL_BYTES:
        return f'over {MAX_CANONICAL_BYTES} bytes'
    try:
        return document_from_bytes(data)
    except ValueError as error:
        return str(error).replace('\n', ' ')[:500]


class EventStore:
    """Holds the document in force, its history and the change ids.

    Full documents are kept for the last ``DOCUMENTS_KEPT`` versions, the
    records of versions and the answers to change ids for the last 4,096.
    The bounds are constants, not settings: instances with different
    bounds would give different answers.
    """

    def __init__(self) -> None:
        self.version = 0
        self.versions: collections.deque[VersionRecord] = collections.deque(
            maxlen=VERSIONS_KEPT
        )
        self.changes: dict[str, ChangeRecord] = {}
        # Packed, by version: 64 large ones would fill tens of megabytes.
        self.documents: dict[int, bytes] = {}
        self.rules: EventRules | None = None

    # -- commands ---------------------------------------------------------

    def publish(
        self,
        change_id: str,
        base_version: int,
        document: bytes,
        operator_name: str,
        stamp_unix_ms: int,
        chosen_version: int = 0,
    ) -> PublishOutcome:
        """Apply one change from the log and return its answer.

        ``chosen_version`` is the number that its operator gave it, above
        the one in force; 0 takes the next number.
        """
        digest = digest_of(document)
        known = self.changes.get(change_id)
        if known is not None:
            if known.digest == digest:
                return known.outcome
            return self.refuse(
                ResultCode.CHANGE_ID_REUSED, 'another document came first'
            )
        parsed = parse_document(document)
        outcome = self.decide(
            change_id, base_version, document, parsed, chosen_version
        )
        accepted = outcome.code == ResultCode.CHANGE_ACCEPTED
        if accepted and outcome.version != self.version:
            record = VersionRecord(
                outcome.version,
                base_version,
                change_id,
                operator_name,
                stamp_unix_ms,
                digest,
            )
            self.take(record, document, parsed)
        self.remember(ChangeRecord(change_id, digest, outcome))
        return outcome

    def decide(
        self,
        change_id: str,
        base_version: int,
        document: bytes,
        parsed: EventDocument | str,
        chosen_version: int = 0,
    ) -> PublishOutcome:
        """Return the first answer to a change; nothing is changed yet."""
        if not 0 < len(change_id) <= MAX_ID_LENGTH:
            return self.refuse(
                ResultCode.DOCUMENT_INVALID,
                f'a change id has 1 to {MAX_ID_LENGTH} characters',
            )
        if isinstance(parsed, str):
            return self.refuse(ResultCode.DOCUMENT_INVALID, parsed)
        if chosen_version and self.is_in_force(chosen_version, document):
            return PublishOutcome(
                ResultCode.CHANGE_ACCEPTED, self.version, self.version
            )
        if base_version != self.version:
            return self.refuse(
                ResultCode.VERSION_CONFLICT,
                f'based on {base_version}, current is {self.version}',
            )
        version = chosen_version or self.version + 1
        if version <= self.version:
            return self.refuse(
                ResultCode.DOCUMENT_INVALID,
                f'version {version} is not above {self.version}',
            )
        return PublishOutcome(ResultCode.CHANGE_ACCEPTED, version, version)

    def is_in_force(self, version: int, document: bytes) -> bool:
        """Tell whether just this stands under just this number."""
        return version == self.version and document == self.document()

    def refuse(self, code: ResultCode, detail: str) -> PublishOutcome:
        return PublishOutcome(int(code), 0, self.version, detail)

    def take(
        self, record: VersionRecord, document: bytes, parsed: EventDocument
    ) -> None:
        """Put an accepted document in force."""
        self.version = record.version
        self.versions.append(record)
        self.documents[record.version] = compress(document)
        while len(self.documents) > DOCUMENTS_KEPT:
            del self.documents[next(iter(self.documents))]
        self.rules = rules_from_document(parsed, record.version)

    def remember(self, record: ChangeRecord) -> None:
        """Keep the answer to a change id, dropping the oldest."""
        self.changes[record.change_id] = record
        while len(self.changes) > CHANGE_IDS_KEPT:
            del self.changes[next(iter(self.changes))]

    # -- queries ----------------------------------------------------------

    def document(self, version: int = 0) -> bytes | None:
        """Return the bytes of ``version`` (0: in force), None if gone."""
        packed = self.documents.get(version or self.version)
        return decompress(packed, MAX_CANONICAL_BYTES) if packed else None

    def packed_document(self) -> bytes:
        """Return the packed bytes in force, empty for none."""
        return self.documents.get(self.version, b'')

    def history(self, limit: int = 50) -> list[VersionRecord]:
        """Return the newest records first."""
        newest = list(self.versions)[::-1]
        return newest[:limit]

    def ends_unix_ms(self) -> int:
        """Return when the event in force ends, 0 without a document."""
        return self.rules.ends_unix_ms if self.rules else 0

    # -- snapshots --------------------------------------------------------

    def encode(self) -> bytes:
        """Return the whole state as the JSON of an ``EventSnapshot``."""
        kept = [
            KeptDocument(version, packed, packed=True)
            for version, packed in sorted(self.documents.items())
        ]
        state = EventSnapshot(
            self.version,
            list(self.versions),
            list(self.changes.values()),
            kept,
        )
        return SNAPSHOT.dump_json(state)

    def restore(self, state: EventSnapshot) -> None:
        """Replace the state with a decoded one."""
        self.version = state.version
        self.versions = collections.deque(state.versions, maxlen=VERSIONS_KEPT)
        self.changes = {c.change_id: c for c in state.changes}
        self.documents = {
            k.version: k.document if k.packed else compress(k.document)
            for k in state.documents
        }
        current = self.document()
        self.rules = None
        if current is not None:
            self.rules = rules_from_document(
                document_from_bytes(current), self.version
            )
