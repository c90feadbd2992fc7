"""A manually stepped loop, raw-socket callers, and servers for tests."""

import dataclasses
import re
import socket
import struct
import time

from circuits.core.pollers import EPoll
from circuits.web.controllers import Controller
from circuits.web.servers import Server

from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.limits import HttpLimits
from cyclamenlift.http.server import HttpServer

LOOPBACK = Address('127.0.0.1', 0)
GENEROUS_SECONDS = 20.0
QUIET_ROUNDS = 10
ROUND_SECONDS = 0.002
HEAD = re.compile(rb'HTTP/1\.[01] (\d{3}) [^\r\n]*\r\n(.*?)\r\n\r\n', re.S)
LENGTH = re.compile(rb'content-length: *(\d+)', re.I)
LIMITS = HttpLimits(
    max_header_bytes=4096,
    max_headers=20,
    max_body_bytes=1000,
    drain_grace_seconds=0.05,
)


class Loop:
    """The event loop, run in the thread of the test."""

    def __init__(self, root=None):
        self.root = root or build_root()
        # circuits polls only while the root is marked as running.
        self.root._running = True

    def step(self) -> None:
        self.root.tick(timeout=ROUND_SECONDS)

    def until(self, condition) -> None:
        """Run until ``condition()`` holds; fail after a generous timeout."""
        end = time.monotonic() + GENEROUS_SECONDS
        while not condition():
            assert time.monotonic() < end, (
                'timed out waiting for the condition'
            )
            self.step()

    def settle(self, *callers: 'Caller') -> None:
        """Run until no event or input is pending."""
        rounds = 0
        while rounds < QUIET_ROUNDS:
            busy = len(self.root) > 1
            self.step()
            moved = [caller.read() for caller in callers]
            rounds = 0 if busy or any(moved) else rounds + 1


class Caller:
    """A raw socket connected to the server or accepted from the client."""

    def __init__(self, loop: Loop, sock: socket.socket):
        self.loop = loop
        self.sock = sock
        self.sock.setblocking(False)
        self.received = b''
        self.closed = False
        self.reset = False

    @classmethod
    def connect(cls, loop: Loop, address) -> 'Caller':
        return cls(loop, socket.create_connection(tuple(address)))

    def send(self, *pieces: bytes) -> 'Caller':
        """Send each piece in a separate packet."""
        end = time.monotonic() + GENEROUS_SECONDS
        for piece in pieces:
            while piece and not self.closed:
                assert time.monotonic() < end, 'timed out sending'
                try:
                    sent = self.sock.send(piece)
                    piece = piece[sent:]
                except BlockingIOError:
                    pass
                except OSError:
                    self.closed = True
                self.loop.step()
                self.read()
        return self

    def read(self) -> bool:
        """Read available input; return whether there was any."""
        if self.closed:
            return False
        try:
            data = self.sock.recv(1 << 20)
        except BlockingIOError:
            return False
        except OSError:
            self.closed = self.reset = True
            return True
        self.received += data
        self.closed = not data
        return True

    def until(self, condition) -> None:
        self.loop.until(lambda: self.read() and False or condition(self))

    def leave(self, reset: bool = False) -> None:
        """Close the connection, optionally with a reset."""
        if reset:
            option = struct.pack('ii', 1, 0)
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        self.sock.close()
        self.closed = True


@dataclasses.dataclass(frozen=True)
class ReceivedResponse:
    """One response as received by a caller."""

    status: int
    head: bytes
    body: bytes


def parse_responses(data: bytes) -> list[ReceivedResponse]:
    """Split received bytes into responses by ``Content-Length``."""
    answers = []
    while match := HEAD.match(data):
        length = LENGTH.search(match[2])
        end = match.end() + (int(length[1]) if length else 0)
        answers.append(
            ReceivedResponse(int(match[1]), match[2], data[match.end() : end])
        )
        data = data[end:]
    return answers


def echo(exchange: Exchange) -> None:
    """Respond to GET with the path, to other methods with the body."""
    if exchange.method == 'GET':
        text = f'path:{exchange.path}'
        exchange.respond(200, [('x-app', '1')], text.encode())
        return
    parts = []

    def on_body(data: bytes, last: bool) -> None:
        parts.append(data)
        if last:
            exchange.respond(200, [], b'body:' + b''.join(parts))

    # Nothing runs before the whole body has been read.
    exchange.on_broken = exchange.respond_problem
    exchange.read_body(on_body)


@dataclasses.dataclass
class ServerHarness:
    """An ``HttpServer`` on a loop of its own."""

    loop: Loop
    server: HttpServer
    address: Address
    exchanges: list[Exchange]

    def caller(self) -> Caller:
        return Caller.connect(self.loop, self.address)

    def ask(self, *pieces: bytes) -> Caller:
        """Send pieces on a new connection and run the loop until idle."""
        caller = self.caller().send(*pieces)
        self.loop.settle(caller)
        return caller


def build_server_harness(
    take=echo, limits: HttpLimits = LIMITS
) -> ServerHarness:
    """Return an ``HttpServer`` that records its exchanges."""
    loop = Loop()
    exchanges = []

    def note(exchange: Exchange) -> None:
        exchanges.append(exchange)
        take(exchange)

    server = HttpServer(loop.root.poller, limits, note, 'harness')
    server.register(loop.root)
    return ServerHarness(loop, server, server.listen(LOOPBACK), exchanges)


class CircuitsPages(Controller):
    """Responds like ``echo`` on the circuits.web server."""

    def index(self, *parts) -> str:
        if self.request.method == 'GET':
            return f'path:{self.request.path}'
        return 'body:' + self.request.body.getvalue().decode('latin-1')

    def default(self, *parts) -> str:
        return self.index()


def ask_circuits_server(*pieces: bytes) -> Caller:
    """Send pieces to a new unmodified circuits.web server."""
    server = Server(('127.0.0.1', 0), channel='web')
    EPoll().register(server)
    CircuitsPages().register(server)
    loop = Loop(server)
    loop.settle()
    caller = Caller.connect(loop, (server.host, server.port))
    caller.send(*pieces)
    loop.settle(caller)
    return caller


def request(
    first_line: str = 'GET / HTTP/1.1',
    *fields: str,
    body: bytes = b'',
    host: str | None = 'a',
) -> bytes:
    """Return an encoded request."""
    lines = [first_line]
    if host is not None:
        lines.append(f'Host: {host}')
    lines.extend(fields)
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class FakeTarget:
    """A listening socket whose connections the test controls."""

    def __init__(self, loop: Loop, backlog: int = 16):
        self.loop = loop
        self.sock = socket.create_server(('127.0.0.1', 0), backlog=backlog)
        self.sock.setblocking(False)
        self.address = Address(*self.sock.getsockname())
        self.connections: list[Caller] = []

    def accept(self) -> None:
        """Accept a new connection and read from all connections."""
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            pass
        else:
            self.connections.append(Caller(self.loop, sock))
        for connection in self.connections:
            connection.read()

    def until(self, condition) -> None:
        self.loop.until(lambda: self.accept() or condition())

    def settle(self) -> None:
        for _ in range(QUIET_ROUNDS):
            self.accept()
            self.loop.step()

    @property
    def open_connections(self) -> list[Caller]:
        return [c for c in self.connections if not c.closed]

    def wait_for_requests(self, count: int = 1) -> Caller:
        """Wait for ``count`` requests; return the newest connection used."""

        def requests() -> int:
            return sum(c.received.count(b'\r\n\r\n') for c in self.connections)

        self.until(lambda: requests() >= count)
        return [c for c in self.connections if c.received][-1]


class Listener:
    """Records the callbacks of the target client."""

    def __init__(self):
        self.heads = []
        self.body = b''
        self.ended = 0
        self.failures = []
        self.drained = 0

    def on_head(self, status, headers, length) -> None:
        self.heads.append((status, headers, length))

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_end(self) -> None:
        self.ended += 1

    def on_drained(self) -> None:
        self.drained += 1

    def on_failure(self, failure) -> None:
        self.failures.append(failure)

    @property
    def over(self) -> bool:
        return bool(self.ended or self.failures)
