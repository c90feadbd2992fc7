"""Parses responses of the target with llhttp and strict framing rules."""

from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpResponseParser

from cyclamenlift.http.headers import find_header
from cyclamenlift.http.headers import Headers
from cyclamenlift.http.limits import ClientLimits

FIELD_OVERHEAD = len(': \r\n')
BODILESS_STATUS = (204, 304)
VERSIONS = ('1.1', '1.0')
SWITCHING_PROTOCOLS = 101


class AnswerRefused(Exception):
    """The response violates a framing rule or a limit."""


class AnswerParser:
    """Parses the responses of one connection, one after the other.

    After ``feed``, ``head_ready`` tells whether the final head has been
    parsed, ``chunks`` holds new body bytes, ``complete`` tells whether the
    whole response has been parsed, ``problem`` describes invalid input, and
    ``stray`` tells whether bytes followed a complete response. Call
    ``expect_answer`` before each response.
    """

    __slots__ = (
        'bodiless',
        'call_id',
        'chunks',
        'complete',
        'foreign',
        'head_bytes',
        'head_ready',
        'headers',
        'interim',
        'keep_alive',
        'length',
        'limits',
        'method',
        'parser',
        'problem',
        'progress',
        'quiet_bytes',
        'status',
        'stray',
        'until_close',
    )

    def __init__(self, limits: ClientLimits):
        self.limits = limits
        self.parser = HttpResponseParser(self)
        self.method = ''
        self.call_id = ''
        self.bodiless = False
        self.reset_answer()

    def reset_answer(self) -> None:
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.status = 0
        self.length: int | None = None
        self.head_bytes = 0
        self.quiet_bytes = 0
        self.head_ready = False
        self.interim = False
        self.foreign = False
        self.keep_alive = False
        self.until_close = False
        self.complete = False
        self.progress = False
        self.stray = False
        self.problem = ''

    def expect_answer(self, method: str, call_id: str = '') -> None:
        """Prepare for the response to a request with this method.

        ``call_id`` is the ID that the response must echo, if any.
        """
        self.call_id = call_id
        if self.method == 'HEAD':
            # llhttp would wait for the body that a HEAD response announces.
            self.parser = HttpResponseParser(self)
        self.method = method
        self.reset_answer()

    def feed(self, data: bytes) -> None:
        """Parse input. Never raises; the attributes hold the result."""
        self.progress = False
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            self.fail('the protocol was switched')
        except HttpParserError as error:
            cause = error.__context__
            refused = isinstance(cause, AnswerRefused)
            self.fail(str(cause if refused else error))
        self.count_quiet(len(data))

    def fail(self, detail: str) -> None:
        """Record invalid input; after a complete response it is trailing."""
        if self.complete:
            self.stray = True
        else:
            self.problem = detail

    def count_quiet(self, size: int) -> None:
        """Limit input that completes no head and carries no body bytes."""
        self.quiet_bytes = 0 if self.progress else self.quiet_bytes + size
        if self.quiet_bytes > self.limits.max_header_bytes:
            self.fail('header fields exceed the limit')

    def end_of_input(self) -> bool:
        """Return whether end of file completes the response."""
        return self.head_ready and self.until_close and not self.problem

    # -- callbacks of httptools -------------------------------------------

    def on_message_begin(self) -> None:
        if self.complete:
            raise AnswerRefused('data after the end of the response')
        self.headers = []
        self.head_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        limits = self.limits
        self.head_bytes += len(name) + len(value) + FIELD_OVERHEAD
        if self.head_bytes > limits.max_header_bytes:
            raise AnswerRefused('header fields exceed the limit')
        if self.head_ready:
            # Trailer fields count towards the limit and are dropped.
            return
        field = (
            name.decode('latin-1').lower(),
            value.decode('latin-1').rstrip(' \t'),
        )
        self.headers.append(field)
        if len(self.headers) > limits.max_headers:
            raise AnswerRefused('too many header fields')

    def on_headers_complete(self) -> None:
        self.progress = True
        if self.parser.get_http_version() not in VERSIONS:
            raise AnswerRefused('the HTTP version is not supported')
        self.status = self.parser.get_status_code()
        self.interim = self.status < 200
        if self.interim:
            if self.status == SWITCHING_PROTOCOLS:
                raise AnswerRefused('the protocol was switched')
            return
        self.measure()
        if self.is_foreign():
            self.drop_foreign()
            return
        self.head_ready = True
        if self.method == 'HEAD':
            self.complete = True

    def on_body(self, data: bytes) -> None:
        if self.complete:
            raise AnswerRefused('data after the end of the response')
        self.progress = True
        if not self.foreign:
            self.chunks.append(data)

    def on_message_complete(self) -> None:
        self.progress = True
        if self.foreign:
            self.reset_answer()
        elif not self.interim:
            self.complete = True

    # -- validation of the head -------------------------------------------

    def is_foreign(self) -> bool:
        """Return whether the response echoes the ID of another call.

        A response without an ID is accepted: the target may have failed
        before it parsed the ID.
        """
        field = self.limits.call_id_field
        if not field or not self.call_id:
            return False
        repeated = find_header(self.headers, field)
        return repeated is not None and repeated != self.call_id

    def drop_foreign(self) -> None:
        """Skip a response to another call; the expected one may follow."""
        if self.until_close:
            raise AnswerRefused('it is a response to another call')
        self.foreign = True

    def measure(self) -> None:
        """Determine the body length and how the end is marked."""
        length = None
        chunked = False
        for name, value in self.headers:
            if name == 'content-length':
                length = int(value)
            elif name == 'transfer-encoding':
                if value.lower() != 'chunked':
                    raise AnswerRefused(
                        f'unsupported transfer coding {value!r}'
                    )
                chunked = True
        self.bodiless = self.method == 'HEAD' or (
            self.status in BODILESS_STATUS
        )
        if self.bodiless:
            length = 0
        self.length = length
        self.until_close = length is None and not chunked
        if self.until_close and not self.limits.unsized_answers:
            raise AnswerRefused('it declares no length')
        self.keep_alive = self.parser.should_keep_alive()
