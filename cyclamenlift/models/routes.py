"""Border models of routes: which request goes to which service.

A document with routes sends a request by its ``Host`` and path. Without
routes the ``Host`` names the service itself.
"""

from typing import Literal

import pydantic

# An objective this far above the timeout can only be a slip of units.
MOST_OBJECTIVE_EXCESS_MS = 60_000
HOST_PATTERN = r'^[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?$'
MOST_MILLISECONDS = 3_600_000

Repetition = Literal['idempotent', 'once_per_attempt']


class StrictModel(pydantic.BaseModel):
    """A model that refuses fields it does not know."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ShareModel(StrictModel):
    """The part of a route's requests that one service gets."""

    service: str = pydantic.Field(description='name of the service')
    weight: int = pydantic.Field(
        1, ge=0, le=1_000_000, description='part of the sum of all weights'
    )


class RouteModel(StrictModel):
    """Requests of one host whose path begins with a prefix.

    Of several routes that fit, the one with the longest prefix counts.
    """

    name: str = pydantic.Field(
        min_length=1, max_length=128, description='name of the route'
    )
    host: str = pydantic.Field(
        pattern=HOST_PATTERN, description='the Host header, without a port'
    )
    path_prefix: str = pydantic.Field(
        max_length=2048, description='begins and ends with a slash'
    )
    shares: tuple[ShareModel, ...] = pydantic.Field(
        min_length=1, max_length=64, description='services and their weights'
    )
    repetition: Repetition = pydantic.Field(
        'once_per_attempt',
        description='whether a request may run more than once',
    )
    timeout_ms: float = pydantic.Field(
        2_000, gt=0, le=MOST_MILLISECONDS, description='longest wait'
    )
    objective_ms: float = pydantic.Field(
        1_000, gt=0, description='an answer within it is in time'
    )
    max_tries: int = pydantic.Field(
        2, ge=1, le=100, description='most targets that one request is sent to'
    )
    rank: int = pydantic.Field(
        0, ge=0, le=1_000, description='0 is the most urgent'
    )

    @pydantic.field_validator('path_prefix')
    @classmethod
    def check_prefix(cls, value: str) -> str:
        if not (value.startswith('/') and value.endswith('/')):
            raise ValueError('a prefix begins and ends with a slash')
        return value

    @pydantic.model_validator(mode='after')
    def check_whole(self) -> 'RouteModel':
        if not sum(share.weight for share in self.shares):
            raise ValueError('the weights add up to 0')
        if self.objective_ms - self.timeout_ms >= MOST_OBJECTIVE_EXCESS_MS:
            raise ValueError('objective_ms is far above timeout_ms')
        return self


class CallerLimitsModel(StrictModel):
    """What one caller's connection may send, and how long it may take."""

    max_header_bytes: int = pydantic.Field(
        16 * 1024, ge=256, le=1024**2, description='limit of all headers'
    )
    max_body_bytes: int = pydantic.Field(
        64 * 1024**2, ge=0, le=4 * 1024**3, description='largest body'
    )
    head_ms: float = pydantic.Field(
        10_000, gt=0, le=600_000, description='time for a head to arrive'
    )
    idle_ms: float = pydantic.Field(
        60_000, gt=0, le=MOST_MILLISECONDS, description='time to stay idle'
    )
