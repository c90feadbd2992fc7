"""Validation models of routes, which map requests to services.

A document with routes selects the service by ``Host`` header and path. In a
document without routes the ``Host`` header names the service directly.
"""

from typing import Literal

import pydantic

# An objective this far above the timeout is most likely a wrong unit.
MAX_OBJECTIVE_EXCESS_MS = 60_000
HOST_PATTERN = r'^[A-Za-z0-9]([A-Za-z0-9.-]{0,251}[A-Za-z0-9])?$'
MAX_MILLISECONDS = 3_600_000

Repetition = Literal['idempotent', 'once_per_attempt']


class StrictModel(pydantic.BaseModel):
    """Immutable model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ShareModel(StrictModel):
    """The share of a route's requests that is sent to one service."""

    service: str = pydantic.Field(description='name of the service')
    weight: int = pydantic.Field(
        1,
        ge=0,
        le=1_000_000,
        description='weight relative to the sum of all weights',
    )


class RouteModel(StrictModel):
    """Matches requests of one host whose path begins with a prefix.

    Of several matching routes, the one with the longest prefix applies.
    """

    name: str = pydantic.Field(
        min_length=1, max_length=128, description='name of the route'
    )
    host: str = pydantic.Field(
        pattern=HOST_PATTERN,
        description='value of the Host header without a port',
    )
    path_prefix: str = pydantic.Field(
        max_length=2048,
        description='path prefix; must begin and end with a slash',
    )
    shares: tuple[ShareModel, ...] = pydantic.Field(
        min_length=1, max_length=64, description='services and their weights'
    )
    repetition: Repetition = pydantic.Field(
        'once_per_attempt',
        description='whether a request may run more than once',
    )
    timeout_ms: float = pydantic.Field(
        2_000, gt=0, le=MAX_MILLISECONDS, description='timeout of a request'
    )
    objective_ms: float = pydantic.Field(
        1_000,
        gt=0,
        description='an answer within this time meets the objective',
    )
    max_tries: int = pydantic.Field(
        2,
        ge=1,
        le=100,
        description='maximum number of targets tried for one request',
    )
    rank: int = pydantic.Field(
        0, ge=0, le=1_000, description='priority; 0 is the most urgent'
    )
    open_to_all: bool = pydantic.Field(
        False,
        description='whether requests need no key of a client account',
    )

    @pydantic.field_validator('path_prefix')
    @classmethod
    def check_prefix(cls, value: str) -> str:
        if not (value.startswith('/') and value.endswith('/')):
            raise ValueError('a prefix begins and ends with a slash')
        return value

    @pydantic.model_validator(mode='after')
    def check_consistency(self) -> 'RouteModel':
        if not sum(share.weight for share in self.shares):
            raise ValueError('the weights add up to 0')
        if self.objective_ms - self.timeout_ms >= MAX_OBJECTIVE_EXCESS_MS:
            raise ValueError('objective_ms is far above timeout_ms')
        return self


class CallerLimitsModel(StrictModel):
    """Size and time limits for the connections of callers."""

    max_header_bytes: int = pydantic.Field(
        16 * 1024,
        ge=256,
        le=1024**2,
        description='maximum total size of the headers',
    )
    max_body_bytes: int = pydantic.Field(
        64 * 1024**2, ge=0, le=4 * 1024**3, description='maximum body size'
    )
    head_ms: float = pydantic.Field(
        10_000,
        gt=0,
        le=600_000,
        description='timeout for receiving a request head',
    )
    idle_ms: float = pydantic.Field(
        60_000,
        gt=0,
        le=MAX_MILLISECONDS,
        description='timeout of an idle connection',
    )
