"""A request to the target in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cyclamenlift.core.streams import Stream
from cyclamenlift.http.response import LAST_CHUNK
from cyclamenlift.http.target import TargetListener
from cyclamenlift.http.target import TargetRequest

if TYPE_CHECKING:
    from cyclamenlift.http.client import TargetClient


class TargetCall:
    """A request to the target in progress.

    ``sent`` is True once any byte of the request may have reached the
    target. Until then the request has provably not run.
    """

    __slots__ = (
        'response_started',
        'body_left',
        'client',
        'done',
        'head',
        'head_written',
        'listener',
        'paused',
        'request',
        'request_complete',
        'sent',
        'stream',
        'unsent',
    )

    def __init__(
        self,
        client: TargetClient,
        request: TargetRequest,
        listener: TargetListener,
    ):
        self.client = client
        self.request = request
        self.listener: TargetListener | None = listener
        self.head = request.head()
        self.unsent: list[bytes] = []
        self.body_left = request.body_length
        self.request_complete = request.body_length == 0
        self.head_written = False
        self.response_started = False
        self.stream: Stream | None = None
        self.paused = False
        self.sent = False
        self.done = False

    @property
    def pending(self) -> int:
        """Bytes of the request not yet written to the kernel."""
        waiting = sum(len(data) for data in self.unsent)
        return waiting + (self.stream.pending if self.stream else 0)

    def send_body(self, data: bytes, last: bool) -> None:
        """Send a piece of the body.

        Raises ValueError when the pieces don't add up to the declared
        length; the caller must then cancel.
        """
        if self.done or self.request_complete:
            return
        self.check_body_length(len(data), last)
        if self.request.body_length is None:
            data = encode_chunk(data, last)
        self.request_complete = last
        self.unsent.append(data)
        self.client.write_request(self)

    def check_body_length(self, size: int, last: bool) -> None:
        if self.body_left is None:
            return
        left = self.body_left - size
        if left < 0 or (last and left):
            raise ValueError('the body does not have its declared length')
        self.body_left = left

    def finish(self) -> TargetListener:
        """Mark the call as done; return the listener for its last callback.

        The listener usually refers to this call. Dropping it here breaks the
        reference cycle, so that both are freed without the garbage collector.
        """
        self.done = True
        listener = self.listener
        self.listener = None
        return listener

    def cancel(self) -> None:
        """Cancel: close the connection; no callback follows."""
        if not self.done:
            self.finish()
            self.client.discard_call(self)

    def pause(self) -> None:
        """Stop reading the response (back-pressure).

        Bytes that were already read may still be delivered.
        """
        self.paused = True
        if self.stream is not None:
            self.stream.pause_reading()

    def resume(self) -> None:
        """Resume reading the response after ``pause``."""
        self.paused = False
        if self.stream is not None and self.stream.connected:
            self.stream.resume_reading()


def encode_chunk(data: bytes, last: bool) -> bytes:
    """Return data encoded as a chunk, with the last chunk if ``last``.

    >>> encode_chunk(b'abc', True)
    b'3\\r\\nabc\\r\\n0\\r\\n\\r\\n'
    """
    chunk = b'%x\r\n%b\r\n' % (len(data), data) if data else b''
    return chunk + LAST_CHUNK if last else chunk
