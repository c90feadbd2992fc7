"""Conversion of the platform's settings file to settings."""

from collections.abc import Mapping
import os
import pathlib

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.conf.durations import to_seconds
from cyclamenlift.conf.settings import CommonSettings
from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.conf.settings import DaemonSettings
from cyclamenlift.conf.settings import load_settings
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address

PATH_VARIABLE = 'CYCLAMENLIFT_BOOT'
# Port for metrics according to the deployment file.
METRICS_PORT = 9464
# The platform kills a process ``grace`` after the stop signal; the process
# exits this much earlier, in seconds.
GRACE_MARGIN_SECONDS = 0.7
# Callers are sent elsewhere after two failed readiness checks, one a second.
READINESS_SECONDS = 2.2
# Maximum age of a target's load report before the target is polled, in
# seconds: a sixth of the time that a machine usually stays slow.
LOAD_MAX_AGE_SECONDS = 0.08
# How long founders wait for each other, in seconds: machines start within
# 0.3 s of each other, and an order of the operator may wait for 4 s.
FOUNDING_SECONDS = 2.0
# Fields that name a data centre each, with its region as value.
DATA_CENTRE_PREFIX = 'zones.'
Fields = Mapping[str, str]


def read_fields() -> Result[Fields, Problem]:
    """Read the settings file, which has lines of ``a.b=value``."""
    path = os.environ.get(PATH_VARIABLE, '')
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, ValueError) as error:
        detail = f'{path!r}: {error}'
        return Failure(
            Problem(ResultCode.SETTING_MISSING, detail, PATH_VARIABLE)
        )
    return Success(parse_fields(text))


def file_stamp() -> tuple[int, int]:
    """Return time and size of the file; zeros if it does not exist."""
    try:
        status = os.stat(os.environ.get(PATH_VARIABLE, ''))
    except OSError:
        return 0, 0
    return status.st_mtime_ns, status.st_size


def parse_fields(text: str) -> Fields:
    """Parse lines of ``name=value``; other lines are ignored.

    >>> parse_fields('ip=10.0.0.1\\n# a word\\n')
    {'ip': '10.0.0.1'}
    """
    fields = {}
    for line in text.splitlines():
        name, mark, value = line.partition('=')
        if mark and not line.lstrip().startswith('#'):
            fields[name.strip()] = value.strip()
    return fields


def parse_bounds(fields: Fields) -> Fields:
    """Return the values of ``bounds`` by name, as strings."""
    parts = fields.get('bounds', '').split(',')
    pairs = (part.partition('=') for part in parts if '=' in part)
    return {name: value for name, _, value in pairs}


def internal_address(fields: Fields, host: str) -> str:
    """Return the address for connections between instances."""
    port = fields.get('internal_ports', '').partition(',')[0]
    return f'{host}:{port}'


def seed_hosts(fields: Fields) -> list[str]:
    """Return the hosts of the seeds; their ports serve operators."""
    seeds = [s for s in fields.get('seeds', '').split(',') if s]
    return [Address.parse(seed).host for seed in seeds]


def gossip_seeds(fields: Fields) -> list[str]:
    """Return the gossip addresses of the seeds."""
    return [internal_address(fields, host) for host in seed_hosts(fields)]


def common_values(fields: Fields) -> dict[str, object]:
    """Return the settings common to daemons and control instances."""
    host = fields.get('ip', '')
    own = internal_address(fields, host)
    return {
        # Control instances are found by host, so the host is the name.
        'instance': host,
        'data_centre': fields.get('zone', ''),
        'peer_listen': own,
        'gossip_listen': own,
        'admin_listen': f'{host}:{METRICS_PORT}',
        'seeds': tuple(gossip_seeds(fields)),
    }


def daemon_values(fields: Fields) -> dict[str, object]:
    """Return the settings of a daemon beside its target."""
    bounds = parse_bounds(fields)
    grace = to_seconds(bounds.get('grace', '6s'))
    values = common_values(fields)
    return {
        **values,
        'control': values['seeds'],
        'entry_listen': fields.get('listen.outbound', ''),
        'service': fields.get('service', ''),
        'target': fields.get('app_addr', ''),
        'warm_connections': 0,
        'health_seconds': LOAD_MAX_AGE_SECONDS,
        'link_mbps': fields.get('limits.link_mbps', '0'),
        'drain_seconds': max(0.5, grace - GRACE_MARGIN_SECONDS),
        'retry_share': bounds.get('retry_budget_ratio', '0.2'),
        'retry_slack': bounds.get('budget_slack', '0'),
        'retry_window_seconds': to_seconds(bounds.get('budget_window', '10s')),
        'farewell_seconds': min(READINESS_SECONDS, grace / 2),
        'cold_burst_factor': bounds.get('cold_over', '1'),
        'cold_burst_slack': bounds.get('cold_slack', '0'),
        'account_window_seconds': to_seconds(bounds.get('quota_window', '5s')),
        'account_slack_calls': bounds.get('quota_slack', '0'),
        'account_stale_seconds': account_stale_seconds(bounds),
    }


def account_stale_seconds(bounds: Fields) -> float:
    """Return how long accounts hold unconfirmed, 0 for no bound.

    >>> account_stale_seconds({'fail_closed': 'true', 'revoke': '5s'})
    5.0
    >>> account_stale_seconds({'fail_closed': 'false', 'revoke': '5s'})
    0.0
    """
    if bounds.get('fail_closed') != 'true':
        return 0.0
    return to_seconds(bounds.get('revoke', '5s'))


def control_values(fields: Fields) -> dict[str, object]:
    """Return the settings of a control instance."""
    seeds = seed_hosts(fields)
    tolerated_failures = int(fields.get('fault_tolerance.machines') or 1)
    return {
        **common_values(fields),
        'data': f'{fields.get("data_dir", "")}/replica',
        'peers': tuple(
            f'{seed}={internal_address(fields, seed)}' for seed in seeds
        ),
        # Set at the first start of the whole system alone.
        'bootstrap': fields.get('bootstrap') == 'true',
        'founding_seconds': FOUNDING_SECONDS,
        'data_centres': tuple(
            name.removeprefix(DATA_CENTRE_PREFIX)
            for name in fields
            if name.startswith(DATA_CENTRE_PREFIX)
        ),
        'wanted_voters': 2 * tolerated_failures + 1,
    }


def read_settings(
    kind: type[CommonSettings], fields: Fields
) -> Result[CommonSettings, list[Problem]]:
    """Return validated settings of a kind of process, or all problems."""
    make = {DaemonSettings: daemon_values, ControlSettings: control_values}
    try:
        values = make[kind](fields)
    except ValueError as error:
        return Failure([Problem(ResultCode.SETTING_INVALID, str(error))])
    return load_settings(kind, values)
