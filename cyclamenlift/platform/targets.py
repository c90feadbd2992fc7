"""Heartbeats and deregistration of the local target."""

from typing import Literal

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import structlog

from cyclamenlift.conf.durations import to_seconds
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import one_line
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.registration import UNKNOWN_START
from cyclamenlift.gate.tasks import Gate
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.json_requests import read_body
from cyclamenlift.http.json_requests import reject
from cyclamenlift.http.json_requests import send_json

HEARTBEAT_PATH = '/v1/Instances.Heartbeat/'
DEREGISTER_PATH = '/v1/Instances.Deregister/'
# A heartbeat takes about 200 bytes; far larger bodies are invalid.
MAX_HEARTBEAT_BYTES = 16 * 1024
# Largest valid number: that of a signed 64-bit integer.
MAX_INTEGER = 2**63 - 1
# Maximum characters of a refused heartbeat in a log line.
MAX_DETAIL_LENGTH = 200
MAX_LOGGED_NAME_LENGTH = 60
LOG = structlog.get_logger('targets')


class WireTargetMessage(pydantic.BaseModel):
    """Fields common to all messages of a target.

    Types are strict: a value of another type was not written by a target.
    """

    model_config = pydantic.ConfigDict(
        extra='ignore', frozen=True, strict=True
    )

    # Start time of the target; with the name it identifies an incarnation.
    # Targets on older platforms do not send it.
    born: int = pydantic.Field(UNKNOWN_START, gt=0, le=MAX_INTEGER)


class WireHeartbeat(WireTargetMessage):
    """A heartbeat; the name of the incarnation is part of the path."""

    service: str = pydantic.Field(min_length=1)
    address: str
    zone: str = pydantic.Field(min_length=1)
    # Version of the target's software, unrelated to documents.
    version: str
    slots: int = pydantic.Field(ge=1, le=10_000)
    state: Literal['ready', 'draining']
    cold_left: str
    seq: int = pydantic.Field(ge=0, le=MAX_INTEGER)

    @pydantic.field_validator('address')
    @classmethod
    def check_address(cls, value: str) -> str:
        Address.parse(value)
        return value


def parse_heartbeat(name: str, body: bytes) -> Result[Announcement, Problem]:
    """Parse a heartbeat to an announcement."""
    try:
        heartbeat = WireHeartbeat.model_validate_json(body)
        warm_up = to_seconds(heartbeat.cold_left)
    except ValueError as error:
        return Failure(bad_request(error))
    return Success(
        Announcement(
            incarnation=name,
            service=heartbeat.service,
            slots=heartbeat.slots,
            draining=heartbeat.state == 'draining',
            warm_up_seconds=warm_up,
            sequence=heartbeat.seq,
            version=heartbeat.version,
            born_ms=heartbeat.born,
            address=heartbeat.address,
        )
    )


def parse_deregistration(body: bytes) -> Result[int, Problem]:
    """Return the start time in a deregistration; the body may be empty."""
    if not body:
        return Success(UNKNOWN_START)
    try:
        return Success(WireTargetMessage.model_validate_json(body).born)
    except ValueError as error:
        return Failure(bad_request(error))


def bad_request(error: object) -> Problem:
    """Return a numbered problem with a truncated detail."""
    return Problem(ResultCode.BAD_REQUEST, one_line(error, MAX_DETAIL_LENGTH))


class TargetEndpoint:
    """Handles heartbeats and deregistration of the local target."""

    def __init__(self, gate: Gate, service: str):
        self.gate = gate
        self.service = service

    def handle(self, exchange: Exchange) -> None:
        """Handle a request from a target."""
        path = exchange.path.partition('?')[0]
        if exchange.method == 'POST' and path.startswith(HEARTBEAT_PATH):
            name = path.removeprefix(HEARTBEAT_PATH)
            read_body(
                exchange,
                MAX_HEARTBEAT_BYTES,
                lambda body: self.on_heartbeat(exchange, name, body),
            )
        elif exchange.method == 'POST' and path.startswith(DEREGISTER_PATH):
            name = path.removeprefix(DEREGISTER_PATH)
            read_body(
                exchange,
                MAX_HEARTBEAT_BYTES,
                lambda body: self.on_deregistration(exchange, name, body),
            )
        else:
            reject(exchange, 404, Problem(ResultCode.NOT_FOUND, path[:100]))

    def on_heartbeat(self, exchange: Exchange, name: str, body: bytes) -> None:
        found = parse_heartbeat(name, body)
        if isinstance(found, Failure):
            self.refuse_invalid(exchange, name, found.failure())
            return
        announcement = found.unwrap()
        if not name or announcement.service != self.service:
            detail = f'{name!r} of service {announcement.service[:60]!r}'
            self.refuse_invalid(exchange, name, bad_request(detail))
            return
        if self.gate.is_foreign(name, announcement.address):
            reject(exchange, 503, Problem(ResultCode.NO_TARGET))
            return
        self.gate.announce(announcement, exchange.is_awaited())
        send_json(exchange, 200)

    def on_deregistration(
        self, exchange: Exchange, name: str, body: bytes
    ) -> None:
        found = parse_deregistration(body)
        if isinstance(found, Failure):
            self.refuse_invalid(exchange, name, found.failure())
            return
        if self.gate.is_foreign(name, str(exchange.remote)):
            reject(exchange, 503, Problem(ResultCode.NO_TARGET))
            return
        taken = self.gate.take_departure(
            name, found.unwrap(), exchange.is_awaited()
        )
        if taken:
            send_json(exchange, 200)
        else:
            reject(exchange, 503, Problem(ResultCode.NO_TARGET))

    def refuse_invalid(
        self, exchange: Exchange, name: str, problem: Problem
    ) -> None:
        """Log and refuse an invalid message, which has no effect."""
        LOG.warning(
            'check_in_refused',
            incarnation=name[:MAX_LOGGED_NAME_LENGTH],
            problem=problem.line(),
        )
        reject(exchange, 400, problem)
