"""Targets in trouble that send bytes without an end.

Guards against callers that wait until their deadline, and daemons that read
until then, as a target sends what is no answer until its connection is closed.
"""

import dataclasses
import itertools
import socket
import threading
import time

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.health import HealthCheck
from cyclamenlift.http.response_parser import ResponseParser
from tests.http.test_target_answers import answer as answer_to
from tests.http.test_target_answers import LIMITS
from tests.runtime.builders import CallPathHarness
from tests.runtime.builders import platform_like_dialect
from tests.runtime.builders import ScriptedTarget

DEADLINE_MS = 4_000
# By when a caller is told, in seconds: long before its deadline.
PROMPT_SECONDS = 1.0
# Sent by a target at most; a reader without a limit would take all of it.
MOST_BYTES = 64 * 1024 * 1024
PIECE = 16 * 1024
OK = b'HTTP/1.1 200 OK\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'%x\r\n%b\r\n' % (PIECE, b'x' * PIECE)
# What a target sends: its beginning, and what it repeats without an end.
HEADS = {
    'no line': (b'', b'\x16' * PIECE),
    'a long line': (OK + b'X-A: ', b'a' * PIECE),
    'empty lines': (b'', b'\r\n' * PIECE),
    'fields': (OK, b'X-A: 1\r\n' * 1000),
    'interim heads': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 500),
    'answers to others': (
        b'',
        b'HTTP/1.1 200 OK\r\nX-Call: other\r\nContent-Length: 4\r\n\r\nfour'
        * 300,
    ),
    'an answer to another': (OK + b'X-Call: other\r\n' + CHUNKED, CHUNK),
}
BODIES = {
    'without a proof': (OK + CHUNKED, CHUNK),
    'without a length': (OK + b'\r\n', b'x' * PIECE),
    'of a length': (OK + b'Content-Length: 9999999999\r\n\r\n', b'x' * PIECE),
    'a chunk extension': (
        OK + b'X-Proof: 1\r\n' + CHUNKED + b'1;',
        b'e' * PIECE,
    ),
    'trailer fields': (
        OK + b'X-Proof: 1\r\n' + CHUNKED + b'1\r\nx\r\n0\r\n',
        b'X-A: 1\r\n' * 1000,
    ),
    'garbage for a chunk': (OK + b'X-Proof: 1\r\n' + CHUNKED, b'zz' * PIECE),
    'of a refusal': (
        b'HTTP/1.1 503 No\r\nX-Not-Run: 1\r\n' + CHUNKED,
        CHUNK,
    ),
}


class Endless:
    """A script that repeats bytes until its connection is closed."""

    def __init__(self, begin: bytes, repeated: bytes, pause: float = 0.0):
        self.begin = begin
        self.repeated = repeated
        self.pause = pause
        self.sent = 0
        self.closed = threading.Event()

    def __call__(self, conn: socket.socket, _request: bytes) -> None:
        try:
            conn.sendall(self.begin)
            while self.sent < MOST_BYTES:
                conn.sendall(self.repeated)
                self.sent += len(self.repeated)
                time.sleep(self.pause)
        except OSError:
            self.closed.set()


@pytest.fixture
def make_path():
    created = []

    def make(script: Endless) -> CallPathHarness:
        target = ScriptedTarget(script)
        path = CallPathHarness(
            target.address, deadline_ms=DEADLINE_MS, max_tries=1
        )
        created.append(path)
        (gate,) = path.gates
        # Targets are known from the start: none has to announce itself.
        gate.dialect = dataclasses.replace(
            platform_like_dialect(), required_incarnation='', incarnation=''
        )
        gate.client.limits = LIMITS
        return path

    yield make
    for each in created:
        each.close()


def check_prompt_end(path: CallPathHarness, script: Endless, codes) -> None:
    """Check that a call ends early and the connection is closed."""
    began = time.monotonic()
    found = path.ask(X_Call='mine')
    assert time.monotonic() - began < PROMPT_SECONDS
    assert found.result in codes
    path.run_until(script.closed.is_set)
    path.run_until(path.gates[0].is_idle)


BROKEN = (ResultCode.TARGET_BROKE_OFF, ResultCode.BAD_TARGET_ANSWER)
# Bytes of a refusal may have no end either: it has not run for certain.
ENDED = {'of a refusal': (ResultCode.TARGET_REFUSED,)}


@pytest.mark.parametrize('kind', [*HEADS, *BODIES])
def test_a_call_ends_at_once_that_gets_bytes_without_an_end(make_path, kind):
    script = Endless(*(HEADS | BODIES)[kind])
    check_prompt_end(make_path(script), script, ENDED.get(kind, BROKEN))


# Guards against the same with bytes that come one by one.
@pytest.mark.parametrize('kind', ['without a proof', 'of a refusal'])
def test_a_body_that_is_ignored_is_not_waited_for(make_path, kind):
    begin, _ = BODIES[kind]
    script = Endless(begin, b'1\r\nx\r\n', pause=0.02)
    check_prompt_end(make_path(script), script, ENDED.get(kind, BROKEN))


# Guards against bytes that are not counted as they come in small pieces.
@pytest.mark.parametrize('kind', HEADS)
@pytest.mark.parametrize('size', [7, 4096])
def test_heads_without_an_end_are_refused_in_any_pieces(kind, size):
    parser = ResponseParser(LIMITS)
    parser.expect_response('GET', 'mine')
    begin, repeated = HEADS[kind]
    parser.feed(begin)
    fed = 0
    for at in itertools.count(0, size):
        if parser.problem or fed > MOST_BYTES // 4:
            break
        piece = repeated[at % len(repeated) :][:size]
        fed += len(piece)
        parser.feed(piece)
    assert parser.problem


# Guards against a large late answer to another call that is taken for one
# without an end.
def test_a_large_answer_to_another_call_is_still_skipped():
    parser = ResponseParser(LIMITS)
    parser.expect_response('GET', 'mine')
    late = answer_to('other', bytes(4 * 1024 * 1024))
    data = late + answer_to('mine', b'right')
    for at in range(0, len(data), PIECE):
        parser.feed(data[at : at + PIECE])
    assert parser.complete and not parser.problem
    assert b''.join(parser.chunks) == b'right'


class PageSettings:
    """Settings of a health check that would wait for long."""

    service = 'prices'
    health_path = '/health'
    health_seconds = 30.0
    health_timeout_seconds = 4.0


# Guards against a daemon that reads a health page at full speed for as long
# as it waits for one, and answers callers late meanwhile.
def test_a_health_page_without_an_end_counts_as_failed_at_once(make_path):
    script = Endless(*BODIES['without a length'])
    path = make_path(script)
    (gate,) = path.gates
    check = HealthCheck(gate, gate.client, PageSettings())
    began = time.monotonic()
    path.run_until(check.poll_now)
    path.run_until(lambda: check.call is None)
    assert time.monotonic() - began < PROMPT_SECONDS
    assert check.failures == 1
    path.run_until(script.closed.is_set)
