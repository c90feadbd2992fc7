"""What the ledger holds and answers: data classes without decisions."""

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
    """What is known of the one attempt that holds a key."""

    OPEN = 0
    ANSWERED = 1
    UNKNOWN = 2


class Verdict(enum.IntEnum):
    """The answer to an attempt; the numbers are those of the wire file."""

    GRANTED = 0
    IN_PROGRESS = 1
    RECORDED = 2
    UNKNOWN = 3
    REFUSED = 4


class Ending(enum.IntEnum):
    """How an attempt ended; the numbers are those of the wire file."""

    RELEASED = 0
    ANSWERED = 1
    UNKNOWN = 2


class ClaimKey(NamedTuple):
    """Identity of an operation: the service's name and the caller's key.

    The deadline of the key is no part of it: an attempt that sends another
    deadline for a key that is held must not run a second time.
    """

    service_name: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRecord:
    """The recorded answer; ``body_kept`` False means: body was too large."""

    __pydantic_config__: ClassVar = BYTES_AS_BASE64
    status: int
    headers: list[tuple[str, str]]
    body: bytes
    body_kept: bool


@dataclasses.dataclass(slots=True)
class Claim:
    """One held key. Instants are in ledger time, milliseconds.

    ``encoded`` keeps its JSON between two snapshots; whoever changes a
    claim calls ``touch``.
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

    def touch(self) -> None:
        """Say that the claim has changed since it was encoded."""
        self.encoded = None

    def identity(self) -> ClaimKey:
        return ClaimKey(self.service_name, self.key)


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedAttempt:
    """An attempt that proved it ran nothing, kept for a minute.

    Its claim may still travel; without this it would take the key again
    with nobody left to end it.
    """

    service_name: str
    key: str
    attempt_id: str
    forget_ms: int

    def identity(self) -> tuple[str, str, str]:
        return (self.service_name, self.key, self.attempt_id)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request for a claim. ``key_expires_ms`` 0: to the event's end."""

    service_name: str
    key: str
    attempt_id: str
    key_expires_ms: int
    fingerprint: bytes
    time_left_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """The answer to an attempt."""

    verdict: Verdict
    code: int = 0
    retry_after_ms: int = 0
    answer: AnswerRecord | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerSnapshot:
    """Everything that a restarted instance needs of the ledger."""

    time_ms: int
    claims: list[Claim]
    released: list[ReleasedAttempt]
