"""Responses of the target to another call, and keep-alive timeouts."""

import pytest

from cyclamenlift.http.client import keep_alive_seconds
from cyclamenlift.http.limits import ClientLimits
from cyclamenlift.http.response_parser import ResponseParser

LIMITS = ClientLimits(call_id_field='x-call', unsized_answers=True)


def answer(name: str, body: bytes = b'ok') -> bytes:
    head = f'HTTP/1.1 200 OK\r\nX-Call: {name}\r\nContent-Length: {len(body)}'
    return head.encode() + b'\r\n\r\n' + body


def parser(name: str = 'mine') -> ResponseParser:
    found = ResponseParser(LIMITS)
    found.expect_response('GET', name)
    return found


def test_response_to_another_call_is_skipped():
    found = parser()
    found.feed(answer('other', b'wrong') + answer('mine', b'right'))
    assert found.complete and not found.problem
    assert b''.join(found.chunks) == b'right'


def test_skipping_does_not_depend_on_splits():
    data = answer('other', b'wrong') + answer('mine', b'right')
    for cut in range(1, len(data)):
        found = parser()
        found.feed(data[:cut])
        found.feed(data[cut:])
        assert found.complete and not found.problem
        assert b''.join(found.chunks) == b'right'


def test_additional_response_is_trailing_data():
    found = parser()
    found.feed(answer('mine') + answer('mine'))
    assert found.complete
    assert found.has_trailing_data


def test_response_without_a_call_id_is_accepted():
    found = parser()
    found.feed(b'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n')
    assert found.complete


def test_unsized_response_to_another_call_is_rejected():
    found = parser()
    found.feed(b'HTTP/1.1 200 OK\r\nX-Call: other\r\n\r\nbytes')
    assert found.problem
    assert not found.completes_at_eof()


@pytest.mark.parametrize(
    ('value', 'seconds'),
    [
        ('timeout=10', 10),
        ('max=5, timeout=3', 3),
        ('timeout=x', None),
        # Guards against digits that int() refuses, and that it reads.
        ('timeout=\u00b2', None),
        ('timeout=' + '9' * 5_000, None),
    ],
)
def test_keep_alive_timeout_is_parsed(value, seconds):
    assert keep_alive_seconds([('keep-alive', value)]) == seconds
