"""Data classes of the ledger's state and outcomes."""

import dataclasses
import enum
from typing import Annotated
from typing import ClassVar
from typing import NamedTuple

import pydantic

BYTES_AS_BASE64 = pydantic.ConfigDict(
    ser_json_bytes='base64', val_json_bytes='base64'
)


class ClaimState(enum.IntEnum):
    """State of the attempt that holds a key."""

    OPEN = 0
    ANSWERED = 1
    UNKNOWN = 2


class Verdict(enum.IntEnum):
    """Result of a claim; the values equal those of the thrift enum."""

    GRANTED = 0
    IN_PROGRESS = 1
    RECORDED = 2
    UNKNOWN = 3
    REFUSED = 4


class Ending(enum.IntEnum):
    """How an attempt ended; the values equal those of the thrift enum."""

    RELEASED = 0
    ANSWERED = 1
    UNKNOWN = 2


class ClaimKey(NamedTuple):
    """Identity of an operation: the service name and the caller's key.

    The key's deadline is not part of it: an attempt that sends another
    deadline for a held key must not run a second time.
    """

    service_name: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRecord:
    """A recorded answer; ``body_kept`` is False if it was too large."""

    __pydantic_config__: ClassVar = BYTES_AS_BASE64
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    body_kept: bool


@dataclasses.dataclass(slots=True)
class Claim:
    """A held key. Times are ledger time in milliseconds.

    ``encoded`` caches the JSON between two snapshots; call ``mark_changed``
    after every change of a claim.
    """

    __pydantic_config__: ClassVar = BYTES_AS_BASE64
    service_name: str
    key: str
    attempt_id: str
    fingerprint: bytes
    expires_ms: int
    attempt_deadline_ms: int
    state: ClaimState = ClaimState.OPEN
    answer: AnswerRecord | None = None
    retained: bool = False
    encoded: Annotated[bytes | None, pydantic.Field(exclude=True)] = None

    def mark_changed(self) -> None:
        """Invalidate the cached encoding after a change."""
        self.encoded = None

    def identity(self) -> ClaimKey:
        return ClaimKey(self.service_name, self.key)


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedAttempt:
    """An attempt known not to have run, kept for a minute.

    A delayed copy of its claim may still arrive; without this record it
    would take the key again, and nothing would ever end that claim.
    """

    service_name: str
    key: str
    attempt_id: str
    forget_ms: int

    def identity(self) -> tuple[str, str, str]:
        return (self.service_name, self.key, self.attempt_id)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A claim request; ``key_expires_ms`` 0 stands for the event's end."""

    service_name: str
    key: str
    attempt_id: str
    key_expires_ms: int
    fingerprint: bytes
    time_left_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """The ledger's answer to an attempt."""

    verdict: Verdict
    code: int = 0
    retry_after_ms: int = 0
    answer: AnswerRecord | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerSnapshot:
    """The serialized state of the ledger."""

    time_ms: int
    claims: list[Claim]
    released: list[ReleasedAttempt]
