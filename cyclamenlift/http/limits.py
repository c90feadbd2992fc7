"""Limits of the HTTP server and client."""

import dataclasses

KIBIBYTE = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits for callers; sizes in bytes, times in seconds.

    ``max_header_bytes`` covers the request target and all header fields.
    ``max_connections`` of 0 means no limit. ``linger_seconds`` is how long
    the input of a closing connection is still read, so that a reset doesn't
    destroy a response in transit. ``max_pipelined`` is how many safe
    requests of one connection are processed in parallel; their responses
    are sent in the order of the requests.
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
    """Limits for target connections; sizes in bytes, times in seconds.

    ``unsized_answers`` accepts responses that end with the connection; by
    default they are rejected, since truncation can't be detected.
    ``call_id_field`` is the header in which the target echoes the call ID;
    a response with another ID is skipped, of all such responses
    ``max_skipped_bytes`` at most. ``idle_seconds`` is how long an
    idle connection is reused when the target declares no timeout, and
    ``idle_margin_seconds`` is subtracted from a declared one to allow for a
    request in transit. ``fresh_seconds`` limits the idle time of a
    connection used for a request that must not run twice.
    """

    max_connections: int = 260
    warm_connections: int = 8
    connect_seconds: float = 1.0
    rewarm_seconds: float = 0.5
    max_header_bytes: int = 64 * KIBIBYTE
    max_headers: int = 200
    max_skipped_bytes: int = 8 * KIBIBYTE**2
    unsized_answers: bool = False
    call_id_field: str = ''
    idle_seconds: float = 60.0
    idle_margin_seconds: float = 1.0
    fresh_seconds: float = 0.5
