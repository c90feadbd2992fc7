"""Validation models of the event document.

An operator publishes one document per event. It lists the services, the
targets that may serve them, and the timeouts and retries that callers
accept. Field names include the unit.
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

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.models.accounts import account_value
from cyclamenlift.models.accounts import AccountModel
from cyclamenlift.models.accounts import check_accounts
from cyclamenlift.models.routes import CallerLimitsModel
from cyclamenlift.models.routes import RouteModel
from cyclamenlift.models.routes import StrictModel

# 10,000 accounts with two keys each take 2 MB as YAML.
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
# The canonical form may be longer: it includes default values and the source
# text. The maximum of 10,000 routes takes 4.1 MB at 410 bytes each, and twice
# that with long names.
MAX_CANONICAL_BYTES = 8 * 1024 * 1024
# Fields of services that are omitted while they have no effect, so that
# instances of releases without them can read the document.
OMITTED_IF_UNSET = ('cold_start_ms', 'cold_calls_per_second')
NAME_PATTERN = r'^[a-z0-9][a-z0-9.-]{0,62}$'
METHOD_PATTERN = r'^[A-Z]{3,10}$'

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Policy = Literal[
    'hot_cold',
    'expected_finish',
    'random',
    'round_robin',
    'least_calls',
    'power_of_two',
]


class OperationModel(StrictModel):
    """A kind of call of a service, matched by method and path.

    ``path`` is a complete path, or a prefix followed by ``*``. A call that
    matches no operation is idempotent if its method is GET, HEAD or OPTIONS.
    """

    method: str = pydantic.Field(
        pattern=METHOD_PATTERN, description='HTTP method in upper case'
    )
    path: str = pydantic.Field(
        '/*', description='complete path, or a prefix followed by *'
    )
    idempotent: bool = pydantic.Field(
        False, description='whether repeating the call is safe'
    )

    @pydantic.field_validator('path')
    @classmethod
    def check_path(cls, value: str) -> str:
        if not value.startswith('/'):
            raise ValueError('a path starts with /')
        if '*' in value[:-1]:
            raise ValueError('* may only stand at the end of a path')
        return value


class ObjectiveModel(StrictModel):
    """Service-level objective: the share of calls answered in time."""

    latency_ms: float = pydantic.Field(
        100.0, gt=0, le=600_000, description='longest latency of a good call'
    )
    percent: float = pydantic.Field(
        99.9, gt=0, lt=100, description='required percentage of good calls'
    )


class ServiceModel(StrictModel):
    """A service of the event."""

    name: Name = pydantic.Field(
        description='name of the service, as in the Host header'
    )
    targets: tuple[str, ...] = pydantic.Field(
        ('*',),
        min_length=1,
        description='name patterns of the targets that may serve it',
    )
    data_centres: tuple[Name, ...] = pydantic.Field(
        (), description='data centres that may serve it; empty: all'
    )
    deadline_ms: int = pydantic.Field(
        2_000, ge=1, le=3_600_000, description='timeout of a call'
    )
    upload_deadline_ms: int = pydantic.Field(
        300_000,
        ge=1,
        le=3_600_000,
        description='timeout of a call with a body over 64 KiB',
    )
    policy: Policy = pydantic.Field(
        'hot_cold', description='load-balancing policy'
    )
    max_tries: int = pydantic.Field(
        3,
        ge=1,
        le=10,
        description='maximum tries of one call, including hedges',
    )
    retry_budget_percent: float = pydantic.Field(
        10.0,
        ge=0,
        le=100,
        description='retries and hedges, as a percentage of first tries',
    )
    hedge: bool = pydantic.Field(
        True, description='whether idempotent calls may be hedged'
    )
    queue_limit: int = pydantic.Field(
        16,
        ge=0,
        le=10_000,
        description='maximum number of calls queued at one gate',
    )
    probe_budget_per_second: float = pydantic.Field(
        20.0,
        ge=0,
        le=100_000,
        description='maximum load probes and health requests per target',
    )
    ejection_percent: int = pydantic.Field(
        30,
        ge=0,
        le=100,
        description='maximum percentage of targets ejected as failing',
    )
    slow_start_ms: int = pydantic.Field(
        5_000, ge=0, le=600_000, description='ramp-up time of a new target'
    )
    max_body_bytes: int = pydantic.Field(
        64 * 1024**2, ge=0, le=4 * 1024**3, description='maximum body size'
    )
    whole_answer_bytes: int = pydantic.Field(
        256 * 1024,
        ge=0,
        le=64 * 1024**2,
        description='answers up to this size are buffered before sending',
    )
    operations: tuple[OperationModel, ...] = pydantic.Field(
        (), description='which calls may be repeated; the first match applies'
    )
    objective: ObjectiveModel = pydantic.Field(
        ObjectiveModel(), description='the service-level objective'
    )
    health_path: str = pydantic.Field(
        '',
        description="health check path; empty: that of the daemon's settings",
    )
    max_connections: int = pydantic.Field(
        0,
        ge=0,
        le=60_000,
        description='maximum connections per target; 0: no limit',
    )
    cold_start_ms: int = pydantic.Field(
        0,
        ge=0,
        le=600_000,
        description='how long a target is cold after its start if it does not '
        'report it',
    )
    cold_calls_per_second: float = pydantic.Field(
        0.0,
        ge=0,
        le=1_000_000,
        description='calls per second that a cold target bears; 0: no limit',
    )


class EventDocument(StrictModel):
    """The complete configuration: one event with its services."""

    event: Name = pydantic.Field(description='name of the event')
    starts_at: datetime.datetime = pydantic.Field(
        description='start time with an offset such as +03:00'
    )
    ends_at: datetime.datetime = pydantic.Field(
        description='end time; calls with a key are accepted until then'
    )
    services: tuple[ServiceModel, ...] = pydantic.Field(
        min_length=1, max_length=500, description='services of the event'
    )
    routes: tuple[RouteModel, ...] = pydantic.Field(
        (),
        max_length=10_000,
        description='routing rules; without any, Host names the service',
    )
    caller_limits: CallerLimitsModel | None = pydantic.Field(
        None,
        description="limits for callers; null: those of the daemon's settings",
    )
    accounts: tuple[AccountModel, ...] = pydantic.Field(
        (),
        max_length=10_000,
        description='client accounts; without any, no request needs a key',
    )
    source: str = pydantic.Field(
        '', description='original text that the document was created from'
    )

    @pydantic.field_validator('starts_at', 'ends_at')
    @classmethod
    def check_zone(cls, value: datetime.datetime) -> datetime.datetime:
        if value.tzinfo is None:
            raise ValueError('give a time with its offset, such as +03:00')
        return value

    @pydantic.model_validator(mode='after')
    def check_consistency(self) -> 'EventDocument':
        if self.ends_at <= self.starts_at:
            raise ValueError('ends_at must come after starts_at')
        names = [service.name for service in self.services]
        twice = sorted({name for name in names if names.count(name) > 1})
        if twice:
            raise ValueError(f'service named twice: {", ".join(twice)}')
        problems = check_accounts(self.accounts)
        if problems:
            raise ValueError('; '.join(problems))
        known = set(names)
        for route in self.routes:
            for share in route.shares:
                if share.service not in known:
                    raise ValueError(
                        f'route {route.name!r} names the unknown service '
                        f'{share.service!r}'
                    )
        return self


def document_from_text(text: str) -> Result[EventDocument, list[Problem]]:
    """Parse YAML or JSON; return every problem with its field's path."""
    if len(text) > MAX_DOCUMENT_BYTES:
        return Failure(
            [
                Problem(
                    ResultCode.DOCUMENT_INVALID,
                    'over 4 MiB',
                )
            ]
        )
    # Only operators' tools read YAML; daemons do not import its library.
    import yaml

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
        return Failure([problem_from_error(item) for item in error.errors()])


def problem_from_error(item) -> Problem:
    """Convert a pydantic error to a problem with the path of the field."""
    path = ''
    for part in item['loc']:
        path += f'[{part}]' if isinstance(part, int) else f'.{part}'
    return Problem(
        ResultCode.DOCUMENT_INVALID,
        item['msg'],
        path.lstrip('.') or 'document',
    )


def document_to_bytes(document: EventDocument) -> bytes:
    """Serialize a document to its canonical form: JSON with sorted keys.

    What has no effect is omitted where releases exist that don't know it. The
    form holds digests in place of the keys of accounts.
    """
    value = document.model_dump(mode='json', exclude={'accounts'})
    if document.accounts:
        value['accounts'] = [account_value(a) for a in document.accounts]
    for route in value['routes']:
        if not route['open_to_all']:
            del route['open_to_all']
    for service in value['services']:
        for name in OMITTED_IF_UNSET:
            if not service[name]:
                del service[name]
    return json.dumps(value, sort_keys=True, separators=(',', ':')).encode()


def document_from_bytes(data: bytes) -> EventDocument:
    """Parse the canonical form; raise ValueError if it is invalid."""
    return EventDocument.model_validate_json(data)
