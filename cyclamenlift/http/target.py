"""Request, failure and listener types of the target client."""

import dataclasses
import enum
import re
from typing import Protocol

from cyclamenlift.http.headers import FRAMING
from cyclamenlift.http.headers import HeaderError
from cyclamenlift.http.headers import Headers
from cyclamenlift.http.headers import render_head

# A method is a token (RFC 9110, section 5.6.2).
METHOD_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
REPLACED_FIELDS = FRAMING | {'expect'}


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request to the target; ``body_length`` None means chunked.

    ``call_id`` is the ID that the response must echo, if not empty.
    ``repeatable`` False requires a new or recently used connection: the
    target may just be closing one that was idle for longer, which would
    leave it unknown whether the request ran.
    """

    method: str
    path: str
    headers: Headers
    body_length: int | None = 0
    call_id: str = ''
    repeatable: bool = True

    def head(self) -> bytes:
        """Return the head; raise HeaderError on request injection.

        >>> TargetRequest('GET', '/', [('host', 'a')]).head()
        b'GET / HTTP/1.1\\r\\nhost: a\\r\\n\\r\\n'
        """
        if METHOD_PATTERN.fullmatch(self.method) is None:
            raise HeaderError('the method is no token')
        if ' ' in self.path or not self.path:
            raise HeaderError('the request line is malformed')
        fields = [
            field for field in self.headers if field[0] not in REPLACED_FIELDS
        ]
        if self.body_length is None:
            fields.append(('transfer-encoding', 'chunked'))
        elif self.body_length or self.method not in ('GET', 'HEAD'):
            fields.append(('content-length', str(self.body_length)))
        return render_head(f'{self.method} {self.path} HTTP/1.1', fields)


class FailureKind(enum.Enum):
    """Why a request got no response.

    ``REFUSED``: the address refuses connections. ``CLOSED``: an established
    connection was closed or reset. ``OTHER``: connecting timed out or the
    response was invalid.
    """

    REFUSED = 'refused'
    CLOSED = 'closed'
    OTHER = 'other'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFailure:
    """Why a request got no complete response.

    ``sent`` False proves that no byte of the request reached the target.
    """

    sent: bool
    detail: str
    kind: FailureKind = FailureKind.OTHER


class TargetListener(Protocol):
    """Receives one response of the target.

    Either ``on_end`` or ``on_failure`` is called last, exactly once. No
    callback follows the cancellation of the call.
    """

    def on_head(
        self, status: int, headers: Headers, length: int | None
    ) -> None:
        """Receive status and header fields; ``length`` None: unknown."""

    def on_body(self, data: bytes) -> None:
        """Receive a piece of the body."""

    def on_end(self) -> None:
        """Called when the response is complete."""

    def on_drained(self) -> None:
        """Called when the pending request data was written to the kernel."""

    def on_failure(self, failure: TargetFailure) -> None:
        """Called when there is no complete response."""
