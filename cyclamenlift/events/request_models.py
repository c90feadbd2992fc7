"""Request models of the operator API."""

from typing import Annotated

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.events.state import MAX_ID_LENGTH

ChangeId = Annotated[
    str, pydantic.Field(min_length=1, max_length=MAX_ID_LENGTH)
]


class Publication(pydantic.BaseModel):
    """A publish request: the document as YAML or JSON text."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    document: str
    base_version: Annotated[int, pydantic.Field(ge=0, lt=2**62)]
    change_id: ChangeId
    operator_name: Annotated[str, pydantic.Field(max_length=128)] = ''


class EvacuationChange(pydantic.BaseModel):
    """A request to evacuate a data centre or to take it back."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    data_centre: Annotated[str, pydantic.Field(min_length=1, max_length=63)]
    evacuated: bool
    base_revision: Annotated[int, pydantic.Field(ge=0, lt=2**62)]
    operator_name: Annotated[str, pydantic.Field(max_length=128)] = ''


class StorageReplacement(pydantic.BaseModel):
    """A request to accept a new storage in place of a lost one."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    instance: Annotated[str, pydantic.Field(min_length=1, max_length=63)]
    storage_id: Annotated[str, pydantic.Field(min_length=1, max_length=128)]


def parse_request_body(
    kind: type[pydantic.BaseModel], body: bytes
) -> Result[pydantic.BaseModel, Problem]:
    """Parse a JSON body as ``kind``; report the first invalid field."""
    try:
        return Success(kind.model_validate_json(body))
    except pydantic.ValidationError as error:
        first = error.errors(include_input=False, include_url=False)[0]
        where = '.'.join(str(part) for part in first['loc'])
        return Failure(Problem(ResultCode.BAD_REQUEST, first['msg'], where))
