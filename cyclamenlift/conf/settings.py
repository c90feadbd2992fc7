"""Settings of the two kinds of process.

A flag wins over the environment variable ``CYCLAMENLIFT_<NAME>``; both win
over the default. All wrong settings are listed at once by ``check``.
"""

from collections.abc import Mapping
import os
from typing import Annotated
from typing import Literal

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address

PREFIX = 'CYCLAMENLIFT_'
NAME_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$'

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]


def check_address(value: str) -> str:
    Address.parse(value)
    return value


AddressText = Annotated[str, pydantic.AfterValidator(check_address)]


def check_optional_address(value: str) -> str:
    return check_address(value) if value else value


OptionalAddress = Annotated[
    str, pydantic.AfterValidator(check_optional_address)
]


def split_list(value) -> tuple[str, ...]:
    """Accept ``a,b`` as well as a sequence (fire parses commas)."""
    if isinstance(value, str):
        return tuple(part.strip() for part in value.split(',') if part)
    return value


# A union with str would allow commas, too, but report each wrong entry once
# for either part.
AddressList = Annotated[
    tuple[AddressText, ...],
    pydantic.BeforeValidator(split_list),
]


NameList = Annotated[tuple[Name, ...], pydantic.BeforeValidator(split_list)]


class CommonSettings(pydantic.BaseModel):
    """What every process is told."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    instance: Name = pydantic.Field(description='name of this instance')
    data_centre: Name = pydantic.Field(description='data centre it runs in')
    cluster: Name = pydantic.Field(
        'cyclamenlift', description='processes of another cluster are refused'
    )
    peer_listen: AddressText = pydantic.Field(
        '127.0.0.1:7100', description='address for the system itself, TCP'
    )
    admin_listen: AddressText = pydantic.Field(
        '127.0.0.1:7180', description='address for status, metrics, console'
    )
    log_format: Literal['json', 'console'] = pydantic.Field(
        'json', description='form of the log lines'
    )
    log_level: Literal['debug', 'info', 'warning', 'error'] = pydantic.Field(
        'info', description='least severe log line that is written'
    )


class DaemonSettings(CommonSettings):
    """What a daemon beside a target is told."""

    entry_listen: AddressText = pydantic.Field(
        '127.0.0.1:7000', description='address where callers arrive, HTTP'
    )
    gossip_listen: AddressText = pydantic.Field(
        '127.0.0.1:7101', description='address for membership, UDP'
    )
    advertise_peer: OptionalAddress = pydantic.Field(
        '', description='peer address for other daemons; empty: peer_listen'
    )
    advertise_gossip: OptionalAddress = pydantic.Field(
        '',
        description='gossip address for other daemons; empty: gossip_listen',
    )
    control: AddressList = pydantic.Field(
        (), description='peer addresses of the control instances'
    )
    seeds: AddressList = pydantic.Field(
        (), description='gossip addresses of some other daemons'
    )
    service: str = pydantic.Field(
        '', description='service of the local target; empty: entry only'
    )
    target: str = pydantic.Field(
        '', description='address of the local target, host:port'
    )
    target_name: str = pydantic.Field(
        '', description='name of the target; the instance if empty'
    )
    slots: int = pydantic.Field(
        20, ge=1, le=10_000, description='calls the target runs at once'
    )
    target_connections: int = pydantic.Field(
        260, ge=1, le=60_000, description='connections the target accepts'
    )
    warm_connections: int = pydantic.Field(
        8, ge=0, le=1_000, description='connections kept open to the target'
    )
    health_path: str = pydantic.Field(
        '', description='health page of the target; empty: none'
    )
    health_seconds: float = pydantic.Field(
        1.0, ge=0.01, le=60, description='time between two health requests'
    )
    health_timeout_seconds: float = pydantic.Field(
        1.0, ge=0.01, le=60, description='time for a health answer'
    )
    gossip_seconds: float = pydantic.Field(
        1.0, ge=0.05, le=60, description='period of the membership protocol'
    )
    body_budget_bytes: int = pydantic.Field(
        64 * 1024**2, ge=0, description='bytes of uploads kept at the entry'
    )
    max_header_bytes: int = pydantic.Field(
        16 * 1024, ge=1024, le=1024**2, description='limit of all headers'
    )
    head_seconds: float = pydantic.Field(
        10.0, gt=0, le=600, description='time for a request head to arrive'
    )
    body_seconds: float = pydantic.Field(
        300.0, gt=0, le=3600, description='time for a body to arrive'
    )
    idle_seconds: float = pydantic.Field(
        60.0, gt=0, le=3600, description='time an idle caller stays connected'
    )
    pipelined_requests: int = pydantic.Field(
        8,
        ge=1,
        le=1_000,
        description='safe requests of one connection worked on at once',
    )
    drain_seconds: float = pydantic.Field(
        300.0, ge=0, le=3600, description='longest wait of a graceful stop'
    )
    farewell_seconds: float = pydantic.Field(
        0.0,
        ge=0,
        le=3600,
        description='time that a stopping entry still takes new connections',
    )
    link_mbps: float = pydantic.Field(
        0.0,
        ge=0,
        description='rate of the link of this instance; 0: not known, then '
        'bodies count as if they took no time on their way',
    )
    retry_slack: float = pydantic.Field(
        0.0,
        ge=0,
        description='retries that all entries share in a window beyond the '
        'share of first tries; 0: each entry has a budget of its own',
    )
    retry_share: float = pydantic.Field(
        0.2, ge=0, le=1, description='retries as a share of first tries'
    )
    retry_window_seconds: float = pydantic.Field(
        10.0, gt=0, le=600, description='window of the shared retry budget'
    )
    max_depth: int = pydantic.Field(
        16, ge=1, le=64, description='deepest chain of calls'
    )

    without: NameList = pydantic.Field(
        (), description='mechanisms of deciding to run without, by name'
    )

    @pydantic.model_validator(mode='after')
    def check_target(self) -> 'DaemonSettings':
        if bool(self.service) != bool(self.target):
            raise ValueError('service and target go together')
        if self.target:
            Address.parse(self.target)
        return self


class ControlSettings(CommonSettings):
    """What a control instance is told."""

    data: str = pydantic.Field(description='data folder of this instance')
    peers: AddressList = pydantic.Field(
        (),
        description='name=host:port of every control instance, this one too',
    )
    bootstrap: bool = pydantic.Field(
        False, description='found a new cluster; every instance takes part'
    )
    wanted_voters: int = pydantic.Field(
        0,
        ge=0,
        le=7,
        description='let the leader add and replace voters, down to this many',
    )
    gossip_listen: OptionalAddress = pydantic.Field(
        '', description='address for membership, UDP; empty: take no part'
    )
    seeds: AddressList = pydantic.Field(
        (), description='gossip addresses of some other instances'
    )
    gossip_seconds: float = pydantic.Field(
        1.0, ge=0.05, le=60, description='period of the membership protocol'
    )
    election_ms: int = pydantic.Field(
        500, ge=50, le=60_000, description='least time without a leader'
    )
    heartbeat_ms: int = pydantic.Field(
        100, ge=10, le=10_000, description='time between heartbeats'
    )
    snapshot_entries: int = pydantic.Field(
        5_000, ge=10, description='log entries between two snapshots'
    )
    recorded_answer_bytes: int = pydantic.Field(
        16 * 1024, ge=0, le=1024**2, description='largest answer recorded'
    )
    max_claims: int = pydantic.Field(
        200_000, ge=1, description='keys held at once'
    )


def load_settings(
    kind: type[CommonSettings], flags: Mapping[str, object]
) -> Result[CommonSettings, list[Problem]]:
    """Build settings from flags and environment, or list every problem."""
    unknown = sorted(set(flags) - set(kind.model_fields))
    problems = [
        Problem(
            ResultCode.SETTING_INVALID,
            'no such setting',
            name,
            'Run "cyclamenlift check --help" for the list.',
        )
        for name in unknown
    ]
    known = environment_values(kind)
    known.update((k, v) for k, v in flags.items() if k not in unknown)
    try:
        settings = kind(**known)
    except pydantic.ValidationError as error:
        problems.extend(problem_of(item) for item in error.errors())
    if problems:
        return Failure(problems)
    return Success(settings)


def problem_of(item) -> Problem:
    """Turn one pydantic error into a numbered problem with a hint."""
    name = str(item['loc'][0]) if item['loc'] else 'settings'
    hint = f'Set --{name} or {PREFIX}{name.upper()}.'
    if item['type'] == 'missing':
        return Problem(ResultCode.SETTING_MISSING, 'not given', name, hint)
    return Problem(ResultCode.SETTING_INVALID, item['msg'], name, hint)


def environment_values(kind: type[CommonSettings]) -> dict[str, object]:
    """Return the settings that the environment gives, as texts."""
    given = {name.upper(): text for name, text in os.environ.items()}
    names = {name: PREFIX + name.upper() for name in kind.model_fields}
    return {n: given[v] for n, v in names.items() if v in given}


def environment_names(kind: type[CommonSettings]) -> list[str]:
    """Return the environment variables that ``kind`` reads."""
    return [PREFIX + name.upper() for name in kind.model_fields]


def unknown_environment() -> list[str]:
    """Return variables with our prefix that no setting reads."""
    known = set(environment_names(DaemonSettings))
    known.update(environment_names(ControlSettings))
    given = [name for name in os.environ if name.startswith(PREFIX)]
    return sorted(set(given) - known)
