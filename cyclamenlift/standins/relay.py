"""Relays that simulate network partitions between two processes.

A relay listens in place of its upstream process. While a direction is cut,
nothing is forwarded and no connection is closed or reset: bytes are queued,
as in the sender's kernel on a real network, and datagrams are dropped.
Queued bytes are delivered after healing. Unlike in a real partition, the
relay accepts new connections even while it is cut.
"""

import asyncio
import collections
import dataclasses
import enum
import threading

from cyclamenlift.core.streams import Address

RESULT_SECONDS = 10.0
MAX_QUEUED_BYTES = 256 * 1024


class Direction(enum.Enum):
    """Direction of data, relative to the side that opened the connection."""

    FORWARD = 'there'
    BACKWARD = 'back'


@dataclasses.dataclass(slots=True)
class DirectionState:
    """State of one direction; ``received_bytes`` also grows while cut."""

    is_cut: bool = False
    delay: float = 0.0
    received_bytes: int = 0


class Pipe(asyncio.Protocol):
    """One end of a relayed connection; forwards its data to ``peer``.

    The queue holds the due time of each chunk, in the loop's time, and its
    bytes; None stands for the end of the connection.
    """

    def __init__(self, path: 'TcpRelay', state: DirectionState):
        self.path = path
        self.state = state
        self.peer: Pipe | None = None
        self.transport: asyncio.Transport | None = None
        self.queue: collections.deque[tuple[float, bytes | None]] = (
            collections.deque()
        )
        self.last_due = 0.0
        self.queued_bytes = 0
        self.closed = False

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.path.pipes.add(self)
        if self.peer is None:
            self.path.on_accepted(self)
        else:
            self.peer.flush()

    def data_received(self, data: bytes) -> None:
        self.state.received_bytes += len(data)
        self.enqueue(data)

    def connection_lost(self, exc) -> None:
        self.closed = True
        self.enqueue(None)

    def enqueue(self, data: bytes | None) -> None:
        """Queue data for delivery in order, after the configured delay."""
        self.queued_bytes += len(data or b'')
        if self.queued_bytes > MAX_QUEUED_BYTES and not self.closed:
            self.transport.pause_reading()
        loop = asyncio.get_running_loop()
        self.last_due = max(self.last_due, loop.time() + self.state.delay)
        self.queue.append((self.last_due, data))
        if self.last_due > loop.time():
            loop.call_at(self.last_due, self.flush)
        else:
            self.flush()

    def flush(self) -> None:
        """Deliver due data, unless cut off or the peer is not connected."""
        if self.state.is_cut or self.peer is None:
            return
        if self.peer.transport is None:
            return
        now = asyncio.get_running_loop().time()
        while self.queue and self.queue[0][0] <= now:
            self.deliver(self.queue.popleft()[1])
        if not self.queue and not self.closed:
            self.transport.resume_reading()

    def deliver(self, data: bytes | None) -> None:
        if data is None:
            self.peer.transport.close()
            self.path.pipes.discard(self)
            return
        self.queued_bytes -= len(data)
        if not self.peer.closed:
            self.peer.transport.write(data)


class TcpRelay:
    """Relays connections to ``upstream``; each direction can be cut."""

    def __init__(self, upstream: Address):
        self.upstream = upstream
        self.direction_states = {
            direction: DirectionState() for direction in Direction
        }
        self.pipes: set[Pipe] = set()
        self.unconnected: list[Pipe] = []
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def open(self, host: str) -> Address:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Pipe(self, self.direction_states[Direction.FORWARD]),
            host,
            0,
        )
        return Address(*self.server.sockets[0].getsockname()[:2])

    def on_accepted(self, pipe: Pipe) -> None:
        """Connect to the upstream process, once the path is not cut."""
        if self.direction_states[Direction.FORWARD].is_cut:
            self.unconnected.append(pipe)
            return
        task = asyncio.get_running_loop().create_task(self.connect(pipe))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self, pipe: Pipe) -> None:
        loop = asyncio.get_running_loop()
        peer = Pipe(self, self.direction_states[Direction.BACKWARD])
        peer.peer = pipe
        pipe.peer = peer
        try:
            await loop.create_connection(lambda: peer, *self.upstream)
        except OSError:
            pipe.transport.abort()

    def set_cut(self, direction: Direction, is_cut: bool) -> None:
        """Cut or heal one direction; healing delivers queued data."""
        self.direction_states[direction].is_cut = is_cut
        if is_cut:
            return
        if direction is Direction.FORWARD:
            unconnected, self.unconnected = self.unconnected, []
            for pipe in unconnected:
                self.on_accepted(pipe)
        for pipe in list(self.pipes):
            pipe.flush()

    def close(self) -> None:
        self.server.close()
        for pipe in list(self.pipes):
            pipe.transport.abort()


class UdpRelay(asyncio.DatagramProtocol):
    """Forwards datagrams to ``upstream``, except from blocked senders."""

    def __init__(self, upstream: Address):
        self.upstream = upstream
        self.blocked: frozenset[Address] = frozenset()
        self.dropped = 0
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str) -> Address:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, 0))
        return Address(*self.transport.get_extra_info('sockname')[:2])

    def connection_made(self, transport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr) -> None:
        if Address(*addr[:2]) in self.blocked:
            self.dropped += 1
            return
        self.transport.sendto(data, tuple(self.upstream))

    def close(self) -> None:
        self.transport.close()


class RelayThread:
    """Runs relays on their own event loop, in a thread of this process."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()

    def open(self, path: TcpRelay | UdpRelay, host: str) -> Address:
        """Open a relay and return the address at which it listens."""
        future = asyncio.run_coroutine_threadsafe(path.open(host), self.loop)
        return future.result(RESULT_SECONDS)

    def run(self, function, *arguments) -> None:
        """Run ``function`` in the thread of the loop and wait for it."""

        async def work() -> None:
            function(*arguments)

        future = asyncio.run_coroutine_threadsafe(work(), self.loop)
        future.result(RESULT_SECONDS)

    def stop(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(RESULT_SECONDS)
        self.loop.close()
