"""A sound upstream of the platform, as the pages describe it."""

import asyncio
import json
import time

HEARTBEAT_SECONDS = 1.5
# How long an upstream waits for the acknowledgement of a check-in.
ACK_SECONDS = 1.0
KEEP_ALIVE_SECONDS = 10
MAX_HEAD = 64 * 1024


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes] | None:
    """Return first line, fields and body of a message, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get('content-length', '0'))
    try:
        body = await reader.readexactly(length) if length else b''
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, fields, body


class Upstream:
    """One start of an upstream: serves, checks in, drains and ends.

    ``ran`` lists every request that it ran: when it arrived, id, path.
    """

    def __init__(
        self,
        record,
        host: str,
        port: int,
        control: int,
        zone: str,
        service: str,
        name: str,
        born_ms: int = 0,
        slots: int = 6,
        work_seconds: float = 0.06,
    ):
        self.record = record
        self.host = host
        self.port = port
        self.control = control
        self.zone = zone
        self.service = service
        self.name = name
        self.born_ms = born_ms
        self.slots = slots
        self.work_seconds = work_seconds
        self.state = 'ready'
        self.leaving = False
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.gate = asyncio.Semaphore(slots)
        self.ran: list[tuple[float, str, str]] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.beats: asyncio.Task | None = None

    # -- life -------------------------------------------------------------

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=MAX_HEAD
        )
        self.beats = asyncio.create_task(self.check_in_regularly())
        self.note('upstream_started', born_ms=self.born_ms)

    async def end(self) -> None:
        """End at once, as a process that is gone."""
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.note('upstream_ended', ran=len(self.ran))

    def note(self, event: str, **fields) -> None:
        self.record.write(event, upstream=self.name, host=self.host, **fields)

    # -- check-ins --------------------------------------------------------

    async def check_in_regularly(self) -> None:
        while True:
            await self.check_in()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def statement(self) -> dict:
        """Return what a check-in says."""
        self.sequence += 1
        value = {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left': '0ms',
            'seq': self.sequence,
        }
        if self.born_ms:
            value['born'] = self.born_ms
        return value

    async def check_in(self) -> bool:
        """Send one check-in to the daemon beside; whether it was taken."""
        value = self.statement()
        path = f'/v1/Instances.Heartbeat/{self.name}'
        status = await self.tell(path, value)
        self.note(
            'check_in',
            state=value['state'],
            seq=value['seq'],
            born_ms=self.born_ms,
            status=status,
        )
        return status == 200

    async def tell(self, path: str, value: dict) -> int:
        """POST to the daemon beside; status 0 without an answer in time."""
        body = json.dumps(value).encode()
        head = (
            f'POST {path} HTTP/1.1\r\nHost: {self.host}\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
        )

        async def call() -> int:
            reader, writer = await asyncio.open_connection(
                self.host, self.control, local_addr=(self.host, 0)
            )
            try:
                writer.write(head.encode() + body)
                found = await read_message(reader)
                return int(found[0].split()[1]) if found else 0
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(call(), ACK_SECONDS)
        except (TimeoutError, OSError):
            return 0

    async def say_leaving(self) -> float:
        """Tell the daemon that it leaves until that is confirmed."""
        self.state = 'draining'
        self.leaving = True
        while not await self.check_in():
            await asyncio.sleep(0.2)
        return time.monotonic()

    # -- requests ---------------------------------------------------------

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                if not await self.answer(message, reader, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def load(self) -> str:
        return f'{self.running},{self.waiting},{self.slots},100'

    async def answer(self, message, reader, writer) -> bool:
        """Answer one request; False if the connection must end."""
        first, fields, body = message
        method, path, _ = first.split(' ')
        if path == '/health':
            status = 503 if self.leaving else 200
            self.send(writer, status, b'', {'Instance-Id': self.name})
            return True
        attempt = fields.get('attempt-id', '')
        wanted = fields.get('target-instance', self.name)
        echo = {'Attempt-Id': attempt}
        if wanted != self.name:
            self.send(writer, 421, b'', {**echo, 'Not-Executed': '1'})
            return True
        if not attempt:
            self.send(writer, 400, b'', {'Not-Executed': '1'})
            return True
        arrived = time.monotonic()
        self.waiting += 1
        async with self.gate:
            self.waiting -= 1
            self.running += 1
            try:
                self.ran.append((arrived, attempt, path))
                return await self.work(
                    method, path, attempt, body, writer, echo
                )
            finally:
                self.running -= 1

    async def work(self, method, path, attempt, body, writer, echo) -> bool:
        """Run one request and write its answer."""
        await asyncio.sleep(self.work_seconds)
        data = f'{self.name} {attempt} {method} {path}'.encode()
        self.send(writer, 200, data, {**echo, 'Response-Stamp': self.name})
        return True

    def send(self, writer, status: int, body: bytes, fields: dict) -> None:
        lines = [
            f'HTTP/1.1 {status} Status',
            f'Content-Length: {len(body)}',
            f'Server-Load: {self.load()}',
            f'Keep-Alive: timeout={KEEP_ALIVE_SECONDS}',
            *(f'{name}: {value}' for name, value in fields.items()),
        ]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
