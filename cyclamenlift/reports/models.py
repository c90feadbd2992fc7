"""Border models of the figures that a daemon gives at ``/burn``."""

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
    """A model whose values stay as they were read."""

    model_config = pydantic.ConfigDict(frozen=True)


class ObjectiveFigures(FrozenModel):
    """Share of calls that are to be answered within ``seconds``."""

    seconds: Annotated[float, pydantic.Field(gt=0)]
    share: Annotated[float, pydantic.Field(gt=0, lt=1)]


class ServiceFigures(FrozenModel):
    """Calls of one service; ``minutes`` are (total, good), newest first."""

    total: Count
    good: Count
    minutes: Annotated[
        tuple[tuple[Count, Count], ...], pydantic.Field(max_length=BUCKETS)
    ]
    p50_us: Count = 0
    p99_us: Count = 0


class BurnSnapshot(FrozenModel):
    """The figures of one daemon."""

    instance: str
    data_centre: str
    event: str
    version: int
    objectives: dict[str, ObjectiveFigures]
    services: dict[str, ServiceFigures]


def read_snapshot(value: object) -> Result[BurnSnapshot, Problem]:
    """Return the snapshot in a decoded JSON value."""
    try:
        return Success(BurnSnapshot.model_validate(value))
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = '.'.join(str(part) for part in first['loc'])
        return Failure(
            Problem(ResultCode.DOCUMENT_UNREADABLE, first['msg'], where)
        )
