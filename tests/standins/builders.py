"""Stand-in targets that run in the event loop of the test."""

import asyncio
import contextlib
import dataclasses

from cyclamenlift.standins.client import ClientConnection
from cyclamenlift.standins.client import HttpResponse
from cyclamenlift.standins.load import LoadPlan
from cyclamenlift.standins.load import PlannedCall
from cyclamenlift.standins.service import TargetPlan
from cyclamenlift.standins.summary import CallKind
from cyclamenlift.standins.target import start_target

PLAN = TargetPlan(name='t1', slots=4, service_ms=1.0, sigma=0.0)


@contextlib.asynccontextmanager
async def running_target(**changes):
    """Yield the service and the address of a running target."""
    plan = dataclasses.replace(PLAN, **changes)
    server, service, address = await start_target(plan)
    try:
        yield service, address
    finally:
        server.close()


async def connect(address: str) -> ClientConnection:
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        ClientConnection, host, int(port)
    )
    return connection


def request(method: str, path: str, body: bytes = b'', **headers) -> bytes:
    """Encode an HTTP request."""
    lines = [f'{method} {path} HTTP/1.1', 'Host: prices']
    lines += [f'{k.replace("_", "-")}: {v}' for k, v in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def ask(address: str, *arguments, **headers) -> HttpResponse:
    """Send one request on a new connection."""
    connection = await connect(address)
    try:
        return await connection.call(request(*arguments, **headers), 5.0)
    finally:
        connection.close()


def build_load(address: str, **changes) -> LoadPlan:
    """Return a short load plan for one address."""
    plan = LoadPlan((address,), rate=200.0, seconds=0.3, upload_bytes=5000)
    return dataclasses.replace(plan, **changes)


def build_call(
    kind: CallKind = CallKind.READ, body: bytes = b''
) -> PlannedCall:
    return PlannedCall(kind, 'r1', '', body, '', 0.0)
