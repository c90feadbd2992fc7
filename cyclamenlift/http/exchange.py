"""A request of a caller and its response."""

from __future__ import annotations

from collections.abc import Callable
import enum
from typing import TYPE_CHECKING

from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.http.dialects import Dialect
from cyclamenlift.http.headers import Headers
from cyclamenlift.http.request_parser import IncomingRequest
from cyclamenlift.http.response import forbids_body
from cyclamenlift.http.response import LAST_CHUNK
from cyclamenlift.http.response import problem_body
from cyclamenlift.http.response import problem_headers
from cyclamenlift.http.response import problem_status
from cyclamenlift.http.response import response_head

if TYPE_CHECKING:
    from cyclamenlift.http.connection import CallerConnection

OnBody = Callable[[bytes, bool], None]
CLOSE = ('Connection', 'close')
KEEP_ALIVE = ('Connection', 'keep-alive')
CHUNKED = ('Transfer-Encoding', 'chunked')


class ResponseState(enum.Enum):
    """Progress of the response to a request."""

    NONE = 'none'
    STREAMING = 'streaming'
    DONE = 'done'


class Exchange:
    """A request of a caller and the means to respond to it.

    ``method``, ``path`` (with the query), ``headers`` (lower-case names, in
    order), ``body_length`` (None: chunked, 0: no body), ``remote`` and
    ``received_at`` (monotonic seconds) describe the request.

    The application may set hooks, each called at most once:
    ``on_disconnect()`` when the caller disconnects before the response is
    complete, and ``on_broken(problem)`` when the body turns out invalid
    after a part of it was delivered. Only the application knows whether the
    request ran, so that hook must respond; without it the connection is
    closed without a response. ``on_drained()`` is called each time all
    output has been written to the kernel.

    A response to a disconnected caller is dropped without an error.
    """

    __slots__ = (
        'body_length',
        'chunked',
        'connection',
        'first_values',
        'body_delivered',
        'headers',
        'deferred',
        'remaining',
        'method',
        'on_body',
        'on_broken',
        'on_drained',
        'on_disconnect',
        'path',
        'paused',
        'received_at',
        'remote',
        'request',
        'state',
        'streams',
        'without_body',
    )

    def __init__(
        self,
        connection: CallerConnection,
        request: IncomingRequest,
        received_at: float,
        early: bool = False,
    ):
        self.connection = connection
        self.request = request
        self.method: str = request.method
        self.path: str = request.path
        self.headers: Headers = request.headers
        # Reversed, so that the first of several equal names wins.
        self.first_values = dict(reversed(request.headers))
        self.body_length: int | None = request.body_length
        self.remote: Address = connection.stream.remote
        self.received_at = received_at
        self.on_disconnect: Callable[[], None] | None = None
        self.on_broken: Callable[[Problem], None] | None = None
        self.on_drained: Callable[[], None] | None = None
        self.on_body: OnBody | None = None
        self.paused = False
        self.body_delivered = False
        self.state = ResponseState.NONE
        self.remaining: int | None = None
        self.chunked = False
        self.without_body = False
        # Whether a streamed response was started: its connection is reset if
        # that response breaks off.
        self.streams = False
        # Output deferred until earlier responses are sent; None if none is.
        self.deferred: list[Callable[[], None]] | None = [] if early else None

    # -- queries ----------------------------------------------------------

    def header(self, name: str) -> str | None:
        """Return the first field of this lower-case name."""
        return self.first_values.get(name)

    @property
    def dialect(self) -> Dialect:
        """The dialect of the server that received the request."""
        return self.connection.server.dialect

    @property
    def pending(self) -> int:
        """Bytes of the response not yet written to the kernel."""
        return self.connection.stream.pending

    @property
    def done(self) -> bool:
        """Whether the response is complete or the caller disconnected."""
        return self.state is ResponseState.DONE

    @property
    def shares_connection(self) -> bool:
        """Whether others of this connection are processed as well.

        They would get no response if this one broke off.
        """
        return self.deferred is not None or bool(self.connection.pipelined)

    def is_awaited(self) -> bool:
        """Return whether the caller is still connected at this moment.

        Unlike ``done``, this sees a disconnection that has not been read.
        """
        return not (self.done or self.connection.stream.has_peer_closed())

    # -- request body -----------------------------------------------------

    def read_body(self, on_body: OnBody) -> None:
        """Deliver the body incrementally to ``on_body(data, last)``.

        The first pieces may be delivered before this returns. Sends ``100
        Continue`` if the caller waits for it.
        """
        if self.done:
            return
        self.on_body = on_body
        if not self.request.complete:
            self.connection.await_body(self)
        self.deliver_body()

    def deliver_body(self) -> None:
        """Deliver the received part of the body unless paused."""
        request = self.request
        if self.on_body is None or self.paused or self.done:
            return
        if not request.chunks and not request.complete:
            return
        data = b''.join(request.chunks)
        request.chunks.clear()
        last = request.complete
        on_body = self.on_body
        if last:
            self.on_body = None
        self.body_delivered = self.body_delivered or bool(data)
        on_body(data, last)

    def pause(self) -> None:
        """Stop reading the body (back-pressure)."""
        if not self.paused:
            self.paused = True
            self.connection.pause_body(self)

    def resume(self) -> None:
        """Resume reading the body after ``pause``."""
        if self.paused:
            self.paused = False
            self.deliver_body()
            self.connection.resume_body(self)

    # -- response ---------------------------------------------------------

    def send_deferred(self) -> None:
        """Send the output deferred until earlier responses were sent."""
        deferred = self.deferred or []
        self.deferred = None
        for send in deferred:
            send()

    def defer(self, send: Callable[[], None]) -> bool:
        """Defer output until earlier responses are sent; False if they are."""
        if self.deferred is None:
            return False
        if not self.done:
            self.deferred.append(send)
        return True

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response in one write.

        Framing fields in ``headers`` are replaced by correct ones; for a
        HEAD request a given ``Content-Length`` is kept. Raises HeaderError
        and sends nothing when a field contains a line break.
        """
        if self.state is not ResponseState.NONE:
            return
        if self.defer(lambda: self.respond(status, headers, body)):
            return
        framing = self.connection.connection_fields(self)
        if forbids_body(self.method, status):
            framing = framing + self.length_fields(status, headers, body)
            body = b''
        else:
            framing = framing + [('Content-Length', str(len(body)))]
        data = response_head(status, headers, framing) + body
        self.state = ResponseState.DONE
        self.connection.stream.write(data)
        self.connection.response_sent(self)

    def length_fields(
        self, status: int, headers: Headers, body: bytes
    ) -> Headers:
        """Return the ``Content-Length`` of a response without a body."""
        for name, value in headers:
            if name.lower() == 'content-length':
                return [('Content-Length', value)] if status != 204 else []
        if self.method == 'HEAD' and status not in (204, 304):
            return [('Content-Length', str(len(body)))]
        return []

    def respond_problem(self, problem: Problem) -> None:
        """Respond with a numbered error and its JSON body."""
        self.respond(
            problem_status(problem),
            problem_headers(problem, self.dialect),
            problem_body(problem),
        )

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Start a streamed response of ``length`` bytes (None: unknown).

        Without a length it is chunked; for HTTP/1.0 it ends with the
        connection. Raises HeaderError as ``respond`` does.
        """
        if self.state is not ResponseState.NONE:
            return
        self.streams = True
        if self.defer(lambda: self.start(status, headers, length)):
            return
        self.without_body = forbids_body(self.method, status)
        framing = self.connection.connection_fields(self)
        if self.without_body:
            framing = framing + self.length_fields(status, headers, b'')
        elif length is not None:
            framing = framing + [('Content-Length', str(length))]
        elif self.request.minor_version:
            framing = framing + [CHUNKED]
            self.chunked = True
        else:
            self.request.keep_alive = False
            framing = [CLOSE]
        data = response_head(status, headers, framing)
        self.remaining = length
        self.state = ResponseState.STREAMING
        self.connection.stream.write(data)

    def send(self, data: bytes) -> None:
        """Send a piece of a streamed response.

        Exceeding the declared length aborts the response.
        """
        if self.defer(lambda: self.send(data)):
            return
        if self.state is not ResponseState.STREAMING or not data:
            return
        if self.without_body:
            return
        if self.remaining is not None:
            self.remaining -= len(data)
            if self.remaining < 0:
                self.abort()
                return
        if self.chunked:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        self.connection.stream.write(data)

    def finish(self) -> None:
        """Finish a streamed response; abort it if it is too short."""
        if self.defer(self.finish):
            return
        if self.state is not ResponseState.STREAMING:
            return
        if self.remaining and not self.without_body:
            self.abort()
            return
        self.state = ResponseState.DONE
        if self.chunked:
            self.connection.stream.write(LAST_CHUNK)
        self.connection.response_sent(self)

    def abort(self) -> None:
        """Reset the connection, so that a partial response isn't accepted."""
        if self.defer(self.abort):
            return
        if self.state is not ResponseState.DONE:
            self.state = ResponseState.DONE
            self.connection.reset()
