"""The replicated event document store, a deterministic state machine.

Every control instance applies the same log and therefore holds the same store.
A change names the version that it is based on; of two changes with the same
base, the one that comes first in the log wins. A repeated change id returns
the outcome that was recorded for it, so an operator that lost a response can
safely retry.
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
from cyclamenlift.models.rules import end_unix_ms
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import rules_from_document

CHANGE_IDS_KEPT = 4096
VERSIONS_KEPT = 4096
DOCUMENTS_KEPT = 64
# Most bytes of the compressed documents that are kept; the current one is
# kept whatever its size. Bounds memory and the size of a snapshot.
DOCUMENT_BYTES_KEPT = 1024 * 1024
MAX_ID_LENGTH = 128
BYTES_AS_BASE64 = pydantic.ConfigDict(
    ser_json_bytes='base64', val_json_bytes='base64'
)


@dataclasses.dataclass(frozen=True, slots=True)
class PublishOutcome:
    """The result of applying a change.

    ``version`` is the version that the change created, 0 if it was rejected.
    ``current_version`` is the version in force when it was applied.
    """

    code: int
    version: int
    current_version: int
    detail: str = ''

    def to_json(self) -> bytes:
        """Return the outcome as JSON, the result of the log entry."""
        return PUBLISH_OUTCOME.dump_json(self)

    @classmethod
    def from_json(cls, data: bytes) -> 'PublishOutcome':
        """Parse an outcome; raise ValueError if it is malformed."""
        return PUBLISH_OUTCOME.validate_json(data)


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecord:
    """The author, base version and time (leader's clock) of a version."""

    version: int
    base_version: int
    change_id: str
    operator_name: str
    stamp_unix_ms: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """The outcome recorded for a change id and its document's digest."""

    change_id: str
    digest: str
    outcome: PublishOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDocument:
    """The canonical bytes of one version, usually compressed.

    ``packed`` is false in snapshots of releases that stored documents
    uncompressed.
    """

    __pydantic_config__: ClassVar = BYTES_AS_BASE64
    version: int
    document: bytes
    packed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EventSnapshot:
    """The complete serialized state of the store."""

    version: int
    versions: list[VersionRecord]
    changes: list[ChangeRecord]
    documents: list[StoredDocument]


PUBLISH_OUTCOME = pydantic.TypeAdapter(PublishOutcome)
SNAPSHOT = pydantic.TypeAdapter(EventSnapshot)


def digest_of(document: bytes) -> str:
    """Return a digest that identifies a document."""
    return hashlib.sha256(document).hexdigest()


def parse_document(data: bytes) -> EventDocument | str:
    """Return the parsed document, or the reason why parsing failed.

    The reason is truncated because it is stored with the change id.
    """
    if len(data) > MAX_CANONICAL_BYTES:
        return f'over {MAX_CANONICAL_BYTES} bytes'
    try:
        return document_from_bytes(data)
    except ValueError as error:
        return str(error).replace('\n', ' ')[:500]


class EventStore:
    """Holds the current document, the version history and known change ids.

    Documents are kept for the last ``DOCUMENTS_KEPT`` versions, and for fewer
    if they take over ``DOCUMENT_BYTES_KEPT``; version records and the
    outcomes of change ids for the last 4,096. The limits of what outcomes
    depend on are constants rather than settings because instances with
    different limits would return different outcomes.
    """

    def __init__(self) -> None:
        self.version = 0
        self.versions: collections.deque[VersionRecord] = collections.deque(
            maxlen=VERSIONS_KEPT
        )
        self.changes: dict[str, ChangeRecord] = {}
        # Compressed documents by version: 64 large uncompressed ones would
        # take tens of megabytes.
        self.documents: dict[int, bytes] = {}
        self.ends_at_unix_ms = 0

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
        """Apply one change from the log and return its outcome.

        ``chosen_version`` is a version number above the current one that the
        operator selected; 0 assigns the next number.
        """
        digest = digest_of(document)
        known = self.changes.get(change_id)
        if known is not None:
            if known.digest == digest:
                return known.outcome
            return self.reject(
                ResultCode.CHANGE_ID_REUSED,
                'another document came first',
            )
        parsed = parse_document(document)
        outcome = self.evaluate(
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
            self.put_in_force(record, document, parsed)
        self.record_change(ChangeRecord(change_id, digest, outcome))
        return outcome

    def evaluate(
        self,
        change_id: str,
        base_version: int,
        document: bytes,
        parsed: EventDocument | str,
        chosen_version: int = 0,
    ) -> PublishOutcome:
        """Compute the outcome of a new change without applying it."""
        if not 0 < len(change_id) <= MAX_ID_LENGTH:
            return self.reject(
                ResultCode.DOCUMENT_INVALID,
                f'a change id has 1 to {MAX_ID_LENGTH} characters',
            )
        if isinstance(parsed, str):
            return self.reject(ResultCode.DOCUMENT_INVALID, parsed)
        if chosen_version and self.is_in_force(chosen_version, document):
            return PublishOutcome(
                ResultCode.CHANGE_ACCEPTED, self.version, self.version
            )
        if base_version != self.version:
            return self.reject(
                ResultCode.VERSION_CONFLICT,
                f'based on {base_version}, current is {self.version}',
            )
        version = chosen_version or self.version + 1
        if version <= self.version:
            return self.reject(
                ResultCode.DOCUMENT_INVALID,
                f'version {version} is not above {self.version}',
            )
        return PublishOutcome(ResultCode.CHANGE_ACCEPTED, version, version)

    def is_in_force(self, version: int, document: bytes) -> bool:
        """Return whether this document is current under this version."""
        return version == self.version and document == self.document()

    def reject(self, code: ResultCode, detail: str) -> PublishOutcome:
        return PublishOutcome(int(code), 0, self.version, detail)

    def put_in_force(
        self, record: VersionRecord, document: bytes, parsed: EventDocument
    ) -> None:
        """Make an accepted document the current one."""
        self.version = record.version
        self.versions.append(record)
        self.documents[record.version] = compress(document)
        self.evict_documents()
        self.ends_at_unix_ms = end_unix_ms(parsed)

    def evict_documents(self) -> None:
        """Evict the oldest documents, but never the current one."""
        size = sum(len(packed) for packed in self.documents.values())
        while len(self.documents) > 1 and (
            len(self.documents) > DOCUMENTS_KEPT or size > DOCUMENT_BYTES_KEPT
        ):
            size -= len(self.documents.pop(next(iter(self.documents))))

    def record_change(self, record: ChangeRecord) -> None:
        """Record the outcome of a change id and evict the oldest ones."""
        self.changes[record.change_id] = record
        while len(self.changes) > CHANGE_IDS_KEPT:
            del self.changes[next(iter(self.changes))]

    # -- queries ----------------------------------------------------------

    def document(self, version: int = 0) -> bytes | None:
        """Return a document's bytes, None if that version isn't kept.

        Version 0 stands for the current version.
        """
        packed = self.documents.get(version or self.version)
        return decompress(packed, MAX_CANONICAL_BYTES) if packed else None

    def packed_document(self) -> bytes:
        """Return the current document compressed, empty if there is none."""
        return self.documents.get(self.version, b'')

    def history(self, limit: int = 50) -> list[VersionRecord]:
        """Return version records, newest first."""
        newest = list(self.versions)[::-1]
        return newest[:limit]

    def ends_unix_ms(self) -> int:
        """Return when the current event ends, 0 without a document."""
        return self.ends_at_unix_ms

    @property
    def rules(self) -> EventRules | None:
        """The rules of the current document, None without one.

        They are made anew by each call, as control routes no calls.
        """
        current = self.document()
        if current is None:
            return None
        return rules_from_document(document_from_bytes(current), self.version)

    # -- snapshots --------------------------------------------------------

    def encode(self) -> bytes:
        """Serialize the state as the JSON of an ``EventSnapshot``."""
        kept = [
            StoredDocument(version, packed, packed=True)
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
        """Replace the state with that of a decoded snapshot."""
        self.version = state.version
        self.versions = collections.deque(state.versions, maxlen=VERSIONS_KEPT)
        self.changes = {c.change_id: c for c in state.changes}
        self.documents = {
            k.version: k.document if k.packed else compress(k.document)
            for k in state.documents
        }
        self.evict_documents()
        current = self.document()
        self.ends_at_unix_ms = 0
        if current is not None:
            self.ends_at_unix_ms = end_unix_ms(document_from_bytes(current))
