"""Pipelined safe requests of one connection are processed in parallel.

Guards against callers that send several look-ups before the first response:
processed in sequence, each request would wait for all earlier ones.
"""

import dataclasses

from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.server import HttpServer
from tests.http.builders import Caller
from tests.http.builders import LIMITS
from tests.http.builders import Loop
from tests.http.builders import LOOPBACK

GET = b'GET /%d HTTP/1.1\r\nHost: a\r\n\r\n'
POST = b'POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'


class PipeliningHarness:
    """A server whose requests the test answers explicitly."""

    def __init__(self, most: int = 4):
        self.loop = Loop()
        self.exchanges: list[Exchange] = []
        limits = dataclasses.replace(LIMITS, max_pipelined=most)
        self.server = HttpServer(
            self.loop.root.poller, limits, self.exchanges.append, 'entry'
        )
        self.server.register(self.loop.root)
        address = self.server.listen(LOOPBACK)
        self.caller = Caller.connect(self.loop, address)

    def send(self, *requests: bytes) -> None:
        self.caller.send(b''.join(requests))
        self.settle()

    def settle(self) -> None:
        self.loop.settle(self.caller)

    def answer(self, number: int) -> None:
        for exchange in self.exchanges:
            if exchange.path == f'/{number}':
                exchange.respond(200, [], b'body-%d' % number)
        self.settle()

    def paths(self) -> list[str]:
        return [exchange.path for exchange in self.exchanges]

    def received(self) -> str:
        text = self.caller.received.decode()
        found = [part[:1] for part in text.split('body-')[1:]]
        return ''.join(found)


def test_parallel_requests_are_answered_in_order():
    harness = PipeliningHarness()
    harness.send(GET % 1, GET % 2, GET % 3)
    assert harness.paths() == ['/1', '/2', '/3']
    harness.answer(3)
    assert harness.received() == ''
    harness.answer(1)
    assert harness.received() == '1'
    harness.answer(2)
    assert harness.received() == '123'


def test_parallel_requests_are_limited():
    harness = PipeliningHarness(most=2)
    harness.send(GET % 1, GET % 2, GET % 3)
    assert harness.paths() == ['/1', '/2']
    harness.answer(1)
    assert harness.paths() == ['/1', '/2', '/3']


def test_unsafe_request_waits_for_earlier_responses():
    harness = PipeliningHarness()
    harness.send(GET % 1, POST % 2, GET % 3)
    assert harness.paths() == ['/1']
    harness.answer(1)
    assert harness.paths() == ['/1', '/2', '/3']


def test_limit_of_one_disables_parallel_requests():
    harness = PipeliningHarness(most=1)
    harness.send(GET % 1, GET % 2)
    assert harness.paths() == ['/1']


def test_disconnect_abandons_all_pipelined_requests():
    harness = PipeliningHarness()
    harness.send(GET % 1, GET % 2, GET % 3)
    gone = []
    for exchange in harness.exchanges:
        exchange.on_disconnect = lambda e=exchange: gone.append(e.path)
    harness.caller.sock.close()
    harness.loop.until(lambda: len(gone) == 3)
    assert sorted(gone) == ['/1', '/2', '/3']
    harness.exchanges[1].respond(200, [], b'late')


def test_aborted_response_is_not_followed_by_the_next():
    harness = PipeliningHarness()
    harness.send(GET % 1, GET % 2)
    first, second = harness.exchanges
    second.respond(200, [], b'body-2')
    first.start(200, [], 100)
    first.send(b'half')
    first.abort()
    harness.settle()
    assert b'body-2' not in harness.caller.received
    assert harness.caller.closed or harness.caller.reset


# Guards against requests that run and get no response, as the streamed one
# before them breaks off and ends the connection.
def test_requests_behind_a_streamed_response_are_not_started():
    harness = PipeliningHarness()
    harness.send(GET % 1)
    first = harness.exchanges[0]
    first.start(200, [], 6)
    first.send(b'body-')
    harness.send(GET % 2, POST % 3)
    assert harness.paths() == ['/1']
    first.send(b'1')
    first.finish()
    harness.settle()
    assert harness.paths() == ['/1', '/2']
    harness.answer(2)
    assert harness.received() == '12'


# Guards against the same where some were started before the stream was.
def test_no_further_requests_are_started_behind_a_streamed_response():
    harness = PipeliningHarness()
    harness.send(GET % 1, GET % 2)
    first = harness.exchanges[0]
    assert first.shares_connection
    first.start(200, [], 100)
    harness.send(GET % 3)
    assert harness.paths() == ['/1', '/2']
    first.abort()
    harness.settle()
    assert harness.paths() == ['/1', '/2']


def test_early_streamed_response_is_deferred_completely():
    harness = PipeliningHarness()
    harness.send(GET % 1, GET % 2)
    second = harness.exchanges[1]
    second.start(200, [], 6)
    second.send(b'body-')
    second.send(b'2')
    second.finish()
    harness.answer(1)
    assert harness.received() == '12'


def test_closing_server_closes_after_the_last_response():
    harness = PipeliningHarness()
    harness.send(GET % 1, GET % 2)
    harness.server.begin_closing()
    harness.answer(1)
    assert b'close' not in harness.caller.received
    harness.answer(2)
    assert harness.received() == '12'
    assert b'close' in harness.caller.received
