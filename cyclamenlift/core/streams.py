"""TCP connections with immediate writes.

A write in circuits is an event, an iteration of the poller and a second
event: too much for a call path of 1.1 ms. A ``StreamOwner`` owns its
sockets, is called by the poller when they are ready, writes immediately and
waits for writability only when the kernel's buffer is full. Each component
that owns a kind of connection subclasses ``StreamOwner`` and overrides the
``on_*`` hooks.
"""

import collections
import errno
import socket
from typing import NamedTuple

from circuits.core.components import BaseComponent

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.numbers import read_unsigned

READ_SIZE = 65536
# Bytes passed to the kernel in one call: about what it accepts at once. The
# rest is passed again later.
SEND_SIZE = 65536
LISTEN_BACKLOG = 1024
IN_PROGRESS = (errno.EINPROGRESS, errno.EWOULDBLOCK)


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Parse ``host:port``; raise ValueError if it is invalid.

        >>> Address.parse('127.0.0.1:80')
        Address(host='127.0.0.1', port=80)
        """
        host, colon, port = text.rpartition(':')
        number = read_unsigned(port)
        if not colon or not host or number is None:
            raise ValueError(f'{text!r} is not host:port')
        if number > 65535:
            raise ValueError(f'{text!r} has a port over 65535')
        return cls(host, number)

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class Stream:
    """A connected or connecting socket of a ``StreamOwner``.

    ``context`` holds the owner's state of this connection.
    """

    __slots__ = (
        'closing',
        'connected',
        'context',
        'open',
        'outbound',
        'owner',
        'pending',
        'reading',
        'remote',
        'sock',
        'writing',
    )

    def __init__(self, owner: 'StreamOwner', sock: socket.socket, remote):
        self.owner = owner
        self.sock = sock
        self.remote = remote
        self.context = None
        self.outbound: collections.deque[bytes] = collections.deque()
        self.pending = 0
        self.connected = False
        self.open = True
        self.reading = False
        self.writing = False
        self.closing = False

    def write(self, data: bytes) -> None:
        """Send what the kernel accepts and queue the rest in order."""
        if not self.open or self.closing:
            return
        if self.connected and not self.pending:
            data = self.send_now(data)
        if data and self.open:
            self.outbound.append(data)
            self.pending += len(data)
            self.start_writing()

    def send_now(self, data: bytes) -> bytes:
        """Send data; return the part that the kernel didn't accept."""
        try:
            sent = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return data
        except OSError as error:
            self.owner.close_failed(self, error)
            return b''
        return data[sent:] if sent < len(data) else b''

    def flush(self) -> None:
        """Send pending data as far as the kernel accepts it."""
        while self.outbound and self.open:
            data = self.next_buffer()
            rest = self.send_now(data)
            if not self.open:
                return
            self.consume_sent(len(data) - len(rest))
            if rest:
                return

    def next_buffer(self) -> bytes:
        """Return the next pending pieces joined to about ``SEND_SIZE``."""
        pieces = []
        size = 0
        for piece in self.outbound:
            pieces.append(piece)
            size += len(piece)
            if size >= SEND_SIZE:
                break
        return b''.join(pieces)

    def consume_sent(self, size: int) -> None:
        """Remove ``size`` sent bytes; unsent pieces keep their identity."""
        self.pending -= size
        while size:
            piece = self.outbound.popleft()
            if len(piece) > size:
                self.outbound.appendleft(piece[size:])
                return
            size -= len(piece)

    def is_unsent(self, data: bytes) -> bool:
        """Return whether this very object is queued and entirely unsent."""
        return any(piece is data for piece in self.outbound)

    def withdraw(self, data: bytes) -> bool:
        """Unqueue an object passed to ``write``; True if it was unsent.

        It must be the same object: equal bytes may be another message.
        """
        for index, piece in enumerate(self.outbound):
            if piece is data:
                del self.outbound[index]
                self.pending -= len(data)
                return True
        return False

    def has_peer_closed(self) -> bool:
        """Return whether the peer has closed or the connection failed.

        Asks the kernel: the end may have arrived without having been read,
        while this process stood still. It is not seen behind unread data.
        """
        if not self.open:
            return True
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def start_writing(self) -> None:
        if not self.writing and self.open:
            self.writing = True
            self.owner.poller.addWriter(self.owner, self.sock)

    def stop_writing(self) -> None:
        if self.writing:
            self.writing = False
            self.owner.poller.removeWriter(self.sock)

    def pause_reading(self) -> None:
        """Stop reading input (back-pressure)."""
        if self.reading:
            self.reading = False
            self.owner.poller.removeReader(self.sock)

    def resume_reading(self) -> None:
        if not self.reading and self.open:
            self.reading = True
            self.owner.poller.addReader(self.owner, self.sock)

    def close(self) -> None:
        """Close immediately without calling ``on_lost``."""
        self.owner.close_stream(self)

    def close_after_write(self) -> None:
        """Close as soon as all pending data has been sent."""
        if not self.pending:
            self.close()
            return
        self.closing = True


class StreamOwner(BaseComponent):
    """Component that owns listening and connected sockets of one kind.

    Subclasses override ``on_accepted``, ``on_connected``, ``on_data``,
    ``on_drained`` and ``on_lost``; each is called synchronously.
    """

    channel = 'streams'
    # Whole seconds without an acknowledgement by the peer's kernel after
    # which a connection counts as lost; 0: the kernel's default.
    peer_timeout_seconds = 0

    def __init__(self, poller, channel: str):
        super().__init__(channel=channel)
        self.poller = poller
        self.listeners: set[socket.socket] = set()
        self.streams: dict[socket.socket, Stream] = {}

    # -- hooks for subclasses ----------------------------------------------

    def on_accepted(self, stream: Stream) -> None:
        """Called when a listener has accepted a connection."""

    def on_connected(self, stream: Stream) -> None:
        """Called when an outgoing connection is established."""

    def on_data(self, stream: Stream, data: bytes) -> None:
        """Called for each piece of input."""

    def on_drained(self, stream: Stream) -> None:
        """Called when all pending output was written to the kernel."""

    def on_lost(self, stream: Stream, error: OSError | None) -> None:
        """Called when the peer closed (``error`` None) or on failure."""

    # -- commands ---------------------------------------------------------

    def listen(self, address: Address) -> Address:
        """Listen on ``address`` (port 0: chosen by the system).

        Returns the bound address; raises OSError if it is in use.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(tuple(address))
            sock.listen(LISTEN_BACKLOG)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self.listeners.add(sock)
        self.poller.addReader(self, sock)
        return Address(*sock.getsockname())

    def stop_listening(self) -> None:
        for sock in self.listeners:
            self.poller.discard(sock)
            sock.close()
        self.listeners.clear()

    def connect_to(self, address: Address, source: str = '') -> Stream:
        """Open a connection; ``on_connected`` or ``on_lost`` follows.

        ``source`` is the local IP address to connect from, if not empty.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        self.set_options(sock)
        stream = Stream(self, sock, address)
        self.streams[sock] = stream
        try:
            if source:
                sock.bind((source, 0))
            status = sock.connect_ex(tuple(address))
        except OSError as error:
            status = error.errno or errno.EINVAL
        if status and status not in IN_PROGRESS:
            failure = OSError(status, errno.errorcode.get(status, ''))
            self.fail_later(stream, failure)
            return stream
        stream.start_writing()
        return stream

    def set_options(self, sock: socket.socket) -> None:
        """Disable Nagle's algorithm; enable keepalive if configured."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self.peer_timeout_seconds:
            return
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, 1),
            (socket.TCP_KEEPINTVL, 1),
            (socket.TCP_KEEPCNT, self.peer_timeout_seconds),
            (
                socket.TCP_USER_TIMEOUT,
                self.peer_timeout_seconds * MILLISECONDS,
            ),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)

    def fail_later(self, stream: Stream, error: OSError) -> None:
        """Report a failure in the next iteration, never synchronously."""
        self.root.scheduler.after(
            0.0, lambda: self.close_failed(stream, error)
        )

    def close_failed(self, stream: Stream, error: OSError | None) -> None:
        """Close a failed stream and call ``on_lost`` once."""
        if stream.open:
            self.close_stream(stream)
            self.on_lost(stream, error)

    def close_stream(self, stream: Stream) -> None:
        if not stream.open:
            return
        stream.open = False
        stream.outbound.clear()
        stream.pending = 0
        self.streams.pop(stream.sock, None)
        if stream.reading or stream.writing:
            self.poller.discard(stream.sock)
        stream.reading = False
        stream.writing = False
        stream.sock.close()

    def close_all(self) -> None:
        self.stop_listening()
        for stream in list(self.streams.values()):
            stream.close()

    # -- notifications of the poller -----------------------------------------

    def on_poll_read(self, sock) -> None:
        stream = self.streams.get(sock)
        if stream is not None:
            self.read_from(stream)
        elif sock in self.listeners:
            self.accept_from(sock)

    def on_poll_write(self, sock) -> None:
        stream = self.streams.get(sock)
        if stream is None:
            return
        if not stream.connected:
            self.finish_connect(stream)
            return
        stream.flush()
        if stream.open and not stream.pending:
            stream.stop_writing()
            if stream.closing:
                stream.close()
            else:
                self.on_drained(stream)

    def on_poll_lost(self, sock) -> None:
        stream = self.streams.get(sock)
        if stream is None:
            return
        status = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.close_failed(stream, OSError(status, 'lost') if status else None)

    def read_from(self, stream: Stream) -> None:
        try:
            data = stream.sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.close_failed(stream, error)
            return
        if not data:
            self.close_failed(stream, None)
        elif not stream.closing:
            self.on_data(stream, data)

    def accept_from(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, remote = listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            self.set_options(sock)
            stream = Stream(self, sock, Address(*remote))
            stream.connected = True
            self.streams[sock] = stream
            stream.resume_reading()
            self.on_accepted(stream)

    def finish_connect(self, stream: Stream) -> None:
        status = stream.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if status:
            self.close_failed(
                stream, OSError(status, errno.errorcode.get(status))
            )
            return
        stream.connected = True
        stream.stop_writing()
        stream.resume_reading()
        self.on_connected(stream)
        stream.flush()
        if stream.open and stream.pending:
            stream.start_writing()
