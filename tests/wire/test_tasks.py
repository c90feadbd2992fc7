"""Peer links: foreign or faulty peers and lost connections."""

import socket
import struct
import time

import pytest
from structlog.testing import capture_logs

from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.wire.codec import encode_frame
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import Cancel
from cyclamenlift.wire.gen.protocol.ttypes import Hello
from cyclamenlift.wire.tasks import PeerNetwork

LOCAL = Address('127.0.0.1', 0)
ROUNDS = 500
HELLO = encode_frame(Hello('x', 'bole', 1, 'c'))


class NetworkPair:
    """Two networks on one loop; ``received`` holds the IDs the second got."""

    def __init__(self):
        self.loop = build_root()
        self.loop._running = True
        self.first = self.make('first')
        self.second = self.make('second')
        self.address = self.second.listen(LOCAL)
        self.received = []
        self.second.subscribe(Cancel, self.take)

    def make(self, name: str) -> PeerNetwork:
        network = PeerNetwork(self.loop.poller, name, 'bole', 'c')
        return network.register(self.loop)

    def take(self, _link, message) -> None:
        if message.call_id == 13:
            raise ValueError('a value that the receiver rejects')
        self.received.append(message.call_id)

    def run_until(self, condition) -> None:
        for _ in range(ROUNDS):
            if condition():
                return
            self.loop.tick(0.01)
        raise AssertionError('timed out waiting for the condition')

    def foreign_peer(self, data: bytes) -> socket.socket:
        sock = socket.create_connection(tuple(self.address))
        sock.setblocking(False)
        sock.sendall(data)
        return sock

    def was_closed(self, sock: socket.socket) -> bool:
        try:
            while sock.recv(4096):
                pass
        except BlockingIOError:
            return False
        except ConnectionError:
            return True
        return True


@pytest.fixture
def pair():
    networks = NetworkPair()
    yield networks
    networks.first.close_all()
    networks.second.close_all()


@pytest.mark.parametrize(
    'data',
    [
        b'GET / HTTP/1.1\r\n\r\n',
        struct.pack('!I', 2**31),
        encode_frame(Cancel(1)),
        encode_frame(Hello('x', 'bole', 1, 'another cluster')),
        encode_frame(Hello('x', 'bole', 99, 'c')),
        HELLO + struct.pack('!I', 3) + b'abc',
        HELLO + encode_frame(Hello('x', 'bole', 1, 'c')),
        HELLO + encode_frame(Cancel(13)),
    ],
    ids=[
        'another protocol',
        'over the size limit',
        'no hello',
        'another cluster',
        'another version',
        'no thrift after the hello',
        'a message without a receiver',
        'a value that fails its receiver',
    ],
)
def test_faulty_peer_loses_only_its_own_connection(pair, data):
    pair.first.send(pair.address, Cancel(1))
    pair.run_until(lambda: pair.received == [1])
    sock = pair.foreign_peer(data)
    pair.run_until(lambda: pair.was_closed(sock))
    assert pair.second.rejected_frames == 1
    pair.first.send(pair.address, Cancel(2))
    pair.run_until(lambda: pair.received == [1, 2])
    sock.close()


def test_messages_sent_while_connecting_arrive_in_order(pair):
    link = pair.first.link_to(pair.address)
    for number in range(100, 130):
        link.send(Cancel(number))
    assert not link.was_established
    pair.run_until(lambda: len(pair.received) == 30)
    assert pair.received == list(range(100, 130))
    assert link.hello.instance == 'second'


def test_lost_link_tells_that_it_was_never_established(pair):
    lost = []
    pair.first.subscribe_lost(lost.append)
    with socket.create_server(('127.0.0.1', 0)) as server:
        address = Address(*server.getsockname())
    pair.first.send(address, Cancel(1))
    pair.run_until(lambda: lost)
    assert not lost[0].was_established
    assert not lost[0].send(Cancel(2))


def test_lost_link_is_reported_once_and_reopened(pair):
    lost = []
    pair.first.subscribe_lost(lost.append)
    pair.first.send(pair.address, Cancel(1))
    pair.run_until(lambda: pair.received == [1])
    for stream in list(pair.second.streams.values()):
        stream.context.close()
    pair.run_until(lambda: lost)
    pair.first.send(pair.address, Cancel(2))
    pair.run_until(lambda: pair.received == [1, 2])
    assert len(lost) == 1 and lost[0].was_established


def test_frame_withdrawn_while_connecting_is_never_sent(pair):
    link = pair.first.link_to(pair.address)
    frames = {number: link.post(Cancel(number)) for number in range(5)}
    assert link.is_unsent(frames[2])
    assert link.withdraw(frames[2])
    assert not link.withdraw(frames[2])
    pair.run_until(lambda: len(pair.received) == 4)
    assert pair.received == [0, 1, 3, 4]
    assert not link.is_unsent(frames[3])
    assert not link.withdraw(frames[3])


def test_queued_frame_is_withdrawn_but_not_a_partly_sent_one(pair):
    link = pair.first.link_to(pair.address)
    pair.run_until(lambda: link.was_established and link.hello)
    large = link.post(BodyChunk(1, bytes(8 * 1024 * 1024), True))
    behind = link.post(Cancel(7))
    last = link.post(Cancel(8))
    assert link.pending
    assert not link.withdraw(large)
    assert link.withdraw(behind)
    assert link.stream.outbound[-1] is last
    assert link.pending == sum(map(len, link.stream.outbound))


def unresponsive_listener(pair) -> tuple[socket.socket, list[socket.socket]]:
    """Return a listener with a full backlog and the sockets that fill it.

    To a connecting peer it looks like a machine that has lost power.
    """
    listener = socket.create_server(tuple(LOCAL), backlog=0)
    address = listener.getsockname()
    fillers = []
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(address)
        fillers.append(filler)
    return listener, fillers


def test_connect_timeout_doubles_for_an_unresponsive_peer(pair):
    listener, fillers = unresponsive_listener(pair)
    address = Address(*listener.getsockname())
    waits = []
    with capture_logs() as logs:
        for _ in range(4):
            begun = time.monotonic()
            link = pair.first.link_to(address)
            pair.run_until(lambda link=link: link.closed)
            waits.append(time.monotonic() - begun)
            assert not link.was_established
    given = [e['seconds'] for e in logs if e['event'] == 'peer_not_reached']
    assert given == [0.2, 0.4, 0.8, 1.0]
    # A busy machine is late, but not by a further doubling.
    assert all(s <= w < 2 * s for s, w in zip(given, waits, strict=True))
    listener.close()
    for filler in fillers:
        filler.close()


def test_established_connection_resets_the_connect_timeout(pair):
    pair.first.connect_timeouts[pair.address] = 1.0
    link = pair.first.link_to(pair.address)
    pair.run_until(lambda: link.was_established)
    assert pair.address not in pair.first.connect_timeouts


def test_abort_connecting_closes_only_unestablished_links(pair):
    listener, fillers = unresponsive_listener(pair)
    address = Address(*listener.getsockname())
    stuck = pair.first.link_to(address)
    pair.first.abort_connecting(address)
    assert stuck.closed
    link = pair.first.link_to(pair.address)
    pair.run_until(lambda: link.was_established)
    pair.first.abort_connecting(pair.address)
    assert not link.closed
    listener.close()
    for filler in fillers:
        filler.close()
