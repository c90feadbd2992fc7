"""The event document as daemons use it: data classes with lookups."""

import dataclasses
import fnmatch

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.models.accounts import account_table
from cyclamenlift.models.accounts import AccountTable
from cyclamenlift.models.document import EventDocument
from cyclamenlift.models.document import ServiceModel
from cyclamenlift.models.routes import CallerLimitsModel
from cyclamenlift.models.routes import RouteModel

SAFE_METHODS = ('GET', 'HEAD', 'OPTIONS')


@dataclasses.dataclass(frozen=True, slots=True)
class OperationRule:
    """Tells whether calls of a method and path may be repeated."""

    method: str
    path: str
    idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        if method != self.method:
            return False
        if self.path.endswith('*'):
            return path.startswith(self.path[:-1])
        return path == self.path


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRule:
    """Rules of one service; times in seconds, shares as fractions."""

    name: str
    targets: tuple[str, ...]
    data_centres: tuple[str, ...]
    call_seconds: float
    upload_seconds: float
    policy: str
    max_tries: int
    retry_share: float
    hedge: bool
    queue_limit: int
    probes_per_second: float
    ejection_share: float
    slow_start_seconds: float
    max_body_bytes: int
    whole_answer_bytes: int
    operations: tuple[OperationRule, ...]
    objective_seconds: float
    objective_share: float
    health_path: str = ''
    max_connections: int = 0
    cold_seconds: float = 0.0
    cold_calls_per_second: float = 0.0

    def is_idempotent(self, method: str, path: str) -> bool:
        """Whether it is safe to run a call more than once."""
        bare_path = path.partition('?')[0]
        for operation in self.operations:
            if operation.matches(method, bare_path):
                return operation.idempotent
        return method in SAFE_METHODS

    def allows_target(self, name: str, data_centre: str) -> bool:
        """Whether a target may serve this service."""
        if self.data_centres and data_centre not in self.data_centres:
            return False
        return any(fnmatch.fnmatchcase(name, glob) for glob in self.targets)


@dataclasses.dataclass(frozen=True, slots=True)
class RouteShare:
    """The share of a route's requests that is sent to one service."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRule:
    """Maps requests of a host and path prefix to services; times in s.

    Requests that are not ``idempotent`` run at most once per attempt of a
    caller. ``rank`` 0 is the most urgent. Requests need a key of a client
    account unless the route is ``open_to_all`` or there are no accounts.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[RouteShare, ...]
    idempotent: bool
    timeout_seconds: float
    objective_seconds: float
    max_tries: int
    rank: int
    open_to_all: bool = False


class RouteTable:
    """Finds the route of a request by its host and the longest prefix.

    Prefixes end with a slash, so a lookup takes one step per slash in the
    path, regardless of the number of routes.
    """

    def __init__(self, routes: tuple[RouteRule, ...]):
        self.routes = routes
        self.hosts: dict[str, dict[str, RouteRule]] = {}
        for route in routes:
            prefixes = self.hosts.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> RouteRule | None:
        """Return the route of a lower-case host and a path, query included."""
        prefixes = self.hosts.get(host)
        if prefixes is None:
            return None
        bare_path = path.partition('?')[0]
        end = len(bare_path)
        while end:
            end = bare_path.rfind('/', 0, end) + 1
            if not end:
                return None
            route = prefixes.get(bare_path[:end])
            if route is not None:
                return route
            end -= 1
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for the connections of callers, in bytes and seconds."""

    max_header_bytes: int
    max_body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class EventRules:
    """The rules of a document and its version.

    ``routes`` is None if the ``Host`` header names the service directly,
    ``accounts`` if there are no client accounts.
    """

    version: int
    event: str
    starts_unix_ms: int
    ends_unix_ms: int
    services: dict[str, ServiceRule]
    routes: RouteTable | None = None
    caller_limits: CallerLimits | None = None
    accounts: AccountTable | None = None


def rules_from_document(document: EventDocument, version: int) -> EventRules:
    """Convert a validated document to rules."""
    return EventRules(
        version=version,
        event=document.event,
        starts_unix_ms=int(document.starts_at.timestamp() * MILLISECONDS),
        ends_unix_ms=end_unix_ms(document),
        services={s.name: rule_from_service(s) for s in document.services},
        routes=route_table(document.routes),
        caller_limits=limits_from_model(document.caller_limits),
        accounts=account_table(document.accounts),
    )


def end_unix_ms(document: EventDocument) -> int:
    """Return when the event ends."""
    return int(document.ends_at.timestamp() * MILLISECONDS)


def route_table(routes: tuple[RouteModel, ...]) -> RouteTable | None:
    """Return the table of a document's routes, None without routes."""
    if not routes:
        return None
    return RouteTable(tuple(rule_from_route(route) for route in routes))


def rule_from_route(route: RouteModel) -> RouteRule:
    """Convert a route to a rule."""
    return RouteRule(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        shares=tuple(RouteShare(s.service, s.weight) for s in route.shares),
        idempotent=route.repetition == 'idempotent',
        timeout_seconds=route.timeout_ms / MILLISECONDS,
        objective_seconds=route.objective_ms / MILLISECONDS,
        max_tries=route.max_tries,
        rank=route.rank,
        open_to_all=route.open_to_all,
    )


def limits_from_model(limits: CallerLimitsModel | None) -> CallerLimits | None:
    """Convert the limits for callers."""
    if limits is None:
        return None
    return CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_seconds=limits.head_ms / MILLISECONDS,
        idle_seconds=limits.idle_ms / MILLISECONDS,
    )


def slow_start_seconds(service: ServiceModel) -> float:
    """Return the ramp-up time of a new target at entries.

    None is needed where gates limit the calls to targets that are cold.
    """
    if service.cold_calls_per_second:
        return 0.0
    return service.slow_start_ms / MILLISECONDS


def rule_from_service(service: ServiceModel) -> ServiceRule:
    """Convert a service to a rule."""
    return ServiceRule(
        name=service.name,
        targets=service.targets,
        data_centres=service.data_centres,
        call_seconds=service.deadline_ms / MILLISECONDS,
        upload_seconds=service.upload_deadline_ms / MILLISECONDS,
        policy=service.policy,
        max_tries=service.max_tries,
        retry_share=service.retry_budget_percent / 100.0,
        hedge=service.hedge,
        queue_limit=service.queue_limit,
        probes_per_second=service.probe_budget_per_second,
        ejection_share=service.ejection_percent / 100.0,
        slow_start_seconds=slow_start_seconds(service),
        max_body_bytes=service.max_body_bytes,
        whole_answer_bytes=service.whole_answer_bytes,
        operations=tuple(
            OperationRule(o.method, o.path, o.idempotent)
            for o in service.operations
        ),
        objective_seconds=service.objective.latency_ms / MILLISECONDS,
        objective_share=service.objective.percent / 100.0,
        health_path=service.health_path,
        max_connections=service.max_connections,
        cold_seconds=service.cold_start_ms / MILLISECONDS,
        cold_calls_per_second=service.cold_calls_per_second,
    )
