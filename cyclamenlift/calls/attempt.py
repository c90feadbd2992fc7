"""One try of a call at one gate: its request frames and its answer."""

import dataclasses

from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Header

# Bodies up to this size travel in one frame with the call: 4 ms of a link
# of 32 Mbit/s. Larger ones wait for the gate's word, one way and back, so
# that a gate that sends the call back has not been sent its body.
INLINE_BODY = 16 * 1024
# Bytes of an answer that may be on their way without a credit.
WINDOW = 256 * 1024
CHUNK = 16 * 1024


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
    # The pace at which its target began it, in percent; 0 if not told.
    pace_percent: int = 0
    headers: list[Header] = dataclasses.field(default_factory=list)
    length: int = -1
    answering: bool = False
    gathered: list[bytes] = dataclasses.field(default_factory=list)
    gathered_size: int = 0
    start_frame: bytes = b''
    body_frames: list[bytes] = dataclasses.field(default_factory=list)

    def send(self, start: CallStart, body: bytes) -> bool:
        """Send the call; False proves that nothing left this process."""
        whole = len(body) <= INLINE_BODY
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
        """Send body chunks as far as the gate's credit goes.

        A gate in this process gives credit while it takes a chunk: the loop
        that sends that chunk goes on with it, not one inside it.
        """
        if self.sending:
            return
        self.sending = True
        while self.window > 0 and self.offset < len(self.body):
            size = min(CHUNK, self.window, len(self.body) - self.offset)
            part = self.body[self.offset : self.offset + size]
            self.offset += size
            self.window -= size
            last = self.offset == len(self.body)
            frame = self.link.post(BodyChunk(self.number, part, last))
            if self.link.pending:
                self.body_frames.append(frame)
        self.sending = False

    def take_credit(self, allowed: int) -> None:
        self.window += allowed
        self.send_more()

    def never_left(self) -> bool:
        """Tell whether the gate can not have heard of this try."""
        return not self.link.was_established or self.link.is_unsent(
            self.start_frame
        )

    def withdraw(self) -> bool:
        """Take back what has not gone out; True proves that nothing has."""
        for frame in self.body_frames:
            self.link.withdraw(frame)
        return self.link.withdraw(self.start_frame)
