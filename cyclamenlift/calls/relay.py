"""Relays an answer from a gate to the caller, whole or not at all.

Answers up to the service's limit are buffered before their first byte is sent,
so that a broken one can still be replaced. So are larger ones while other
calls of the same connection are under way. All others are streamed with their
exact length. If a stream breaks, the caller's connection is closed, so that a
partial answer cannot pass for a whole one.
"""

from cyclamenlift.calls.answers import answer_headers
from cyclamenlift.calls.attempt import Try
from cyclamenlift.calls.attempt import WINDOW_BYTES
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.wire.gen.protocol.ttypes import Credit


class Relay:
    """Streams one answer to one caller.

    ``received`` is how much of the body the gate has sent, ``heard_at`` when
    it sent something last.
    """

    def __init__(self, exchange: Exchange, attempt: Try, now: float):
        self.exchange = exchange
        self.attempt = attempt
        self.uncredited = 0
        self.received = attempt.buffered_size
        self.heard_at = now

    def start(self) -> None:
        attempt = self.attempt
        length = attempt.length if attempt.length >= 0 else None
        self.exchange.on_drained = self.on_drained
        self.exchange.start(attempt.status, relay_headers(attempt), length)
        waiting = b''.join(attempt.buffered)
        attempt.buffered.clear()
        if waiting:
            self.send(waiting)

    def note_chunk(self, size: int, now: float) -> None:
        """Count a part of the body that the gate has sent."""
        self.received += size
        self.heard_at = now

    def progress(self, now: float) -> str:
        """Return how far the answer has come, for the log line of the call."""
        silent_ms = int((now - self.heard_at) * MILLISECONDS)
        length = self.attempt.length if self.attempt.length >= 0 else '?'
        return f'{self.received} of {length} bytes, silent for {silent_ms}ms'

    def send(self, data: bytes) -> None:
        """Forward data; credit is granted as the caller reads it."""
        self.exchange.send(data)
        self.uncredited += len(data)
        if self.exchange.pending < WINDOW_BYTES:
            self.give_credit()

    def on_drained(self) -> None:
        self.give_credit()

    def give_credit(self) -> None:
        if self.uncredited:
            credit = Credit(self.attempt.number, self.uncredited)
            self.uncredited = 0
            self.attempt.link.send(credit)

    def finish(self) -> None:
        self.exchange.finish()

    def abort(self) -> None:
        self.exchange.abort()


def relay_headers(attempt: Try) -> list[tuple[str, str]]:
    """Return the target's headers with this entry's result code."""
    headers = [
        (h.name, h.value)
        for h in attempt.headers
        if h.name != 'cyclamenlift-result'
    ]
    headers.extend(answer_headers(ResultCode.ANSWERED))
    return headers
