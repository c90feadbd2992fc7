"""circuits.web controllers behind the strict HTTP server."""

import json

from circuits.core.handlers import handler
from circuits.web.controllers import BaseController
from circuits.web.controllers import expose
import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.http.pages import Deferred
from cyclamenlift.http.pages import json_response
from cyclamenlift.http.pages import parse_form
from cyclamenlift.http.pages import parse_query
from cyclamenlift.http.pages import problem_response
from cyclamenlift.http.pages import WebResponse
from cyclamenlift.http.web import MAX_BODY_BYTES
from cyclamenlift.http.web import WebServer
from tests.http.builders import Caller
from tests.http.builders import Loop
from tests.http.builders import LOOPBACK
from tests.http.builders import parse_responses
from tests.http.builders import request


class Pages(BaseController):
    """A controller with one page of each kind."""

    channel = '/'

    def __init__(self):
        super().__init__()
        self.deferred = Deferred()

    @expose('index')
    def index(self):
        return 'plain'

    @expose('query')
    def query(self):
        return json_response(parse_query(self.request))

    @expose('form')
    def form(self):
        return json_response(parse_form(self.request))

    @expose('late')
    def late(self):
        return self.deferred

    @expose('boom')
    def boom(self):
        raise ValueError('a secret')

    @handler('inside')
    def _on_inside(self, *_args):
        return 'for events of the process only'

    @expose('away')
    def away(self):
        return self.redirect('/query')

    @expose('problem')
    def problem(self):
        return problem_response(
            Problem(ResultCode.NO_MAJORITY, retry_after_ms=1500)
        )


class Site:
    """A web server with the test pages on a loop."""

    def __init__(self):
        self.loop = Loop()
        self.pages = Pages()
        self.server = WebServer(self.loop.root, LOOPBACK, [self.pages])

    def ask(self, *pieces: bytes) -> Caller:
        caller = Caller.connect(self.loop, self.server.address)
        caller.send(*pieces)
        self.loop.settle(caller)
        return caller


@pytest.mark.parametrize(
    'line, fields, body, status, expected',
    [
        ('GET /', [], b'', 200, 'plain'),
        ('GET /query?event=1&self=2&x=%C3%A9', [], b'', 200, '"\\u00e9"'),
        ('POST /form', [], b'event=a&x=1&x=', 200, '"event"'),
        ('POST /form', [], b'\xff', 500, '3007'),
        ('GET /boom', [], b'', 500, '3007'),
        ('GET /problem', [], b'', 503, '2005'),
        ('GET /nowhere', [], b'', 404, '4009'),
        ('GET /query/more', [], b'', 404, '4009'),
        # Handlers of a controller that aren't exposed as pages.
        ('GET /inside', [], b'', 404, '4009'),
        ('GET /prepare_unregister_complete', [], b'', 404, '4009'),
        ('GET /', ['Host: x'], b'', 400, '4007'),
        ('POST /form', ['Origin: http://evil'], b'', 400, '4000'),
        ('POST /form', ['Origin: http://a'], b'', 200, '[]'),
    ],
)
def test_page_responses(line, fields, body, status, expected):
    site = Site()
    fields = [*fields, f'Content-Length: {len(body)}']
    if body:
        fields.append('Content-Type: application/x-www-form-urlencoded')
    caller = site.ask(request(f'{line} HTTP/1.1', *fields, body=body))
    (answer,) = parse_responses(caller.received)
    assert answer.status == status
    assert expected in answer.body.decode()
    assert b'secret' not in caller.received
    assert b'Traceback' not in caller.received
    again = site.ask(request('GET / HTTP/1.1'))
    assert [a.status for a in parse_responses(again.received)] == [200]


def test_pipelined_pages_are_answered_in_order():
    site = Site()
    caller = site.ask(
        request('GET /late HTTP/1.1') + request('GET / HTTP/1.1')
    )
    assert caller.received == b''
    site.pages.deferred.resolve(WebResponse(b'late'))
    site.pages.deferred.resolve(WebResponse(b'twice'))
    site.loop.settle(caller)
    bodies = [answer.body for answer in parse_responses(caller.received)]
    assert bodies == [b'late', b'plain']


def test_redirect_has_an_absolute_location():
    caller = Site().ask(request('GET /away HTTP/1.1'))
    (answer,) = parse_responses(caller.received)
    assert answer.status == 303
    assert b'Location: http://a/query' in answer.head


@pytest.mark.parametrize('declared', [True, False])
def test_body_over_the_limit_of_pages_is_rejected(declared):
    if declared:
        pieces = [
            request(
                'POST /form HTTP/1.1', f'Content-Length: {MAX_BODY_BYTES + 1}'
            )
        ]
    else:
        chunk = b'100000\r\n' + b'x' * 0x100000 + b'\r\n'
        pieces = [
            request('POST /form HTTP/1.1', 'Transfer-Encoding: chunked'),
            *[chunk] * 3,
        ]
    caller = Site().ask(*pieces)
    caller.until(lambda c: c.closed)
    (answer,) = parse_responses(caller.received)
    assert answer.status == 413
    assert json.loads(answer.body)['run'] == 'no'
