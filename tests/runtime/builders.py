"""Harness: an entry and gates on one loop, with scripted targets."""

from collections.abc import Callable
import contextlib
import dataclasses
import random
import socket
import threading
import time

from cyclamenlift.calls.tasks import Calls
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.gate.tasks import Gate
from cyclamenlift.http.client import TargetClient
from cyclamenlift.http.dialects import Dialect
from cyclamenlift.http.limits import ClientLimits
from cyclamenlift.http.limits import HttpLimits
from cyclamenlift.http.server import HttpServer
from cyclamenlift.models.document import EventDocument
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import rules_from_document
from cyclamenlift.routing.state import RoutingState
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import ClaimAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimVerdict
from cyclamenlift.wire.gen.protocol.ttypes import Credit
from cyclamenlift.wire.gen.protocol.ttypes import LoadFigures
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from cyclamenlift.wire.tasks import PeerNetwork

Script = Callable[[socket.socket, bytes], None]
WAIT_SECONDS = 20.0
# How long a call runs before it terminates its target.
END_SECONDS = 0.04
# How long a terminating target still accepts connections.
LISTENER_SECONDS = 0.002
LOCAL = Address('127.0.0.1', 0)


def rules(**fields) -> EventRules:
    """Return rules with one service called ``prices``."""
    service = {
        'name': 'prices',
        'hedge': False,
        'operations': [{'method': 'PUT', 'path': '/safe', 'idempotent': True}],
        **fields,
    }
    document = EventDocument.model_validate(
        {
            'event': 'e',
            'starts_at': '2026-01-01T00:00:00Z',
            'ends_at': '2036-01-01T00:00:00Z',
            'services': [service],
        }
    )
    return rules_from_document(document, 1)


def answer(body: bytes = b'fine', status: int = 200, extra: bytes = b''):
    """Return a script that sends a valid answer."""
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n'.encode()

    def script(conn: socket.socket, _request: bytes) -> None:
        conn.sendall(head + extra + b'\r\n' + body)

    return script


def raw(data: bytes, close: bool = True):
    """Return a script that sends bytes and optionally disconnects."""

    def script(conn: socket.socket, _request: bytes) -> None:
        if data:
            conn.sendall(data)
        if close:
            conn.close()

    return script


def delayed(seconds: float, then: Script) -> Script:
    """Return a script that sleeps before it runs ``then``."""

    def script(conn: socket.socket, request: bytes) -> None:
        time.sleep(seconds)
        then(conn, request)

    return script


class ScriptedTarget:
    """A threaded target; request n is handled by script n, or the last.

    ``requests`` lists complete requests in order of arrival.
    """

    def __init__(self, *scripts: Script, address: Address = LOCAL):
        self.scripts = scripts or (answer(),)
        self.requests: list[bytes] = []
        self.server = socket.create_server(tuple(address))
        self.address = Address(*self.server.getsockname())
        self.lock = threading.Lock()
        self.run(self.accept)

    def run(self, work, *arguments) -> None:
        threading.Thread(target=work, args=arguments, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                conn, _ = self.server.accept()
            except OSError:
                return
            self.run(self.serve, conn)

    def serve(self, conn: socket.socket) -> None:
        try:
            while True:
                request = read_message(conn)
                if not request:
                    return
                with self.lock:
                    number = len(self.requests)
                    self.requests.append(request)
                last = len(self.scripts) - 1
                self.scripts[min(number, last)](conn, request)
        except OSError:
            return

    def close(self) -> None:
        self.server.close()


class TerminatingTarget(ScriptedTarget):
    """Terminates with all its connections after a call of ``path``."""

    def __init__(self, path: str):
        super().__init__(answer())
        self.path = path.encode()
        self.connections: list[socket.socket] = []
        self.ended = False

    def serve(self, conn: socket.socket) -> None:
        self.connections.append(conn)
        if self.ended:
            # A terminated process has no connections.
            conn.close()
            return
        super().serve(conn)

    def accept(self) -> None:
        self.scripts = (self.run_or_end,)
        super().accept()

    def run_or_end(self, conn: socket.socket, request: bytes) -> None:
        if self.path in request.partition(b'\r\n')[0]:
            time.sleep(END_SECONDS)
            self.end()
        else:
            answer()(conn, request)

    def end(self) -> None:
        self.ended = True
        self.end_listener()
        self.end_connections()

    def end_listener(self) -> None:
        # A thread blocked in accept would keep the port open.
        self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()

    def end_connections(self) -> None:
        for conn in self.connections:
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)
            conn.close()


class SlowlyTerminatingTarget(TerminatingTarget):
    """Closes its connections first and its listener a moment later."""

    def __init__(self, path: str, listener_seconds: float = LISTENER_SECONDS):
        super().__init__(path)
        self.listener_seconds = listener_seconds

    def end(self) -> None:
        self.ended = True
        self.end_connections()
        time.sleep(self.listener_seconds)
        self.end_listener()
        self.end_connections()


def read_message(conn: socket.socket) -> bytes:
    """Read one message with the body given by its Content-Length."""
    data = b''
    while b'\r\n\r\n' not in data:
        piece = conn.recv(65536)
        if not piece:
            return b''
        data += piece
    head, _, body = data.partition(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    while len(body) < length:
        piece = conn.recv(65536)
        if not piece:
            return b''
        body += piece
    return head + b'\r\n\r\n' + body


class FakeClaims:
    """A ledger client that returns a fixed verdict and records messages."""

    def __init__(self, verdict=ClaimVerdict.GRANTED, record=None, code=0):
        self.verdict = verdict
        self.record = record
        self.code = code
        self.claims: list = []
        self.ends: list = []

    def claim(self, request, _deadline, done) -> None:
        self.claims.append(request)
        done(ClaimAnswer(1, self.verdict, self.code, '', 7, self.record))

    def end(self, ending, _deadline, done) -> None:
        self.ends.append(ending)
        done(True)


@dataclasses.dataclass(slots=True)
class Answer:
    """An answer to a caller; status 0 stands for a broken connection."""

    status: int
    result: int
    headers: dict[str, str]
    body: bytes


class CallPathHarness:
    """An entry and gates connected by real sockets on one loop."""

    def __init__(self, *targets, claims=None, slots=4, **fields):
        self.loop = build_root()
        self.loop._running = True
        self.claims = claims or FakeClaims()
        self.routing = RoutingState('bole', random.Random(1))
        self.network = self.make_network('entry')
        self.calls = Calls(
            self.loop.scheduler,
            self.routing,
            self.claims,
            lambda choice: self.network.link_to(choice.address),
            'entry',
            1_000_000,
            8,
        )
        self.calls.subscribe(self.network)
        self.network.subscribe(BodyChunk, self.calls.on_body_chunk)
        self.network.subscribe(Credit, self.calls.on_credit)
        self.server = HttpServer(
            self.loop.poller,
            HttpLimits(),
            self.calls.handle_request,
            channel='entry',
        ).register(self.loop)
        self.entry = self.server.listen(LOCAL)
        self.rules = rules(**fields)
        self.calls.apply_rules(self.rules)
        self.gates = [self.add_gate(t, slots) for t in targets]
        self.callers: list[socket.socket] = []

    def make_network(self, name: str) -> PeerNetwork:
        network = PeerNetwork(self.loop.poller, name, 'bole', 'c')
        return network.register(self.loop)

    def add_gate(self, target: Address, slots: int) -> Gate:
        name = f'gate-{len(self.routing.records)}'
        network = self.make_network(name)
        limits = ClientLimits(warm_connections=0)
        client = TargetClient(
            self.loop.poller, target, limits, channel=f'target-{name}'
        ).register(self.loop)
        gate = Gate(self.loop.scheduler, client, 'prices', slots)
        gate.termination.watch(client)
        gate.subscribe(network)
        network.subscribe(BodyChunk, gate.on_body_chunk)
        network.subscribe(Credit, gate.on_credit)
        gate.apply_rules(self.rules)
        gate.set_target_state(TargetState.READY)
        gate.network = network
        self.add_member(name, network.listen(LOCAL))
        return gate

    def add_member(self, name: str, address: Address, state=MemberState.ALIVE):
        record = MemberRecord(
            instance=name,
            incarnation=1,
            state=state,
            data_centre='bole',
            gossip_address='127.0.0.1:1',
            peer_address=str(address),
            service_name='prices',
            slots=4,
            target_state=TargetState.READY,
            config_version=1,
            target_name=name,
        )
        self.routing.note_member(record, self.loop.scheduler.clock.now())

    # -- callers --------------------------------------------------------------

    def send(
        self, method='GET', path='/p', body=b'', host='prices', **headers
    ):
        """Send a request on a new connection."""
        lines = [f'{method} {path} HTTP/1.1', f'Host: {host}']
        for name, value in headers.items():
            lines.append(f'{name.replace("_", "-")}: {value}')
        if body:
            lines.append(f'Content-Length: {len(body)}')
        caller = socket.create_connection(tuple(self.entry))
        caller.setblocking(False)
        self.callers.append(caller)
        data = '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
        self.push(caller, data)
        return caller

    def push(self, caller: socket.socket, data: bytes) -> None:
        while data:
            try:
                data = data[caller.send(data) :]
            except BlockingIOError:
                self.loop.tick(0.01)

    def receive(self, caller: socket.socket) -> Answer:
        """Run the loop until the answer is complete or broken off."""
        found, data = self.receive_all(caller, 1)
        return found[0] if found else Answer(0, 0, {}, data)

    def receive_all(
        self, caller: socket.socket, count: int
    ) -> tuple[list[Answer], bytes]:
        """Run the loop until so many answers have come, or the end.

        Returns the whole answers and the bytes behind them.
        """
        data = b''
        answers: list[Answer] = []
        deadline = time.monotonic() + WAIT_SECONDS
        while len(answers) < count and time.monotonic() < deadline:
            self.loop.tick(0.01)
            try:
                piece = caller.recv(1 << 20)
            except BlockingIOError:
                continue
            except ConnectionError:
                break
            if not piece:
                break
            data += piece
            while len(answers) < count and (found := parse_answer(data)):
                if count > 1:
                    data = cut_body(found)
                answers.append(found)
        return answers, data

    def ask(self, *arguments, **fields) -> Answer:
        return self.receive(self.send(*arguments, **fields))

    def run_until(self, condition) -> None:
        """Run the loop until ``condition`` holds."""
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            assert time.monotonic() < deadline, (
                'timed out waiting for a condition'
            )
            self.loop.tick(0.01)

    def close(self) -> None:
        for caller in self.callers:
            caller.close()
        for gate in self.gates:
            gate.client.close_all()
            gate.network.close_all()
        self.network.close_all()
        self.server.close_all()


def parse_answer(data: bytes) -> Answer | None:
    """Parse an answer; return None while it is incomplete."""
    head, found, body = data.partition(b'\r\n\r\n')
    if not found:
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    if len(body) < int(headers.get('content-length', '0')):
        return None
    result = int(headers.get('cyclamenlift-result', '0'))
    return Answer(int(lines[0].split()[1]), result, headers, body)


def cut_body(answer: Answer) -> bytes:
    """Cut a body to its length and return what follows it."""
    length = int(answer.headers.get('content-length', '0'))
    rest = answer.body[length:]
    answer.body = answer.body[:length]
    return rest


class NullScheduler:
    """A scheduler with a constant clock that never runs a callback."""

    def __init__(self):
        self.clock = self

    def now(self) -> float:
        return 0.0

    def unix_ms(self) -> int:
        return 0

    def at(self, _deadline, _callback) -> None:
        """Run nothing."""

    def after(self, _seconds, _callback) -> None:
        """Run nothing."""


def null_scheduler() -> NullScheduler:
    return NullScheduler()


def platform_like_dialect() -> Dialect:
    """Return a dialect with proofs, incarnations and load reports."""
    return Dialect(
        call_id='x-call',
        time_left_ms='x-left',
        required_incarnation='x-asked',
        incarnation='x-name',
        proof='x-proof',
        not_run='x-not-run',
        load='x-load',
        cold_ms='x-cold',
        calls_per_second='x-limit',
        leaving='x-leaving',
        call_id_repeated=True,
    )


def build_pace(
    percent: int, in_flight: int = 0, slots: int = 8, spell_left_ms: int = 0
) -> LoadFigures:
    """Return load figures with the given pace of the target."""
    return LoadFigures(
        in_flight=in_flight,
        queued=0,
        slots=slots,
        pace_percent=percent,
        spell_left_ms=spell_left_ms,
    )
