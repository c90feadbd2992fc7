"""The bare floors under a call: ``python -m bench.floor``.

Two processes, entry and gate, on loopback, with framed thrift and no logic:
once with the stock sockets of circuits, once with ours. Then the HTTP
border alone, for a trivial answer: the stock server, our border under
``circuits.web`` controllers, and our border as the call path uses it. One
call at a time; the floors alternate in rounds, so that noise of the machine
meets all. Each process ends by itself.
"""

from collections.abc import Callable
import dataclasses
import json
import multiprocessing
import socket
import sys
import time

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler
from circuits.core.pollers import EPoll
from circuits.net.events import connect
from circuits.net.events import write
from circuits.net.sockets import TCPClient
from circuits.net.sockets import TCPServer
from circuits.web.controllers import BaseController
from circuits.web.controllers import expose
from circuits.web.servers import Server
import fire
import psutil

from cyclamenlift.core.registry import Registry
from cyclamenlift.core.streams import Address
from cyclamenlift.core.streams import Stream
from cyclamenlift.core.streams import StreamOwner
from cyclamenlift.core.tasks import build_root
from cyclamenlift.http.limits import HttpLimits
from cyclamenlift.http.server import HttpServer
from cyclamenlift.http.web import WebServer
from cyclamenlift.wire.codec import encode_frame
from cyclamenlift.wire.codec import FrameReader
from cyclamenlift.wire.gen.protocol.ttypes import AnswerStart
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Header

LOOPBACK = Address('127.0.0.1', 0)
LIFETIME_SECONDS = 120
START_SECONDS = 10
WARM_UP = 200
MICROSECONDS = 1e6
READ_SIZE = 65536
BODY = b'x' * 200
HTTP_REQUEST = (
    b'GET /price?item=12 HTTP/1.1\r\nHost: price\r\n'
    b'User-Agent: sender\r\nAccept: */*\r\n\r\n'
)
ROLES: Registry[Callable] = Registry('role')


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """One round: times and processor time in microseconds a call."""

    floor: str
    p50: float
    p99: float
    processor: float


def make_call() -> bytes:
    fields = [Header('host', 'price'), Header('accept', '*/*')]
    return encode_frame(
        CallStart(
            call_id=1, method='GET', path='/price?item=12', headers=fields
        )
    )


def make_answer(call_id: int) -> bytes:
    fields = [Header('content-type', 'text/plain')]
    return encode_frame(
        AnswerStart(
            call_id=call_id,
            status=200,
            headers=fields,
            body_length=len(BODY),
            body=BODY,
            body_complete=True,
        )
    )


# -- entry and gate on stock sockets ----------------------------------------


class StockGate(BaseComponent):
    """Answers each frame."""

    channel = 'gate'

    def __init__(self):
        super().__init__(channel='gate')
        self.server = TCPServer(tuple(LOOPBACK), channel='gate')
        self.server.register(self)
        self.reader = FrameReader()

    @handler('read')
    def _on_read(self, sock, data) -> None:
        for _, call in self.reader.feed(data):
            self.fire(write(sock, make_answer(call.call_id)))


class StockEntry(BaseComponent):
    """Passes calls on to the gate and answers back."""

    channel = 'entry'

    def __init__(self, gate: Address):
        super().__init__(channel='entry')
        self.server = TCPServer(tuple(LOOPBACK), channel='entry')
        self.server.register(self)
        self.link = TCPClient(channel='link').register(self)
        self.caller = None
        self.from_caller = FrameReader()
        self.from_gate = FrameReader()
        self.gate = gate

    @handler('ready', channel='link')
    def _on_link_ready(self, *_args) -> None:
        self.fire(connect(*self.gate), 'link')

    @handler('read')
    def _on_read(self, sock, data) -> None:
        self.caller = sock
        for _, call in self.from_caller.feed(data):
            self.fire(write(encode_frame(call)), 'link')

    @handler('read', channel='link')
    def _on_answer(self, data) -> None:
        for _, answer in self.from_gate.feed(data):
            self.fire(write(self.caller, encode_frame(answer)))


class Announcer(BaseComponent):
    """Tells the sender the address, once the server has one."""

    def __init__(self, server, pipe):
        super().__init__()
        self.server = server
        self.pipe = pipe

    @handler('ready', channel='*')
    def _on_ready(self, *_args) -> None:
        self.pipe.send((self.server.host, self.server.port))


def run_stock(component: BaseComponent, server, pipe) -> None:
    """Run on stock circuits until the sender ends the process."""
    EPoll().register(component)
    Announcer(server, pipe).register(component)
    component.run()


@ROLES.register('stock gate')
def run_stock_gate(pipe, _gate) -> None:
    component = StockGate()
    run_stock(component, component.server, pipe)


@ROLES.register('stock entry')
def run_stock_entry(pipe, gate) -> None:
    component = StockEntry(gate)
    run_stock(component, component.server, pipe)


# -- entry and gate on our sockets -------------------------------------------


class OwnGate(StreamOwner):
    """Answers each frame."""

    def on_accepted(self, stream: Stream) -> None:
        stream.context = FrameReader()

    def on_data(self, stream: Stream, data: bytes) -> None:
        for _, call in stream.context.feed(data):
            stream.write(make_answer(call.call_id))


class OwnEntry(StreamOwner):
    """Passes calls on to the gate and answers back."""

    def __init__(self, poller, gate: Address):
        super().__init__(poller, 'entry')
        self.gate = gate
        self.link: Stream | None = None
        self.caller: Stream | None = None

    def open_link(self) -> None:
        self.link = self.connect_to(self.gate)
        self.link.context = FrameReader()

    def on_accepted(self, stream: Stream) -> None:
        self.caller = stream
        stream.context = FrameReader()

    def on_data(self, stream: Stream, data: bytes) -> None:
        other = self.caller if stream is self.link else self.link
        for _, message in stream.context.feed(data):
            other.write(encode_frame(message))


def run_own(root, address: Address, pipe) -> None:
    """Run on our loop until the lifetime is over."""
    root.scheduler.after(LIFETIME_SECONDS, root.stop)
    pipe.send(tuple(address))
    root.run()


@ROLES.register('own gate')
def run_own_gate(pipe, _gate) -> None:
    root = build_root()
    gate = OwnGate(root.poller, 'gate').register(root)
    run_own(root, gate.listen(LOOPBACK), pipe)


@ROLES.register('own entry')
def run_own_entry(pipe, gate) -> None:
    root = build_root()
    entry = OwnEntry(root.poller, Address(*gate)).register(root)
    entry.open_link()
    run_own(root, entry.listen(LOOPBACK), pipe)


# -- the border towards callers -----------------------------------------------


class Page(BaseController):
    """One trivial page."""

    channel = '/'

    @expose('price')
    def price(self, **_fields) -> str:
        return BODY.decode()


@ROLES.register('stock circuits.web')
def run_stock_web(pipe, _gate) -> None:
    server = Server(tuple(LOOPBACK), channel='web')
    Page().register(server)
    run_stock(server, server.server, pipe)


@ROLES.register('our border, circuits.web pages')
def run_pages(pipe, _gate) -> None:
    root = build_root()
    run_own(root, WebServer(root, LOOPBACK, [Page()]).address, pipe)


@ROLES.register('our border, as on the call path')
def run_border(pipe, _gate) -> None:
    root = build_root()
    fields = [('content-type', 'text/plain')]

    def take(exchange) -> None:
        exchange.respond(200, fields, BODY)

    server = HttpServer(root.poller, HttpLimits(), take, 'border')
    run_own(root, server.register(root).listen(LOOPBACK), pipe)


# -- measuring ---------------------------------------------------------------


class Floor:
    """The processes of one floor and a connection to the first of them."""

    def __init__(self, name: str, *roles: str):
        self.name = name
        self.processes = []
        address = None
        for role in roles:
            address = self.start(role, address)
        self.sock = socket.create_connection(address, START_SECONDS)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def start(self, role: str, gate):
        context = multiprocessing.get_context('spawn')
        here, there = context.Pipe()
        process = context.Process(
            target=run_role, args=(role, there, gate), daemon=True
        )
        process.start()
        self.processes.append(process)
        if not here.poll(START_SECONDS):
            raise TimeoutError(f'{role} did not start')
        return here.recv()

    def processor_seconds(self) -> float:
        times = [
            psutil.Process(process.pid).cpu_times()
            for process in self.processes
        ]
        return sum(t.user + t.system for t in times)

    def stop(self) -> None:
        self.sock.close()
        for process in self.processes:
            process.terminate()
            process.join()


def run_role(role: str, pipe, gate) -> None:
    ROLES.get(role)(pipe, gate)


def ask_frame(sock: socket.socket) -> None:
    """Send one call and wait for its answer."""
    sock.sendall(make_call())
    reader = FrameReader()
    while not reader.feed(sock.recv(READ_SIZE)):
        pass


def ask_http(sock: socket.socket) -> None:
    """Send one request and wait for its answer."""
    sock.sendall(HTTP_REQUEST)
    data = b''
    while not data.endswith(BODY):
        data += sock.recv(READ_SIZE)


def measure(floor: Floor, ask: Callable, calls: int) -> Figures:
    """Time that many calls, one at a time."""
    for _ in range(WARM_UP):
        ask(floor.sock)
    before = floor.processor_seconds()
    times = []
    for _ in range(calls):
        start = time.perf_counter()
        ask(floor.sock)
        times.append(time.perf_counter() - start)
    spent = floor.processor_seconds() - before
    times.sort()
    return Figures(
        floor.name,
        times[calls // 2] * MICROSECONDS,
        times[calls * 99 // 100] * MICROSECONDS,
        spent / calls * MICROSECONDS,
    )


def run_floors(
    floors: list[Floor], ask: Callable, calls: int, rounds: int
) -> list[Figures]:
    """Measure each floor in turn, several times; the medians count."""
    found: dict[str, list[Figures]] = {floor.name: [] for floor in floors}
    try:
        for _ in range(rounds):
            for floor in floors:
                found[floor.name].append(measure(floor, ask, calls))
    finally:
        for floor in floors:
            floor.stop()
    return [median(figures) for figures in found.values()]


def median(figures: list[Figures]) -> Figures:
    middle = len(figures) // 2
    return Figures(
        figures[0].floor,
        sorted(f.p50 for f in figures)[middle],
        sorted(f.p99 for f in figures)[middle],
        sorted(f.processor for f in figures)[middle],
    )


def call_floors(calls: int, rounds: int) -> list[Figures]:
    floors = [
        Floor('gate alone, stock sockets', 'stock gate'),
        Floor('entry and gate, stock sockets', 'stock gate', 'stock entry'),
        Floor('gate alone, our sockets', 'own gate'),
        Floor('entry and gate, our sockets', 'own gate', 'own entry'),
    ]
    return run_floors(floors, ask_frame, calls, rounds)


def border_floors(calls: int, rounds: int) -> list[Figures]:
    names = [name for name in ROLES if 'web' in name or 'border' in name]
    floors = [Floor(name, name) for name in names]
    return run_floors(floors, ask_http, calls, rounds)


def main(calls: int = 1500, rounds: int = 5, as_json: bool = False) -> None:
    """Measure the floors and print a table, times in microseconds.

    ``processor`` is user and system time of the processes of the floor,
    without the sender.
    """
    found = call_floors(calls, rounds) + border_floors(calls, rounds)
    if as_json:
        rows = [dataclasses.asdict(figures) for figures in found]
        sys.stdout.write(json.dumps(rows, indent=2) + '\n')
        return
    sys.stdout.write('| floor | p50 us | p99 us | processor us |\n')
    sys.stdout.write('|---|---|---|---|\n')
    for one in found:
        sys.stdout.write(
            f'| {one.floor} | {one.p50:.0f} | {one.p99:.0f} '
            f'| {one.processor:.0f} |\n'
        )


if __name__ == '__main__':
    fire.Fire(main)
