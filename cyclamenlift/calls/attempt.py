"""One try of a call at one gate: its request frames and its answer."""

import dataclasses

from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Header

# Bodies up to this size are sent in the same frame as the call: 4 ms on a link
# of 32 Mbit/s. Larger ones wait one round trip for the gate's credit, so that
# a gate that sends the call back has not received its body in vain.
MAX_INLINE_BYTES = 16 * 1024
# Flow-control window: bytes of an answer that may be sent without credit.
WINDOW_BYTES = 256 * 1024
CHUNK_BYTES = 16 * 1024


@dataclasses.dataclass(slots=True)
class Try:
    """State of one try; ``number`` is the call id on the link."""

    number: int
    instance: str
    link: object
    started_at: float
    hedge: bool = False
    body: bytes = b''
    offset: int = 0
    window: int = 0
    sending: bool = False
    status: int = 0
    # The target's pace when it began the call, in percent of the usual
    # duration; 0 if unknown.
    pace_percent: int = 0
    headers: list[Header] = dataclasses.field(default_factory=list)
    length: int = -1
    answering: bool = False
    buffered: list[bytes] = dataclasses.field(default_factory=list)
    buffered_size: int = 0
    # Bytes that are reserved to hold a large answer until it is whole.
    held: int = 0
    start_frame: bytes = b''
    body_frames: list[bytes] = dataclasses.field(default_factory=list)

    def send(self, start: CallStart, body: bytes) -> bool:
        """Send the call; False proves that nothing left this process."""
        whole = len(body) <= MAX_INLINE_BYTES
        start.call_id = self.number
        start.body = body if whole else b''
        start.body_complete = whole
        self.start_frame = self.link.post(start)
        if not self.start_frame:
            return False
        if not whole:
            self.body = body
            self.send_more()
        return True

    def send_more(self) -> None:
        """Send body chunks up to the gate's credit.

        A gate in this process grants credit while it receives a chunk. The
        loop that is already running continues with that credit; a nested loop
        would recurse for each chunk.
        """
        if self.sending:
            return
        self.sending = True
        while self.window > 0 and self.offset < len(self.body):
            size = min(CHUNK_BYTES, self.window, len(self.body) - self.offset)
            part = self.body[self.offset : self.offset + size]
            self.offset += size
            self.window -= size
            last = self.offset == len(self.body)
            frame = self.link.post(BodyChunk(self.number, part, last))
            if self.link.pending:
                self.body_frames.append(frame)
        self.sending = False

    def add_credit(self, allowed: int) -> None:
        self.window += allowed
        self.send_more()

    def was_never_sent(self) -> bool:
        """Return whether the gate cannot have received any of this try."""
        return not self.link.was_established or self.link.is_unsent(
            self.start_frame
        )

    def withdraw(self) -> bool:
        """Remove unsent frames; True proves that none has been sent."""
        for frame in self.body_frames:
            self.link.withdraw(frame)
        return self.link.withdraw(self.start_frame)
