"""Parses requests with llhttp, strict framing rules and size limits.

llhttp rejects invalid lengths, bare line feeds, folded lines and control
characters. This module also validates the version, the ``Host`` field,
transfer codings, the request target, ``Expect`` and sizes.
"""

from collections import deque
import dataclasses
import re

from httptools import HttpParserError
from httptools import HttpParserInvalidMethodError
from httptools import HttpParserUpgrade
from httptools import HttpRequestParser

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.http.headers import Headers
from cyclamenlift.http.limits import HttpLimits

HOST_PATTERN = re.compile(r'[A-Za-z0-9._~:\[\]-]*')
REQUEST_LINE_PATTERN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ \S+ HTTP/1")
FIELD_OVERHEAD = len(': \r\n')
VERSIONS = {'1.1': 1, '1.0': 0}


class RequestRejected(Exception):
    """The request violates a framing rule or a limit."""

    def __init__(self, code: ResultCode, detail: str):
        super().__init__(detail)
        self.problem = Problem(code, detail)


@dataclasses.dataclass(slots=True)
class IncomingRequest:
    """A request whose head is parsed; its body may be incomplete.

    ``body_length`` is None for a chunked body. ``chunks`` holds received
    body data that has not been delivered yet.
    """

    method: str
    path: str
    headers: Headers
    body_length: int | None
    minor_version: int
    keep_alive: bool
    expects_continue: bool
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    body_bytes: int = 0
    complete: bool = False


class RequestParser:
    """Splits the byte stream of one connection into requests.

    ``queue`` holds the requests not yet processed. ``problem`` is the error
    that ended parsing; later input of the connection is unreliable.
    """

    __slots__ = (
        'current',
        'head_bytes',
        'headers',
        'in_head',
        'limits',
        'parser',
        'problem',
        'progress',
        'queue',
        'unparsed_bytes',
        'stopped',
        'target',
    )

    def __init__(self, limits: HttpLimits):
        self.limits = limits
        self.parser = HttpRequestParser(self)
        self.queue: deque[IncomingRequest] = deque()
        self.problem: Problem | None = None
        self.current: IncomingRequest | None = None
        self.headers: Headers = []
        self.target = b''
        self.head_bytes = 0
        self.unparsed_bytes = 0
        self.in_head = False
        self.progress = False
        self.stopped = False

    def feed(self, data: bytes) -> None:
        """Parse input. Never raises; sets ``queue`` and ``problem``."""
        if self.stopped:
            return
        self.progress = False
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            self.stopped = True
        except HttpParserError as error:
            self.stop_on_error(error, data)
        self.limit_unparsed(len(data))

    def stop_on_error(self, error: HttpParserError, data: bytes) -> None:
        """Record a parser error unless parsing has already stopped."""
        if self.stopped:
            return
        self.stopped = True
        cause = error.__context__
        if isinstance(cause, RequestRejected):
            self.problem = cause.problem
        elif is_unknown_method(error, data):
            self.problem = Problem(ResultCode.METHOD_UNKNOWN, str(error))
        else:
            self.problem = Problem(ResultCode.BAD_FRAMING, str(error))

    def limit_unparsed(self, size: int) -> None:
        """Limit input that completes no head and carries no body bytes.

        llhttp buffers an unfinished line without a limit.
        """
        if self.progress or self.stopped:
            self.unparsed_bytes = 0
            return
        self.unparsed_bytes += size
        if self.unparsed_bytes > self.limits.max_header_bytes:
            self.stopped = True
            self.problem = Problem(
                ResultCode.HEADERS_TOO_LARGE,
                f'over {self.limits.max_header_bytes} bytes',
            )

    # -- callbacks of httptools -------------------------------------------

    def on_message_begin(self) -> None:
        self.in_head = True
        self.headers = []
        self.target = b''
        self.head_bytes = 0

    def on_url(self, piece: bytes) -> None:
        self.target += piece

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head_bytes += len(name) + len(value) + FIELD_OVERHEAD
        limits = self.limits
        if self.head_bytes + len(self.target) > limits.max_header_bytes:
            raise RequestRejected(
                ResultCode.HEADERS_TOO_LARGE,
                f'over {limits.max_header_bytes} bytes',
            )
        if not self.in_head:
            # Trailer fields count towards the limit and are dropped.
            return
        field = (
            name.decode('latin-1').lower(),
            value.decode('latin-1').rstrip(' \t'),
        )
        self.headers.append(field)
        if len(self.headers) > limits.max_headers:
            raise RequestRejected(
                ResultCode.HEADERS_TOO_LARGE,
                f'over {limits.max_headers} header fields',
            )

    def on_headers_complete(self) -> None:
        self.in_head = False
        self.progress = True
        self.current = self.build_request()
        self.queue.append(self.current)

    def on_body(self, data: bytes) -> None:
        self.progress = True
        request = self.current
        request.body_bytes += len(data)
        if request.body_bytes > self.limits.max_body_bytes:
            raise RequestRejected(
                ResultCode.BODY_TOO_LARGE,
                f'over {self.limits.max_body_bytes} bytes',
            )
        request.chunks.append(data)

    def on_message_complete(self) -> None:
        self.progress = True
        request = self.current
        request.complete = True
        self.head_bytes = 0
        if not request.keep_alive:
            # Ignore anything after the last request of the connection.
            self.stopped = True

    # -- validation of the head -------------------------------------------

    def build_request(self) -> IncomingRequest:
        """Validate the head; raise RequestRejected if it is invalid."""
        version = self.parser.get_http_version()
        minor = VERSIONS.get(version)
        if minor is None:
            reject(f'HTTP version {version} is not spoken here')
        method = self.parser.get_method().decode('ascii')
        fields = self.fields_by_name()
        host = fields.get('host')
        check_host(host, minor)
        length = self.body_length(fields, minor)
        upgrade = self.parser.should_upgrade()
        if upgrade and (method == 'CONNECT' or length != 0):
            # llhttp would treat the body as data of another protocol.
            reject('no other protocol is spoken here')
        return IncomingRequest(
            method,
            request_path(self.target.decode('latin-1'), method, host),
            self.headers,
            length,
            minor,
            self.parser.should_keep_alive() and not upgrade,
            expects_continue(fields, minor),
        )

    def fields_by_name(self) -> dict[str, str]:
        """Return the fields by name; reject a duplicate ``Host``."""
        fields = {}
        for name, value in self.headers:
            if name == 'host' and name in fields:
                reject('more than one Host field')
            fields[name] = value
        return fields

    def body_length(self, fields: dict[str, str], minor: int) -> int | None:
        """Return the body length, None for a chunked body."""
        coding = fields.get('transfer-encoding')
        if coding is not None:
            if coding.lower() != 'chunked' or not minor:
                reject(f'transfer coding {coding!r} is not spoken here')
            return None
        length = int(fields.get('content-length', '0'))
        if length > self.limits.max_body_bytes:
            raise RequestRejected(
                ResultCode.BODY_TOO_LARGE,
                f'{length} bytes, over {self.limits.max_body_bytes}',
            )
        return length


def is_unknown_method(error: HttpParserError, data: bytes) -> bool:
    """Return whether a request line failed for a method that is a token.

    llhttp knows the methods that are registered, and has the same error for
    bytes that are no request. A token that came in pieces counts as such.
    """
    if not isinstance(error, HttpParserInvalidMethodError):
        return False
    return REQUEST_LINE_PATTERN.match(data) is not None


def reject(detail: str) -> None:
    """Raise RequestRejected for invalid framing."""
    raise RequestRejected(ResultCode.BAD_FRAMING, detail)


def check_host(host: str | None, minor: int) -> None:
    """Reject a missing or malformed ``Host``."""
    if host is None:
        if minor:
            reject('no Host field')
        return
    if HOST_PATTERN.fullmatch(host) is None:
        reject('the Host field is malformed')


def request_path(target: str, method: str, host: str | None) -> str:
    """Return the path and query of a request target.

    The absolute form is accepted if its authority equals ``Host``.

    >>> request_path('/a?b=c', 'GET', 'h')
    '/a?b=c'
    >>> request_path('http://h/a', 'GET', 'h')
    '/a'
    """
    if '#' in target:
        reject('a fragment in the request target')
    if target.startswith('/') or (target == '*' and method == 'OPTIONS'):
        return target
    scheme, mark, rest = target.partition('://')
    authority, slash, path = rest.partition('/')
    if not mark or scheme.lower() != 'http':
        reject('the request target is malformed')
    if authority.lower() != (host or '').lower():
        reject('the request target names another host')
    return '/' + path


def expects_continue(fields: dict[str, str], minor: int) -> bool:
    """Return whether the caller waits for 100; reject other values."""
    expectation = fields.get('expect')
    if expectation is None:
        return False
    if expectation.lower() != '100-continue':
        raise RequestRejected(
            ResultCode.EXPECTATION_FAILED, f'Expect: {expectation[:100]}'
        )
    return minor == 1
