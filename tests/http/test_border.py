"""The strict server handles input that circuits.web mishandles."""

import dataclasses
import enum
import json

import pytest

from tests.http.builders import ask_circuits_server
from tests.http.builders import build_server_harness
from tests.http.builders import parse_responses
from tests.http.builders import ReceivedResponse
from tests.http.builders import request

CHUNKED = 'Transfer-Encoding: chunked'
POST = 'POST / HTTP/1.1'
FRAMING = (400, 4007)
SIZE = (431, 4006)
BODY = (413, 4005)
METHOD_UNKNOWN = (501, 4018)
FIELDS = {'code', 'title', 'detail', 'run', 'hint', 'retry_after_ms'}


class CircuitsResult(enum.Enum):
    """How the unmodified circuits.web server handles the same bytes."""

    MIXED = 'a request is lost or answered with data of another'
    ACCEPTED = 'wrongly answered with 200'
    TRACEBACK = 'answered with a traceback page'
    SILENT = 'never answered, the connection stays open'
    UNNUMBERED = 'rejected with an HTML page and without a result code'
    SAME = 'answered correctly'


@dataclasses.dataclass(frozen=True)
class Case:
    """Packets to send and the expected responses."""

    name: str
    circuits: CircuitsResult
    pieces: list[bytes]
    texts: tuple[str, ...] = ()
    refusal: tuple[int, int] | None = None


def post(*fields: str, body: bytes = b'abcd', line: str = POST) -> bytes:
    return request(line, *fields, body=body)


def refused(name, circuits, piece, refusal=FRAMING) -> Case:
    return Case(name, circuits, [piece], (), refusal)


def in_bytes(data: bytes) -> list[bytes]:
    return [bytes([value]) for value in data]


ACCEPTED = CircuitsResult.ACCEPTED
MIXED = CircuitsResult.MIXED
SILENT = CircuitsResult.SILENT
TRACEBACK = CircuitsResult.TRACEBACK
UNNUMBERED = CircuitsResult.UNNUMBERED
END = b'0\r\n\r\n'


def get(*fields: str, host: str | None = 'a', line='GET / HTTP/1.1') -> bytes:
    return request(line, *fields, host=host)


A_THEN_B = request('GET /a HTTP/1.1') + request('GET /b HTTP/1.1')
CASES = [
    Case(
        'body followed by a request in the same packet',
        MIXED,
        [post('Content-Length: 4') + request('GET /b HTTP/1.1')],
        ('body:abcd', 'path:/b'),
    ),
    Case('pipelined second GET', MIXED, [A_THEN_B], ('path:/a', 'path:/b')),
    Case(
        'byte by byte with a body',
        SILENT,
        in_bytes(post('Content-Length: 4')),
        ('body:abcd',),
    ),
    Case(
        'byte by byte without a body',
        SILENT,
        in_bytes(request('GET /a HTTP/1.1')),
        ('path:/a',),
    ),
    Case(
        'request after Connection: close',
        CircuitsResult.SAME,
        [request('GET /a HTTP/1.1', 'Connection: close') + A_THEN_B],
        ('path:/a',),
    ),
    Case(
        'good request, then a bad one',
        MIXED,
        [request('GET /a HTTP/1.1') + request(POST, 'Content-Length: x')],
        ('path:/a',),
        FRAMING,
    ),
    refused(
        'Content-Length with Transfer-Encoding',
        ACCEPTED,
        post('Content-Length: 4', CHUNKED, body=END),
    ),
    refused(
        'Transfer-Encoding with Content-Length',
        ACCEPTED,
        post(CHUNKED, 'Content-Length: 4', body=END),
    ),
    refused(
        'two different lengths',
        TRACEBACK,
        post('Content-Length: 4', 'Content-Length: 5'),
    ),
    refused(
        'two equal lengths',
        TRACEBACK,
        post('Content-Length: 4', 'Content-Length: 4'),
    ),
    refused('list of lengths', TRACEBACK, post('Content-Length: 4, 4')),
    refused('length in words', TRACEBACK, post('Content-Length: four')),
    refused('negative length', ACCEPTED, post('Content-Length: -4')),
    refused('length with a sign', ACCEPTED, post('Content-Length: +4')),
    refused(
        'length of 20 digits', SILENT, post(f'Content-Length: {"9" * 20}')
    ),
    refused('space before the colon', ACCEPTED, post('Content-Length : 4')),
    refused('no Host', UNNUMBERED, get(host=None)),
    refused('two Hosts', ACCEPTED, post('Host: b', body=b'')),
    refused('malformed Host', ACCEPTED, get(host='a b')),
    refused(
        'target of another host', ACCEPTED, get(line='GET http://b/ HTTP/1.1')
    ),
    refused(
        'header over the limit', ACCEPTED, get('X: ' + 'a' * 300_000), SIZE
    ),
    refused(
        'header over the limit that never ends',
        SILENT,
        b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'a' * 5000,
        SIZE,
    ),
    refused(
        'too many headers',
        ACCEPTED,
        get(*(f'X-{i}: 1' for i in range(21))),
        SIZE,
    ),
    refused('bad first line', UNNUMBERED, b'HELLO\r\n\r\n'),
    refused('no version', UNNUMBERED, b'GET /\r\n\r\n'),
    refused('unknown version', SILENT, get(line='GET / HTTP/2.0')),
    refused(
        'unknown method', ACCEPTED, get(line='FOO / HTTP/1.1'), METHOD_UNKNOWN
    ),
    refused('bare LF', SILENT, b'GET / HTTP/1.1\nHost: a\n\n'),
    refused(
        'bare LF in the head',
        TRACEBACK,
        b'GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n',
    ),
    refused('folded header', ACCEPTED, get('X: a', ' b')),
    refused('NUL in a header', ACCEPTED, get('X: a\0b')),
    refused(
        'chunk size of garbage',
        SILENT,
        post(CHUNKED, body=b'zz\r\nab\r\n0\r\n\r\n'),
    ),
    refused(
        'chunk longer than its size',
        SILENT,
        post(CHUNKED, body=b'2\r\nabcd\r\n0\r\n\r\n'),
    ),
    refused(
        'transfer coding that is not spoken',
        ACCEPTED,
        post('Transfer-Encoding: gzip, chunked', body=END),
    ),
    refused(
        'chunks in HTTP/1.0',
        ACCEPTED,
        post(CHUNKED, body=END, line='POST / HTTP/1.0'),
    ),
    refused(
        'upgrade with a body',
        ACCEPTED,
        post('Upgrade: x', 'Connection: upgrade', 'Content-Length: 4'),
    ),
    refused(
        'unknown expectation',
        ACCEPTED,
        post('Content-Length: 4', 'Expect: tea'),
        (417, 4011),
    ),
    refused(
        'body over the limit',
        ACCEPTED,
        post('Content-Length: 1001', body=b'a' * 1001),
        BODY,
    ),
    refused(
        'chunks over the limit',
        ACCEPTED,
        post(CHUNKED, body=b'3e9\r\n' + b'a' * 1001 + b'\r\n0\r\n\r\n'),
        BODY,
    ),
    refused(
        'trailer over the limit',
        ACCEPTED,
        post(CHUNKED, body=b'0\r\nX: ' + b'a' * 5000 + b'\r\n\r\n'),
        SIZE,
    ),
]
BY_NAME = [pytest.param(case, id=case.name) for case in CASES]


def texts_of(answers: list[ReceivedResponse]) -> tuple[str, ...]:
    return tuple(a.body.decode() for a in answers if a.status == 200)


def circuits_result(case: Case, received: bytes) -> CircuitsResult:
    answers = parse_responses(received)
    if b'File &quot;' in received:
        return CircuitsResult.TRACEBACK
    if not answers:
        return CircuitsResult.SILENT
    if case.texts:
        same = texts_of(answers) == case.texts and not case.refusal
        return CircuitsResult.SAME if same else CircuitsResult.MIXED
    if answers[0].status == 200:
        return CircuitsResult.ACCEPTED
    return CircuitsResult.UNNUMBERED


@pytest.mark.parametrize('case', BY_NAME)
def test_server_answers_or_rejects_each_request(case):
    harness = build_server_harness()
    caller = harness.ask(*case.pieces)
    answers = parse_responses(caller.received)
    assert texts_of(answers) == case.texts
    if case.refusal is not None:
        check_refusal(answers[-1], case.refusal)
        assert caller.closed
    assert len(answers) == len(case.texts) + bool(case.refusal)
    again = harness.ask(request('GET /again HTTP/1.1'))
    assert texts_of(parse_responses(again.received)) == ('path:/again',)


def check_refusal(answer: ReceivedResponse, refusal: tuple[int, int]) -> None:
    status, code = refusal
    value = json.loads(answer.body)
    assert (answer.status, value['code']) == (status, code)
    assert set(value) == FIELDS
    assert value['run'] == 'no'
    assert f'Cyclamenlift-Result: {code}'.encode() in answer.head
    assert b'Connection: close' in answer.head
    assert b'Traceback' not in answer.body


@pytest.mark.parametrize('case', BY_NAME)
def test_circuits_server_behaves_as_listed(case):
    caller = ask_circuits_server(*case.pieces)
    assert circuits_result(case, caller.received) is case.circuits
