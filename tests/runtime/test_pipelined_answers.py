"""Calls of one connection, of which one has a large answer that breaks off.

Guards against calls that were passed on and run, and get no answer: a streamed
answer that breaks off ends the connection, and all calls behind it with it.
"""

import pytest

from cyclamenlift.calls.call import MAX_HELD_ANSWER_BYTES
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.http.limits import HttpLimits
from tests.runtime.builders import answer
from tests.runtime.builders import CallPathHarness
from tests.runtime.builders import ScriptedTarget

BEHIND = 5
WHOLE_BYTES = 1000
LARGE = b'0123456789abcdef' * 25_000
HEAD = b'HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n' % len(LARGE)
UNSIZED = b'HTTP/1.1 200 X\r\nConnection: close\r\n\r\n'


class ListTarget(ScriptedTarget):
    """Answers look-ups at once and lists as the test says."""

    def __init__(self, *lists: bytes):
        self.lists = list(lists)
        super().__init__(self.respond)

    def respond(self, conn, request: bytes) -> None:
        if b'/list' not in request.partition(b'\r\n')[0]:
            answer()(conn, request)
            return
        data = self.lists.pop(0) if self.lists else HEAD + LARGE
        conn.sendall(data)
        if data != HEAD + LARGE:
            conn.close()


@pytest.fixture
def make_path():
    created = []

    def make(*lists: bytes, **fields) -> CallPathHarness:
        target = ListTarget(*lists)
        path = CallPathHarness(
            target.address, whole_answer_bytes=WHOLE_BYTES, slots=8, **fields
        )
        path.server.limits = HttpLimits(max_pipelined=1 + BEHIND)
        path.target = target
        created.append(path)
        return path

    yield make
    for each in created:
        each.close()


def request(path: str, method: str = 'GET') -> bytes:
    length = 'Content-Length: 0\r\n' if method == 'POST' else ''
    return f'{method} {path} HTTP/1.1\r\nHost: prices\r\n{length}\r\n'.encode()


def ask(path: CallPathHarness, *requests: bytes) -> list:
    """Send requests on one connection; return the answers that come."""
    caller = path.send()
    assert path.receive(caller).status == 200
    path.push(caller, b''.join(requests))
    found, _ = path.receive_all(caller, len(requests))
    return found


LOOK_UPS = [request(f'/p/{number}') for number in range(BEHIND)]


@pytest.mark.parametrize('broken', [HEAD + LARGE[:300_000], HEAD + b'x'])
def test_calls_behind_a_large_answer_that_breaks_off_are_answered(
    make_path, broken
):
    path = make_path(broken, broken, broken)
    found = ask(path, request('/list'), *LOOK_UPS)
    assert [each.status for each in found] == [502] + [200] * BEHIND
    assert found[0].result == ResultCode.TARGET_BROKE_OFF
    assert [each.body for each in found[1:]] == [b'fine'] * BEHIND
    assert path.calls.body_budget.used == 0


def test_a_large_answer_in_front_of_others_is_whole(make_path):
    path = make_path()
    found = ask(path, request('/list'), *LOOK_UPS, request('/list'))
    assert [each.status for each in found] == [200] * (BEHIND + 2)
    assert found[0].body == LARGE
    assert found[-1].body == LARGE
    assert path.calls.body_budget.used == 0


# Guards against memory that grows with the size of answers.
def test_answers_beyond_the_limit_are_streamed(make_path):
    body = bytes(MAX_HELD_ANSWER_BYTES + 1)
    path = make_path()
    path.target.lists = []
    path.target.respond = None
    path.target.scripts = (answer(), answer(body), answer())
    found = ask(path, request('/list'), LOOK_UPS[0])
    assert [len(each.body) for each in found] == [len(body), 4]
    assert path.calls.body_budget.used == 0


# Guards against a call that was sent once and of which it is not known whether
# it ran: it must not be passed on before the answer in front of it is whole.
def test_calls_that_run_once_wait_for_the_answer_before_them(make_path):
    path = make_path(HEAD + LARGE[:300_000])
    found = ask(path, request('/list'), request('/book', 'POST'))
    assert found == []
    assert not any(b'/book' in each for each in path.target.requests)
