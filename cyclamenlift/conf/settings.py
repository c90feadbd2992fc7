"""Settings of the daemon and control processes.

A flag takes precedence over the environment variable ``CYCLAMENLIFT_<NAME>``,
which takes precedence over the default. ``check`` reports all invalid
settings at once.
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
    """Split ``a,b``; the command-line library may have done so already."""
    if isinstance(value, str):
        return tuple(part.strip() for part in value.split(',') if part)
    return value


# A union with str would also accept commas, but would report each invalid
# entry once per member of the union.
AddressList = Annotated[
    tuple[AddressText, ...],
    pydantic.BeforeValidator(split_list),
]


NameList = Annotated[tuple[Name, ...], pydantic.BeforeValidator(split_list)]


class CommonSettings(pydantic.BaseModel):
    """Settings of every process."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    instance: Name = pydantic.Field(description='unique name of this instance')
    data_centre: Name = pydantic.Field(
        description='data centre of this instance'
    )
    cluster: Name = pydantic.Field(
        'cyclamenlift',
        description='name of the cluster; peers of other clusters are refused',
    )
    peer_listen: AddressText = pydantic.Field(
        '127.0.0.1:7100',
        description='address for connections between instances, TCP',
    )
    admin_listen: AddressText = pydantic.Field(
        '127.0.0.1:7180',
        description='address of status, metrics and console, HTTP',
    )
    log_format: Literal['json', 'console'] = pydantic.Field(
        'json', description='format of log lines'
    )
    log_level: Literal['debug', 'info', 'warning', 'error'] = pydantic.Field(
        'info', description='minimum severity of log lines'
    )


class DaemonSettings(CommonSettings):
    """Settings of a daemon."""

    entry_listen: AddressText = pydantic.Field(
        '127.0.0.1:7000', description='address for callers, HTTP'
    )
    gossip_listen: AddressText = pydantic.Field(
        '127.0.0.1:7101', description='address of the membership protocol, UDP'
    )
    advertise_peer: OptionalAddress = pydantic.Field(
        '', description='peer address announced to others; empty: peer_listen'
    )
    advertise_gossip: OptionalAddress = pydantic.Field(
        '',
        description='gossip address announced to others; empty: gossip_listen',
    )
    control: AddressList = pydantic.Field(
        (), description='peer addresses of the control instances'
    )
    seeds: AddressList = pydantic.Field(
        (), description='gossip addresses of some other instances'
    )
    service: str = pydantic.Field(
        '', description='service of the local target; empty: entry only'
    )
    target: str = pydantic.Field(
        '', description='address of the local target, host:port'
    )
    target_name: str = pydantic.Field(
        '', description='name of the target; empty: name of the instance'
    )
    slots: int = pydantic.Field(
        20,
        ge=1,
        le=10_000,
        description='maximum concurrent calls of the target',
    )
    target_connections: int = pydantic.Field(
        260, ge=1, le=60_000, description='maximum connections to the target'
    )
    warm_connections: int = pydantic.Field(
        8,
        ge=0,
        le=1_000,
        description='idle connections kept open to the target',
    )
    health_path: str = pydantic.Field(
        '', description='health check path of the target; empty: no checks'
    )
    health_seconds: float = pydantic.Field(
        1.0, ge=0.01, le=60, description='interval of health checks'
    )
    health_timeout_seconds: float = pydantic.Field(
        1.0, ge=0.01, le=60, description='timeout of a health check'
    )
    gossip_seconds: float = pydantic.Field(
        1.0, ge=0.05, le=60, description='period of the membership protocol'
    )
    body_budget_bytes: int = pydantic.Field(
        64 * 1024**2,
        ge=0,
        description='memory for request bodies at the entry',
    )
    max_header_bytes: int = pydantic.Field(
        16 * 1024,
        ge=1024,
        le=1024**2,
        description='maximum total size of the headers',
    )
    head_seconds: float = pydantic.Field(
        10.0, gt=0, le=600, description='timeout for receiving a request head'
    )
    body_seconds: float = pydantic.Field(
        300.0,
        gt=0,
        le=3600,
        description='timeout for receiving a request body',
    )
    idle_seconds: float = pydantic.Field(
        60.0,
        gt=0,
        le=3600,
        description='timeout of an idle connection of a caller',
    )
    pipelined_requests: int = pydantic.Field(
        8,
        ge=1,
        le=1_000,
        description='maximum concurrent safe requests per connection',
    )
    drain_seconds: float = pydantic.Field(
        300.0,
        ge=0,
        le=3600,
        description='maximum duration of a graceful shutdown',
    )
    farewell_seconds: float = pydantic.Field(
        0.0,
        ge=0,
        le=3600,
        description='time a stopping entry accepts connections',
    )
    link_mbps: float = pydantic.Field(
        0.0,
        ge=0,
        description='bandwidth of the network link; 0: unknown, then the '
        'transfer time of bodies is ignored',
    )
    retry_slack: float = pydantic.Field(
        0.0,
        ge=0,
        description='retries per window shared by all entries, in addition to '
        'retry_share; 0: each entry has its own budget',
    )
    retry_share: float = pydantic.Field(
        0.2,
        ge=0,
        le=1,
        description='maximum retries as a share of first tries',
    )
    retry_window_seconds: float = pydantic.Field(
        10.0, gt=0, le=600, description='window of the shared retry budget'
    )
    cold_burst_factor: float = pydantic.Field(
        1.0,
        ge=1,
        le=100,
        description='how far the calls to a cold target may exceed the rate '
        'that it bears, as a factor',
    )
    cold_burst_slack: float = pydantic.Field(
        0.0,
        ge=0,
        le=10_000,
        description='calls per second to a cold target in addition to '
        'cold_burst_factor',
    )
    account_window_seconds: float = pydantic.Field(
        5.0,
        gt=0,
        le=600,
        description='window in which limits of client accounts are judged',
    )
    account_slack_calls: float = pydantic.Field(
        0.0,
        ge=0,
        le=1_000_000,
        description='calls in a window by which all instances together may '
        "exceed an account's limit",
    )
    account_stale_seconds: float = pydantic.Field(
        0.0,
        ge=0,
        le=3600,
        description='time after which requests of client accounts are refused '
        'unless control has confirmed the accounts; 0: they are accepted',
    )
    max_depth: int = pydantic.Field(
        16, ge=1, le=64, description='maximum depth of nested calls'
    )

    without: NameList = pydantic.Field(
        (), description='load-balancing mechanisms to disable, by name'
    )

    @pydantic.model_validator(mode='after')
    def check_target(self) -> 'DaemonSettings':
        if bool(self.service) != bool(self.target):
            raise ValueError('service and target must be set together')
        if self.target:
            Address.parse(self.target)
        return self


class ControlSettings(CommonSettings):
    """Settings of a control instance."""

    data: str = pydantic.Field(description='data folder of this instance')
    peers: AddressList = pydantic.Field(
        (),
        description='name=host:port of all control instances, including own',
    )
    bootstrap: bool = pydantic.Field(
        False,
        description='create a new cluster; all listed peers must take part',
    )
    founding_seconds: float = pydantic.Field(
        0.0,
        ge=0,
        le=3600,
        description='time after which a majority of the listed peers may '
        'create a new cluster; 0: never. Only where no instance that lost its '
        'disk is started with bootstrap',
    )
    data_centres: NameList = pydantic.Field(
        (),
        description='all data centres, which may be evacuated; those of known '
        'members need not be listed',
    )
    wanted_voters: int = pydantic.Field(
        0,
        ge=0,
        le=7,
        description='number of voters that the leader maintains by adding '
        'and replacing voters; 0: no automatic changes',
    )
    gossip_listen: OptionalAddress = pydantic.Field(
        '',
        description='address of the membership protocol, UDP; empty: disabled',
    )
    seeds: AddressList = pydantic.Field(
        (), description='gossip addresses of some other instances'
    )
    gossip_seconds: float = pydantic.Field(
        1.0, ge=0.05, le=60, description='period of the membership protocol'
    )
    election_ms: int = pydantic.Field(
        500, ge=50, le=60_000, description='minimum election timeout'
    )
    heartbeat_ms: int = pydantic.Field(
        100, ge=10, le=10_000, description='interval of heartbeats'
    )
    snapshot_entries: int = pydantic.Field(
        5_000, ge=10, description='number of log entries between snapshots'
    )
    snapshot_bytes: int = pydantic.Field(
        512 * 1024,
        ge=4096,
        description='bytes of log entries between snapshots',
    )
    recorded_answer_bytes: int = pydantic.Field(
        16 * 1024,
        ge=0,
        le=1024**2,
        description='maximum size of a recorded answer',
    )
    max_claims: int = pydantic.Field(
        200_000, ge=1, description='maximum number of keys in the ledger'
    )


def load_settings(
    kind: type[CommonSettings], flags: Mapping[str, object]
) -> Result[CommonSettings, list[Problem]]:
    """Build settings from flags and environment, or return all problems."""
    unknown = sorted(set(flags) - set(kind.model_fields))
    problems = [
        Problem(
            ResultCode.SETTING_INVALID,
            'unknown setting',
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
        problems.extend(problem_from_error(item) for item in error.errors())
    if problems:
        return Failure(problems)
    return Success(settings)


def problem_from_error(item) -> Problem:
    """Convert a pydantic error to a numbered problem with a hint."""
    name = str(item['loc'][0]) if item['loc'] else 'settings'
    hint = f'Set --{name} or {PREFIX}{name.upper()}.'
    if item['type'] == 'missing':
        return Problem(
            ResultCode.SETTING_MISSING, 'required but not set', name, hint
        )
    return Problem(ResultCode.SETTING_INVALID, item['msg'], name, hint)


def environment_values(kind: type[CommonSettings]) -> dict[str, object]:
    """Return the settings found in the environment, as strings."""
    variables = {name.upper(): text for name, text in os.environ.items()}
    names = {name: PREFIX + name.upper() for name in kind.model_fields}
    return {n: variables[v] for n, v in names.items() if v in variables}


def environment_names(kind: type[CommonSettings]) -> list[str]:
    """Return the environment variables that ``kind`` reads."""
    return [PREFIX + name.upper() for name in kind.model_fields]


def unknown_environment() -> list[str]:
    """Return variables with the prefix that match no setting."""
    known = set(environment_names(DaemonSettings))
    known.update(environment_names(ControlSettings))
    variables = [name for name in os.environ if name.startswith(PREFIX)]
    return sorted(set(variables) - known)
