"""Answers of the target from bytes: strict framing by llhttp."""

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
    """The answer breaks a rule."""


class AnswerParser:
    """Reads the answers of one connection, one after the other.

    After ``feed``: ``head_ready`` once the final head is in, ``chunks``
    with new body bytes, ``complete`` once the answer is whole, ``problem``
    when its bytes are wrong, ``stray`` when bytes followed a whole answer.
    ``expect_answer`` must precede each answer.
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
        """Prepare for the answer to a request with this method.

        ``call_id`` is the name that the answer must repeat, if any.
        """
        self.call_id = call_id
        if self.method == 'HEAD':
            # The library waits for the body that a HEAD answer announces.
            self.parser = HttpResponseParser(self)
        self.method = method
        self.reset_answer()

    def feed(self, data: bytes) -> None:
        """Parse input; never raises, see the attributes."""
        self.progress = False
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            self.fail('it switched to another protocol')
        except HttpParserError as error:
            cause = error.__context__
            refused = isinstance(cause, AnswerRefused)
            self.fail(str(cause if refused else error))
        self.count_quiet(len(data))

    def fail(self, detail: str) -> None:
        """Note wrong bytes; after a whole answer they are stray ones."""
        if self.complete:
            self.stray = True
        else:
            self.problem = detail

    def count_quiet(self, size: int) -> None:
        """Bound bytes that are neither a whole head nor body bytes."""
        self.quiet_bytes = 0 if self.progress else self.quiet_bytes + size
        if self.quiet_bytes > self.limits.max_header_bytes:
            self.fail('its header fields are over the limit')

    def end_of_input(self) -> bool:
        """Tell whether the end of the connection makes the answer whole."""
        return self.head_ready and self.until_close and not self.problem

    # -- callbacks of the parser library ----------------------------------

    def on_message_begin(self) -> None:
        if self.complete:
            raise AnswerRefused('bytes after the answer')
        self.headers = []
        self.head_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        limits = self.limits
        self.head_bytes += len(name) + len(value) + FIELD_OVERHEAD
        if self.head_bytes > limits.max_header_bytes:
            raise AnswerRefused('its header fields are over the limit')
        if self.head_ready:
            # A trailer field: counted, then dropped.
            return
        field = (
            name.decode('latin-1').lower(),
            value.decode('latin-1').rstrip(' \t'),
        )
        self.headers.append(field)
        if len(self.headers) > limits.max_headers:
            raise AnswerRefused('it has too many header fields')

    def on_headers_complete(self) -> None:
        self.progress = True
        if self.parser.get_http_version() not in VERSIONS:
            raise AnswerRefused('its HTTP version is not spoken here')
        self.status = self.parser.get_status_code()
        self.interim = self.status < 200
        if self.interim:
            if self.status == SWITCHING_PROTOCOLS:
                raise AnswerRefused('it switched to another protocol')
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
            raise AnswerRefused('bytes after the answer')
        self.progress = True
        if not self.foreign:
            self.chunks.append(data)

    def on_message_complete(self) -> None:
        self.progress = True
        if self.foreign:
            self.reset_answer()
        elif not self.interim:
            self.complete = True

    # -- rules of a head --------------------------------------------------

    def is_foreign(self) -> bool:
        """Tell whether the answer repeats the name of another call.

        An answer without any name is taken: the target may have failed
        before it read one.
        """
        field = self.limits.call_id_field
        if not field or not self.call_id:
            return False
        repeated = find_header(self.headers, field)
        return repeated is not None and repeated != self.call_id

    def drop_foreign(self) -> None:
        """Read over an answer to another call; ours may follow it."""
        if self.until_close:
            raise AnswerRefused('it answers another call')
        self.foreign = True

    def measure(self) -> None:
        """Find how long the body is and how the answer ends."""
        length = None
        chunked = False
        for name, value in self.headers:
            if name == 'content-length':
                length = int(value)
            elif name == 'transfer-encoding':
                if value.lower() != 'chunked':
                    raise AnswerRefused(f'its transfer coding is {value!r}')
                chunked = True
        self.bodiless = self.method == 'HEAD' or (
            self.status in BODILESS_STATUS
        )
        if self.bodiless:
            length = 0
        self.length = length
        self.until_close = length is None and not chunked
        if self.until_close and not self.limits.unsized_answers:
            raise AnswerRefused('it states no length')
        self.keep_alive = self.parser.should_keep_alive()
