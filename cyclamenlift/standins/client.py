"""Persistent HTTP connections of the load generator."""

import asyncio
import collections
import dataclasses

import httptools


class ResponseLost(Exception):
    """The connection closed before the response was complete."""

    def __init__(self, some_received: bool):
        super().__init__('connection closed before the response was complete')
        self.some_received = some_received


@dataclasses.dataclass(slots=True)
class HttpResponse:
    """A complete HTTP response."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytearray = dataclasses.field(default_factory=bytearray)


class ClientConnection(asyncio.Protocol):
    """One connection, which carries one call at a time."""

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.answer = HttpResponse()
        self.waiter: asyncio.Future | None = None
        self.closed = False
        self.unsolicited = False
        self.received = False
        self.keep_alive = True

    def connection_made(self, transport) -> None:
        self.transport = transport

    def connection_lost(self, exc) -> None:
        self.closed = True
        self.fail_waiter()

    def data_received(self, data: bytes) -> None:
        if self.waiter is None:
            self.unsolicited = True
            self.close()
            return
        self.received = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.unsolicited = True
            self.close()
            self.fail_waiter()

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.decode('latin-1').lower()
        self.answer.headers[key] = value.decode('latin-1')

    def on_body(self, data: bytes) -> None:
        self.answer.body += data

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status == 100:
            self.answer = HttpResponse()
            return
        self.answer.status = status
        self.keep_alive = self.parser.should_keep_alive()
        waiter = self.waiter
        self.waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(self.answer)

    def fail_waiter(self) -> None:
        waiter = self.waiter
        self.waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_exception(ResponseLost(self.received))

    async def call(self, data: bytes, seconds: float) -> HttpResponse:
        """Send a request; return its response or raise ResponseLost."""
        self.answer = HttpResponse()
        self.received = False
        loop = asyncio.get_running_loop()
        self.waiter = loop.create_future()
        waiter = self.waiter
        timer = loop.call_later(seconds, self.close)
        self.transport.write(data)
        try:
            return await waiter
        finally:
            timer.cancel()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def is_reusable(self) -> bool:
        return not self.closed and self.keep_alive and not self.unsolicited


class Pool:
    """Pool of connections to one address; the last used is reused first."""

    def __init__(self, address: str):
        self.host, _, port = address.rpartition(':')
        self.port = int(port)
        self.idle: collections.deque[ClientConnection] = collections.deque()
        self.opened = 0
        self.unsolicited = 0

    async def acquire(self) -> ClientConnection:
        """Return an idle connection or open one; may raise OSError."""
        while self.idle:
            candidate = self.idle.pop()
            if candidate.is_reusable():
                return candidate
            self.unsolicited += candidate.unsolicited
        self.opened += 1
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            ClientConnection, self.host, self.port
        )
        return connection

    def release(self, connection: ClientConnection) -> None:
        if connection.is_reusable():
            self.idle.append(connection)
            return
        self.unsolicited += connection.unsolicited
        connection.close()

    def close(self) -> None:
        for connection in self.idle:
            connection.close()
        self.idle.clear()
