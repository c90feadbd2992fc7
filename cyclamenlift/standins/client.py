"""Kept-alive HTTP connections of the load sender."""

import asyncio
import collections
import dataclasses

import httptools


class AnswerLost(Exception):
    """The connection ended before the whole answer was in."""

    def __init__(self, some_received: bool):
        super().__init__('connection ended before the answer')
        self.some_received = some_received


@dataclasses.dataclass(slots=True)
class HttpAnswer:
    """A whole answer."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytearray = dataclasses.field(default_factory=bytearray)


class ClientConnection(asyncio.Protocol):
    """One connection, one call at a time."""

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.answer = HttpAnswer()
        self.waiter: asyncio.Future | None = None
        self.closed = False
        self.stray = False
        self.received = False
        self.finished_alive = True

    def connection_made(self, transport) -> None:
        self.transport = transport

    def connection_lost(self, exc) -> None:
        self.closed = True
        self.fail()

    def data_received(self, data: bytes) -> None:
        if self.waiter is None:
            self.stray = True
            self.close()
            return
        self.received = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.stray = True
            self.close()
            self.fail()

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.decode('latin-1').lower()
        self.answer.headers[key] = value.decode('latin-1')

    def on_body(self, data: bytes) -> None:
        self.answer.body += data

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status == 100:
            self.answer = HttpAnswer()
            return
        self.answer.status = status
        self.finished_alive = self.parser.should_keep_alive()
        waiter = self.waiter
        self.waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_result(self.answer)

    def fail(self) -> None:
        waiter = self.waiter
        self.waiter = None
        if waiter is not None and not waiter.done():
            waiter.set_exception(AnswerLost(self.received))

    async def call(self, data: bytes, seconds: float) -> HttpAnswer:
        """Send a request; return its answer or raise AnswerLost."""
        self.answer = HttpAnswer()
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
        return not self.closed and self.finished_alive and not self.stray


class Pool:
    """Idle connections to one entry address, the latest used first."""

    def __init__(self, address: str):
        self.host, _, port = address.rpartition(':')
        self.port = int(port)
        self.idle: collections.deque[ClientConnection] = collections.deque()
        self.opened = 0
        self.stray = 0

    async def take(self) -> ClientConnection:
        """Return an idle connection or a new one; raise OSError."""
        while self.idle:
            found = self.idle.pop()
            if found.is_reusable():
                return found
            self.stray += found.stray
        self.opened += 1
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            ClientConnection, self.host, self.port
        )
        return connection

    def give_back(self, connection: ClientConnection) -> None:
        if connection.is_reusable():
            self.idle.append(connection)
            return
        self.stray += connection.stray
        connection.close()

    def close(self) -> None:
        for connection in self.idle:
            connection.close()
        self.idle.clear()
