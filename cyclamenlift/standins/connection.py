"""Server side of a connection to a stand-in target."""

import asyncio
import hashlib

import httptools

from cyclamenlift.standins.faults import Cut
from cyclamenlift.standins.service import Answer
from cyclamenlift.standins.service import Request
from cyclamenlift.standins.service import Service

MAX_BODY_PREFIX = 64 * 1024
REASONS = {200: 'OK', 400: 'Bad Request', 404: 'Not Found'}
REASONS.update({500: 'Internal Server Error', 503: 'Service Unavailable'})


class TargetConnection(asyncio.Protocol):
    """Answers the requests of one connection in order.

    A body is hashed as it arrives and only its first part is stored, so
    that a large upload does not use much memory.
    """

    def __init__(self, service: Service):
        self.service = service
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.worker: asyncio.Task | None = None
        self.queue: asyncio.Queue = asyncio.Queue()
        self.is_counted = False
        self.reset()

    def reset(self) -> None:
        self.path = b''
        self.headers: dict[str, str] = {}
        self.digest = hashlib.sha256()
        self.size = 0
        self.body_prefix = bytearray()

    def connection_made(self, transport) -> None:
        self.transport = transport
        counters = self.service.counters
        if counters.open_connections >= self.service.plan.max_connections:
            counters.refused_connections += 1
            transport.abort()
            return
        counters.connections += 1
        counters.open_connections += 1
        self.is_counted = True
        self.worker = asyncio.get_running_loop().create_task(
            self.serve_queue()
        )

    def connection_lost(self, exc) -> None:
        if self.is_counted:
            self.service.counters.open_connections -= 1
        if self.worker is not None:
            self.worker.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.write(
                b'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n'
                b'Connection: close\r\n\r\n'
            )
            self.transport.close()

    def on_url(self, url: bytes) -> None:
        self.path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_headers_complete(self) -> None:
        if self.headers.get('expect', '').lower() == '100-continue':
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, data: bytes) -> None:
        self.digest.update(data)
        self.size += len(data)
        if len(self.body_prefix) < MAX_BODY_PREFIX:
            self.body_prefix += data

    def on_message_complete(self) -> None:
        request = Request(
            self.parser.get_method().decode('ascii'),
            self.path.decode('latin-1'),
            self.headers,
            self.size,
            self.digest.hexdigest() if self.size else '',
            bytes(self.body_prefix),
        )
        self.queue.put_nowait((request, self.parser.should_keep_alive()))
        self.reset()

    async def serve_queue(self) -> None:
        """Answer queued requests until the connection closes."""
        if self.service.plan.open_ms:
            await asyncio.sleep(self.service.plan.open_ms / 1000.0)
        while True:
            request, keep_alive = await self.queue.get()
            answer = await self.service.answer(request)
            self.send(answer, keep_alive, request.method == 'HEAD')

    def send(self, answer: Answer, keep_alive: bool, head_only: bool) -> None:
        """Write a response with the faults that it is to show."""
        self.service.counters.answers[answer.status] += 1
        reason = REASONS.get(answer.status, 'Other')
        head = (
            f'HTTP/1.1 {answer.status} {reason}\r\n'
            f'Content-Type: text/plain\r\n'
            f'Content-Length: {len(answer.body)}\r\n'
            f'Connection: {"keep-alive" if keep_alive else "close"}\r\n\r\n'
        ).encode()
        data = head if head_only else head + answer.body
        faults = answer.faults
        if faults is not None and faults.cut is not Cut.NONE:
            self.transport.write(data[: truncated_length(faults, len(head))])
            self.transport.close()
            return
        if faults is not None and faults.stray_bytes:
            data += b'x' * faults.stray_bytes
        self.transport.write(data)
        if not keep_alive:
            self.transport.close()


def truncated_length(faults, head_bytes: int) -> int:
    """Return the number of response bytes to send before closing."""
    if faults.cut is Cut.BEFORE_HEAD:
        return 0
    if faults.cut is Cut.AFTER_HEAD:
        return head_bytes
    return head_bytes + faults.cut_bytes
