"""Clients: one request on a connection of its own, and what came back."""

import dataclasses
import itertools
import os
import socket
import threading
import time

NUMBERS = itertools.count(1)


@dataclasses.dataclass
class Outcome:
    """What a client saw; times in seconds after the request was sent.

    ``ended`` is when the final answer was there: the whole answer, or the
    end of the connection. It is None if neither came in time.
    """

    call_id: str
    path: str
    sent_at: float
    first_byte: float | None = None
    ended: float | None = None
    status: int = 0
    length: int = -1
    received: int = 0
    closed: str = ''

    @property
    def whole(self) -> bool:
        return self.status > 0 and self.received == self.length

    def line(self) -> str:
        fields = dataclasses.asdict(self)
        return ' '.join(
            f'{k}={round(v, 3) if isinstance(v, float) else v}'
            for k, v in fields.items()
        )


def new_id() -> str:
    return f'{os.getpid():x}{next(NUMBERS):08x}'


def request(entry, method, path, deadline_ms, body=b'', call_id='') -> Outcome:
    """Send a request and wait for its final answer until its deadline."""
    call_id = call_id or new_id()
    outcome = Outcome(call_id, path, time.monotonic())
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\n'
        f'Attempt-Id: {call_id}\r\nDeadline-Ms: {deadline_ms}\r\n'
    )
    if body or method == 'POST':
        head += f'Content-Length: {len(body)}\r\n'
    give_up_at = outcome.sent_at + deadline_ms / 1000
    try:
        with socket.create_connection(entry, timeout=1.0) as sock:
            sock.sendall(head.encode() + b'\r\n' + body)
            receive(sock, outcome, give_up_at)
    except OSError as error:
        outcome.closed = type(error).__name__
        outcome.ended = time.monotonic() - outcome.sent_at
    return outcome


def receive(sock: socket.socket, outcome: Outcome, give_up_at: float) -> None:
    """Read the answer; leave at ``give_up_at`` if it is not whole."""
    head = b''
    while not outcome.whole:
        left = give_up_at - time.monotonic()
        if left <= 0:
            return
        sock.settimeout(left)
        try:
            data = sock.recv(65536)
        except TimeoutError:
            return
        now = time.monotonic() - outcome.sent_at
        if not data:
            outcome.closed = 'closed'
            outcome.ended = now
            return
        if outcome.first_byte is None:
            outcome.first_byte = now
        if outcome.status:
            outcome.received += len(data)
            continue
        head += data
        if b'\r\n\r\n' in head:
            read_head(outcome, head)
    outcome.ended = time.monotonic() - outcome.sent_at


def read_head(outcome: Outcome, data: bytes) -> None:
    head, _, body = data.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    outcome.status = int(lines[0].split()[1])
    outcome.received = len(body)
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name.lower() == 'content-length':
            outcome.length = int(value)


def all_at_once(jobs) -> list[Outcome]:
    """Run each job in a thread of its own; return their outcomes."""
    outcomes: list[Outcome] = []
    threads = []
    for job in jobs:
        thread = threading.Thread(
            target=lambda job=job: outcomes.append(job())
        )
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    return outcomes
