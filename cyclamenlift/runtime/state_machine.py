"""The replicated state machine of a control instance.

Event documents and claims share one log, so every instance evaluates a claim
against the same document: the last one before it in the log.
"""

from collections.abc import Callable
import dataclasses

import pydantic

from cyclamenlift.core.compression import decompress
from cyclamenlift.events.evacuations import EvacuationSnapshot
from cyclamenlift.events.evacuations import EvacuationStore
from cyclamenlift.events.state import EventSnapshot
from cyclamenlift.events.state import EventStore
from cyclamenlift.ledger.messages import apply_claim
from cyclamenlift.ledger.messages import apply_claim_end
from cyclamenlift.ledger.records import LedgerSnapshot
from cyclamenlift.ledger.state import Ledger
from cyclamenlift.models.document import MAX_CANONICAL_BYTES
from cyclamenlift.wire.codec import decode_struct
from cyclamenlift.wire.codec import encode_struct
from cyclamenlift.wire.codec import FrameError
from cyclamenlift.wire.gen.protocol.ttypes import Command
from cyclamenlift.wire.gen.protocol.ttypes import EvacuateCommand
from cyclamenlift.wire.gen.protocol.ttypes import PublishCommand


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSnapshot:
    """The complete state that a control instance restores on a restart.

    Snapshots of releases without evacuations hold none.
    """

    events: EventSnapshot
    ledger: LedgerSnapshot
    evacuations: EvacuationSnapshot | None = None


SNAPSHOT = pydantic.TypeAdapter(ControlSnapshot)


class ControlStateMachine:
    """Applies committed commands to the event documents and the ledger.

    Storage replacements are handled by the replica and ignored here, as are
    commands that can not be decoded.
    """

    def __init__(self) -> None:
        self.events = EventStore()
        self.ledger = Ledger()
        self.evacuations = EvacuationStore()
        self.version_hooks: list[Callable[[int], None]] = []
        self.evacuation_hooks: list[Callable[[EvacuationStore], None]] = []

    def subscribe_version(self, hook: Callable[[int], None]) -> None:
        """Call ``hook`` with each document version that takes effect."""
        self.version_hooks.append(hook)

    def subscribe_evacuations(
        self, hook: Callable[[EvacuationStore], None]
    ) -> None:
        """Call ``hook`` with the store whenever evacuations change."""
        self.evacuation_hooks.append(hook)

    def apply(self, index: int, stamp_unix_ms: int, command: bytes) -> bytes:
        """Apply a committed command and return its encoded result."""
        self.ledger.advance(stamp_unix_ms)
        try:
            return self.run(decode_struct(Command, command), stamp_unix_ms)
        except (FrameError, ValueError):
            # Every instance has the same bytes, so all of them skip this one.
            return b''

    def run(self, decoded: Command, stamp_unix_ms: int) -> bytes:
        """Apply a decoded command according to its kind."""
        if decoded.publish is not None:
            return self.apply_publish(decoded.publish, stamp_unix_ms)
        if decoded.claim is not None:
            ends_ms = self.events.ends_unix_ms()
            answer = apply_claim(self.ledger, decoded.claim, ends_ms)
            return encode_struct(answer)
        if decoded.claim_end is not None:
            ended = apply_claim_end(self.ledger, decoded.claim_end)
            return encode_struct(ended)
        if decoded.evacuate is not None:
            return self.apply_evacuate(decoded.evacuate, stamp_unix_ms)
        return b''

    def apply_publish(
        self, command: PublishCommand, stamp_unix_ms: int
    ) -> bytes:
        before = self.events.version
        outcome = self.events.publish(
            command.change_id or '',
            command.base_version or 0,
            unpack_document(command),
            command.operator_name or '',
            stamp_unix_ms,
            command.chosen_version or 0,
        )
        if self.events.version != before:
            self.run_version_hooks()
        return outcome.to_json()

    def apply_evacuate(
        self, command: EvacuateCommand, stamp_unix_ms: int
    ) -> bytes:
        before = self.evacuations.revision
        outcome = self.evacuations.change(
            command.data_centre or '',
            bool(command.evacuated),
            command.base_revision or 0,
            stamp_unix_ms,
            command.operator_name or '',
        )
        if self.evacuations.revision != before:
            self.run_evacuation_hooks()
        return outcome.to_json()

    def run_evacuation_hooks(self) -> None:
        for hook in self.evacuation_hooks:
            hook(self.evacuations)

    def run_version_hooks(self) -> None:
        for hook in self.version_hooks:
            hook(self.events.version)

    def snapshot(self) -> bytes:
        """Return the complete state as JSON of a ``ControlSnapshot``."""
        events = self.events.encode()
        ledger = self.ledger.encode()
        evacuations = self.evacuations.encode()
        return b'{"events":%b,"ledger":%b,"evacuations":%b}' % (
            events,
            ledger,
            evacuations,
        )

    def restore(self, data: bytes) -> None:
        """Replace the complete state; raise ValueError for invalid data."""
        state = SNAPSHOT.validate_json(data)
        self.events.restore(state.events)
        self.ledger.restore(state.ledger)
        self.evacuations.restore(state.evacuations)
        self.run_version_hooks()
        self.run_evacuation_hooks()


def unpack_document(command: PublishCommand) -> bytes:
    """Return the document of a change; ValueError if unpacking fails."""
    if command.packed_document:
        return decompress(command.packed_document, MAX_CANONICAL_BYTES)
    return command.document or b''
