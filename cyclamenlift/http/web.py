"""Runs ``circuits.web`` controllers behind the strict HTTP server.

``HttpServer`` parses the requests; request objects, responses, dispatch and
controllers are those of ``circuits.web``. Its parser isn't used, nor is its
mapping of form fields to keyword arguments: a form field named like an
argument of a handler would break the handler. Controllers read their input
with ``parse_query`` and ``parse_form``.
"""

from collections.abc import Iterable
from typing import NamedTuple

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler
from circuits.web.controllers import BaseController
from circuits.web.dispatchers.dispatcher import Dispatcher
from circuits.web.dispatchers.dispatcher import find_handlers
from circuits.web.events import request as request_event
from circuits.web.headers import Headers as WebHeaders
from circuits.web.http import HTTP
from circuits.web.wrappers import Host
from circuits.web.wrappers import Request
from circuits.web.wrappers import Response
import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.headers import find_header
from cyclamenlift.http.limits import HttpLimits
from cyclamenlift.http.pages import Deferred
from cyclamenlift.http.pages import HTML
from cyclamenlift.http.pages import send_response
from cyclamenlift.http.pages import WebResponse
from cyclamenlift.http.server import HttpServer

LOG = structlog.get_logger('web')
SAFE_METHODS = ('GET', 'HEAD', 'OPTIONS')
MAX_BODY_BYTES = 2 * 1024 * 1024
CODE_BY_STATUS = {
    404: ResultCode.NOT_FOUND,
    405: ResultCode.METHOD_NOT_ALLOWED,
}


class ServerAddress(NamedTuple):
    """Server attributes that ``circuits.web`` reads."""

    host: str
    port: int
    secure: bool = False
    display_banner: bool = False


class WebBridge(HTTP):
    """Converts between exchanges and ``circuits.web`` requests.

    Replaces the HTTP protocol component of ``circuits.web`` and inherits
    its handling of the values that controllers return.
    """

    def __init__(self, address: Address, channel: str):
        super().__init__(ServerAddress(*address), channel=channel)
        self.dispatcher = Dispatcher(channel=channel).register(self)

    # -- requests ---------------------------------------------------------

    def take(self, exchange: Exchange) -> None:
        """Read the body within the limit, then dispatch the request."""
        parts: list[bytes] = []

        def on_body(data: bytes, last: bool) -> None:
            parts.append(data)
            if sum(map(len, parts)) > MAX_BODY_BYTES:
                refuse_size(exchange)
            elif last:
                self.dispatch_request(exchange, b''.join(parts))

        # Nothing runs before the whole body has been read.
        exchange.on_broken = exchange.respond_problem
        if (exchange.body_length or 0) > MAX_BODY_BYTES:
            refuse_size(exchange)
        else:
            exchange.read_body(on_body)

    def dispatch_request(self, exchange: Exchange, body: bytes) -> None:
        """Fire the request event if a controller serves the path."""
        try:
            request = self.build_request(exchange, body)
        except ValueError as error:
            detail = f'Host: {error}'
            exchange.respond_problem(Problem(ResultCode.BAD_REQUEST, detail))
            return
        if not is_same_origin(exchange):
            detail = 'Origin: a page of another place sent this'
            exchange.respond_problem(Problem(ResultCode.BAD_REQUEST, detail))
            return
        if not self.has_page(request):
            detail = request.path[:100]
            exchange.respond_problem(Problem(ResultCode.NOT_FOUND, detail))
            return
        response = Response(request)
        self.fire(request_event(request, response), self.channel)

    def build_request(self, exchange: Exchange, body: bytes) -> Request:
        path, _, query = exchange.path.partition('?')
        headers = WebHeaders()
        for name, value in exchange.headers:
            if name != 'content-type':
                headers.append(name.title(), value)
        request = Request(
            None,
            exchange.method,
            path=path,
            headers=headers,
            server=self._server,
        )
        request.remote = Host(*exchange.remote)
        request.exchange = exchange
        request.query = query
        request.content = body
        return request

    def has_page(self, request: Request) -> bool:
        """Return whether an exposed method serves the path.

        Controllers also have internal handlers of circuits.
        """
        handlers = find_handlers(request, self.dispatcher.paths)[0]
        return bool(handlers) and all(hasattr(h, 'args') for h in handlers)

    # -- responses --------------------------------------------------------

    # circuits passes the current event to a parameter named ``event`` and
    # keeps the handlers of a base class without ``override=True``.

    @handler('request_success', override=True)
    def _on_request_success(self, opened, value) -> None:
        found = opened.value.getValue()
        request = opened.args[0]
        if isinstance(found, Deferred):
            found.then(lambda answer: send_response(request.exchange, answer))
        elif isinstance(found, WebResponse):
            send_response(request.exchange, found)
        else:
            super()._on_request_success(opened, value)

    @handler('response', override=True)
    def _on_response(self, response) -> None:
        request = response.request
        body = response.body
        if not isinstance(body, bytes):
            body = b''.join(as_bytes(piece) for piece in body or () if piece)
        headers = [(n, str(v)) for n, v in response.headers.items()]
        if find_header(headers, 'Content-Type') is None:
            headers.append(('Content-Type', HTML))
        response.done = True
        request.exchange.respond(int(response.status), headers, body)

    @handler('httperror', override=True)
    def _on_httperror(self, event, request, response, code, **kwargs) -> None:
        status = event.code
        if 300 <= status < 400:
            self._on_response(response)
            return
        if event.error is not None:
            LOG.error('page_failed', path=request.path, error=event.traceback)
        kind = CODE_BY_STATUS.get(status)
        if kind is None:
            kind = ResultCode.BAD_REQUEST
            if status >= 500:
                kind = ResultCode.PAGE_FAILED
        request.exchange.respond_problem(Problem(kind))

    # -- disabled handlers of the protocol component ------------------------

    @handler('ready', override=True)
    def _on_ready(self, *args) -> None:
        """Ignore: the address was passed to the constructor."""

    @handler('read', override=True)
    def _on_read(self, *args) -> None:
        """Ignore: ``HttpServer`` parses the input."""

    @handler('stream', override=True)
    def _on_stream(self, *args) -> None:
        """Ignore: responses are sent as a whole."""

    @handler('disconnect', override=True)
    def _on_disconnect(self, *args) -> None:
        """Ignore: the exchange handles disconnects."""


class WebServer(BaseComponent):
    """Combines an HTTP server, the bridge and the controllers."""

    def __init__(
        self,
        root,
        address: Address,
        controllers: Iterable[BaseController],
        limits: HttpLimits | None = None,
        channel: str = 'admin',
    ):
        super().__init__(channel=channel)
        self.register(root)
        self.http = HttpServer(
            root.poller, limits or HttpLimits(), self.take, f'{channel}-http'
        ).register(self)
        self.address = self.http.listen(address)
        self.bridge = WebBridge(self.address, f'{channel}-web').register(self)
        for controller in controllers:
            controller.register(self)

    def take(self, exchange: Exchange) -> None:
        self.bridge.take(exchange)

    def begin_drain(self) -> None:
        """Accept no new connections; finish the requests in flight."""
        self.http.begin_drain()

    @property
    def busy(self) -> int:
        """Requests in flight."""
        return self.http.busy


def is_same_origin(exchange: Exchange) -> bool:
    """Return whether an unsafe request isn't cross-origin.

    Browsers send ``Origin``, command-line tools don't. The check protects
    operators against cross-site request forgery.
    """
    origin = exchange.header('origin')
    if origin is None or exchange.method in SAFE_METHODS:
        return True
    place = origin.partition('://')[2]
    return place.lower() == (exchange.header('host') or '').lower()


def refuse_size(exchange: Exchange) -> None:
    detail = f'over {MAX_BODY_BYTES} bytes'
    exchange.respond_problem(Problem(ResultCode.BODY_TOO_LARGE, detail))


def as_bytes(piece: str | bytes) -> bytes:
    return piece.encode() if isinstance(piece, str) else piece
