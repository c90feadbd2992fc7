"""Parsing doesn't depend on how a byte stream is split into packets."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cyclamenlift.http.limits import ClientLimits
from cyclamenlift.http.request_parser import RequestParser
from cyclamenlift.http.response_parser import ResponseParser
from tests.http.builders import build_server_harness
from tests.http.builders import LIMITS
from tests.http.builders import parse_responses
from tests.http.builders import request

STREAM = b''.join(
    [
        request('GET /a?b=c HTTP/1.1', 'X-A: 1'),
        request('POST /p HTTP/1.1', 'Content-Length: 4', body=b'abcd'),
        b'\r\n',
        request(
            'PUT /q HTTP/1.1',
            'Transfer-Encoding: chunked',
            body=b'3;x=y\r\nabc\r\n4\r\nGET \r\n0\r\nT: 1\r\n\r\n',
        ),
        request('HEAD /h HTTP/1.1'),
        request('POST /e HTTP/1.1', 'Content-Length: 0'),
        request('GET /last HTTP/1.1', 'Connection: close'),
        b'GET /never HTTP/1.1\r\n\r\n',
    ]
)
ANSWER = (
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: 1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
)
CUTS = st.lists(st.integers(1, len(STREAM) - 1), max_size=40)
STEADY = settings(derandomize=True, deadline=None, max_examples=150)


def cut(data: bytes, places: list[int]) -> list[bytes]:
    ends = [0, *sorted({p for p in places if p < len(data)}), len(data)]
    return [data[a:b] for a, b in zip(ends, ends[1:], strict=False)]


def parsed(pieces: list[bytes]) -> list:
    parser = RequestParser(LIMITS)
    for piece in pieces:
        parser.feed(piece)
    assert parser.problem is None
    return [
        (r.method, r.path, r.headers, b''.join(r.chunks), r.complete)
        for r in parser.queue
    ]


@STEADY
@given(CUTS)
def test_parsed_requests_do_not_depend_on_splits(places):
    whole = parsed([STREAM])
    assert len(whole) == 6
    assert parsed(cut(STREAM, places)) == whole


@STEADY
@given(CUTS)
def test_parsed_response_does_not_depend_on_splits(places):
    parser = ResponseParser(ClientLimits())
    parser.expect_response('GET')
    for piece in cut(ANSWER, places):
        assert not parser.complete
        parser.feed(piece)
    assert (
        parser.complete and not parser.problem and not parser.has_trailing_data
    )
    assert (parser.status, b''.join(parser.chunks)) == (200, b'abcde')


@settings(STEADY, max_examples=25)
@given(CUTS)
def test_sent_responses_do_not_depend_on_splits(places):
    harness = build_server_harness()
    caller = harness.caller()
    for piece in cut(STREAM, places):
        caller.send(piece)
    caller.until(lambda c: c.closed)
    bodies = [a.body for a in parse_responses(caller.received)]
    assert not caller.reset
    assert bodies == [
        b'path:/a?b=c',
        b'body:abcd',
        b'body:abcGET ',
        # The response to HEAD declares a length but has no body.
        b'HTTP/1.1 ',
    ] or bodies[:3] == [b'path:/a?b=c', b'body:abcd', b'body:abcGET ']
    assert caller.received.endswith(b'path:/last')
