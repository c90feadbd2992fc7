"""Border models of the event document.

An operator writes one document for one event: which services take part,
which targets may carry them, how much waiting and repetition callers
tolerate. Units stand in the field names.
"""

import datetime
import json
import re
from typing import Annotated
from typing import Literal

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import yaml

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem

MAX_DOCUMENT_BYTES = 1024 * 1024
NAME_PATTERN = r'^[a-z0-9][a-z0-9.-]{0,62}$'
METHOD_PATTERN = r'^[A-Z]{3,10}$'

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]


class StrictModel(pydantic.BaseModel):
    """A model that refuses fields it does not know."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class OperationModel(StrictModel):
    """One kind of call of a service, matched by method and path.

    ``path`` is a prefix that ends in ``*`` or a whole path. A call that
    matches no operation counts as idempotent for GET, HEAD and OPTIONS
    only.
    """

    method: Annotated[str, pydantic.Field(pattern=METHOD_PATTERN)]
    path: str = '/*'
    idempotent: bool = False

    @pydantic.field_validator('path')
    @classmethod
    def check_path(cls, value: str) -> str:
        if not value.startswith('/'):
            raise ValueError('a path starts with /')
        if '*' in value[:-1]:
            raise ValueError('* may only stand at the end of a path')
        return value


class ObjectiveModel(StrictModel):
    """Service-level objective: a share of calls answered within a time."""

    latency_ms: Annotated[float, pydantic.Field(gt=0, le=600_000)] = 100.0
    percent: Annotated[float, pydantic.Field(gt=0, lt=100)] = 99.9


class ServiceModel(StrictModel):
    """One service of the event."""

    name: Name
    targets: Annotated[tuple[str, ...], pydantic.Field(min_length=1)] = ('*',)
    data_centres: tuple[Name, ...] = ()
    deadline_ms: Annotated[int, pydantic.Field(ge=1, le=3_600_000)] = 2_000
    upload_deadline_ms: Annotated[int, pydantic.Field(ge=1, le=3_600_000)] = (
        300_000
    )
    policy: Literal[
        'hot_cold',
        'random',
        'round_robin',
        'least_calls',
        'power_of_two',
    ] = 'hot_cold'
    max_tries: Annotated[int, pydantic.Field(ge=1, le=10)] = 3
    retry_budget_percent: Annotated[float, pydantic.Field(ge=0, le=100)] = 10.0
    hedge: bool = True
    queue_limit: Annotated[int, pydantic.Field(ge=0, le=10_000)] = 16
    probe_budget_per_second: Annotated[
        float, pydantic.Field(ge=0, le=100_000)
    ] = 20.0
    ejection_percent: Annotated[int, pydantic.Field(ge=0, le=100)] = 30
    slow_start_ms: Annotated[int, pydantic.Field(ge=0, le=600_000)] = 5_000
    max_body_bytes: Annotated[int, pydantic.Field(ge=0, le=4 * 1024**3)] = (
        64 * 1024**2
    )
    whole_answer_bytes: Annotated[
        int, pydantic.Field(ge=0, le=64 * 1024**2)
    ] = 256 * 1024
    operations: tuple[OperationModel, ...] = ()
    objective: ObjectiveModel = ObjectiveModel()


class EventDocument(StrictModel):
    """The whole configuration: one event with its services."""

    event: Name
    starts_at: datetime.datetime
    ends_at: datetime.datetime
    services: Annotated[
        tuple[ServiceModel, ...], pydantic.Field(min_length=1, max_length=500)
    ]

    @pydantic.field_validator('starts_at', 'ends_at')
    @classmethod
    def check_zone(cls, value: datetime.datetime) -> datetime.datetime:
        if value.tzinfo is None:
            raise ValueError('give a time with its offset, such as +03:00')
        return value

    @pydantic.model_validator(mode='after')
    def check_whole(self) -> 'EventDocument':
        if self.ends_at <= self.starts_at:
            raise ValueError('ends_at must come after starts_at')
        names = [service.name for service in self.services]
        twice = sorted({name for name in names if names.count(name) > 1})
        if twice:
            raise ValueError(f'service named twice: {", ".join(twice)}')
        return self


def document_from_text(text: str) -> Result[EventDocument, list[Problem]]:
    """Read YAML or JSON; return every problem with its field's path."""
    if len(text) > MAX_DOCUMENT_BYTES:
        return Failure([Problem(ResultCode.DOCUMENT_INVALID, 'over 1 MiB')])
    try:
        raw = yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        detail = re.sub(r'\s+', ' ', str(error))
        return Failure([Problem(ResultCode.DOCUMENT_UNREADABLE, detail)])
    return document_from_value(raw)


def document_from_value(raw) -> Result[EventDocument, list[Problem]]:
    """Validate a parsed document."""
    try:
        return Success(EventDocument.model_validate(raw))
    except pydantic.ValidationError as error:
        return Failure([problem_of(item) for item in error.errors()])


def problem_of(item) -> Problem:
    """Turn one pydantic error into a problem that names the field."""
    path = ''
    for part in item['loc']:
        path += f'[{part}]' if isinstance(part, int) else f'.{part}'
    return Problem(
        ResultCode.DOCUMENT_INVALID,
        item['msg'],
        path.lstrip('.') or 'document',
    )


def document_to_bytes(document: EventDocument) -> bytes:
    """Return the canonical form: JSON with sorted keys."""
    value = document.model_dump(mode='json')
    return json.dumps(value, sort_keys=True, separators=(',', ':')).encode()


def document_from_bytes(data: bytes) -> EventDocument:
    """Read the canonical form back; raise ValueError when it is not one."""
    return EventDocument.model_validate_json(data)
