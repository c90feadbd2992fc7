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

import fire
import psutil

from bench.floor_roles import BODY
from bench.floor_roles import ROLES
from bench.floor_roles import run_role
from cyclamenlift.wire.codec import encode_frame
from cyclamenlift.wire.codec import FrameReader
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Header

START_SECONDS = 10
WARM_UP = 200
MICROSECONDS = 1e6
READ_SIZE = 65536
HTTP_REQUEST = (
    b'GET /price?item=12 HTTP/1.1\r\nHost: price\r\n'
    b'User-Agent: sender\r\nAccept: */*\r\n\r\n'
)


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
