"""A network path between two processes that can be cut silently.

A path listens in place of the process behind it. While a direction is cut,
nothing passes and no connection is closed or reset: bytes wait, as they do
in the sender's kernel on a real network, and datagrams are lost. What
waited is delivered after healing. One difference to a real cut is left: a
new connection is accepted by the path even while it is cut.
"""

import asyncio
import collections
import dataclasses
import enum
import threading

from cyclamenlift.core.streams import Address

WAIT_SECONDS = 10.0
MAX_WAITING_BYTES = 256 * 1024


class Direction(enum.Enum):
    """Which way bytes travel, seen from who opened the connection."""

    THERE = 'there'
    BACK = 'back'


@dataclasses.dataclass(slots=True)
class Lane:
    """One direction of a path; ``received_bytes`` grows also while cut."""

    is_cut: bool = False
    delay: float = 0.0
    received_bytes: int = 0


class Pipe(asyncio.Protocol):
    """One end of a relayed connection; what it receives goes to ``other``.

    The queue holds when each piece is due, in the loop's time, and its
    bytes; None stands for the end of the connection.
    """

    def __init__(self, path: 'TcpPath', lane: Lane):
        self.path = path
        self.lane = lane
        self.other: Pipe | None = None
        self.transport: asyncio.Transport | None = None
        self.queue: collections.deque[tuple[float, bytes | None]] = (
            collections.deque()
        )
        self.last_due = 0.0
        self.waiting_bytes = 0
        self.closed = False

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.path.pipes.add(self)
        if self.other is None:
            self.path.on_opened(self)
        else:
            self.other.flush()

    def data_received(self, data: bytes) -> None:
        self.lane.received_bytes += len(data)
        self.put(data)

    def connection_lost(self, exc) -> None:
        self.closed = True
        self.put(None)

    def put(self, data: bytes | None) -> None:
        """Pass data on, now or after the delay of the lane, in order."""
        self.waiting_bytes += len(data or b'')
        if self.waiting_bytes > MAX_WAITING_BYTES and not self.closed:
            self.transport.pause_reading()
        loop = asyncio.get_running_loop()
        self.last_due = max(self.last_due, loop.time() + self.lane.delay)
        self.queue.append((self.last_due, data))
        if self.last_due > loop.time():
            loop.call_at(self.last_due, self.flush)
        else:
            self.flush()

    def flush(self) -> None:
        """Write what is due, unless the lane is cut or nobody listens yet."""
        if self.lane.is_cut or self.other is None:
            return
        if self.other.transport is None:
            return
        now = asyncio.get_running_loop().time()
        while self.queue and self.queue[0][0] <= now:
            self.pass_on(self.queue.popleft()[1])
        if not self.queue and not self.closed:
            self.transport.resume_reading()

    def pass_on(self, data: bytes | None) -> None:
        if data is None:
            self.other.transport.close()
            self.path.pipes.discard(self)
            return
        self.waiting_bytes -= len(data)
        if not self.other.closed:
            self.other.transport.write(data)


class TcpPath:
    """Relays every connection to ``upstream``; each direction by itself."""

    def __init__(self, upstream: Address):
        self.upstream = upstream
        self.lanes = {direction: Lane() for direction in Direction}
        self.pipes: set[Pipe] = set()
        self.waiting: list[Pipe] = []
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def open(self, host: str) -> Address:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Pipe(self, self.lanes[Direction.THERE]), host, 0
        )
        return Address(*self.server.sockets[0].getsockname()[:2])

    def on_opened(self, pipe: Pipe) -> None:
        """Connect to the process behind, once the path lets it through."""
        if self.lanes[Direction.THERE].is_cut:
            self.waiting.append(pipe)
            return
        task = asyncio.get_running_loop().create_task(self.connect(pipe))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self, pipe: Pipe) -> None:
        loop = asyncio.get_running_loop()
        other = Pipe(self, self.lanes[Direction.BACK])
        other.other = pipe
        pipe.other = other
        try:
            await loop.create_connection(lambda: other, *self.upstream)
        except OSError:
            pipe.transport.abort()

    def set_lane(self, direction: Direction, is_cut: bool) -> None:
        """Cut or heal one direction; what waited passes on healing."""
        self.lanes[direction].is_cut = is_cut
        if is_cut:
            return
        if direction is Direction.THERE:
            waiting, self.waiting = self.waiting, []
            for pipe in waiting:
                self.on_opened(pipe)
        for pipe in list(self.pipes):
            pipe.flush()

    def close(self) -> None:
        self.server.close()
        for pipe in list(self.pipes):
            pipe.transport.abort()


class UdpPath(asyncio.DatagramProtocol):
    """Passes datagrams on to ``upstream``, except from blocked senders."""

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


class RelayLoop:
    """Runs paths on a loop of its own, in a thread of this process."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()

    def open(self, path: TcpPath | UdpPath, host: str) -> Address:
        """Open a path; return the address at which it listens."""
        future = asyncio.run_coroutine_threadsafe(path.open(host), self.loop)
        return future.result(WAIT_SECONDS)

    def run(self, function, *arguments) -> None:
        """Run ``function`` in the loop's thread and wait for it."""

        async def work() -> None:
            function(*arguments)

        future = asyncio.run_coroutine_threadsafe(work(), self.loop)
        future.result(WAIT_SECONDS)

    def stop(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(WAIT_SECONDS)
        self.loop.close()
