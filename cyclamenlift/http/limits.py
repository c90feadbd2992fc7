"""Limits of the HTTP border, for callers and for the target."""

import dataclasses

KIBIBYTE = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """What one caller may take up; sizes in bytes, times in seconds.

    ``max_header_bytes`` counts the request target and all header fields.
    ``max_connections`` of 0 means no limit. ``linger_seconds`` is how long
    the input of a closing connection is still read, so that a reset does
    not destroy the answer on its way. ``max_pipelined`` is how many safe
    requests of one connection are worked on at once; their answers still
    go out in the order of the requests.
    """

    max_header_bytes: int = 16 * KIBIBYTE
    max_headers: int = 100
    max_body_bytes: int = 4 * KIBIBYTE**3
    head_seconds: float = 10.0
    body_seconds: float = 300.0
    idle_seconds: float = 60.0
    send_seconds: float = 60.0
    linger_seconds: float = 2.0
    drain_grace_seconds: float = 1.0
    max_connections: int = 0
    max_pipelined: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """How a target is connected to; sizes in bytes, times in seconds.

    ``unsized_answers`` admits answers that end with the connection: a cut
    one can't be told from a whole one, so they are refused by default.
    ``call_id_field`` is the header in which the target repeats the name of
    a call; an answer to another name is dropped. ``idle_seconds`` is how
    long a connection is used again when the target states no time, and
    ``idle_margin_seconds`` what is taken off a time that it states, for a
    request on its way. ``fresh_seconds`` bounds the idle time before a
    request that may not run twice.
    """

    max_connections: int = 260
    warm_connections: int = 8
    connect_seconds: float = 1.0
    rewarm_seconds: float = 0.5
    max_header_bytes: int = 64 * KIBIBYTE
    max_headers: int = 200
    unsized_answers: bool = False
    call_id_field: str = ''
    idle_seconds: float = 60.0
    idle_margin_seconds: float = 1.0
    fresh_seconds: float = 0.5
