"""Check-ins of the local target, read into announcements."""

from typing import Literal

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import structlog

from cyclamenlift.conf.durations import seconds
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

BEAT_PATH = '/v1/Instances.Heartbeat/'
LEAVE_PATH = '/v1/Instances.Deregister/'
# A check-in takes about 200 bytes; more is no check-in.
MOST_BEAT_BYTES = 16 * 1024
# The most that numbers may be: what a signed number of 64 bits holds.
MOST_NUMBER = 2**63 - 1
# Characters of a refused check-in that go into a log line.
MOST_DETAIL = 200
MOST_NAME = 60
LOG = structlog.get_logger('targets')


class WireTold(pydantic.BaseModel):
    """What stands at the top level of all that a target says of itself.

    Types are strict: what has another one comes from another writer.
    """

    model_config = pydantic.ConfigDict(
        extra='ignore', frozen=True, strict=True
    )

    # The target's start, which together with its name is an incarnation.
    # Targets of earlier platforms do not tell it.
    born: int = pydantic.Field(UNKNOWN_START, gt=0, le=MOST_NUMBER)


class WireBeat(WireTold):
    """A check-in; the incarnation's name stands in the path."""

    service: str = pydantic.Field(min_length=1)
    address: str
    zone: str = pydantic.Field(min_length=1)
    # The software's version, which has nothing to do with documents.
    version: str
    slots: int = pydantic.Field(ge=1, le=10_000)
    state: Literal['ready', 'draining']
    cold_left: str
    seq: int = pydantic.Field(ge=0, le=MOST_NUMBER)

    @pydantic.field_validator('address')
    @classmethod
    def address_is_one(cls, value: str) -> str:
        Address.parse(value)
        return value


def read_beat(incarnation: str, body: bytes) -> Result[Announcement, Problem]:
    """Read a check-in into an announcement."""
    try:
        beat = WireBeat.model_validate_json(body)
        warm_up = seconds(beat.cold_left)
    except ValueError as error:
        return Failure(bad_request(error))
    return Success(
        Announcement(
            incarnation=incarnation,
            service=beat.service,
            slots=beat.slots,
            draining=beat.state == 'draining',
            warm_up_seconds=warm_up,
            sequence=beat.seq,
            version=beat.version,
            born_ms=beat.born,
            address=beat.address,
        )
    )


def read_farewell(body: bytes) -> Result[int, Problem]:
    """Read the start of a target that leaves; its body may be empty."""
    if not body:
        return Success(UNKNOWN_START)
    try:
        return Success(WireTold.model_validate_json(body).born)
    except ValueError as error:
        return Failure(bad_request(error))


def bad_request(error: object) -> Problem:
    """Return a numbered problem with a bounded text."""
    return Problem(ResultCode.BAD_REQUEST, one_line(error, MOST_DETAIL))


class TargetCheckIns:
    """Takes the check-ins and the farewell of the daemon's own target."""

    def __init__(self, gate: Gate, service: str):
        self.gate = gate
        self.service = service

    def take(self, exchange: Exchange) -> None:
        """Take one request on the check-in address."""
        path = exchange.path.partition('?')[0]
        if exchange.method == 'POST' and path.startswith(BEAT_PATH):
            name = path.removeprefix(BEAT_PATH)
            read_body(
                exchange,
                MOST_BEAT_BYTES,
                lambda body: self.take_beat(exchange, name, body),
            )
        elif exchange.method == 'POST' and path.startswith(LEAVE_PATH):
            name = path.removeprefix(LEAVE_PATH)
            read_body(
                exchange,
                MOST_BEAT_BYTES,
                lambda body: self.take_leave(exchange, name, body),
            )
        else:
            reject(exchange, 404, Problem(ResultCode.NOT_FOUND, path[:100]))

    def take_beat(self, exchange: Exchange, name: str, body: bytes) -> None:
        found = read_beat(name, body)
        if isinstance(found, Failure):
            self.refuse_told(exchange, name, found.failure())
            return
        announcement = found.unwrap()
        if not name or announcement.service != self.service:
            detail = f'{name!r} of service {announcement.service[:60]!r}'
            self.refuse_told(exchange, name, bad_request(detail))
            return
        if self.gate.is_foreign(name, announcement.address):
            reject(exchange, 503, Problem(ResultCode.NO_TARGET))
            return
        self.gate.announce(announcement)
        send_json(exchange, 200)

    def take_leave(self, exchange: Exchange, name: str, body: bytes) -> None:
        found = read_farewell(body)
        if isinstance(found, Failure):
            self.refuse_told(exchange, name, found.failure())
            return
        if self.gate.is_foreign(name, str(exchange.remote)):
            reject(exchange, 503, Problem(ResultCode.NO_TARGET))
            return
        self.gate.target_leaves(name, found.unwrap())
        send_json(exchange, 200)

    def refuse_told(
        self, exchange: Exchange, name: str, problem: Problem
    ) -> None:
        """Refuse what no target writes: it changes nothing."""
        LOG.warning(
            'check_in_refused',
            incarnation=name[:MOST_NAME],
            problem=problem.line(),
        )
        reject(exchange, 400, problem)
