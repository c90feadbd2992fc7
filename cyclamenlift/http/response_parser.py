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


class ResponseRejected(Exception):
    """The response violates a framing rule or a limit."""


class ResponseParser:
    """Parses the responses of one connection, one after the other.

    After ``feed``, ``head_ready`` is set if the final head has been parsed,
    ``chunks`` holds new body bytes, ``complete`` is set if the response has
    been parsed to its end, ``problem`` describes invalid input, and
    ``has_trailing_data`` is set if bytes followed a complete response.
    Call ``expect_response`` before each response.
    """

    __slots__ = (
        'bodiless',
        'call_id',
        'chunks',
        'complete',
        'skipped_bytes',
        'skipping',
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
        'unparsed_bytes',
        'status',
        'has_trailing_data',
        'until_close',
    )

    def __init__(self, limits: ClientLimits):
        self.limits = limits
        self.parser = HttpResponseParser(self)
        self.method = ''
        self.call_id = ''
        self.bodiless = False
        self.skipped_bytes = 0
        self.reset_response()

    def reset_response(self) -> None:
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.status = 0
        self.length: int | None = None
        self.head_bytes = 0
        self.unparsed_bytes = 0
        self.head_ready = False
        self.interim = False
        self.skipping = False
        self.keep_alive = False
        self.until_close = False
        self.complete = False
        self.progress = False
        self.has_trailing_data = False
        self.problem = ''

    def expect_response(self, method: str, call_id: str = '') -> None:
        """Prepare for the response to a request with this method.

        ``call_id`` is the ID that the response must echo, if any.
        """
        self.call_id = call_id
        if self.method == 'HEAD':
            # llhttp would wait for the body that a HEAD response announces.
            self.parser = HttpResponseParser(self)
        self.method = method
        self.skipped_bytes = 0
        self.reset_response()

    def feed(self, data: bytes) -> None:
        """Parse input. Never raises; the attributes hold the result."""
        self.progress = False
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            self.fail('it switched to another protocol')
        except HttpParserError as error:
            cause = error.__context__
            refused = isinstance(cause, ResponseRejected)
            self.fail(str(cause if refused else error))
        self.limit_unparsed(len(data))

    def fail(self, detail: str) -> None:
        """Record invalid input; after a complete response it is trailing."""
        if self.complete:
            self.has_trailing_data = True
        else:
            self.problem = detail

    def limit_unparsed(self, size: int) -> None:
        """Limit input that completes no head and carries no body bytes."""
        self.unparsed_bytes = (
            0 if self.progress else self.unparsed_bytes + size
        )
        if self.unparsed_bytes > self.limits.max_header_bytes:
            self.fail('its header fields are over the limit')

    def completes_at_eof(self) -> bool:
        """Return whether end of file completes the response."""
        return self.head_ready and self.until_close and not self.problem

    # -- callbacks of httptools -------------------------------------------

    def on_message_begin(self) -> None:
        if self.complete:
            raise ResponseRejected('bytes after the answer')
        self.headers = []
        self.head_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        limits = self.limits
        self.head_bytes += len(name) + len(value) + FIELD_OVERHEAD
        if self.head_bytes > limits.max_header_bytes:
            raise ResponseRejected('its header fields are over the limit')
        if self.head_ready:
            # Trailer fields count towards the limit and are dropped.
            return
        field = (
            name.decode('latin-1').lower(),
            value.decode('latin-1').rstrip(' \t'),
        )
        self.headers.append(field)
        if len(self.headers) > limits.max_headers:
            raise ResponseRejected('it has too many header fields')

    def on_headers_complete(self) -> None:
        if self.parser.get_http_version() not in VERSIONS:
            raise ResponseRejected('its HTTP version is not spoken here')
        self.status = self.parser.get_status_code()
        self.interim = self.status < 200
        if self.interim:
            if self.status == SWITCHING_PROTOCOLS:
                raise ResponseRejected('it switched to another protocol')
            # Interim heads count as input that completes no head.
            return
        self.progress = True
        self.determine_framing()
        if self.is_for_other_call():
            self.skip_response()
            return
        self.head_ready = True
        if self.method == 'HEAD':
            self.complete = True

    def on_body(self, data: bytes) -> None:
        if self.complete:
            raise ResponseRejected('bytes after the answer')
        self.progress = True
        if self.skipping:
            self.count_skipped(len(data))
        else:
            self.chunks.append(data)

    def on_message_complete(self) -> None:
        if self.interim:
            return
        self.progress = True
        if self.skipping:
            self.reset_response()
        else:
            self.complete = True

    # -- validation of the head -------------------------------------------

    def is_for_other_call(self) -> bool:
        """Return whether the response echoes the ID of another call.

        A response without an ID is accepted: the target may have failed
        before it parsed the ID.
        """
        field = self.limits.call_id_field
        if not field or not self.call_id:
            return False
        repeated = find_header(self.headers, field)
        return repeated is not None and repeated != self.call_id

    def skip_response(self) -> None:
        """Skip a response to another call; the expected one may follow."""
        if self.until_close:
            raise ResponseRejected('it answers another call')
        self.skipping = True
        self.count_skipped(self.head_bytes)

    def count_skipped(self, size: int) -> None:
        """Limit what is skipped before the expected response."""
        self.skipped_bytes += size
        if self.skipped_bytes > self.limits.max_skipped_bytes:
            raise ResponseRejected('it answers other calls without an end')

    def determine_framing(self) -> None:
        """Determine the body length and how the end is marked."""
        length = None
        chunked = False
        for name, value in self.headers:
            if name == 'content-length':
                length = int(value)
            elif name == 'transfer-encoding':
                if value.lower() != 'chunked':
                    raise ResponseRejected(f'its transfer coding is {value!r}')
                chunked = True
        self.bodiless = self.method == 'HEAD' or (
            self.status in BODILESS_STATUS
        )
        if self.bodiless:
            length = 0
        self.length = length
        self.until_close = length is None and not chunked
        if self.until_close and not self.limits.unsized_answers:
            raise ResponseRejected('it states no length')
        self.keep_alive = self.parser.should_keep_alive()
