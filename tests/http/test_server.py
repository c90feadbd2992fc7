"""Guarantees of an exchange to the application and to the caller."""

import dataclasses

import pytest

from cyclamenlift.core.streams import READ_SIZE
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.headers import HeaderError
from tests.http.builders import build_server_harness
from tests.http.builders import LIMITS
from tests.http.builders import parse_responses
from tests.http.builders import request
from tests.http.builders import ServerHarness

POST = 'POST / HTTP/1.1'
EXPECTING = request(POST, 'Content-Length: 4', 'Expect: 100-continue')
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
GET_A = request('GET /a HTTP/1.1')
GET_B = request('GET /b HTTP/1.1')
SOON = dataclasses.replace(
    LIMITS,
    head_seconds=0.05,
    body_seconds=0.05,
    idle_seconds=0.05,
    send_seconds=0.05,
    linger_seconds=0.05,
)
LARGE = b'x' * 20_000_000


def keep(exchange: Exchange) -> None:
    """Don't respond; the test does so through ``harness.exchanges``."""


def build_manual_harness(limits=LIMITS) -> ServerHarness:
    return build_server_harness(keep, limits)


def bodies(caller) -> list[bytes]:
    return [answer.body for answer in parse_responses(caller.received)]


def test_pipelined_requests_wait_until_the_one_before_is_answered():
    harness = build_manual_harness()
    caller = harness.ask(GET_A + GET_B)
    assert [e.path for e in harness.exchanges] == ['/a']
    harness.exchanges[0].respond(200, [], b'first')
    harness.loop.settle(caller)
    assert [e.path for e in harness.exchanges] == ['/a', '/b']
    harness.exchanges[1].respond(200, [], b'second')
    harness.loop.settle(caller)
    assert bodies(caller) == [b'first', b'second']


def test_many_pipelined_requests_need_no_deep_stack():
    harness = build_server_harness()
    caller = harness.caller().send(GET_A * 1500)
    caller.until(lambda c: len(parse_responses(c.received)) == 1500)


def test_continue_is_sent_only_when_the_body_is_asked_for():
    harness = build_manual_harness()
    caller = harness.ask(EXPECTING)
    assert caller.received == b''
    got = []
    harness.exchanges[0].read_body(lambda data, last: got.append((data, last)))
    harness.loop.settle(caller)
    assert caller.received == CONTINUE
    caller.send(b'abcd')
    harness.loop.until(lambda: got == [(b'abcd', True)])


def test_continue_is_not_sent_once_the_body_is_coming():
    harness = build_manual_harness()
    caller = harness.ask(EXPECTING + b'ab')
    harness.exchanges[0].read_body(lambda data, last: None)
    harness.loop.settle(caller)
    assert caller.received == b''


def test_rejection_reaches_a_caller_that_is_still_sending():
    harness = build_server_harness()
    caller = harness.caller()
    head = request(POST, f'Content-Length: {len(LARGE)}')
    caller.sock.send(head + LARGE)
    caller.until(lambda c: c.closed)
    assert not caller.reset
    assert [a.status for a in parse_responses(caller.received)] == [413]


def test_unread_body_is_not_buffered():
    limits = dataclasses.replace(LIMITS, max_body_bytes=len(LARGE))
    harness = build_manual_harness(limits)
    caller = harness.ask(request(POST, f'Content-Length: {len(LARGE)}'))
    assert caller.sock.send(LARGE) > 4 * READ_SIZE
    harness.loop.settle(caller)
    assert 0 < harness.exchanges[0].request.body_bytes <= READ_SIZE


def test_rejection_before_the_body_sends_no_continue_and_closes():
    harness = build_manual_harness()
    caller = harness.ask(EXPECTING)
    harness.exchanges[0].respond(503, [], b'full')
    caller.until(lambda c: c.closed)
    assert CONTINUE not in caller.received
    assert b'Connection: close' in caller.received


def test_small_unread_body_is_skipped_and_the_connection_stays():
    harness = build_manual_harness()
    caller = harness.ask(request(POST, 'Content-Length: 8', body=b'abcd'))
    harness.exchanges[0].respond(503, [], b'full')
    caller.send(b'efgh' + GET_B)
    harness.loop.until(lambda: len(harness.exchanges) == 2)
    assert harness.exchanges[1].path == '/b'


@pytest.mark.parametrize(
    'piece, code',
    [
        (b'GET / HTTP/1.1\r\nHos', 4008),
        (request(POST, 'Content-Length: 4', body=b'a'), 4008),
        (b'', None),
        (GET_A, None),
    ],
    ids=['late head', 'late body', 'no request', 'idle after an answer'],
)
def test_slow_or_idle_connection_is_closed(piece, code):
    harness = build_server_harness(limits=SOON)
    caller = harness.caller().send(piece)
    caller.until(lambda c: c.closed)
    assert not caller.reset
    if code is None:
        assert b'Cyclamenlift-Result' not in caller.received
    else:
        assert f'Cyclamenlift-Result: {code}'.encode() in caller.received
    harness.loop.until(lambda: not harness.server.streams)


def test_steady_drip_of_head_bytes_does_not_extend_the_deadline():
    # A fast loop sends 4,000 bytes before the deadline, so the size limit of
    # the head must be out of reach: only the deadline may end the request.
    limits = dataclasses.replace(SOON, max_header_bytes=1024**2)
    harness = build_server_harness(limits=limits)
    caller = harness.caller().send(b'GET / HTTP/1.1\r\nX: ')
    while not caller.closed:
        caller.send(b'a')
    assert b'408 Request Timeout' in caller.received


def test_caller_that_does_not_read_its_response_is_reset():
    harness = build_manual_harness(SOON)
    caller = harness.caller().send(GET_A)
    harness.loop.until(lambda: harness.exchanges)
    harness.exchanges[0].respond(200, [], LARGE)
    harness.loop.until(lambda: not harness.server.streams)
    caller.until(lambda c: c.closed)
    assert len(caller.received) < len(LARGE)


@pytest.mark.parametrize(
    'method, status, fields, length',
    [
        ('HEAD', 200, [('Content-Length', '7')], b'Content-Length: 7'),
        ('HEAD', 200, [], b'Content-Length: 3'),
        ('GET', 204, [], None),
        ('GET', 304, [], None),
    ],
)
def test_response_without_body_sends_none(method, status, fields, length):
    def take(exchange):
        exchange.respond(status, fields, b'abc')

    harness = build_server_harness(take)
    caller = harness.ask(request(f'{method} / HTTP/1.1'))
    assert caller.received.endswith(b'\r\n\r\n')
    assert (b'Content-Length' in caller.received) is (length is not None)
    assert length is None or length in caller.received
    assert not caller.closed


@pytest.mark.parametrize(
    'version, length, sent, whole',
    [
        (
            '1.1',
            6,
            b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef',
            True,
        ),
        (
            '1.1',
            None,
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n',
            True,
        ),
        (
            '1.0',
            None,
            b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcdef',
            True,
        ),
        ('1.1', 7, None, False),
        ('1.1', 5, None, False),
    ],
    ids=['length', 'chunked', 'until close', 'too short', 'too long'],
)
def test_streamed_response_is_complete_or_reset(version, length, sent, whole):
    def take(exchange):
        exchange.start(200, [], length)
        exchange.send(b'abc')
        exchange.send(b'def')
        exchange.finish()

    harness = build_server_harness(take)
    caller = harness.ask(request(f'GET / HTTP/{version}'))
    assert caller.reset is not whole
    assert sent is None or caller.received == sent


def test_piece_over_the_declared_length_is_not_sent():
    harness = build_manual_harness()
    caller = harness.ask(GET_A)
    harness.exchanges[0].start(200, [], 5)
    harness.exchanges[0].send(b'abc')
    harness.exchanges[0].send(b'def')
    assert harness.exchanges[0].done
    caller.until(lambda c: c.closed)
    assert caller.reset


def test_aborted_response_ends_with_a_reset():
    harness = build_manual_harness()
    caller = harness.ask(GET_A)
    harness.exchanges[0].start(200, [], None)
    harness.exchanges[0].send(b'abc')
    harness.exchanges[0].abort()
    caller.until(lambda c: c.closed)
    assert caller.reset


@pytest.mark.parametrize('started', [False, True])
def test_disconnect_is_reported_once(started):
    harness = build_manual_harness()
    caller = harness.ask(GET_A)
    exchange = harness.exchanges[0]
    left = []
    exchange.on_disconnect = lambda: left.append(True)
    if started:
        exchange.start(200, [], 9)
    caller.leave()
    harness.loop.until(lambda: left)
    exchange.respond(200, [], b'too late')
    exchange.send(b'too late')
    exchange.finish()
    harness.loop.settle()
    assert left == [True]


def test_application_responds_to_a_body_error_after_delivery():
    harness = build_manual_harness()
    caller = harness.ask(request(POST, 'Content-Length: 900', body=b'abc'))
    got = []
    problems = []
    exchange = harness.exchanges[0]
    exchange.on_broken = problems.append
    exchange.read_body(lambda data, last: got.append(data))
    assert got == [b'abc']
    exchange.connection.expire_body(exchange)
    assert [int(p.code) for p in problems] == [4008]
    exchange.respond(504, [], b'not known')
    caller.until(lambda c: c.closed)
    assert bodies(caller) == [b'not known']


def test_body_error_without_a_hook_closes_without_a_response():
    harness = build_manual_harness()
    chunked = request(POST, 'Transfer-Encoding: chunked')
    caller = harness.ask(chunked + b'3\r\nabc\r\n')
    exchange = harness.exchanges[0]
    gone = []
    exchange.on_disconnect = lambda: gone.append(True)
    exchange.read_body(lambda data, last: None)
    caller.send(b'garbage').until(lambda c: c.closed)
    assert caller.received == b''
    assert gone == [True]


def test_paused_body_is_not_read_until_resumed():
    limits = dataclasses.replace(LIMITS, max_body_bytes=len(LARGE))
    harness = build_manual_harness(limits)
    head = request(POST, f'Content-Length: {len(LARGE)}')
    caller = harness.caller().send(head)
    harness.loop.until(lambda: harness.exchanges)
    exchange = harness.exchanges[0]
    sizes = []
    exchange.read_body(lambda data, last: sizes.append(len(data)))
    exchange.pause()
    sent = 0
    try:
        while sent < len(LARGE):
            sent += caller.sock.send(LARGE[sent:])
            harness.loop.step()
    except BlockingIOError:
        pass
    harness.loop.settle()
    assert sum(sizes) == 0
    exchange.resume()
    caller.send(LARGE[sent:])
    harness.loop.until(lambda: sum(sizes) == len(LARGE))


def test_pending_response_bytes_and_draining_are_reported():
    harness = build_manual_harness()
    caller = harness.ask(GET_A)
    exchange = harness.exchanges[0]
    drained = []
    exchange.on_drained = lambda: drained.append(True)
    exchange.start(200, [], len(LARGE))
    exchange.send(LARGE)
    assert exchange.pending > 0
    caller.until(lambda c: len(c.received) > len(LARGE))
    assert drained and exchange.pending == 0


@pytest.mark.parametrize('value', ['a\r\nX: b', 'a\nb', 'a\rb', 'a\0b', '€'])
def test_header_injection_is_rejected(value):
    harness = build_manual_harness()
    caller = harness.ask(GET_A)
    exchange = harness.exchanges[0]
    with pytest.raises(HeaderError):
        exchange.respond(200, [('X-A', value)], b'')
    with pytest.raises(HeaderError):
        exchange.start(200, [('X-A', value)], None)
    exchange.respond(200, [], b'clean')
    harness.loop.settle(caller)
    assert bodies(caller) == [b'clean']


def test_framing_fields_of_a_response_are_replaced():
    fields = [('content-length', '99'), ('transfer-encoding', 'chunked')]

    def take(exchange):
        exchange.respond(200, [*fields, ('connection', 'x')], b'abc')

    harness = build_server_harness(take)
    caller = harness.ask(GET_A)
    assert caller.received == (
        b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc'
    )


def test_drain_answers_requests_in_flight_and_closes_idle_ones():
    harness = build_manual_harness()
    busy = harness.ask(GET_A)
    idle = harness.caller()
    late = harness.caller()
    harness.loop.settle(busy, idle, late)
    assert harness.server.busy == 1
    # The loop hasn't accepted this connection yet.
    fresh = harness.caller()
    harness.server.begin_drain()
    with pytest.raises(ConnectionRefusedError):
        harness.caller()
    late.send(GET_B)
    fresh.send(GET_B)
    harness.loop.until(lambda: len(harness.exchanges) == 3)
    idle.until(lambda c: c.closed)
    for exchange in harness.exchanges:
        exchange.respond(200, [], b'whole')
    for caller in (busy, late, fresh):
        caller.until(lambda c: c.closed)
        assert bodies(caller) == [b'whole']
        assert b'Connection: close' in caller.received
    assert harness.server.busy == 0


def test_connection_over_the_limit_is_rejected_as_not_run():
    harness = build_server_harness(
        limits=dataclasses.replace(LIMITS, max_connections=1)
    )
    first = harness.ask(GET_A)
    second = harness.caller()
    second.until(lambda c: c.closed)
    assert b'Cyclamenlift-Result: 2001' in second.received
    first.send(GET_B)
    harness.loop.settle(first)
    assert bodies(first) == [b'path:/a', b'path:/b']


def test_exception_in_the_application_resets_one_connection():
    def take(exchange):
        if exchange.path == '/boom':
            raise RuntimeError('boom')
        exchange.respond(200, [], b'fine')

    harness = build_server_harness(take)
    caller = harness.ask(request('GET /boom HTTP/1.1'))
    assert caller.reset and caller.received == b''
    assert bodies(harness.ask(GET_A)) == [b'fine']


@pytest.mark.parametrize(
    'version, field, stays',
    [
        ('1.0', 'X: 1', False),
        ('1.0', 'Connection: keep-alive', True),
        ('1.1', 'Connection: close', False),
        ('1.1', 'X: 1', True),
    ],
)
def test_keep_alive_follows_the_request(version, field, stays):
    harness = build_server_harness()
    caller = harness.ask(request(f'GET /a HTTP/{version}', field))
    assert bodies(caller) == [b'path:/a']
    assert caller.closed is not stays


def test_exchange_describes_the_request():
    harness = build_manual_harness()
    harness.ask(
        request('GET http://a/x?y=1 HTTP/1.1', 'X-B:  1 ', 'x-b: 2', 'X-C: é')
    )
    exchange = harness.exchanges[0]
    assert exchange.method == 'GET'
    assert exchange.path == '/x?y=1'
    assert exchange.headers == [
        ('host', 'a'),
        ('x-b', '1'),
        ('x-b', '2'),
        ('x-c', 'é'),
    ]
    assert exchange.header('x-b') == '1'
    assert exchange.body_length == 0
    assert exchange.remote.host == '127.0.0.1'
