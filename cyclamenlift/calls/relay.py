"""Relays an answer from a gate to the caller, whole or not at all.

Answers up to the service's limit are buffered before their first byte is sent,
so that a broken one can still be replaced. So are larger ones while other
calls of the same connection are under way. All others are streamed with their
exact length. If a stream breaks, the caller's connection is closed, so that a
partial answer cannot pass for a whole one.
"""

import typing

from cyclamenlift.calls.answers import answer_headers
from cyclamenlift.calls.attempt import Try
from cyclamenlift.calls.attempt import WINDOW_BYTES
from cyclamenlift.calls.state import Ending
from cyclamenlift.calls.state import EndKind
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.routing.state import Outcome
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import Credit

if typing.TYPE_CHECKING:
    from cyclamenlift.calls.call import Call


class Relay:
    """Streams the answer of one try to the caller, and ends the call with it.

    ``received`` is how much of the body the gate has sent, ``heard_at`` when
    it sent something last.
    """

    def __init__(self, call: 'Call', attempt: Try):
        self.call = call
        self.exchange = call.exchange
        self.attempt = attempt
        self.uncredited = 0
        self.received = attempt.buffered_size
        self.heard_at = call.calls.now()

    def start(self) -> None:
        attempt = self.attempt
        length = attempt.length if attempt.length >= 0 else None
        self.exchange.on_drained = self.on_drained
        self.exchange.start(attempt.status, relay_headers(attempt), length)
        waiting = b''.join(attempt.buffered)
        attempt.buffered.clear()
        if waiting:
            self.send(waiting)

    def take(self, attempt: Try, chunk: BodyChunk) -> None:
        """Pass on a part of the body that the gate has sent."""
        if attempt is not self.attempt:
            return
        call = self.call
        self.received += len(chunk.data or b'')
        self.heard_at = call.calls.now()
        if chunk.data and not call.caller_disconnected:
            self.send(chunk.data)
        if not chunk.last:
            return
        if call.claim_holder is not None:
            call.claim_holder.record(attempt, None)
        call.tries.drop(attempt, Outcome.ANSWERED)
        if not call.caller_disconnected:
            self.exchange.finish()
        call.close(ResultCode.ANSWERED)

    def on_deadline(self) -> None:
        """Break off an answer that its gate has not ended in time.

        The gate may stand still, and its connection shows that late or never.
        """
        code = ResultCode.DEADLINE_UNKNOWN
        now = self.call.calls.now()
        ending = Ending(EndKind.UNKNOWN, code, detail=self.progress(now))
        self.call.record_trail(self.attempt, ending, now)
        self.call.tries.cancel(Outcome.TIMEOUT)
        self.break_off(code)

    def break_off(self, code: ResultCode) -> None:
        """End the caller's connection and the call."""
        call = self.call
        if call.claim_holder is not None:
            call.claim_holder.mark_unknown()
        if not call.caller_disconnected:
            self.exchange.abort()
        call.close(code)

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


def relay_headers(attempt: Try) -> list[tuple[str, str]]:
    """Return the target's headers with this entry's result code."""
    headers = [
        (h.name, h.value)
        for h in attempt.headers
        if h.name != 'cyclamenlift-result'
    ]
    headers.extend(answer_headers(ResultCode.ANSWERED))
    return headers
