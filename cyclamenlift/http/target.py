"""What a caller of the target client hands over and gets back."""

import dataclasses
import enum
from typing import Protocol

from cyclamenlift.http.headers import FRAMING
from cyclamenlift.http.headers import HeaderError
from cyclamenlift.http.headers import Headers
from cyclamenlift.http.headers import render_head

DROPPED = FRAMING | {'expect'}


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request to the target; ``body_length`` None means chunked.

    ``call_id`` is the name that the answer must repeat, if not empty.
    ``repeatable`` False asks for a connection that was used a moment ago
    or a new one: on an old one the target may just have hung up, and then
    nobody knows whether it ran.
    """

    method: str
    path: str
    headers: Headers
    body_length: int | None = 0
    call_id: str = ''
    repeatable: bool = True

    def head(self) -> bytes:
        """Return the head; raise HeaderError if it could forge another.

        >>> TargetRequest('GET', '/', [('host', 'a')]).head()
        b'GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n'
        """
        if not self.method.isalpha() or ' ' in self.path or not self.path:
            raise HeaderError('the request line is malformed')
        fields = [field for field in self.headers if field[0] not in DROPPED]
        if self.body_length is None:
            fields.append(('transfer-encoding', 'chunked'))
        elif self.body_length or self.method not in ('GET', 'HEAD'):
            fields.append(('content-length', str(self.body_length)))
        return render_head(f'{self.method} {self.path} HTTP/1.1', fields)


class FailureKind(enum.Enum):
    """What became of the connection of a request without an answer.

    ``REFUSED``: nobody listens at the address. ``CLOSED``: the connection
    was there and was closed or reset. ``OTHER``: it was too slow to come, or
    what came on it was no answer.
    """

    REFUSED = 'refused'
    CLOSED = 'closed'
    OTHER = 'other'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFailure:
    """Why there is no whole answer.

    ``sent`` False proves that no byte of the request reached the target.
    """

    sent: bool
    detail: str
    kind: FailureKind = FailureKind.OTHER


class TargetListener(Protocol):
    """Receives one answer of the target.

    Either ``on_end`` or ``on_failure`` comes last, exactly once, unless
    the call is cancelled: then nothing comes any more.
    """

    def on_head(
        self, status: int, headers: Headers, length: int | None
    ) -> None:
        """Take status and header fields; ``length`` None: not known."""

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""

    def on_end(self) -> None:
        """Take note that the answer was whole."""

    def on_drained(self) -> None:
        """Take note that the kernel has taken all of the request so far."""

    def on_failure(self, failure: TargetFailure) -> None:
        """Take note that no whole answer comes."""
