"""Validates a caller's request and returns a call or a problem."""

import dataclasses

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.calls.shares import WeightedRoundRobin
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.numbers import read_unsigned
from cyclamenlift.core.problems import Problem
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.models.accounts import AccountRule
from cyclamenlift.models.accounts import RANKS
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import RouteRule
from cyclamenlift.models.rules import ServiceRule

TIMEOUT_HEADER = 'cyclamenlift-timeout-ms'
DEPTH_HEADER = 'cyclamenlift-depth'
KEY_HEADER = 'idempotency-key'
KEY_EXPIRES_HEADER = 'cyclamenlift-key-expires'
CALL_ID_HEADER = 'cyclamenlift-call-id'
MAX_KEY_LENGTH = 255
MAX_CALL_ID_LENGTH = 128
MIN_UPLOAD_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True)
class Request:
    """A validated request; ``key`` is empty for idempotent operations.

    ``call_id`` is empty until the caller's or a generated one is set.
    ``objective_deadline`` is when an answer misses its objective. ``route`` is
    None if the ``Host`` names the service. ``nested`` marks a call made by a
    target while it runs another. ``asked_ms`` is the timeout given by the
    caller, 0 if none. ``returned`` marks a request that appears to be a
    caller's retry after a refusal. ``account`` is the client account that it
    belongs to, None if it needs none; ``among_accounts`` tells whether others
    have one.
    """

    rule: ServiceRule
    idempotent: bool
    deadline: float
    depth: int
    key: str
    key_expires_unix_ms: int
    call_id: str
    max_tries: int = 1
    objective_deadline: float = 0.0
    route: RouteRule | None = None
    nested: bool = False
    asked_ms: int = 0
    returned: bool = False
    account: AccountRule | None = None
    among_accounts: bool = False

    @property
    def rank(self) -> int:
        """The priority, the account's before the route's; 0 comes first.

        Without an account, or if that has none, the route's counts as both.
        """
        route_rank = self.route.rank if self.route else 0
        if not self.among_accounts:
            return route_rank
        rank = self.account.rank if self.account else None
        first = route_rank if rank is None else rank
        return first * RANKS + route_rank

    @property
    def account_name(self) -> str:
        return self.account.name if self.account else ''

    @property
    def route_name(self) -> str:
        return self.route.name if self.route else ''


def read_request(
    exchange: Exchange,
    rules: EventRules | None,
    max_depth: int,
    service_picker: WeightedRoundRobin,
) -> Result[Request, Problem]:
    """Validate the head of a request against the event document."""
    if rules is None:
        return fail(ResultCode.NO_CONFIGURATION)
    if rules.routes is not None:
        return read_routed(exchange, rules, service_picker)
    return read_named(exchange, rules, max_depth)


def read_routed(
    exchange: Exchange, rules: EventRules, service_picker: WeightedRoundRobin
) -> Result[Request, Problem]:
    """Validate a request whose service is chosen by a route."""
    dialect = exchange.dialect
    route = rules.routes.find(service_name(exchange), exchange.path)
    if route is None:
        return fail(ResultCode.NO_ROUTE)
    call_id = exchange.header(dialect.call_id) or ''
    if dialect.call_id_required and not call_id:
        return fail(ResultCode.BAD_REQUEST, dialect.call_id)
    limits = rules.caller_limits
    if limits and (exchange.body_length or 0) > limits.max_body_bytes:
        return fail(ResultCode.BODY_TOO_LARGE)
    asked = read_number(exchange, dialect.time_left_ms, 0)
    if asked is None:
        return fail(ResultCode.BAD_TIMEOUT)
    seconds = route.timeout_seconds
    if asked:
        seconds = min(seconds, asked / MILLISECONDS)
    return Success(
        Request(
            rule=rules.services[service_picker.next_service(route)],
            idempotent=route.idempotent,
            deadline=exchange.received_at + seconds,
            depth=0,
            key='',
            key_expires_unix_ms=0,
            call_id=call_id[:MAX_CALL_ID_LENGTH],
            max_tries=route.max_tries,
            objective_deadline=exchange.received_at + route.objective_seconds,
            route=route,
            asked_ms=asked,
        )
    )


def read_named(
    exchange: Exchange, rules: EventRules, max_depth: int
) -> Result[Request, Problem]:
    """Validate a request whose ``Host`` names the service."""
    rule = rules.services.get(service_name(exchange))
    if rule is None:
        return fail(ResultCode.UNKNOWN_SERVICE, service_name(exchange))
    if (exchange.body_length or 0) > rule.max_body_bytes:
        return fail(ResultCode.BODY_TOO_LARGE)
    depth = read_number(exchange, DEPTH_HEADER, -1)
    if depth is None:
        return fail(ResultCode.BAD_REQUEST, DEPTH_HEADER)
    if depth + 1 >= max_depth:
        return fail(ResultCode.TOO_DEEP)
    deadline = read_deadline(exchange, rule)
    if deadline is None:
        return fail(ResultCode.BAD_TIMEOUT)
    idempotent = rule.is_idempotent(exchange.method, exchange.path)
    key = exchange.header(KEY_HEADER) or ''
    if not idempotent and not 0 < len(key) <= MAX_KEY_LENGTH:
        return fail(ResultCode.KEY_REQUIRED)
    expires = read_number(exchange, KEY_EXPIRES_HEADER, 0)
    if expires is None:
        return fail(ResultCode.BAD_REQUEST, KEY_EXPIRES_HEADER)
    call_id = exchange.header(CALL_ID_HEADER) or ''
    return Success(
        Request(
            rule=rule,
            idempotent=idempotent,
            deadline=deadline,
            depth=depth + 1,
            key='' if idempotent else key,
            key_expires_unix_ms=expires * MILLISECONDS,
            call_id=call_id[:MAX_CALL_ID_LENGTH],
            max_tries=rule.max_tries,
            objective_deadline=exchange.received_at + rule.objective_seconds,
        )
    )


def fail(code: ResultCode, detail: str = '') -> Result[Request, Problem]:
    return Failure(Problem(code, detail))


def service_name(exchange: Exchange) -> str:
    """Return the service named by ``Host``, without a port."""
    return (exchange.header('host') or '').partition(':')[0].lower()


def read_number(exchange: Exchange, name: str, default: int) -> int | None:
    """Return a header's number, the default if absent, None if invalid."""
    text = exchange.header(name)
    if text is None:
        return default
    return read_unsigned(text)


def read_deadline(exchange: Exchange, rule: ServiceRule) -> float | None:
    """Return the call's deadline, or None if the header is invalid.

    Bodies over 64 KiB or of unknown length count as uploads, which have a
    deadline of their own.
    """
    length = exchange.body_length
    upload = length is None or length > MIN_UPLOAD_BYTES
    seconds = rule.upload_seconds if upload else rule.call_seconds
    if exchange.header(TIMEOUT_HEADER) is not None:
        asked = read_number(exchange, TIMEOUT_HEADER, 0)
        if not asked:
            return None
        seconds = min(seconds, asked / MILLISECONDS)
    return exchange.received_at + seconds
