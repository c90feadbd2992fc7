"""Peer links: foreign or faulty peers and lost connections."""

import socket
import struct
import time

import pytest

from cyclamenlift.core.scheduler import build_root
from cyclamenlift.core.streams import Address
from cyclamenlift.wire.codec import encode_frame
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import Cancel
from cyclamenlift.wire.gen.protocol.ttypes import Hello
from cyclamenlift.wire.network import PeerNetwork

LOCAL = Address('127.0.0.1', 0)
ROUNDS = 500
HELLO = encode_frame(Hello('x', 'bole', 1, 'c'))


class Bed:
    """Two networks on one loop; ``taken`` holds the IDs the second got."""

    def __init__(self):
        self.loop = build_root()
        self.loop._running = True
        self.first = self.make('first')
        self.second = self.make('second')
        self.address = self.second.listen(LOCAL)
        self.taken = []
        self.second.subscribe(Cancel, self.take)

    def make(self, name: str) -> PeerNetwork:
        network = PeerNetwork(self.loop.poller, name, 'bole', 'c')
        return network.register(self.loop)

    def take(self, _link, message) -> None:
        if message.call_id == 13:
            raise ValueError('a value that the receiver rejects')
        self.taken.append(message.call_id)

    def run_until(self, condition) -> None:
        for _ in range(ROUNDS):
            if condition():
                return
            self.loop.tick(0.01)
        raise AssertionError('timed out waiting for the condition')

    def stranger(self, data: bytes) -> socket.socket:
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
def bed():
    made = Bed()
    yield made
    made.first.close_all()
    made.second.close_all()


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
        'a message that nobody takes',
        'a value that fails its receiver',
    ],
)
def test_bad_peer_costs_its_own_connection_only(bed, data):
    bed.first.send(bed.address, Cancel(1))
    bed.run_until(lambda: bed.taken == [1])
    sock = bed.stranger(data)
    bed.run_until(lambda: bed.was_closed(sock))
    assert bed.second.rejected_frames == 1
    bed.first.send(bed.address, Cancel(2))
    bed.run_until(lambda: bed.taken == [1, 2])
    sock.close()


def test_messages_before_the_connection_is_up_arrive_in_order(bed):
    link = bed.first.link_to(bed.address)
    for number in range(100, 130):
        link.send(Cancel(number))
    assert not link.was_established
    bed.run_until(lambda: len(bed.taken) == 30)
    assert bed.taken == list(range(100, 130))
    assert link.hello.instance == 'second'


def test_link_that_never_came_up_says_so_when_it_is_lost(bed):
    lost = []
    bed.first.subscribe_lost(lost.append)
    with socket.create_server(('127.0.0.1', 0)) as server:
        address = Address(*server.getsockname())
    bed.first.send(address, Cancel(1))
    bed.run_until(lambda: lost)
    assert not lost[0].was_established
    assert not lost[0].send(Cancel(2))


def test_lost_link_is_reported_once_and_opened_again(bed):
    lost = []
    bed.first.subscribe_lost(lost.append)
    bed.first.send(bed.address, Cancel(1))
    bed.run_until(lambda: bed.taken == [1])
    for stream in list(bed.second.streams.values()):
        stream.context.close()
    bed.run_until(lambda: lost)
    bed.first.send(bed.address, Cancel(2))
    bed.run_until(lambda: bed.taken == [1, 2])
    assert len(lost) == 1 and lost[0].was_established


def test_frame_withdrawn_before_the_connection_is_up_is_never_sent(bed):
    link = bed.first.link_to(bed.address)
    frames = {number: link.post(Cancel(number)) for number in range(5)}
    assert link.is_unsent(frames[2])
    assert link.withdraw(frames[2])
    assert not link.withdraw(frames[2])
    bed.run_until(lambda: len(bed.taken) == 4)
    assert bed.taken == [0, 1, 3, 4]
    assert not link.is_unsent(frames[3])
    assert not link.withdraw(frames[3])


def test_frame_behind_a_full_way_is_withdrawn_but_none_that_has_begun(bed):
    link = bed.first.link_to(bed.address)
    bed.run_until(lambda: link.was_established and link.hello)
    large = link.post(BodyChunk(1, bytes(8 * 1024 * 1024), True))
    behind = link.post(Cancel(7))
    last = link.post(Cancel(8))
    assert link.pending
    assert not link.withdraw(large)
    assert link.withdraw(behind)
    assert link.stream.outbound[-1] is last
    assert link.pending == sum(map(len, link.stream.outbound))


def unanswered(bed) -> tuple[socket.socket, list[socket.socket]]:
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


def test_a_peer_that_answers_nothing_is_given_up_later_each_time(bed):
    listener, fillers = unanswered(bed)
    address = Address(*listener.getsockname())
    waits = []
    for _ in range(4):
        begun = time.monotonic()
        link = bed.first.link_to(address)
        bed.run_until(lambda link=link: link.closed)
        waits.append(time.monotonic() - begun)
        assert not link.was_established
    assert [round(w, 1) for w in waits] == [0.2, 0.4, 0.8, 1.0]
    listener.close()
    for filler in fillers:
        filler.close()


def test_a_connection_that_comes_up_begins_anew_with_the_short_wait(bed):
    bed.first.connect_timeouts[bed.address] = 1.0
    link = bed.first.link_to(bed.address)
    bed.run_until(lambda: link.was_established)
    assert bed.address not in bed.first.connect_timeouts


def test_a_connection_is_begun_anew_for_a_peer_that_is_there_now(bed):
    listener, fillers = unanswered(bed)
    address = Address(*listener.getsockname())
    stuck = bed.first.link_to(address)
    bed.first.abort_connecting(address)
    assert stuck.closed
    link = bed.first.link_to(bed.address)
    bed.run_until(lambda: link.was_established)
    bed.first.abort_connecting(bed.address)
    assert not link.closed
    listener.close()
    for filler in fillers:
        filler.close()
