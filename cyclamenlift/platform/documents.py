"""Conversion of platform configurations to event documents.

The event document includes the original text, so that operators read back
exactly what they sent; partial changes are applied to that text.
"""

import json

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.conf.durations import to_milliseconds
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import one_line
from cyclamenlift.core.problems import Problem
from cyclamenlift.models.document import document_from_value
from cyclamenlift.models.document import EventDocument

# Platform configurations have no event; a permanent one stands in.
EVENT_NAME = 'platform'
EVENT_STARTS = '2000-01-01T00:00:00Z'
EVENT_ENDS = '9999-01-01T00:00:00Z'
REPETITION_BY_KIND = {
    'idempotent': 'idempotent',
    'non_idempotent': 'once_per_attempt',
    'upload': 'once_per_attempt',
    'download': 'idempotent',
}
# The product wants a burst of a call at least; its bucket holds no less.
MIN_BURST_CALLS = 1.0
VERSION_LIMIT = 2**53
# Fields of a configuration that list items with names.
NAMED_ITEMS = ('services', 'tenants')


class WireModel(pydantic.BaseModel):
    """Part of a configuration; unknown fields are ignored.

    Errors don't quote the input, which holds the keys of accounts.
    """

    model_config = pydantic.ConfigDict(
        extra='ignore', frozen=True, hide_input_in_errors=True
    )


class WireShare(WireModel):
    """A service of a route and its weight."""

    service: str
    weight: int = pydantic.Field(ge=0)


class WireRoute(WireModel):
    """An entry of ``path_rules``."""

    name: str
    path_prefix: str
    kind: str
    timeout: str
    target_latency: str
    priority: int = 0
    attempts: int = 1
    service: str = ''
    weighted_services: tuple[WireShare, ...] = ()
    public: bool = False


class WireHost(WireModel):
    """The routes of a host."""

    host: str
    path_rules: tuple[WireRoute, ...] = ()


class WireService(WireModel):
    """A service; targets announce themselves with its ``name``."""

    name: str
    health_path: str = ''
    max_conns: int = 0
    cold_start: str = '0ms'
    cold_per_s: float = 0.0


class WireTenant(WireModel):
    """A client account; ``rate_per_s`` 0 means no limit."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class WireLimits(WireModel):
    """Limits for callers; ``header_timeout`` applies to the head only."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class WireConfiguration(WireModel):
    """A complete configuration."""

    version: int = pydantic.Field(gt=0, lt=VERSION_LIMIT)
    services: tuple[WireService, ...]
    virtual_hosts: tuple[WireHost, ...]
    limits: WireLimits
    tenants: tuple[WireTenant, ...] = ()


class WirePatch(WireModel):
    """A partial change: ``upsert`` holds items, ``remove`` holds names."""

    version: int = pydantic.Field(gt=0, lt=VERSION_LIMIT)
    upsert: dict = {}
    remove: dict = {}


def read_version(body: bytes) -> Result[int, Problem]:
    """Return the version that a change assigns to its result."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        return invalid(f'no JSON: {error}')
    version = value.get('version') if isinstance(value, dict) else None
    if isinstance(version, bool) or not isinstance(version, int):
        return invalid('it has no version')
    if not 0 < version < VERSION_LIMIT:
        return invalid(f'version {version} is out of range')
    return Success(version)


def read_configuration(body: bytes | str) -> Result[EventDocument, Problem]:
    """Parse a complete configuration to an event document."""
    try:
        wire = WireConfiguration.model_validate_json(body)
        value = document_value(wire)
    except (ValueError, RecursionError) as error:
        return invalid(str(error))
    text = body if isinstance(body, str) else body.decode()
    read = document_from_value({**value, 'source': text})
    if isinstance(read, Failure):
        problem = read.failure()[0]
        return invalid(f'{problem.where}: {problem.detail}')
    return read


def document_value(wire: WireConfiguration) -> dict:
    """Return the fields of the event document; ValueError if invalid."""
    limits = wire.limits
    return {
        'event': EVENT_NAME,
        'starts_at': EVENT_STARTS,
        'ends_at': EVENT_ENDS,
        'services': [service_value(service) for service in wire.services],
        'routes': [
            route_value(host.host, route)
            for host in wire.virtual_hosts
            for route in host.path_rules
        ],
        'caller_limits': {
            'max_header_bytes': limits.max_header_bytes,
            'max_body_bytes': limits.max_body_bytes,
            'head_ms': to_milliseconds(limits.header_timeout),
            'idle_ms': to_milliseconds(limits.idle_timeout),
        },
        'accounts': [account_value(tenant) for tenant in wire.tenants],
    }


def account_value(tenant: WireTenant) -> dict:
    """Return the fields of a client account."""
    burst = tenant.burst
    if tenant.rate_per_s:
        burst = max(burst, MIN_BURST_CALLS)
    return {
        'name': tenant.name,
        'keys': tenant.api_keys,
        'rank': tenant.priority,
        'calls_per_second': tenant.rate_per_s,
        'burst_calls': burst,
    }


def service_value(service: WireService) -> dict:
    return {
        'name': service.name,
        'policy': 'expected_finish',
        'health_path': service.health_path,
        'max_connections': service.max_conns,
        'cold_start_ms': to_milliseconds(service.cold_start),
        'cold_calls_per_second': service.cold_per_s,
    }


def route_value(host: str, route: WireRoute) -> dict:
    """Return the fields of one route; ValueError for an unknown kind."""
    if route.kind not in REPETITION_BY_KIND:
        raise ValueError(f'route {route.name!r}: kind {route.kind!r}')
    shares = [
        {'service': share.service, 'weight': share.weight}
        for share in route.weighted_services
    ]
    if not shares:
        shares = [{'service': route.service, 'weight': 1}]
    return {
        'name': route.name,
        'host': host,
        'path_prefix': route.path_prefix,
        'shares': shares,
        'repetition': REPETITION_BY_KIND[route.kind],
        'timeout_ms': to_milliseconds(route.timeout),
        'objective_ms': to_milliseconds(route.target_latency),
        'max_tries': route.attempts,
        'rank': route.priority,
        'open_to_all': route.public,
    }


def edit_document(
    document: EventDocument, body: bytes
) -> Result[EventDocument, Problem]:
    """Apply a partial change to the source text of a document."""
    try:
        patch = WirePatch.model_validate_json(body)
        value = json.loads(document.source)
        remove_by_name(value, patch.remove)
        upsert(value, patch.upsert)
        value['version'] = patch.version
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return invalid(f'the change can not be read: {error!r}')
    return read_configuration(json.dumps(value))


def remove_by_name(value: dict, names: dict) -> None:
    """Remove services, client accounts and routes by name."""
    for field in NAMED_ITEMS:
        removed = set(names.get(field, ()))
        if removed:
            items = value.get(field, ())
            value[field] = [i for i in items if i['name'] not in removed]
    routes = set(names.get('routes', ()))
    value['virtual_hosts'] = remove_routes(value['virtual_hosts'], routes)


def remove_routes(hosts: list[dict], names: set[str]) -> list[dict]:
    """Remove routes by name and drop hosts that have no routes left."""
    for host in hosts:
        host['path_rules'] = [
            r for r in host['path_rules'] if r['name'] not in names
        ]
    return [host for host in hosts if host['path_rules']]


def upsert(value: dict, items: dict) -> None:
    """Add items, or replace those of the same name."""
    for field in NAMED_ITEMS:
        added = items.get(field, ())
        if added:
            merge_items(value.setdefault(field, []), added)
    hosts = items.get('virtual_hosts', ())
    value['virtual_hosts'] = merge_routes(value['virtual_hosts'], hosts)
    if 'limits' in items:
        value['limits'] = items['limits']


def merge_routes(hosts: list[dict], added: list[dict]) -> list[dict]:
    """Return the hosts with the routes of ``added`` merged in.

    A route that another host had moves to its new host. Lookups use a dict:
    a linear search for each added route took seconds with some thousand
    routes and blocked the heartbeats of the leader.
    """
    routes_of: dict[str, list[dict]] = {}
    for host in added:
        routes_of.setdefault(host['host'], []).extend(host['path_rules'])
    host_of = {
        route['name']: name
        for name, routes in routes_of.items()
        for route in routes
    }
    for host in hosts:
        host['path_rules'] = unmoved(host['path_rules'], host['host'], host_of)
    known: dict[str, dict] = {}
    for host in hosts:
        known.setdefault(host['host'], host)
    result = list(hosts)
    for name, routes in routes_of.items():
        if name not in known:
            known[name] = {'host': name, 'path_rules': []}
            result.append(known[name])
        merge_items(known[name]['path_rules'], unmoved(routes, name, host_of))
    return [host for host in result if host['path_rules']]


def unmoved(routes: list[dict], host: str, host_of: dict) -> list[dict]:
    """Return the routes that have not moved to another host."""
    return [r for r in routes if host_of.get(r['name'], host) == host]


def merge_items(items: list[dict], added: list[dict]) -> None:
    """Replace items by name; append those with new names."""
    index_by_name = {item['name']: index for index, item in enumerate(items)}
    for item in added:
        index = index_by_name.setdefault(item['name'], len(items))
        if index < len(items):
            items[index] = item
        else:
            items.append(item)


def invalid(detail: str) -> Failure:
    return Failure(Problem(ResultCode.DOCUMENT_INVALID, one_line(detail, 300)))
