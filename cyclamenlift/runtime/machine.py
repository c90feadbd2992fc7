"""What the replicated log drives on a control instance.

One log carries event documents and claims, so that a claim is judged by
the document that stood before it in the log, the same on every instance.
"""

from collections.abc import Callable
import dataclasses

import pydantic

from cyclamenlift.core.compression import decompress
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
from cyclamenlift.wire.gen.protocol.ttypes import PublishCommand


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSnapshot:
    """Everything that a restarted control instance needs."""

    events: EventSnapshot
    ledger: LedgerSnapshot


SNAPSHOT = pydantic.TypeAdapter(ControlSnapshot)


class ControlMachine:
    """The state machine of a control instance: documents and claims.

    Replacing a storage is the replica's own matter and changes nothing
    here, like a command that can not be read.
    """

    def __init__(self) -> None:
        self.events = EventStore()
        self.ledger = Ledger()
        self.version_hooks: list[Callable[[int], None]] = []

    def subscribe_version(self, hook: Callable[[int], None]) -> None:
        """Run ``hook`` with each version that takes effect."""
        self.version_hooks.append(hook)

    def apply(self, index: int, stamp_unix_ms: int, command: bytes) -> bytes:
        """Run one committed command and return its answer."""
        self.ledger.advance(stamp_unix_ms)
        try:
            return self.run(decode_struct(Command, command), stamp_unix_ms)
        except (FrameError, ValueError):
            # The bytes are the same everywhere, so all skip them alike.
            return b''

    def run(self, decoded: Command, stamp_unix_ms: int) -> bytes:
        """Run a command by its kind."""
        if decoded.publish is not None:
            return self.apply_publish(decoded.publish, stamp_unix_ms)
        if decoded.claim is not None:
            ends_ms = self.events.ends_unix_ms()
            answer = apply_claim(self.ledger, decoded.claim, ends_ms)
            return encode_struct(answer)
        if decoded.claim_end is not None:
            ended = apply_claim_end(self.ledger, decoded.claim_end)
            return encode_struct(ended)
        return b''

    def apply_publish(
        self, command: PublishCommand, stamp_unix_ms: int
    ) -> bytes:
        before = self.events.version
        outcome = self.events.publish(
            command.change_id or '',
            command.base_version or 0,
            document_of(command),
            command.operator_name or '',
            stamp_unix_ms,
            command.chosen_version or 0,
        )
        if self.events.version != before:
            self.tell_version()
        return outcome.to_json()

    def tell_version(self) -> None:
        for hook in self.version_hooks:
            hook(self.events.version)

    def snapshot(self) -> bytes:
        """Return the whole state as the JSON of a ``ControlSnapshot``."""
        events = self.events.encode()
        ledger = self.ledger.encode()
        return b'{"events":%b,"ledger":%b}' % (events, ledger)

    def restore(self, data: bytes) -> None:
        """Replace the whole state; raise ValueError on foreign bytes."""
        state = SNAPSHOT.validate_json(data)
        self.events.restore(state.events)
        self.ledger.restore(state.ledger)
        self.tell_version()


def document_of(command: PublishCommand) -> bytes:
    """Return the document of a change; ValueError if it can't be unpacked."""
    if command.packed_document:
        return decompress(command.packed_document, MAX_CANONICAL_BYTES)
    return command.document or b''
