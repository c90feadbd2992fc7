"""Clients of the platform: one request on a new connection, or several."""

import asyncio
import itertools
import random

from review.stage.upstream import read_message

NUMBERS = itertools.count(1)
PREFIX = f'{random.getrandbits(40):010x}'


def new_attempt() -> str:
    return f'{PREFIX}{next(NUMBERS):06x}'


def request(
    method: str,
    host: str,
    path: str,
    attempt: str,
    deadline_ms: int,
    body: bytes = b'',
) -> bytes:
    """Return the bytes of a request."""
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'Attempt-Id: {attempt}\r\nDeadline-Ms: {deadline_ms}\r\n'
        f'{length}\r\n'
    ).encode() + body


async def call_once(
    address: tuple[str, int],
    method: str,
    host: str,
    path: str,
    attempt: str,
    deadline_ms: int,
    body: bytes = b'',
) -> int:
    """Send a request on a new connection; status 0 if none came."""

    async def call() -> int:
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(
                request(method, host, path, attempt, deadline_ms, body)
            )
            found = await read_message(reader)
            return int(found[0].split()[1]) if found else 0
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), deadline_ms / 1000 + 0.5)
    except (TimeoutError, OSError):
        return 0
