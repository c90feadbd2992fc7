"""Graceful shutdown while callers keep using their connections.

Callers with persistent connections notice a shutdown only by an answer or a
closed connection, so a request may arrive at any time until then.
"""

import heapq
import itertools
import socket
from types import SimpleNamespace

from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.http.limits import HttpLimits
from cyclamenlift.http.server import HttpServer
from cyclamenlift.runtime.graceful_shutdown import GracefulShutdown
from cyclamenlift.runtime.graceful_shutdown import IDLE_CHECK_SECONDS

FAREWELL = 2.2
GRACE = 5.3


class ManualScheduler:
    """A scheduler whose time is advanced by the test."""

    def __init__(self):
        self.clock = self
        self.time = 0.0
        self.order = itertools.count()
        self.heap = []

    def now(self) -> float:
        return self.time

    def after(self, seconds: float, callback) -> None:
        due = self.time + seconds
        heapq.heappush(self.heap, (due, next(self.order), callback))

    def run_until(self, instant: float) -> None:
        while self.heap and self.heap[0][0] <= instant:
            self.time, _, callback = heapq.heappop(self.heap)
            callback()
        self.time = instant


class DaemonStub:
    """Stub of a daemon with a real entry; the test answers its calls."""

    def __init__(self):
        self.root = build_root()
        self.root._running = True
        self.received = []
        self.server = HttpServer(
            self.root.poller, HttpLimits(), self.received.append, 'entry'
        ).register(self.root)
        self.address = self.server.listen(Address('127.0.0.1', 0))
        self.scheduler = ManualScheduler()
        self.ended = False
        self.left = False
        idle = SimpleNamespace(is_idle=lambda: True, open_calls=())
        nothing = SimpleNamespace(
            leave=self.leave, stop=lambda: None, close_all=lambda: None
        )
        self.entry = self.server
        self.calls = idle
        self.gate = None
        self.claims = SimpleNamespace(pending_requests=())
        self.forwarder = SimpleNamespace(pending_requests=())
        self.settings = SimpleNamespace(
            drain_seconds=GRACE, farewell_seconds=FAREWELL
        )
        self.membership = nothing
        self.network = nothing
        self.admin = SimpleNamespace(http=nothing)
        self.loop = SimpleNamespace(stop=self.end)

    def drain(self) -> None:
        """Do nothing: there is no gate."""

    def leave(self) -> None:
        self.left = True

    def end(self) -> None:
        self.ended = True

    def run_until_left(self) -> None:
        """Run until the idle check has passed and the instance has left."""
        while not self.left:
            self.scheduler.run_until(self.scheduler.time + 0.01)

    def connect(self) -> socket.socket:
        caller = socket.create_connection(tuple(self.address))
        self.run_loop()
        return caller

    def run_loop(self) -> None:
        for _ in range(5):
            self.root.tick(0.01)

    def ask(self, caller: socket.socket) -> None:
        caller.sendall(b'GET /p HTTP/1.1\r\nHost: prices\r\n\r\n')
        self.run_loop()


def test_no_request_is_accepted_between_the_idle_check_and_the_end():
    daemon = DaemonStub()
    caller = daemon.connect()
    GracefulShutdown(daemon).begin()
    daemon.run_until_left()
    daemon.ask(caller)
    daemon.scheduler.run_until(GRACE)
    assert daemon.ended
    # The request was not read, so its caller may retry it anywhere.
    assert daemon.received == []
    caller.settimeout(1.0)
    daemon.run_loop()
    assert caller.recv(100) == b''


def test_request_on_a_persistent_connection_is_answered():
    daemon = DaemonStub()
    caller = daemon.connect()
    GracefulShutdown(daemon).begin()
    daemon.scheduler.run_until(FAREWELL + 0.5 * IDLE_CHECK_SECONDS)
    daemon.ask(caller)
    daemon.scheduler.run_until(FAREWELL + 1.0)
    assert not daemon.ended
    daemon.received[0].respond(200, [], b'fine')
    daemon.run_loop()
    daemon.scheduler.run_until(FAREWELL + 2.0)
    assert daemon.ended
    assert b'fine' in caller.recv(1000)


def test_hanging_call_does_not_exceed_the_grace_time():
    daemon = DaemonStub()
    caller = daemon.connect()
    GracefulShutdown(daemon).begin()
    daemon.ask(caller)
    daemon.scheduler.run_until(GRACE - 0.1)
    assert not daemon.ended
    daemon.scheduler.run_until(GRACE + 3 * IDLE_CHECK_SECONDS)
    assert daemon.ended
