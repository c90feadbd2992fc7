"""Turns of large answers on the link of the gate's instance.

Whatever is written to a connection stands in the queue of the link before all
that is written later, on any connection. A large answer that is written at
once holds up small ones behind it for as long as it takes. So large answers
are sent in chunks, no faster than the link takes them, and small ones pass
between the chunks. Of large answers the one that is most urgent, then the one
of which least is left, goes next: shortest remaining processing time first
gives the lowest mean time. One alone gets the whole link.

Answers are buffered within the flow-control window of each call, so a caller
that reads slowly delays its own answer only, and the target is paused.
"""

from collections.abc import Hashable
import typing

from cyclamenlift.core.token_bucket import TokenBucket
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.gate_call import GateCall
    from cyclamenlift.gate.tasks import Gate

# How long the link takes for a chunk, in seconds, and the least and the most
# bytes of one: a small answer waits for about one, and each costs processor
# time.
CHUNK_SECONDS = 0.006
MIN_CHUNK = 4 * 1024
MAX_CHUNK = 64 * 1024
# Chunks that may stand in the queue of the link, so that it stays busy when a
# timer fires late.
QUEUED_CHUNKS = 2.0
# Timers that are due at once would keep the process busy.
MIN_WAIT_SECONDS = 0.0005
# Share of the link that large answers use. The entry of this instance sends
# its own answers over the same link.
LINK_SHARE = 0.92
# An answer that the link takes in this time is sent at once, in seconds.
SMALL_ANSWER_SECONDS = 0.02
MIN_SMALL_ANSWER = 8 * 1024
# Bytes of a large answer that this gate buffers and that are in flight, so
# that some hundred at once take a fraction of a daemon's memory.
ANSWER_WINDOW = 64 * 1024


class AnswerTransfers:
    """Sends the large answers of a gate in turns."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate
        self.streams: dict[Hashable, 'GateCall'] = {}
        # What the link may still take at once, in bytes.
        self.bucket: TokenBucket | None = None
        self.timer = None

    # -- commands ---------------------------------------------------------

    def add(self, call: 'GateCall', data: bytes) -> None:
        """Queue more of a large answer."""
        self.streams[call.key] = call
        call.outgoing.extend(data)
        self.send_due()

    def finish(self, call: 'GateCall') -> None:
        """Send the end of an answer after what is queued of it."""
        self.streams[call.key] = call
        call.outgoing_complete = True
        self.send_due()

    def drop(self, key: Hashable) -> None:
        """Forget an answer whose caller or target is gone."""
        self.streams.pop(key, None)

    def drop_link(self, number: int) -> None:
        """Forget the answers on a link that was lost."""
        for key in [key for key in self.streams if key[0] == number]:
            del self.streams[key]

    def note_small_answer(self, size: int) -> None:
        """Count an answer that was sent at once."""
        bucket = self.find_bucket()
        if bucket is not None:
            bucket.debit(self.gate.now(), size, -bucket.depth)

    # -- queries ----------------------------------------------------------

    def takes_turns(self, call: 'GateCall') -> bool:
        """Return whether a call's large answer is sent in turns.

        Not within a process, nor where the rate of the link is unknown.
        """
        return bool(self.gate.link_rate) and not call.is_local

    def small_answer(self, call: 'GateCall', largest: int) -> int:
        """Return up to how many bytes an answer is sent at once."""
        if not self.takes_turns(call):
            return largest
        size = int(self.gate.link_rate * SMALL_ANSWER_SECONDS)
        return min(largest, max(MIN_SMALL_ANSWER, size))

    def is_idle(self) -> bool:
        return not self.streams

    # -- steps ------------------------------------------------------------

    def find_bucket(self) -> TokenBucket | None:
        """Return the bucket of the link, None if its rate is unknown."""
        if not self.gate.link_rate:
            return None
        if self.bucket is None:
            rate = LINK_SHARE * self.gate.link_rate
            depth = QUEUED_CHUNKS * self.chunk_bytes
            self.bucket = TokenBucket(rate, depth, self.gate.now())
        return self.bucket

    @property
    def chunk_bytes(self) -> int:
        size = int(self.gate.link_rate * CHUNK_SECONDS)
        return min(MAX_CHUNK, max(MIN_CHUNK, size))

    def send_due(self) -> None:
        """Send chunks as far as the link takes them now."""
        bucket = self.find_bucket()
        now = self.gate.now()
        while True:
            call = self.next_stream()
            if call is None:
                return
            size = min(self.chunk_bytes, len(call.outgoing))
            if not bucket.take(now, float(size)):
                self.schedule(bucket.wait(now, float(size)))
                return
            self.send_chunk(call, size)

    def next_stream(self) -> 'GateCall | None':
        """Return the answer that may send next, None if none has data."""
        waiting = [
            call
            for call in self.streams.values()
            if call.outgoing or call.outgoing_complete
        ]
        return min(waiting, key=turn_of, default=None)

    def send_chunk(self, call: 'GateCall', size: int) -> None:
        data = bytes(call.outgoing[:size])
        del call.outgoing[:size]
        call.sent_bytes += size
        last = call.outgoing_complete and not call.outgoing
        if last:
            del self.streams[call.key]
        call.link.send(BodyChunk(call.start.call_id, data, last))
        if last:
            self.gate.check_idle()

    def schedule(self, wait: float) -> None:
        if self.timer is None:
            self.timer = self.gate.scheduler.after(
                max(MIN_WAIT_SECONDS, wait), self.on_timer
            )

    def on_timer(self) -> None:
        self.timer = None
        self.send_due()


def turn_of(call: 'GateCall') -> tuple[int, int]:
    """Return the sort key of an answer: urgency, then what is left of it."""
    left = len(call.outgoing)
    if call.length is not None:
        left = call.length - call.sent_bytes
    return (call.start.rank or 0, left)
