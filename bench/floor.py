"""Measure lower bounds for the cost of a call: ``python -m bench.floor``.

Two processes on loopback, entry and gate, exchange framed thrift without any
logic: once with the stock sockets of circuits, once with ours. Then the HTTP
server alone, with a trivial answer: the stock server, ours below
``circuits.web`` controllers, and ours as the call path uses it. Calls are
sequential; the baselines alternate in rounds, so that noise of the machine
affects all of them. Each process exits by itself.
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
    """Latency and CPU time of one round, in microseconds per call."""

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


class Baseline:
    """Processes of one baseline, and a connection to the last one started."""

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
        parent_end, child_end = context.Pipe()
        process = context.Process(
            target=run_role, args=(role, child_end, gate), daemon=True
        )
        process.start()
        self.processes.append(process)
        if not parent_end.poll(START_SECONDS):
            raise TimeoutError(f'{role} did not start')
        return parent_end.recv()

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


def measure(baseline: Baseline, send_call: Callable, calls: int) -> Figures:
    """Measure ``calls`` sequential calls."""
    for _ in range(WARM_UP):
        send_call(baseline.sock)
    before = baseline.processor_seconds()
    times = []
    for _ in range(calls):
        start = time.perf_counter()
        send_call(baseline.sock)
        times.append(time.perf_counter() - start)
    cpu_used = baseline.processor_seconds() - before
    times.sort()
    return Figures(
        baseline.name,
        times[calls // 2] * MICROSECONDS,
        times[calls * 99 // 100] * MICROSECONDS,
        cpu_used / calls * MICROSECONDS,
    )


def run_baselines(
    baselines: list[Baseline], send_call: Callable, calls: int, rounds: int
) -> list[Figures]:
    """Measure the baselines in alternation; return their medians."""
    results: dict[str, list[Figures]] = {
        baseline.name: [] for baseline in baselines
    }
    try:
        for _ in range(rounds):
            for baseline in baselines:
                results[baseline.name].append(
                    measure(baseline, send_call, calls)
                )
    finally:
        for baseline in baselines:
            baseline.stop()
    return [median(figures) for figures in results.values()]


def median(figures: list[Figures]) -> Figures:
    middle = len(figures) // 2
    return Figures(
        figures[0].floor,
        sorted(f.p50 for f in figures)[middle],
        sorted(f.p99 for f in figures)[middle],
        sorted(f.processor for f in figures)[middle],
    )


def call_baselines(calls: int, rounds: int) -> list[Figures]:
    baselines = [
        Baseline('gate alone, stock sockets', 'stock gate'),
        Baseline('entry and gate, stock sockets', 'stock gate', 'stock entry'),
        Baseline('gate alone, our sockets', 'own gate'),
        Baseline('entry and gate, our sockets', 'own gate', 'own entry'),
    ]
    return run_baselines(baselines, ask_frame, calls, rounds)


def http_baselines(calls: int, rounds: int) -> list[Figures]:
    names = [name for name in ROLES if 'web' in name or 'border' in name]
    baselines = [Baseline(name, name) for name in names]
    return run_baselines(baselines, ask_http, calls, rounds)


def main(calls: int = 1500, rounds: int = 5, as_json: bool = False) -> None:
    """Measure the baselines and print a table, times in microseconds.

    ``processor`` is the user and system time of the processes of the
    baseline, without the sender.
    """
    results = call_baselines(calls, rounds) + http_baselines(calls, rounds)
    if as_json:
        rows = [dataclasses.asdict(figures) for figures in results]
        sys.stdout.write(json.dumps(rows, indent=2) + '\n')
        return
    sys.stdout.write('| floor | p50 us | p99 us | processor us |\n')
    sys.stdout.write('|---|---|---|---|\n')
    for result in results:
        sys.stdout.write(
            f'| {result.floor} | {result.p50:.0f} | {result.p99:.0f} '
            f'| {result.processor:.0f} |\n'
        )


if __name__ == '__main__':
    fire.Fire(main)
