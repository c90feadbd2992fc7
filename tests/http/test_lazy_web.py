"""Web pages whose code is imported on the first request."""

from circuits.web.controllers import Controller
from circuits.web.controllers import expose
import pytest

from cyclamenlift.http.lazy_web import LazyWebServer
from cyclamenlift.http.pages import WebResponse
from tests.http.builders import Caller
from tests.http.builders import Loop
from tests.http.builders import LOOPBACK


class Pages(Controller):
    """A controller with one page."""

    channel = '/'

    @expose('hello')
    def hello(self) -> WebResponse:
        return WebResponse(b'good day')


@pytest.mark.parametrize('requests', [1, 3])
def test_first_requests_are_routed(requests):
    """Regression: the first got 404, since no page was routed yet."""
    made = []

    def make() -> list:
        made.append(True)
        return [Pages()]

    loop = Loop()
    server = LazyWebServer(loop.root, LOOPBACK, make)
    assert not made
    callers = [Caller.connect(loop, server.address) for _ in range(requests)]
    for caller in callers:
        caller.send(b'GET /hello HTTP/1.1\r\nHost: a\r\n\r\n')
    loop.until(lambda: all(b'\r\n\r\n' in c.received for c in reads(callers)))
    assert all(b'good day' in caller.received for caller in callers)
    assert len(made) == 1
    server.http.close_all()


def reads(callers: list[Caller]) -> list[Caller]:
    for caller in callers:
        caller.read()
    return callers
