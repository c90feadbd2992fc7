"""Check-ins of the local target, read into announcements."""

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import structlog

from cyclamenlift.conf.durations import seconds
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.tasks import Gate
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.json_requests import answer
from cyclamenlift.http.json_requests import read_whole
from cyclamenlift.http.json_requests import refuse

BEAT_PATH = '/v1/Instances.Heartbeat/'
LEAVE_PATH = '/v1/Instances.Deregister/'
# A check-in takes about 200 bytes; more is no check-in.
MOST_BEAT_BYTES = 16 * 1024
LOG = structlog.get_logger('targets')


class WireBeat(pydantic.BaseModel):
    """A check-in; the incarnation's name stands in the path."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    service: str
    address: str = ''
    # The software's version, which has nothing to do with documents.
    version: str = ''
    slots: int = pydantic.Field(ge=1, le=10_000)
    state: str
    cold_left: str = '0ms'
    seq: int = pydantic.Field(ge=0)


def read_beat(incarnation: str, body: bytes) -> Result[Announcement, Problem]:
    """Read a check-in into an announcement."""
    try:
        beat = WireBeat.model_validate_json(body)
        warm_up = seconds(beat.cold_left)
    except ValueError as error:
        detail = ' '.join(str(error).split())[:200]
        return Failure(Problem(ResultCode.BAD_REQUEST, detail))
    if beat.state not in ('ready', 'draining'):
        detail = f'state {beat.state[:40]!r}'
        return Failure(Problem(ResultCode.BAD_REQUEST, detail))
    return Success(
        Announcement(
            incarnation=incarnation,
            service=beat.service,
            slots=beat.slots,
            draining=beat.state == 'draining',
            warm_up_seconds=warm_up,
            sequence=beat.seq,
            version=beat.version,
        )
    )


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
            read_whole(
                exchange,
                MOST_BEAT_BYTES,
                lambda body: self.take_beat(exchange, name, body),
            )
        elif exchange.method == 'POST' and path.startswith(LEAVE_PATH):
            name = path.removeprefix(LEAVE_PATH)
            read_whole(
                exchange,
                MOST_BEAT_BYTES,
                lambda _body: self.take_leave(exchange, name),
            )
        else:
            refuse(exchange, 404, Problem(ResultCode.NOT_FOUND, path[:100]))

    def take_beat(self, exchange: Exchange, name: str, body: bytes) -> None:
        found = read_beat(name, body)
        if isinstance(found, Failure):
            LOG.warning('check_in_refused', problem=found.failure().line())
            refuse(exchange, 400, found.failure())
            return
        announcement = found.unwrap()
        if not name or announcement.service != self.service:
            detail = f'{name!r} of service {announcement.service[:60]!r}'
            problem = Problem(ResultCode.BAD_REQUEST, detail)
            LOG.warning('check_in_refused', problem=problem.line())
            refuse(exchange, 400, problem)
            return
        self.gate.announce(announcement)
        answer(exchange, 200)

    def take_leave(self, exchange: Exchange, name: str) -> None:
        self.gate.target_leaves(name)
        answer(exchange, 200)
