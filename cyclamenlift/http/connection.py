"""Server side of a caller's connection: request order and deadlines."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Stream
from cyclamenlift.http.closing import ClosingConnection
from cyclamenlift.http.exchange import CLOSE
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.exchange import KEEP_ALIVE
from cyclamenlift.http.exchange import ResponseState
from cyclamenlift.http.headers import Headers
from cyclamenlift.http.request_parser import RequestParser
from cyclamenlift.http.response import CONTINUE

if TYPE_CHECKING:
    from cyclamenlift.http.request_parser import IncomingRequest
    from cyclamenlift.http.server import HttpServer

# A longer remainder of a body is not skipped: the connection is closed.
MAX_SKIPPED_BODY = 64 * 1024
# With more unsent output, no further request of the connection is started.
MAX_PENDING = 256 * 1024
NO_FIELDS: Headers = []
SAFE_METHODS = frozenset(('GET', 'HEAD'))


class CallerConnection(ClosingConnection):
    """Processes the requests of one connection in order.

    Pipelined requests stay in the parser's queue, and reading is paused
    until the previous request has been answered. Safe requests without a
    body may be processed in parallel, unless a streamed response is before
    them; their responses are sent in order.
    """

    __slots__ = (
        'active',
        'advancing',
        'pipelined',
        'body_seconds_left',
        'head_deadline_set',
        'parser',
    )

    def __init__(self, server: HttpServer, stream: Stream):
        super().__init__(server, stream)
        self.parser = RequestParser(server.limits)
        self.active: Exchange | None = None
        self.pipelined: deque[Exchange] = deque()
        self.advancing = False
        self.head_deadline_set = False
        self.body_seconds_left: float | None = None
        self.deadline.set_after(server.limits.idle_seconds)

    @property
    def busy(self) -> bool:
        """Whether a request is being read or a response is being sent."""
        if self.lingering:
            return bool(self.stream.pending)
        return bool(
            self.active
            or self.parser.queue
            or self.parser.in_head
            or self.stream.pending
        )

    # -- input ------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """Process input from the caller."""
        if self.lingering:
            return
        self.parser.feed(data)
        self.advance()

    def advance(self) -> None:
        """Process bodies and requests as far as the order allows."""
        if self.advancing:
            return
        self.advancing = True
        try:
            while self.stream.open and not self.lingering and self.step():
                pass
        finally:
            self.advancing = False
        if self.stream.open and not self.lingering:
            self.update_reading()

    def step(self) -> bool:
        """Perform one step; return whether another may be possible."""
        exchange = self.active
        if exchange is None:
            return self.advance_to_next()
        if exchange.done:
            return self.skip_body(exchange)
        if self.parser.problem is not None and not exchange.request.complete:
            self.fail_body(exchange, self.parser.problem)
            return False
        exchange.deliver_body()
        return self.active is not exchange

    def advance_to_next(self) -> bool:
        """Start the next request unless too much output is pending."""
        if self.pipelined:
            self.active = self.pipelined.popleft()
            self.active.send_deferred()
            return True
        if self.parser.queue:
            if self.stream.pending > MAX_PENDING:
                return False
            self.start_next()
            return True
        if self.parser.problem is not None:
            self.refuse(self.parser.problem)
        return False

    def skip_body(self, exchange: Exchange) -> bool:
        """Skip the rest of the body of an answered request."""
        exchange.request.chunks.clear()
        if exchange.request.complete:
            self.next_request()
            return True
        if self.parser.problem is not None:
            self.linger()
        return False

    def start_next(self) -> None:
        """Pass the next request to the application."""
        request = self.parser.queue.popleft()
        self.deadline.clear()
        self.head_deadline_set = False
        now = self.server.now()
        self.active = Exchange(self, request, now)
        self.server.handle_request(self.active)

    def start_pipelined(self) -> None:
        """Start requests that needn't wait for earlier responses.

        None is started behind a streamed response: if that breaks off, the
        connection ends, and what wasn't started is certain not to run.
        """
        limit = self.server.limits.max_pipelined - 1
        last = self.pipelined[-1] if self.pipelined else self.active
        while (
            self.parser.queue
            and len(self.pipelined) < limit
            and not self.is_streaming()
            and last.request.complete
            and last.request.keep_alive
            and is_pipelinable(self.parser.queue[0])
        ):
            request = self.parser.queue.popleft()
            last = Exchange(self, request, self.server.now(), early=True)
            self.pipelined.append(last)
            self.server.handle_request(last)
            if not self.stream.open:
                return

    def is_streaming(self) -> bool:
        """Return whether a response that was started is a streamed one."""
        return any(
            exchange.streams for exchange in (self.active, *self.pipelined)
        )

    def abandon_pipelined(self) -> None:
        """Abandon pipelined requests whose responses can't be sent."""
        while self.pipelined:
            exchange = self.pipelined.popleft()
            exchange.state = ResponseState.DONE
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def update_reading(self) -> None:
        """Update reading and the deadline after all possible steps."""
        if self.active is not None and not self.active.done:
            self.start_pipelined()
        if not self.stream.open or self.lingering:
            return
        exchange = self.active
        if exchange is None:
            if self.parser.in_head and not self.head_deadline_set:
                self.head_deadline_set = True
                self.deadline.set_after(self.server.limits.head_seconds)
            self.set_reading(not self.parser.queue)
            return
        request = exchange.request
        if request.complete:
            if not exchange.done:
                self.deadline.clear()
            self.set_reading(not self.parser.queue)
        else:
            self.set_reading(not request.chunks and not exchange.paused)

    def set_reading(self, wanted: bool) -> None:
        if wanted:
            self.stream.resume_reading()
        else:
            self.stream.pause_reading()

    # -- request bodies ---------------------------------------------------

    def await_body(self, exchange: Exchange) -> None:
        """Start receiving the body and its deadline."""
        if exchange.request.expects_continue:
            exchange.request.expects_continue = False
            if not exchange.request.body_bytes:
                self.stream.write(CONTINUE)
        self.deadline.set_after(self.server.limits.body_seconds)
        self.set_reading(not exchange.paused)

    def pause_body(self, exchange: Exchange) -> None:
        """Stop reading and suspend the deadline of the body."""
        if self.active is not exchange or exchange.request.complete:
            return
        self.body_seconds_left = self.deadline.remaining()
        self.deadline.clear()
        self.stream.pause_reading()

    def resume_body(self, exchange: Exchange) -> None:
        """Resume reading and the deadline of the body."""
        if self.active is not exchange or self.lingering:
            return
        if self.body_seconds_left and not exchange.request.complete:
            self.deadline.set_after(self.body_seconds_left)
        self.body_seconds_left = None
        self.advance()

    def fail_body(self, exchange: Exchange, problem: Problem) -> None:
        """End a request whose body is invalid or late.

        After a part of the body was delivered, only the application knows
        whether the request ran, so no error response is sent here.
        """
        self.parser.stopped = True
        self.deadline.clear()
        exchange.request.keep_alive = False
        exchange.on_body = None
        hook = exchange.on_broken
        exchange.on_broken = None
        if hook is not None and exchange.state is ResponseState.NONE:
            hook(problem)
            return
        answerable = (
            exchange.state is ResponseState.NONE
            and not exchange.body_delivered
        )
        exchange.state = ResponseState.DONE
        self.active = None
        if answerable:
            self.refuse(problem)
        else:
            self.reset()
        if exchange.on_disconnect is not None:
            exchange.on_disconnect()

    # -- responses --------------------------------------------------------

    def connection_fields(self, exchange: Exchange) -> Headers:
        """Return the ``Connection`` field of the response, if needed."""
        request = exchange.request
        if not request.complete and not self.is_remainder_small(exchange):
            request.keep_alive = False
        if not request.keep_alive or (
            self.server.closing and not self.pipelined
        ):
            request.keep_alive = False
            return [CLOSE]
        if not request.minor_version:
            return [KEEP_ALIVE]
        return NO_FIELDS

    def is_remainder_small(self, exchange: Exchange) -> bool:
        """Return whether the rest of the body is small enough to skip."""
        request = exchange.request
        if request.expects_continue or request.body_length is None:
            return False
        return request.body_length - request.body_bytes <= MAX_SKIPPED_BODY

    def response_sent(self, exchange: Exchange) -> None:
        """Proceed after the response to ``exchange`` was written."""
        if not self.stream.open:
            return
        exchange.on_body = None
        if not exchange.request.keep_alive:
            self.active = None
            self.abandon_pipelined()
            self.linger()
            return
        if not exchange.request.complete:
            exchange.paused = False
            self.deadline.set_after(self.server.limits.head_seconds)
            self.advance()
            return
        self.next_request()

    def next_request(self) -> None:
        """Prepare for the next request of this connection."""
        self.active = None
        limits = self.server.limits
        if self.stream.pending:
            self.deadline.set_after(limits.send_seconds)
        else:
            self.deadline.set_after(limits.idle_seconds)
        self.advance()

    # -- deadlines and closing --------------------------------------------

    def expire(self) -> None:
        """Handle the expired deadline of the connection."""
        if self.stream.pending or self.lingering:
            self.check_send_progress()
        elif self.active is not None and not self.active.request.complete:
            self.expire_body(self.active)
        elif self.parser.in_head:
            detail = 'the head of the request is late'
            self.refuse(Problem(ResultCode.REQUEST_TIMEOUT, detail))
        else:
            self.linger()

    def expire_body(self, exchange: Exchange) -> None:
        if exchange.done:
            self.linger()
            return
        detail = 'the body of the request is late'
        problem = Problem(ResultCode.REQUEST_TIMEOUT, detail)
        self.fail_body(exchange, problem)

    def reset(self) -> None:
        """Reset the connection, so that no partial response is accepted."""
        self.active = None
        self.abandon_pipelined()
        super().reset()

    def fail(self) -> None:
        """Reset the connection after an exception in the application."""
        self.lost()
        self.reset()

    # -- events of the stream ---------------------------------------------

    def drained(self) -> None:
        """Called when all output has been written to the kernel."""
        self.last_pending = 0
        if self.lingering:
            self.shut_down_output()
            return
        exchange = self.active
        if exchange is None:
            if not self.head_deadline_set:
                self.deadline.set_after(self.server.limits.idle_seconds)
            self.advance()
        elif exchange.on_drained is not None:
            exchange.on_drained()

    def lost(self) -> None:
        """Called when the caller closed the connection or it failed."""
        exchange = self.active
        self.active = None
        self.parser.stopped = True
        self.parser.queue.clear()
        self.deadline.cancel()
        self.abandon_pipelined()
        if exchange is None or exchange.done:
            return
        exchange.state = ResponseState.DONE
        exchange.on_body = None
        if exchange.on_disconnect is not None:
            exchange.on_disconnect()


def is_pipelinable(request: IncomingRequest) -> bool:
    """Return whether a request may be processed before its turn."""
    return request.complete and request.method in SAFE_METHODS
