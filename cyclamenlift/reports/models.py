"""Validation models of the JSON that a daemon serves at ``/burn``."""

from typing import Annotated

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.reports.state import BUCKETS

Count = Annotated[int, pydantic.Field(ge=0)]


class FrozenModel(pydantic.BaseModel):
    """Base class of immutable models."""

    model_config = pydantic.ConfigDict(frozen=True)


class ObjectiveFigures(FrozenModel):
    """Objective of a service: ``share`` of its calls within ``seconds``."""

    seconds: Annotated[float, pydantic.Field(gt=0)]
    share: Annotated[float, pydantic.Field(gt=0, lt=1)]


class ServiceFigures(FrozenModel):
    """Calls of one service.

    ``minutes`` holds a (total, good) pair for each minute, newest first.
    """

    total: Count
    good: Count
    minutes: Annotated[
        tuple[tuple[Count, Count], ...], pydantic.Field(max_length=BUCKETS)
    ]
    p50_us: Count = 0
    p99_us: Count = 0


class BurnSnapshot(FrozenModel):
    """Objectives and call counts of one daemon."""

    instance: str
    data_centre: str
    event: str
    version: int
    objectives: dict[str, ObjectiveFigures]
    services: dict[str, ServiceFigures]


def read_snapshot(value: object) -> Result[BurnSnapshot, Problem]:
    """Validate a decoded JSON value as a snapshot."""
    try:
        return Success(BurnSnapshot.model_validate(value))
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        path = '.'.join(str(part) for part in first['loc'])
        return Failure(
            Problem(ResultCode.DOCUMENT_UNREADABLE, first['msg'], path)
        )
