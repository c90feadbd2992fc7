"""HTTP client for one target, with a connection pool."""

import collections
from collections.abc import Callable
import socket

import structlog

from cyclamenlift.core.numbers import read_unsigned
from cyclamenlift.core.streams import Address
from cyclamenlift.core.streams import Stream
from cyclamenlift.core.streams import StreamOwner
from cyclamenlift.core.tasks import Timer
from cyclamenlift.http.headers import Headers
from cyclamenlift.http.limits import ClientLimits
from cyclamenlift.http.response_parser import ResponseParser
from cyclamenlift.http.target import FailureKind
from cyclamenlift.http.target import TargetFailure
from cyclamenlift.http.target import TargetListener
from cyclamenlift.http.target import TargetRequest
from cyclamenlift.http.target_call import TargetCall

# Delay before a lost probe connection is retried, in seconds. A terminating
# process closes its listener last, so a loss alone doesn't show that nothing
# listens.
PROBE_RETRY_SECONDS = 0.005
LOG = structlog.get_logger('http')


class TargetConnection:
    """Parser, timer and current call of one pooled connection."""

    __slots__ = ('call', 'idle_deadline', 'idle_since', 'parser', 'timer')

    def __init__(self, limits: ClientLimits, call: TargetCall | None):
        self.call = call
        self.idle_since = 0.0
        self.idle_deadline = float('inf')
        self.parser = ResponseParser(limits)
        self.timer: Timer | None = None


class TargetClient(StreamOwner):
    """Sends requests to one target, one at a time on each connection.

    A connection is reused only after a complete response whose framing
    marks its own end and which no further bytes follow.
    """

    def __init__(
        self, poller, address: Address, limits: ClientLimits, channel: str
    ):
        super().__init__(poller, channel)
        self.address = address
        self.limits = limits
        self.idle: list[Stream] = []
        self.waiting: collections.deque[TargetCall] = collections.deque()
        self.keep_warm = False
        self.warm_timer: Timer | None = None
        # Called when the target's address refuses connections, and when a
        # probe connection was accepted.
        self.refused_hooks: list[Callable[[], None]] = []
        self.probe_hooks: list[Callable[[], None]] = []
        # Probe connections and the deadlines for repeating them.
        self.probes: dict[Stream, float] = {}
        # Connections that were closed because of an error here.
        self.failed_connections = 0

    # -- commands ---------------------------------------------------------

    def request(
        self, request: TargetRequest, listener: TargetListener
    ) -> TargetCall:
        """Start a request; no callback runs before this returns.

        The head is sent together with the first piece of the body. Raises
        HeaderError when the head is malformed.
        """
        call = TargetCall(self, request, listener)
        self.assign(call)
        return call

    def warm_up(self) -> None:
        """Open the warm connections and replace them when they are lost."""
        self.keep_warm = True
        self.fill_pool()

    def probe_listener(self, deadline: float) -> None:
        """Open a pooled connection to find out whether the target listens.

        A connection lost before ``deadline`` is inconclusive and is retried.
        """
        if len(self.streams) < self.limits.max_connections:
            self.probes[self.open(None)] = deadline

    def close_idle(self) -> None:
        """Close the idle connections to a target that has ended."""
        for stream in self.idle:
            stream.close()
        self.idle.clear()

    def close_all(self) -> None:
        """Close every connection without callbacks to calls in progress."""
        self.keep_warm = False
        self.idle.clear()
        self.waiting.clear()
        super().close_all()

    def has_connections(self) -> bool:
        """Return whether any connection to the target is established."""
        return any(stream.connected for stream in self.streams.values())

    # -- pool -------------------------------------------------------------

    def assign(self, call: TargetCall) -> None:
        """Assign a connection to the call, or queue the call."""
        while self.idle:
            stream = self.idle.pop()
            if self.is_usable(stream) and has_no_input(stream):
                if self.is_recent_enough(stream, call):
                    self.start(call, stream)
                    return
                # The list ends with the most recently used connection, so the
                # others have been idle for longer.
                self.idle.append(stream)
                break
            stream.close()
        if len(self.streams) < self.limits.max_connections:
            self.open(call)
        else:
            self.waiting.append(call)

    def is_usable(self, stream: Stream) -> bool:
        """Return whether the target should still hold the connection open."""
        return self.now() < stream.context.idle_deadline

    def is_recent_enough(self, stream: Stream, call: TargetCall) -> bool:
        if call.request.repeatable:
            return True
        idle = self.now() - stream.context.idle_since
        return idle <= self.limits.fresh_seconds

    def now(self) -> float:
        return self.root.scheduler.clock.now()

    def record_idle(self, stream: Stream) -> None:
        """Record when a connection became idle and when to stop reusing it."""
        connection = stream.context
        connection.idle_since = self.now()
        declared = keep_alive_seconds(connection.parser.headers)
        max_idle = self.limits.idle_seconds
        if declared is not None:
            max_idle = min(
                max_idle, declared - self.limits.idle_margin_seconds
            )
        connection.idle_deadline = connection.idle_since + max_idle

    def open(self, call: TargetCall | None) -> Stream:
        """Open a connection for a call, or for the pool without one."""
        stream = self.connect_to(self.address)
        connection = TargetConnection(self.limits, call)
        stream.context = connection
        connection.timer = self.root.scheduler.after(
            self.limits.connect_seconds,
            lambda: self.close_failed(
                stream, TimeoutError('connect timed out')
            ),
        )
        if call is not None:
            call.stream = stream
        return stream

    def start(self, call: TargetCall, stream: Stream) -> None:
        """Start a call on an established connection."""
        call.stream = stream
        stream.context.call = call
        request = call.request
        stream.context.parser.expect_response(request.method, request.call_id)
        if call.paused:
            stream.pause_reading()
        self.write_request(call)

    def write_request(self, call: TargetCall) -> None:
        """Write the buffered part of the request."""
        stream = call.stream
        if stream is None or not stream.connected:
            return
        if not call.unsent and not call.request_complete:
            return
        data = b''.join(call.unsent)
        call.unsent.clear()
        if not call.head_written:
            call.head_written = True
            data = call.head + data
        if not data:
            return
        stream.write(data)
        # A first write that fails immediately has sent no byte.
        if stream.open:
            call.sent = True

    def release(self, stream: Stream) -> None:
        """Return a reusable connection to the pool or to a queued call."""
        stream.context.call = None
        stream.resume_reading()
        self.record_idle(stream)
        if not self.waiting:
            self.idle.append(stream)
        elif has_no_input(stream):
            self.start(self.waiting.popleft(), stream)
        else:
            self.discard(stream)

    def discard_call(self, call: TargetCall) -> None:
        """Remove a cancelled call and close its connection."""
        if call.stream is None:
            if call in self.waiting:
                self.waiting.remove(call)
            return
        self.discard(call.stream)

    def discard(self, stream: Stream) -> None:
        """Close a connection that can't be reused."""
        stop_timer(stream.context)
        stream.context.call = None
        stream.close()
        self.replace_lost()

    def replace_lost(self) -> None:
        """Open connections for queued calls and the warm pool after a loss."""
        while self.waiting and len(self.streams) < self.limits.max_connections:
            self.open(self.waiting.popleft())
        if self.keep_warm and self.warm_timer is None:
            self.warm_timer = self.root.scheduler.after(
                self.limits.rewarm_seconds, self.fill_pool
            )

    def fill_pool(self) -> None:
        """Open connections up to the configured number of warm ones."""
        self.warm_timer = None
        limits = self.limits
        wanted = min(limits.warm_connections, limits.max_connections)
        while self.keep_warm and len(self.streams) < wanted:
            self.open(None)

    # -- stream hooks -----------------------------------------------------

    def on_connected(self, stream: Stream) -> None:
        connection = stream.context
        stop_timer(connection)
        call = connection.call
        if call is None:
            self.release(stream)
            if stream in self.probes:
                for hook in self.probe_hooks:
                    hook()
        else:
            self.start(call, stream)
            if stream.open and not stream.pending and not call.done:
                # The buffered data was sent in one write, so the poller
                # reports no later writability for it.
                call.listener.on_drained()

    def on_data(self, stream: Stream, data: bytes) -> None:
        call = stream.context.call
        if call is None or not call.head_written:
            # Unsolicited data: the next response would be unreliable.
            self.reassign_unsent(stream, call)
            return
        parser = stream.context.parser
        parser.feed(data)
        if parser.problem:
            self.fail(call, f'the answer is malformed: {parser.problem}')
            self.discard(stream)
            return
        try:
            self.deliver(stream, call, parser)
        except Exception:
            LOG.exception('listener_failed', target=str(self.address))
            self.fail(call, 'the answer could not be taken')
            self.discard(stream)

    def reassign_unsent(self, stream: Stream, call: TargetCall | None) -> None:
        """Close a connection and reassign its call, which is unsent."""
        self.remove_idle(stream)
        self.discard(stream)
        if call is not None:
            call.stream = None
            self.assign(call)

    def deliver(
        self, stream: Stream, call: TargetCall, parser: ResponseParser
    ) -> None:
        """Pass parsed data to the listener; complete the call at the end."""
        listener = call.listener
        if parser.head_ready and not call.response_started:
            call.response_started = True
            listener.on_head(parser.status, parser.headers, parser.length)
        if parser.chunks and not call.done:
            data = b''.join(parser.chunks)
            parser.chunks.clear()
            listener.on_body(data)
        if parser.complete and not call.done:
            self.complete(stream, call)

    def complete(self, stream: Stream, call: TargetCall) -> None:
        """Finish a call whose response is complete."""
        listener = call.finish()
        try:
            self.settle(stream, call)
        except Exception:
            # The answer is whole, whatever is wrong with the connection.
            self.failed_connections += 1
            LOG.exception('connection_failed', target=str(self.address))
            self.discard(stream)
        listener.on_end()

    def settle(self, stream: Stream, call: TargetCall) -> None:
        """Keep the connection of a finished call, or close it."""
        parser = stream.context.parser
        clean = (
            parser.keep_alive
            and not parser.has_trailing_data
            and call.request_complete
        )
        if clean and not stream.pending:
            self.release(stream)
        else:
            self.discard(stream)

    def on_drained(self, stream: Stream) -> None:
        call = stream.context.call
        if call is not None and not call.done:
            call.listener.on_drained()

    def on_lost(self, stream: Stream, error: OSError | None) -> None:
        connection = stream.context
        stop_timer(connection)
        self.remove_idle(stream)
        probe_deadline = self.probes.pop(stream, 0.0)
        call = connection.call
        connection.call = None
        self.replace_lost()
        kind = classify_loss(error, stream.connected)
        if kind is FailureKind.REFUSED:
            for hook in self.refused_hooks:
                hook()
        elif self.now() < probe_deadline:
            self.root.scheduler.after(
                PROBE_RETRY_SECONDS,
                lambda: self.probe_listener(probe_deadline),
            )
        if call is None or call.done:
            return
        if stream.connected and not call.head_written:
            call.stream = None
            self.assign(call)
            return
        if error is None and connection.parser.completes_at_eof():
            call.finish().on_end()
            return
        reason = error or 'it closed the connection'
        self.fail(call, f'no whole answer of the target: {reason}', kind)

    def fail(
        self,
        call: TargetCall,
        detail: str,
        kind: FailureKind = FailureKind.OTHER,
    ) -> None:
        """Report a failure in the next loop iteration, never synchronously."""

        def report() -> None:
            if not call.done:
                failure = TargetFailure(call.sent, detail, kind)
                call.finish().on_failure(failure)

        self.root.scheduler.after(0.0, report)

    def remove_idle(self, stream: Stream) -> None:
        if stream in self.idle:
            self.idle.remove(stream)


def classify_loss(error: Exception | None, connected: bool) -> FailureKind:
    """Classify the loss of a connection."""
    if isinstance(error, ConnectionRefusedError):
        return FailureKind.REFUSED
    if isinstance(error, TimeoutError) or not connected:
        return FailureKind.OTHER
    return FailureKind.CLOSED


def has_no_input(stream: Stream) -> bool:
    """Return whether an idle connection is open without unread input."""
    if not stream.open:
        return False
    try:
        stream.sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def keep_alive_seconds(headers: Headers) -> int | None:
    """Return the idle timeout in ``Keep-Alive``, None without one.

    >>> keep_alive_seconds([('keep-alive', 'timeout=5, max=100')])
    5
    """
    for name, value in headers:
        if name != 'keep-alive':
            continue
        for part in value.split(','):
            key, _, number = part.partition('=')
            seconds = read_unsigned(number.strip())
            if key.strip().lower() == 'timeout' and seconds is not None:
                return seconds
    return None


def stop_timer(connection: TargetConnection) -> None:
    if connection.timer is not None:
        connection.timer.cancel()
        connection.timer = None
