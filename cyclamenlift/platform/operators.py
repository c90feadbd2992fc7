"""The operators' calls, read into changes and queries of the product."""

import hashlib

from returns.result import Failure
import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.events.commands import Change
from cyclamenlift.events.commands import publish_document
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.partial import publish_partial
from cyclamenlift.events.queries import show
from cyclamenlift.events.reports import DocumentReport
from cyclamenlift.events.reports import PublishReport
from cyclamenlift.events.sight import log_sent_on
from cyclamenlift.events.sight import log_taken
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.json_requests import answer
from cyclamenlift.http.json_requests import JSON_TYPE
from cyclamenlift.http.json_requests import read_whole
from cyclamenlift.http.json_requests import refuse
from cyclamenlift.models.document import document_from_bytes
from cyclamenlift.platform.dialect import BASE_VERSION_FIELD
from cyclamenlift.platform.documents import edit_document
from cyclamenlift.platform.documents import read_configuration
from cyclamenlift.platform.documents import read_version

REPLACE_PATH = '/v1/Config.Replace'
PATCH_PATH = '/v1/Config.Patch'
GET_PATH = '/v1/Config.Get'
# 1,400 routes have 219 KB as they are sent, so 10,000, the most of a document,
# 1.6 MB (worked out); routes with several shares need more.
MOST_CHANGE_BYTES = 4 * 1024 * 1024
STATUS_OF = {
    ResultCode.CHANGE_ACCEPTED: 200,
    ResultCode.VERSION_CONFLICT: 412,
    ResultCode.DOCUMENT_INVALID: 400,
    ResultCode.CHANGE_ID_REUSED: 409,
    ResultCode.BAD_REQUEST: 400,
}
NOT_SURE = 503
LOG = structlog.get_logger('operators')


class OperatorCalls:
    """Takes changes and reads of the configuration.

    Only a leader answers them; another instance names the leader's place,
    which is the same port on the leader's host.
    """

    def __init__(self, context: ControlContext, port: int):
        self.context = context
        self.port = port

    def take(self, exchange: Exchange) -> None:
        """Take one request on the operators' address."""
        path = exchange.path.partition('?')[0]
        if (exchange.method, path) == ('GET', GET_PATH):
            self.take_get(exchange)
        elif exchange.method == 'POST' and path in (REPLACE_PATH, PATCH_PATH):
            read_whole(
                exchange,
                MOST_CHANGE_BYTES,
                lambda body: self.take_change(exchange, path, body),
            )
        else:
            refuse(exchange, 404, Problem(ResultCode.NOT_FOUND, path[:100]))

    def take_get(self, exchange: Exchange) -> None:
        """Answer with the newest configuration, if sure to have it."""
        if not self.context.leads():
            self.send_to_leader(exchange)
            return
        show(self.context, 0, lambda report: self.give(exchange, report))

    def give(self, exchange: Exchange, report: DocumentReport) -> None:
        if not report.confirmed or not report.document:
            problem = Problem(ResultCode.NOT_LEADER, 'not sure to be newest')
            refuse(exchange, NOT_SURE, problem)
            return
        source = document_from_bytes(report.document.encode()).source
        exchange.respond(200, [JSON_TYPE], source.encode())

    def take_change(self, exchange: Exchange, path: str, body: bytes) -> None:
        base = exchange.header(BASE_VERSION_FIELD) or ''
        version = read_version(body)
        if not (base.isascii() and base.isdigit() and len(base) <= 15):
            problem = Problem(ResultCode.BAD_REQUEST, BASE_VERSION_FIELD)
            self.refuse_change(exchange, problem)
            return
        if isinstance(version, Failure):
            self.refuse_change(exchange, version.failure())
            return
        change = Change(
            change_id=change_id(path, base, body),
            base_version=int(base),
            chosen_version=version.unwrap(),
        )
        log_taken(change, path, exchange.remote, self.context.replica.leader)
        if not self.context.leads():
            self.send_to_leader(exchange)
            return
        if path == REPLACE_PATH:
            self.replace(exchange, change, body)
        else:
            self.patch(exchange, change, body)

    def replace(self, exchange: Exchange, change: Change, body: bytes) -> None:
        document = read_configuration(body)
        if isinstance(document, Failure):
            self.refuse_change(exchange, document.failure())
            return
        publish_document(
            self.context,
            document.unwrap(),
            change,
            lambda report: self.finish(exchange, change, report),
        )

    def patch(self, exchange: Exchange, change: Change, body: bytes) -> None:
        publish_partial(
            self.context,
            change,
            lambda document: edit_document(document, body),
            lambda report: self.finish(exchange, change, report),
        )

    def refuse_change(self, exchange: Exchange, problem: Problem) -> None:
        LOG.info('change_refused', problem=problem.line())
        refuse(exchange, STATUS_OF.get(problem.code, 400), problem)

    def finish(
        self, exchange: Exchange, change: Change, report: PublishReport
    ) -> None:
        """Answer with what became of a change."""
        LOG.info(
            'change_answered',
            code=int(report.code),
            change=change.change_id[:12],
            base=change.base_version,
            chosen=change.chosen_version,
            current=report.current_version,
            detail=report.detail,
        )
        if report.code == ResultCode.NOT_LEADER:
            self.send_to_leader(exchange)
            return
        status = STATUS_OF.get(report.code, NOT_SURE)
        if status == 200:
            answer(exchange, 200, {'version': report.version})
            return
        detail = report.detail
        if report.problems:
            first = report.problems[0]
            detail = f'{first.path} {first.detail}'.strip()
        refuse(exchange, status, Problem(report.code, detail))

    def send_to_leader(self, exchange: Exchange) -> None:
        """Name the leader's place, or say that there is none now."""
        leader = self.context.leader_hint()
        log_sent_on(exchange.path, leader)
        if not leader:
            problem = Problem(ResultCode.NOT_LEADER, 'no leader is known')
            refuse(exchange, NOT_SURE, problem)
            return
        place = f'http://{leader}:{self.port}{exchange.path}'
        answer(exchange, 307, None, (('Location', place),))


def change_id(path: str, base: str, body: bytes) -> str:
    """Return a name that a change keeps when it is sent again unchanged."""
    digest = hashlib.sha256(f'{path}\n{base}\n'.encode() + body)
    return digest.hexdigest()
