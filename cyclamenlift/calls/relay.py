"""Carries one answer from a gate to the caller, whole or not at all.

Answers up to the service's limit are gathered before their first byte
leaves, so that a broken one can still be replaced. Larger ones stream with
their exact length; if they break, the caller's connection is closed so that
the part can't pass for the whole.
"""

from cyclamenlift.calls.answers import answer_headers
from cyclamenlift.calls.attempt import Try
from cyclamenlift.calls.attempt import WINDOW
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.wire.gen.protocol.ttypes import Credit


class Relay:
    """The way of one streamed answer to one caller."""

    def __init__(self, exchange: Exchange, attempt: Try):
        self.exchange = exchange
        self.attempt = attempt
        self.owed = 0

    def start(self) -> None:
        attempt = self.attempt
        length = attempt.length if attempt.length >= 0 else None
        self.exchange.on_drained = self.on_drained
        self.exchange.start(attempt.status, relay_headers(attempt), length)
        waiting = b''.join(attempt.gathered)
        attempt.gathered.clear()
        if waiting:
            self.send(waiting)

    def send(self, data: bytes) -> None:
        """Pass data on; credit follows as the caller takes it."""
        self.exchange.send(data)
        self.owed += len(data)
        if self.exchange.pending < WINDOW:
            self.give_credit()

    def on_drained(self) -> None:
        self.give_credit()

    def give_credit(self) -> None:
        if self.owed:
            credit = Credit(self.attempt.number, self.owed)
            self.owed = 0
            self.attempt.link.send(credit)

    def finish(self) -> None:
        self.exchange.finish()

    def abort(self) -> None:
        self.exchange.abort()


def relay_headers(attempt: Try) -> list[tuple[str, str]]:
    """Return the target's headers and our result code."""
    headers = [
        (h.name, h.value)
        for h in attempt.headers
        if h.name != 'cyclamenlift-result'
    ]
    headers.extend(answer_headers(ResultCode.ANSWERED))
    return headers
