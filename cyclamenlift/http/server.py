"""HTTP server component for callers."""

from collections.abc import Callable

import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Stream
from cyclamenlift.core.streams import StreamOwner
from cyclamenlift.http.connection import CallerConnection
from cyclamenlift.http.dialects import DEFAULT_DIALECT
from cyclamenlift.http.dialects import Dialect
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.limits import HttpLimits

LOG = structlog.get_logger('http')


class HttpServer(StreamOwner):
    """Serves HTTP/1.1 with strict framing.

    ``take(exchange)`` is called synchronously when the head of a request
    has been read. Requests of one connection are handled in order.
    """

    def __init__(
        self,
        poller,
        limits: HttpLimits,
        take: Callable[[Exchange], None],
        channel: str,
        dialect: Dialect = DEFAULT_DIALECT,
    ):
        super().__init__(poller, channel)
        self.limits = limits
        self.dialect = dialect
        self.take = take
        self.draining = False
        self.closing = False

    def now(self) -> float:
        """Return the monotonic time of the scheduler's clock."""
        return self.root.scheduler.clock.now()

    @property
    def busy(self) -> int:
        """Number of connections with a request or response in progress."""
        streams = self.streams.values()
        return sum(1 for stream in streams if stream.context.busy)

    def begin_closing(self) -> None:
        """Close each connection after its next response.

        New connections are still accepted, since callers learn of a
        shutdown late.
        """
        self.closing = True

    def begin_drain(self) -> None:
        """Accept no new connections and close the idle ones.

        Busy connections close after their response. Idle ones close after a
        grace period, so that a request already in transit is answered.
        """
        if self.draining:
            return
        self.draining = True
        self.closing = True
        for listener in list(self.listeners):
            self.accept_from(listener)
        self.stop_listening()
        grace = self.limits.drain_grace_seconds
        self.root.scheduler.after(grace, self.end_idle)

    def end_idle(self) -> None:
        """Close every connection without a request in flight."""
        for stream in list(self.streams.values()):
            if not stream.context.busy:
                stream.context.linger()

    # -- stream hooks -----------------------------------------------------

    def on_accepted(self, stream: Stream) -> None:
        stream.context = CallerConnection(self, stream)
        limit = self.limits.max_connections
        if limit and len(self.streams) > limit:
            detail = f'{limit} connections are open'
            problem = Problem(ResultCode.OVERLOADED, detail)
            stream.context.refuse(problem)

    def on_data(self, stream: Stream, data: bytes) -> None:
        try:
            stream.context.feed(data)
        except Exception:
            # The outcome is unknown, so no response is sent.
            LOG.exception('request_failed', remote=str(stream.remote))
            stream.context.fail()

    def on_drained(self, stream: Stream) -> None:
        stream.context.drained()

    def on_lost(self, stream: Stream, error: OSError | None) -> None:
        stream.context.lost()
