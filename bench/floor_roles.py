"""Processes that ``bench.floor`` measures, each without any logic."""

from collections.abc import Callable
import signal

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
from cyclamenlift.wire.gen.protocol.ttypes import Header

LOOPBACK = Address('127.0.0.1', 0)
LIFETIME_SECONDS = 300
BODY = b'x' * 200
ROLES: Registry[Callable] = Registry('role')


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
    """Answers each frame at once."""

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
    """Forwards calls to the gate and answers to the caller."""

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
    """Sends the server's address to the parent once it listens."""

    def __init__(self, server, pipe):
        super().__init__()
        self.server = server
        self.pipe = pipe

    @handler('ready', channel='*')
    def _on_ready(self, *_args) -> None:
        self.pipe.send((self.server.host, self.server.port))


def run_stock(component: BaseComponent, server, pipe) -> None:
    """Run on stock circuits until the parent ends the process."""
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


class StreamGate(StreamOwner):
    """Answers each frame at once."""

    def on_accepted(self, stream: Stream) -> None:
        stream.context = FrameReader()

    def on_data(self, stream: Stream, data: bytes) -> None:
        for _, call in stream.context.feed(data):
            stream.write(make_answer(call.call_id))


class StreamEntry(StreamOwner):
    """Forwards calls to the gate and answers to the caller."""

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


def run_streams(root, address: Address, pipe) -> None:
    """Run on our event loop until the parent ends the process."""
    pipe.send(tuple(address))
    root.run()


@ROLES.register('own gate')
def run_stream_gate(pipe, _gate) -> None:
    root = build_root()
    gate = StreamGate(root.poller, 'gate').register(root)
    run_streams(root, gate.listen(LOOPBACK), pipe)


@ROLES.register('own entry')
def run_stream_entry(pipe, gate) -> None:
    root = build_root()
    entry = StreamEntry(root.poller, Address(*gate)).register(root)
    entry.open_link()
    run_streams(root, entry.listen(LOOPBACK), pipe)


# -- the HTTP server towards callers ------------------------------------------


class Page(BaseController):
    """A single trivial page."""

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
    run_streams(root, WebServer(root, LOOPBACK, [Page()]).address, pipe)


@ROLES.register('our border, as on the call path')
def run_http_server(pipe, _gate) -> None:
    root = build_root()
    fields = [('content-type', 'text/plain')]

    def handle(exchange) -> None:
        exchange.respond(200, fields, BODY)

    server = HttpServer(root.poller, HttpLimits(), handle, 'border')
    run_streams(root, server.register(root).listen(LOOPBACK), pipe)


def run_role(role: str, pipe, gate) -> None:
    """Run one role, which sends its address through ``pipe``.

    The alarm ends the process even if the parent was killed.
    """
    signal.alarm(LIFETIME_SECONDS)
    ROLES.get(role)(pipe, gate)
