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
class ClientHarness:
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


def build_client_harness(
    limits: ClientLimits = LIMITS, backlog: int = 16
) -> ClientHarness:
    loop = Loop()
    target = FakeTarget(loop, backlog)
    client = TargetClient(loop.root.poller, target.address, limits, 'target')
    client.register(loop.root)
    return ClientHarness(loop, target, client)


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
def test_complete_response_is_delivered(case):
    harness = build_client_harness()
    request = dataclasses.replace(GET, method=case.method)
    for number in (1, 2):
        _, listener = harness.ask(request)
        harness.target.wait_for_requests(number).send(*case.pieces)
        harness.over(listener)
        assert listener.ended == 1 and not listener.failures
        assert [head[0] for head in listener.heads] == [case.status]
        assert listener.body == case.body
    assert len(harness.target.connections) == (1 if case.reused else 2)


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
def test_invalid_response_fails_a_sent_request(script, kept):
    harness = build_client_harness()
    if kept:
        _, first = harness.ask()
        harness.target.wait_for_requests().send(WHOLE)
        harness.over(first)
    call, listener = harness.ask()
    connection = harness.target.wait_for_requests(1 + kept)
    for step in script:
        if isinstance(step, bytes):
            connection.send(step)
        else:
            connection.leave(reset=step == 'reset')
    harness.over(listener)
    harness.target.settle()
    assert [f.sent for f in listener.failures] == [True]
    assert call.sent and not listener.ended
    assert not harness.client.streams
    _, again = harness.ask()
    harness.target.until(lambda: harness.target.open_connections)
    harness.target.open_connections[0].send(WHOLE)
    harness.over(again)
    assert again.body == b'abc'


def test_unsized_response_ends_at_eof_if_allowed():
    harness = build_client_harness(UNSIZED)
    _, listener = harness.ask()
    connection = harness.target.wait_for_requests()
    connection.send(b'HTTP/1.1 200 OK\r\n\r\nabc')
    harness.target.settle()
    assert not listener.over
    connection.leave()
    harness.over(listener)
    assert listener.ended == 1 and listener.body == b'abc'


def test_refused_connection_proves_that_nothing_was_sent():
    harness = build_client_harness()
    harness.target.sock.close()
    call, listener = harness.ask()
    assert not listener.over
    harness.loop.until(lambda: listener.over)
    assert [f.sent for f in listener.failures] == [False]
    assert not call.sent


def test_first_write_that_fails_proves_that_nothing_was_sent():
    harness = build_client_harness()
    _, first = harness.ask()
    harness.target.wait_for_requests().send(WHOLE)
    harness.over(first)
    harness.client.idle[0].sock.shutdown(socket.SHUT_WR)
    call, listener = harness.ask()
    assert not listener.over
    harness.loop.until(lambda: listener.over)
    assert [f.sent for f in listener.failures] == [False]
    assert not call.sent


def test_connect_that_times_out_proves_that_nothing_was_sent():
    harness = build_client_harness(backlog=0)
    # The kernel completes no further handshake once the backlog is full.
    fill = [socket.socket() for _ in range(4)]
    for sock in fill:
        sock.setblocking(False)
        sock.connect_ex(tuple(harness.target.address))
    _, listener = harness.ask()
    harness.loop.until(lambda: listener.over)
    assert [f.sent for f in listener.failures] == [False]
    for sock in fill:
        sock.close()


@pytest.mark.parametrize('act', ['stray', 'close', 'reset'])
@pytest.mark.parametrize('noticed', [True, False])
def test_unusable_idle_connection_is_not_reused(act, noticed):
    harness = build_client_harness()
    _, first = harness.ask()
    connection = harness.target.wait_for_requests()
    connection.send(WHOLE)
    harness.over(first)
    if act == 'stray':
        connection.sock.send(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    else:
        connection.leave(reset=act == 'reset')
    if noticed:
        harness.target.settle()
    _, second = harness.ask()
    harness.target.until(lambda: len(harness.target.connections) == 2)
    harness.target.connections[1].send(WHOLE)
    harness.over(second)
    assert second.ended == 1 and second.body == b'abc'


def test_response_before_the_request_is_ignored():
    harness = build_client_harness()
    call, listener = harness.ask(
        TargetRequest('POST', '/', [('host', 'a')], 3)
    )
    harness.target.until(lambda: harness.target.connections)
    harness.target.connections[0].send(WHOLE)
    harness.target.until(lambda: len(harness.target.connections) == 2)
    assert not listener.over and not call.sent
    call.send_body(b'xyz', True)
    harness.target.wait_for_requests().send(WHOLE)
    harness.over(listener)
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
    harness = build_client_harness()
    fields = [('host', 'a'), ('content-length', '9'), ('expect', 'x')]
    call, listener = harness.ask(TargetRequest('POST', '/p', fields, length))
    for number, piece in enumerate(pieces, 1):
        call.send_body(piece, number == len(pieces))
    harness.target.until(lambda: harness.target.connections)
    connection = harness.target.connections[0]
    expected = b'POST /p HTTP/1.1\r\nhost: a\r\n' + wire
    harness.target.until(lambda: connection.received == expected)
    connection.send(WHOLE)
    harness.over(listener)


@pytest.mark.parametrize('pieces', [[(b'abcd', True)], [(b'ab', True)]])
def test_body_of_another_length_than_declared_is_an_error(pieces):
    harness = build_client_harness()
    call, _ = harness.ask(TargetRequest('POST', '/', [('host', 'a')], 3))
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
def test_request_injection_is_rejected(request_):
    harness = build_client_harness()
    with pytest.raises(HeaderError):
        harness.ask(request_)
    assert not harness.client.streams


def test_early_response_counts_and_closes_the_connection():
    harness = build_client_harness()
    call, listener = harness.ask(
        TargetRequest('POST', '/', [('host', 'a')], 9)
    )
    call.send_body(b'abc', False)
    harness.target.wait_for_requests().send(WHOLE)
    harness.over(listener)
    call.send_body(b'defghi', True)
    harness.target.settle()
    assert listener.ended == 1 and not harness.client.streams


def test_calls_over_the_connection_limit_wait_for_a_free_one():
    harness = build_client_harness()
    asked = [harness.ask() for _ in range(3)]
    harness.target.wait_for_requests(2)
    harness.target.settle()
    assert len(harness.target.connections) == 2
    asked[2][0].cancel()
    asked.append(harness.ask())
    harness.target.connections[0].send(WHOLE)
    harness.target.until(
        lambda: harness.target.connections[0].received.count(b'G') > 1
    )
    harness.target.connections[0].send(WHOLE)
    harness.target.connections[1].send(WHOLE)
    harness.over(asked[0][1], asked[1][1], asked[3][1])
    harness.target.settle()
    assert not asked[2][1].over
    assert len(harness.target.connections) == 2


def test_warm_connections_are_opened_early_and_again_when_lost():
    harness = build_client_harness()
    harness.client.warm_up()
    harness.target.until(lambda: len(harness.target.connections) == 2)
    harness.target.until(lambda: len(harness.client.idle) == 2)
    _, listener = harness.ask()
    harness.target.wait_for_requests().send(WHOLE)
    harness.over(listener)
    assert len(harness.target.connections) == 2
    for connection in harness.target.connections:
        connection.leave()
    harness.target.until(lambda: len(harness.target.open_connections) == 2)


def test_cancelled_call_gets_no_callback_and_is_closed():
    harness = build_client_harness()
    call, listener = harness.ask()
    connection = harness.target.wait_for_requests()
    call.cancel()
    harness.target.until(lambda: connection.closed)
    harness.target.settle()
    assert not listener.over and not listener.heads


def test_call_cancelled_in_on_head_gets_no_further_callback():
    harness = build_client_harness()
    call, listener = harness.ask()
    listener.on_head = lambda *_: call.cancel()
    harness.target.wait_for_requests().send(WHOLE)
    harness.target.settle()
    assert not listener.over and not listener.body
    assert not harness.client.streams


def test_paused_response_is_not_read_until_resumed():
    harness = build_client_harness()
    size = 20_000_000
    call, listener = harness.ask()
    connection = harness.target.wait_for_requests()
    connection.send(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size)
    harness.target.until(lambda: listener.heads)
    call.pause()
    data = b'x' * size
    sent = 0
    try:
        while sent < size:
            sent += connection.sock.send(data[sent:])
            harness.loop.step()
    except BlockingIOError:
        pass
    harness.target.settle()
    assert listener.body == b''
    call.resume()
    connection.send(data[sent:])
    harness.over(listener)
    assert len(listener.body) == size


def test_pending_request_bytes_and_draining_are_reported():
    harness = build_client_harness()
    size = 20_000_000
    call, listener = harness.ask(
        TargetRequest('POST', '/', [('host', 'a')], size)
    )
    harness.target.until(lambda: harness.client.streams)
    call.send_body(b'x' * size, True)
    assert call.pending > 0
    harness.target.until(lambda: listener.drained)
    assert call.pending == 0


# Guards against a whole answer that is never passed on, and a connection that
# is lost to the pool, because its fields can't be read.
@pytest.mark.parametrize('value', [b'\xb2', b'9' * 5_000])
def test_an_answer_with_an_odd_idle_timeout_is_passed_on(value):
    limits = dataclasses.replace(LIMITS, max_header_bytes=16_384)
    harness = build_client_harness(limits)
    _, listener = harness.ask()
    connection = harness.target.wait_for_requests()
    field = b'Keep-Alive: timeout=' + value + b'\r\n'
    connection.send(SIZED[:17] + field + WHOLE[17:])
    harness.over(listener)
    assert (listener.ended, listener.body) == (1, b'abc')
    assert len(harness.client.idle) == 1


# Guards against the same after any other error of the pool.
def test_an_answer_is_passed_on_whatever_happens_to_its_connection(
    monkeypatch,
):
    harness = build_client_harness()

    def fail(_stream) -> None:
        raise RuntimeError('planted')

    monkeypatch.setattr(harness.client, 'record_idle', fail)
    harness.client.idle.clear()
    _, listener = harness.ask()
    harness.target.wait_for_requests().send(WHOLE)
    harness.over(listener)
    assert (listener.ended, listener.body) == (1, b'abc')
    assert harness.client.failed_connections == 1
    assert not harness.client.streams
