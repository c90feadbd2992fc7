"""The target client against a misbehaving target."""

import dataclasses
import socket

import pytest

from cyclamenlift.http.client import TargetClient
from cyclamenlift.http.headers import HeaderError
from cyclamenlift.http.limits import ClientLimits
from cyclamenlift.http.target import TargetRequest
from tests.http.builders import FakeTarget
from tests.http.builders import Listener
from tests.http.builders import Loop

GET = TargetRequest('GET', '/a', [('host', 'a')])
LIMITS = ClientLimits(
    max_connections=2,
    warm_connections=2,
    connect_seconds=0.1,
    rewarm_seconds=0.02,
    max_header_bytes=4096,
)
UNSIZED = dataclasses.replace(LIMITS, unsized_answers=True)
SIZED = b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
WHOLE = SIZED + b'abc'


@dataclasses.dataclass
class Side:
    """A client, its target, and the loop they share."""

    loop: Loop
    target: FakeTarget
    client: TargetClient

    def ask(self, request: TargetRequest = GET) -> tuple:
        listener = Listener()
        call = self.client.request(request, listener)
        return call, listener

    def over(self, *listeners: Listener) -> None:
        self.target.until(lambda: all(one.over for one in listeners))


def build_side(limits: ClientLimits = LIMITS, backlog: int = 16) -> Side:
    loop = Loop()
    target = FakeTarget(loop, backlog)
    client = TargetClient(loop.root.poller, target.address, limits, 'target')
    client.register(loop.root)
    return Side(loop, target, client)


@dataclasses.dataclass(frozen=True)
class Whole:
    """Packets of a complete response and the expected result."""

    pieces: list[bytes]
    body: bytes = b'abc'
    status: int = 200
    reused: bool = True
    method: str = 'GET'


CLOSING = SIZED[:17] + b'Connection: close\r\n' + WHOLE[17:]
EMPTY = b'HTTP/1.1 204 No Content\r\n\r\n'
UNCHANGED = b'HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n'
INTERIM = [b'HTTP/1.1 100 Continue\r\n\r\n', b'HTTP/1.1 103 X\r\n\r\n']
WHOLES = {
    'sized': Whole([WHOLE]),
    'late, byte by byte': Whole([bytes([value]) for value in WHOLE]),
    'chunked': Whole([CHUNKED, b'3\r\nab', b'c\r\n0\r\n\r\n']),
    'chunked with a trailer': Whole([CHUNKED + b'0\r\nX: 1\r\n\r\n'], b''),
    'to HEAD': Whole([SIZED], b'', method='HEAD'),
    'no content': Whole([EMPTY], b'', 204),
    'not modified': Whole([UNCHANGED], b'', 304),
    'after interim answers': Whole([*INTERIM, WHOLE]),
    'closing': Whole([CLOSING], reused=False),
    'too long': Whole([WHOLE + b'def'], reused=False),
    'followed by another answer': Whole([WHOLE + WHOLE], reused=False),
    'to HEAD, with a body': Whole([WHOLE], b'', reused=False, method='HEAD'),
}


@pytest.mark.parametrize('case', WHOLES.values(), ids=WHOLES)
def test_whole_answer_is_handed_over(case):
    side = build_side()
    request = dataclasses.replace(GET, method=case.method)
    for number in (1, 2):
        _, listener = side.ask(request)
        side.target.asked(number).send(*case.pieces)
        side.over(listener)
        assert listener.ended == 1 and not listener.failures
        assert [head[0] for head in listener.heads] == [case.status]
        assert listener.body == case.body
    assert len(side.target.connections) == (1 if case.reused else 2)


BROKEN = {
    'cut in the head': [b'HTTP/1.1 200 OK\r\nContent-Le', 'close'],
    'cut in the body': [SIZED + b'ab', 'close'],
    'cut in a chunk': [CHUNKED + b'5\r\nabc', 'close'],
    'cut before the last chunk': [CHUNKED + b'3\r\nabc\r\n', 'close'],
    'reset before the first byte': ['reset'],
    'reset after the first byte': [b'H', 'reset'],
    'closed without an answer': ['close'],
    'no HTTP': [b'hello\r\n'],
    'bare LF': [b'HTTP/1.1 200 OK\nContent-Length: 0\n\n'],
    'garbage as chunk size': [CHUNKED + b'zz\r\n'],
    'two lengths': [b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n' + WHOLE[17:]],
    'length and chunks': [CHUNKED[:-2] + b'Content-Length: 3\r\n\r\n'],
    'negative length': [b'HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n'],
    'unknown coding': [b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n'],
    'no length': [b'HTTP/1.1 200 OK\r\n\r\nabc', 'close'],
    'other version': [b'HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n'],
    'other protocol': [
        b'HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n'
    ],
    'endless header': [b'HTTP/1.1 200 OK\r\nX: ', b'a' * 5000],
    'large header': [b'HTTP/1.1 200 OK\r\nX: ' + b'a' * 5000 + b'\r\n\r\n'],
}


@pytest.mark.parametrize('script', BROKEN.values(), ids=BROKEN)
@pytest.mark.parametrize('kept', [False, True])
def test_broken_answer_is_a_failure_of_a_sent_request(script, kept):
    side = build_side()
    if kept:
        _, first = side.ask()
        side.target.asked().send(WHOLE)
        side.over(first)
    call, listener = side.ask()
    connection = side.target.asked(1 + kept)
    for step in script:
        if isinstance(step, bytes):
            connection.send(step)
        else:
            connection.leave(reset=step == 'reset')
    side.over(listener)
    side.target.settle()
    assert [f.sent for f in listener.failures] == [True]
    assert call.sent and not listener.ended
    assert not side.client.streams
    _, again = side.ask()
    side.target.until(lambda: side.target.open_connections)
    side.target.open_connections[0].send(WHOLE)
    side.over(again)
    assert again.body == b'abc'


def test_answer_without_a_length_is_whole_at_the_close_where_allowed():
    side = build_side(UNSIZED)
    _, listener = side.ask()
    connection = side.target.asked()
    connection.send(b'HTTP/1.1 200 OK\r\n\r\nabc')
    side.target.settle()
    assert not listener.over
    connection.leave()
    side.over(listener)
    assert listener.ended == 1 and listener.body == b'abc'


def test_refused_connection_proves_that_nothing_was_sent():
    side = build_side()
    side.target.sock.close()
    call, listener = side.ask()
    assert not listener.over
    side.loop.until(lambda: listener.over)
    assert [f.sent for f in listener.failures] == [False]
    assert not call.sent


def test_first_write_that_fails_proves_that_nothing_was_sent():
    side = build_side()
    _, first = side.ask()
    side.target.asked().send(WHOLE)
    side.over(first)
    side.client.idle[0].sock.shutdown(socket.SHUT_WR)
    call, listener = side.ask()
    assert not listener.over
    side.loop.until(lambda: listener.over)
    assert [f.sent for f in listener.failures] == [False]
    assert not call.sent


def test_connect_that_times_out_proves_that_nothing_was_sent():
    side = build_side(backlog=0)
    # The kernel completes no further handshake once the backlog is full.
    fill = [socket.socket() for _ in range(4)]
    for sock in fill:
        sock.setblocking(False)
        sock.connect_ex(tuple(side.target.address))
    _, listener = side.ask()
    side.loop.until(lambda: listener.over)
    assert [f.sent for f in listener.failures] == [False]
    for sock in fill:
        sock.close()


@pytest.mark.parametrize('act', ['stray', 'close', 'reset'])
@pytest.mark.parametrize('noticed', [True, False])
def test_spoiled_idle_connection_is_not_used_again(act, noticed):
    side = build_side()
    _, first = side.ask()
    connection = side.target.asked()
    connection.send(WHOLE)
    side.over(first)
    if act == 'stray':
        connection.sock.send(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    else:
        connection.leave(reset=act == 'reset')
    if noticed:
        side.target.settle()
    _, second = side.ask()
    side.target.until(lambda: len(side.target.connections) == 2)
    side.target.connections[1].send(WHOLE)
    side.over(second)
    assert second.ended == 1 and second.body == b'abc'


def test_answer_before_the_request_is_no_answer():
    side = build_side()
    call, listener = side.ask(TargetRequest('POST', '/', [('host', 'a')], 3))
    side.target.until(lambda: side.target.connections)
    side.target.connections[0].send(WHOLE)
    side.target.until(lambda: len(side.target.connections) == 2)
    assert not listener.over and not call.sent
    call.send_body(b'xyz', True)
    side.target.asked().send(WHOLE)
    side.over(listener)
    assert listener.ended == 1


@pytest.mark.parametrize(
    'length, pieces, wire',
    [
        (6, [b'abc', b'def'], b'content-length: 6\r\n\r\nabcdef'),
        (
            None,
            [b'abc', b'def'],
            b'transfer-encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n',
        ),
        (None, [b''], b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n'),
        (0, [], b'content-length: 0\r\n\r\n'),
    ],
)
def test_body_is_framed_as_declared(length, pieces, wire):
    side = build_side()
    fields = [('host', 'a'), ('content-length', '9'), ('expect', 'x')]
    call, listener = side.ask(TargetRequest('POST', '/p', fields, length))
    for number, piece in enumerate(pieces, 1):
        call.send_body(piece, number == len(pieces))
    side.target.until(lambda: side.target.connections)
    connection = side.target.connections[0]
    expected = b'POST /p HTTP/1.1\r\nhost: a\r\n' + wire
    side.target.until(lambda: connection.received == expected)
    connection.send(WHOLE)
    side.over(listener)


@pytest.mark.parametrize('pieces', [[(b'abcd', True)], [(b'ab', True)]])
def test_body_of_another_length_than_declared_is_an_error(pieces):
    side = build_side()
    call, _ = side.ask(TargetRequest('POST', '/', [('host', 'a')], 3))
    with pytest.raises(ValueError):
        for data, last in pieces:
            call.send_body(data, last)


@pytest.mark.parametrize(
    'request_',
    [
        dataclasses.replace(GET, path='/ HTTP/1.1\r\nX: 1\r\n\r\n'),
        dataclasses.replace(GET, path='/a b'),
        dataclasses.replace(GET, path=''),
        dataclasses.replace(GET, method='GET /x HTTP/1.1\r\n'),
        dataclasses.replace(GET, headers=[('x', 'a\r\nb: c')]),
    ],
)
def test_request_can_not_forge_another(request_):
    side = build_side()
    with pytest.raises(HeaderError):
        side.ask(request_)
    assert not side.client.streams


def test_early_answer_stands_and_its_connection_is_closed():
    side = build_side()
    call, listener = side.ask(TargetRequest('POST', '/', [('host', 'a')], 9))
    call.send_body(b'abc', False)
    side.target.asked().send(WHOLE)
    side.over(listener)
    call.send_body(b'defghi', True)
    side.target.settle()
    assert listener.ended == 1 and not side.client.streams


def test_calls_over_the_connection_limit_wait_for_a_free_one():
    side = build_side()
    asked = [side.ask() for _ in range(3)]
    side.target.asked(2)
    side.target.settle()
    assert len(side.target.connections) == 2
    asked[2][0].cancel()
    asked.append(side.ask())
    side.target.connections[0].send(WHOLE)
    side.target.until(
        lambda: side.target.connections[0].received.count(b'G') > 1
    )
    side.target.connections[0].send(WHOLE)
    side.target.connections[1].send(WHOLE)
    side.over(asked[0][1], asked[1][1], asked[3][1])
    side.target.settle()
    assert not asked[2][1].over
    assert len(side.target.connections) == 2


def test_warm_connections_are_opened_early_and_again_when_lost():
    side = build_side()
    side.client.warm_up()
    side.target.until(lambda: len(side.target.connections) == 2)
    side.target.until(lambda: len(side.client.idle) == 2)
    _, listener = side.ask()
    side.target.asked().send(WHOLE)
    side.over(listener)
    assert len(side.target.connections) == 2
    for connection in side.target.connections:
        connection.leave()
    side.target.until(lambda: len(side.target.open_connections) == 2)


def test_cancelled_call_hears_nothing_and_its_connection_is_closed():
    side = build_side()
    call, listener = side.ask()
    connection = side.target.asked()
    call.cancel()
    side.target.until(lambda: connection.closed)
    side.target.settle()
    assert not listener.over and not listener.heads


def test_call_cancelled_in_its_head_callback_hears_nothing_more():
    side = build_side()
    call, listener = side.ask()
    listener.on_head = lambda *_: call.cancel()
    side.target.asked().send(WHOLE)
    side.target.settle()
    assert not listener.over and not listener.body
    assert not side.client.streams


def test_paused_answer_stays_with_the_target_until_resumed():
    side = build_side()
    size = 20_000_000
    call, listener = side.ask()
    connection = side.target.asked()
    connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size)
    side.target.until(lambda: listener.heads)
    call.pause()
    data = b'x' * size
    sent = 0
    try:
        while sent < size:
            sent += connection.sock.send(data[sent:])
            side.loop.step()
    except BlockingIOError:
        pass
    side.target.settle()
    assert listener.body == b''
    call.resume()
    connection.send(data[sent:])
    side.over(listener)
    assert len(listener.body) == size


def test_caller_sees_what_the_kernel_has_not_taken_and_when_it_has():
    side = build_side()
    size = 20_000_000
    call, listener = side.ask(
        TargetRequest('POST', '/', [('host', 'a')], size)
    )
    side.target.until(lambda: side.client.streams)
    call.send_body(b'x' * size, True)
    assert call.pending > 0
    side.target.until(lambda: listener.drained)
    assert call.pending == 0
