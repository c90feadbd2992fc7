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


class Bed:
    """A server whose requests the test answers explicitly."""

    def __init__(self, most: int = 4):
        self.loop = Loop()
        self.taken: list[Exchange] = []
        limits = dataclasses.replace(LIMITS, max_pipelined=most)
        self.server = HttpServer(
            self.loop.root.poller, limits, self.taken.append, 'entry'
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
        for exchange in self.taken:
            if exchange.path == f'/{number}':
                exchange.respond(200, [], b'body-%d' % number)
        self.settle()

    def paths(self) -> list[str]:
        return [exchange.path for exchange in self.taken]

    def received(self) -> str:
        text = self.caller.received.decode()
        found = [part[:1] for part in text.split('body-')[1:]]
        return ''.join(found)


def test_all_are_taken_and_answered_in_order_whatever_ends_first():
    bed = Bed()
    bed.send(GET % 1, GET % 2, GET % 3)
    assert bed.paths() == ['/1', '/2', '/3']
    bed.answer(3)
    assert bed.received() == ''
    bed.answer(1)
    assert bed.received() == '1'
    bed.answer(2)
    assert bed.received() == '123'


def test_no_more_than_the_limit_are_taken_at_once():
    bed = Bed(most=2)
    bed.send(GET % 1, GET % 2, GET % 3)
    assert bed.paths() == ['/1', '/2']
    bed.answer(1)
    assert bed.paths() == ['/1', '/2', '/3']


def test_a_request_that_is_not_safe_waits_for_its_turn():
    bed = Bed()
    bed.send(GET % 1, POST % 2, GET % 3)
    assert bed.paths() == ['/1']
    bed.answer(1)
    assert bed.paths() == ['/1', '/2', '/3']


def test_without_a_limit_above_one_each_waits_for_the_one_before():
    bed = Bed(most=1)
    bed.send(GET % 1, GET % 2)
    assert bed.paths() == ['/1']


def test_a_caller_that_leaves_takes_all_of_its_requests_back():
    bed = Bed()
    bed.send(GET % 1, GET % 2, GET % 3)
    gone = []
    for exchange in bed.taken:
        exchange.on_disconnect = lambda e=exchange: gone.append(e.path)
    bed.caller.sock.close()
    bed.loop.until(lambda: len(gone) == 3)
    assert sorted(gone) == ['/1', '/2', '/3']
    bed.taken[1].respond(200, [], b'late')


def test_an_answer_that_breaks_off_never_passes_for_the_next_one():
    bed = Bed()
    bed.send(GET % 1, GET % 2)
    first, second = bed.taken
    second.respond(200, [], b'body-2')
    first.start(200, [], 100)
    first.send(b'half')
    first.abort()
    bed.settle()
    assert b'body-2' not in bed.caller.received
    assert bed.caller.closed or bed.caller.reset


def test_a_streamed_answer_ahead_of_its_turn_is_kept_whole():
    bed = Bed()
    bed.send(GET % 1, GET % 2)
    second = bed.taken[1]
    second.start(200, [], 6)
    second.send(b'body-')
    second.send(b'2')
    second.finish()
    bed.answer(1)
    assert bed.received() == '12'


def test_while_it_stops_the_last_answer_closes_the_connection():
    bed = Bed()
    bed.send(GET % 1, GET % 2)
    bed.server.begin_closing()
    bed.answer(1)
    assert b'close' not in bed.caller.received
    bed.answer(2)
    assert bed.received() == '12'
    assert b'close' in bed.caller.received
