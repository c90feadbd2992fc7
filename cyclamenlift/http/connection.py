"""One connection of a caller: requests in order, deadlines, its end."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Stream
from cyclamenlift.http.ending import EndingConnection
from cyclamenlift.http.exchange import AnswerState
from cyclamenlift.http.exchange import CLOSE
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.exchange import KEEP_ALIVE
from cyclamenlift.http.headers import Headers
from cyclamenlift.http.request_parser import RequestParser
from cyclamenlift.http.response import CONTINUE

if TYPE_CHECKING:
    from cyclamenlift.http.request_parser import IncomingRequest
    from cyclamenlift.http.server import HttpServer

MAX_UNREAD_BODY = 64 * 1024
MAX_PENDING = 256 * 1024
NO_FIELDS: Headers = []
SAFE_METHODS = frozenset(('GET', 'HEAD'))


class CallerConnection(EndingConnection):
    """Takes the requests of one connection one after the other.

    Requests that come early stay in the parser's queue and the socket is
    read no further until the one before has its answer. Safe ones without
    a body may be taken ahead of their turn; their answers wait for it.
    """

    __slots__ = (
        'active',
        'advancing',
        'ahead',
        'body_seconds_left',
        'head_deadline_set',
        'parser',
    )

    def __init__(self, server: HttpServer, stream: Stream):
        super().__init__(server, stream)
        self.parser = RequestParser(server.limits)
        self.active: Exchange | None = None
        self.ahead: deque[Exchange] = deque()
        self.advancing = False
        self.head_deadline_set = False
        self.body_seconds_left: float | None = None
        self.deadline.set_after(server.limits.idle_seconds)

    @property
    def busy(self) -> bool:
        """Whether a request is being read, answered or sent out."""
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
        """Take input of the caller."""
        if self.lingering:
            return
        self.parser.feed(data)
        self.advance()

    def advance(self) -> None:
        """Hand over bodies and requests as far as order allows."""
        if self.advancing:
            return
        self.advancing = True
        try:
            while self.stream.open and not self.lingering and self.step():
                pass
        finally:
            self.advancing = False
        if self.stream.open and not self.lingering:
            self.settle()

    def step(self) -> bool:
        """Do the next thing; return whether there may be another."""
        exchange = self.active
        if exchange is None:
            return self.step_to_next()
        if exchange.done:
            return self.step_over(exchange)
        if self.parser.problem is not None and not exchange.request.complete:
            self.break_body(exchange, self.parser.problem)
            return False
        exchange.deliver_body()
        return self.active is not exchange

    def step_to_next(self) -> bool:
        """Take the next request, unless too much output is waiting."""
        if self.ahead:
            self.active = self.ahead.popleft()
            self.active.take_turn()
            return True
        if self.parser.queue:
            if self.stream.pending > MAX_PENDING:
                return False
            self.take_next()
            return True
        if self.parser.problem is not None:
            self.refuse(self.parser.problem)
        return False

    def step_over(self, exchange: Exchange) -> bool:
        """Skip the rest of a body whose request is answered already."""
        exchange.request.chunks.clear()
        if exchange.request.complete:
            self.next_request()
            return True
        if self.parser.problem is not None:
            self.linger()
        return False

    def take_next(self) -> None:
        """Give the next request to the application."""
        request = self.parser.queue.popleft()
        self.deadline.clear()
        self.head_deadline_set = False
        now = self.server.now()
        self.active = Exchange(self, request, now)
        self.server.take(self.active)

    def take_ahead(self) -> None:
        """Take requests that need not wait for the answers before them."""
        most = self.server.limits.max_pipelined - 1
        last = self.ahead[-1] if self.ahead else self.active
        while (
            self.parser.queue
            and len(self.ahead) < most
            and last.request.complete
            and last.request.keep_alive
            and is_plain(self.parser.queue[0])
        ):
            request = self.parser.queue.popleft()
            last = Exchange(self, request, self.server.now(), early=True)
            self.ahead.append(last)
            self.server.take(last)
            if not self.stream.open:
                return

    def drop_ahead(self) -> None:
        """Let go of requests whose answers will never be sent."""
        while self.ahead:
            exchange = self.ahead.popleft()
            exchange.state = AnswerState.DONE
            if exchange.on_gone is not None:
                exchange.on_gone()

    def settle(self) -> None:
        """After all steps: choose whether to read on, and until when."""
        if self.active is not None and not self.active.done:
            self.take_ahead()
        if not self.stream.open or self.lingering:
            return
        exchange = self.active
        if exchange is None:
            if self.parser.in_head and not self.head_deadline_set:
                self.head_deadline_set = True
                self.deadline.set_after(self.server.limits.head_seconds)
            self.read_on(not self.parser.queue)
            return
        request = exchange.request
        if request.complete:
            if not exchange.done:
                self.deadline.clear()
            self.read_on(not self.parser.queue)
        else:
            self.read_on(not request.chunks and not exchange.paused)

    def read_on(self, wanted: bool) -> None:
        if wanted:
            self.stream.resume_reading()
        else:
            self.stream.pause_reading()

    # -- bodies -----------------------------------------------------------

    def await_body(self, exchange: Exchange) -> None:
        """Let the caller send its body, within the deadline for it."""
        if exchange.request.expects_continue:
            exchange.request.expects_continue = False
            if not exchange.request.body_bytes:
                self.stream.write(CONTINUE)
        self.deadline.set_after(self.server.limits.body_seconds)
        self.read_on(not exchange.paused)

    def pause_body(self, exchange: Exchange) -> None:
        """Stop reading; the caller's time for the body stands still."""
        if self.active is not exchange or exchange.request.complete:
            return
        self.body_seconds_left = self.deadline.left()
        self.deadline.clear()
        self.stream.pause_reading()

    def resume_body(self, exchange: Exchange) -> None:
        """Read on after ``pause_body``."""
        if self.active is not exchange or self.lingering:
            return
        if self.body_seconds_left and not exchange.request.complete:
            self.deadline.set_after(self.body_seconds_left)
        self.body_seconds_left = None
        self.advance()

    def break_body(self, exchange: Exchange, problem: Problem) -> None:
        """End a request whose body is bad or late.

        Once a part was handed over, only the owner knows whether something
        ran, so the problem is not answered here in its name.
        """
        self.parser.stopped = True
        self.deadline.clear()
        exchange.request.keep_alive = False
        exchange.on_body = None
        hook = exchange.on_broken
        exchange.on_broken = None
        if hook is not None and exchange.state is AnswerState.NONE:
            hook(problem)
            return
        answerable = (
            exchange.state is AnswerState.NONE and not exchange.handed_over
        )
        exchange.state = AnswerState.DONE
        self.active = None
        if answerable:
            self.refuse(problem)
        else:
            self.reset()
        if exchange.on_gone is not None:
            exchange.on_gone()

    # -- answers ----------------------------------------------------------

    def closing_fields(self, exchange: Exchange) -> Headers:
        """Return the ``Connection`` field that the answer needs."""
        request = exchange.request
        if not request.complete and not self.ends_soon(exchange):
            request.keep_alive = False
        if not request.keep_alive or (self.server.closing and not self.ahead):
            request.keep_alive = False
            return [CLOSE]
        if not request.minor_version:
            return [KEEP_ALIVE]
        return NO_FIELDS

    def ends_soon(self, exchange: Exchange) -> bool:
        """Tell whether the rest of the body is small enough to skip."""
        request = exchange.request
        if request.expects_continue or request.body_length is None:
            return False
        return request.body_length - request.body_bytes <= MAX_UNREAD_BODY

    def answered(self, exchange: Exchange) -> None:
        """Go on after the answer to ``exchange`` was written."""
        if not self.stream.open:
            return
        exchange.on_body = None
        if not exchange.request.keep_alive:
            self.active = None
            self.drop_ahead()
            self.linger()
            return
        if not exchange.request.complete:
            exchange.paused = False
            self.deadline.set_after(self.server.limits.head_seconds)
            self.advance()
            return
        self.next_request()

    def next_request(self) -> None:
        """Make room for the next request of this connection."""
        self.active = None
        limits = self.server.limits
        if self.stream.pending:
            self.deadline.set_after(limits.send_seconds)
        else:
            self.deadline.set_after(limits.idle_seconds)
        self.advance()

    # -- deadlines and the end --------------------------------------------

    def expire(self) -> None:
        """End the connection, since its time is up."""
        if self.stream.pending or self.lingering:
            self.expire_output()
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
        self.break_body(exchange, problem)

    def reset(self) -> None:
        """Close with a reset: the answer must not look whole."""
        self.active = None
        self.drop_ahead()
        super().reset()

    def fail(self) -> None:
        """Reset after an error of the application."""
        self.lost()
        self.reset()

    # -- reports of the stream --------------------------------------------

    def drained(self) -> None:
        """Run when the kernel has taken all output."""
        self.pending_seen = 0
        if self.lingering:
            self.end_output()
            return
        exchange = self.active
        if exchange is None:
            if not self.head_deadline_set:
                self.deadline.set_after(self.server.limits.idle_seconds)
            self.advance()
        elif exchange.on_drained is not None:
            exchange.on_drained()

    def lost(self) -> None:
        """Run when the caller has closed or the connection failed."""
        exchange = self.active
        self.active = None
        self.parser.stopped = True
        self.parser.queue.clear()
        self.deadline.cancel()
        self.drop_ahead()
        if exchange is None or exchange.done:
            return
        exchange.state = AnswerState.DONE
        exchange.on_body = None
        if exchange.on_gone is not None:
            exchange.on_gone()


def is_plain(request: IncomingRequest) -> bool:
    """Tell whether a request may be worked on ahead of its turn."""
    return request.complete and request.method in SAFE_METHODS
