"""HTTP interface for operators: configurations and evacuations."""

from collections.abc import Callable

from returns.result import Failure
import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.numbers import read_unsigned
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import Scheduler
from cyclamenlift.events.commands import invalid_report
from cyclamenlift.events.commands import publish_document
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.evacuation_orders import EVACUATE
from cyclamenlift.events.evacuation_orders import EvacuationRequest
from cyclamenlift.events.evacuation_orders import TAKE_BACK
from cyclamenlift.events.orders import log_answered
from cyclamenlift.events.orders import log_redirected
from cyclamenlift.events.orders import Order
from cyclamenlift.events.orders import order_from
from cyclamenlift.events.orders import ORDER_KINDS
from cyclamenlift.events.orders import OrderDone
from cyclamenlift.events.orders import OrderHandler
from cyclamenlift.events.orders import UNDECIDED_CODES
from cyclamenlift.events.partial_changes import publish_partial
from cyclamenlift.events.publish_report import PublishReport
from cyclamenlift.events.reports import DocumentReport
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.json_requests import JSON_TYPE
from cyclamenlift.http.json_requests import read_body
from cyclamenlift.http.json_requests import reject
from cyclamenlift.http.json_requests import send_json
from cyclamenlift.models.document import document_from_bytes
from cyclamenlift.platform.dialect import BASE_VERSION_FIELD
from cyclamenlift.platform.documents import edit_document
from cyclamenlift.platform.documents import read_configuration
from cyclamenlift.platform.documents import read_version

REPLACE_PATH = '/v1/Config.Replace'
PATCH_PATH = '/v1/Config.Patch'
GET_PATH = '/v1/Config.Get'
EVACUATE_PATH = '/v1/Evacuate.Start/'
TAKE_BACK_PATH = '/v1/Evacuate.Finish/'
# A request with 1,400 routes takes 219 KB, so the maximum of 10,000 routes is
# estimated at 1.6 MB; routes with several services need more.
MAX_CHANGE_BYTES = 4 * 1024 * 1024
STATUS_BY_CODE = {
    ResultCode.CHANGE_ACCEPTED: 200,
    ResultCode.VERSION_CONFLICT: 412,
    ResultCode.DOCUMENT_INVALID: 400,
    ResultCode.CHANGE_ID_REUSED: 409,
    ResultCode.BAD_REQUEST: 400,
    ResultCode.CHANGE_UNKNOWN: 504,
    ResultCode.EVACUATION_REFUSED: 409,
    ResultCode.DATA_CENTRE_UNKNOWN: 404,
}
UNAVAILABLE = 503
LOG = structlog.get_logger('operators')


@ORDER_KINDS.register(REPLACE_PATH)
def replace(context: ControlContext, order: Order, done: OrderDone) -> None:
    """Publish a complete configuration."""
    document = read_configuration(order.body)
    if isinstance(document, Failure):
        done(invalid_report(context, [document.failure()]))
        return
    publish_document(context, document.unwrap(), order.change, done)


@ORDER_KINDS.register(PATCH_PATH)
def patch(context: ControlContext, order: Order, done: OrderDone) -> None:
    """Publish a partial change."""
    publish_partial(
        context,
        order.change,
        lambda document: edit_document(document, order.body),
        done,
    )


class OperatorEndpoint:
    """Serves changes and reads of the configuration.

    Every instance accepts changes unless they are large. Large changes and
    reads are redirected to the same port of the leader's host.
    """

    def __init__(
        self,
        orders: OrderHandler,
        scheduler: Scheduler,
        port: int,
        evacuation_revision: Callable[[], int],
    ):
        self.orders = orders
        self.scheduler = scheduler
        self.port = port
        self.evacuation_revision = evacuation_revision

    def handle(self, exchange: Exchange) -> None:
        """Handle a request from an operator."""
        path = exchange.path.partition('?')[0]
        if (exchange.method, path) == ('GET', GET_PATH):
            self.on_get(exchange)
        elif exchange.method == 'POST' and path.startswith(EVACUATE_PATH):
            self.on_evacuation(exchange, EVACUATE, path[len(EVACUATE_PATH) :])
        elif exchange.method == 'POST' and path.startswith(TAKE_BACK_PATH):
            name = path[len(TAKE_BACK_PATH) :]
            self.on_evacuation(exchange, TAKE_BACK, name)
        elif exchange.method != 'POST' or path not in ORDER_KINDS.items:
            reject(exchange, 404, Problem(ResultCode.NOT_FOUND, path[:100]))
        elif not self.orders.accepts_size(exchange.body_length):
            self.redirect(exchange, self.orders.location())
        else:
            read_body(
                exchange,
                MAX_CHANGE_BYTES,
                lambda body: self.on_change(exchange, path, body),
            )

    def on_get(self, exchange: Exchange) -> None:
        """Answer with the newest configuration, or redirect the request."""
        if not self.orders.read(lambda report: self.reply(exchange, report)):
            self.redirect(exchange, self.orders.location())

    def reply(self, exchange: Exchange, report: DocumentReport) -> None:
        if not report.confirmed or not report.document:
            self.refuse_unavailable(exchange, 'not sure to be newest')
            return
        source = document_from_bytes(report.document.encode()).source
        exchange.respond(200, [JSON_TYPE], source.encode())

    def on_evacuation(
        self, exchange: Exchange, kind: str, data_centre: str
    ) -> None:
        """Handle an order for a data centre; it has no body."""
        request = EvacuationRequest(
            self.orders,
            self.scheduler,
            kind,
            data_centre,
            exchange.remote,
            exchange.is_awaited,
            lambda order, report: self.finish(exchange, order, report),
        )
        request.send(self.evacuation_revision())

    def on_change(self, exchange: Exchange, path: str, body: bytes) -> None:
        base = read_unsigned(exchange.header(BASE_VERSION_FIELD) or '')
        version = read_version(body)
        if base is None:
            problem = Problem(ResultCode.BAD_REQUEST, BASE_VERSION_FIELD)
            self.refuse_change(exchange, problem)
            return
        if isinstance(version, Failure):
            self.refuse_change(exchange, version.failure())
            return
        order = order_from(path, base, version.unwrap(), body)
        self.orders.handle(
            order,
            exchange.remote,
            lambda report: self.finish(exchange, order, report),
        )

    def refuse_unavailable(self, exchange: Exchange, detail: str) -> None:
        reject(exchange, UNAVAILABLE, Problem(ResultCode.NOT_LEADER, detail))

    def refuse_change(self, exchange: Exchange, problem: Problem) -> None:
        LOG.info('change_refused', problem=problem.line())
        reject(exchange, STATUS_BY_CODE.get(problem.code, 400), problem)

    def finish(
        self, exchange: Exchange, order: Order, report: PublishReport
    ) -> None:
        """Answer a change with its outcome."""
        log_answered(order, report)
        alternate_address = self.orders.alternate_address()
        if report.code in UNDECIDED_CODES and alternate_address is not None:
            self.redirect(exchange, alternate_address)
            return
        status = STATUS_BY_CODE.get(report.code, UNAVAILABLE)
        if status == 200:
            send_json(exchange, 200, {'version': report.version})
        else:
            reject(exchange, status, Problem(report.code, report.summary()))

    def redirect(self, exchange: Exchange, address: Address | None) -> None:
        """Redirect to another instance, or refuse if none is known."""
        log_redirected(exchange.path, address)
        if address is None:
            self.refuse_unavailable(exchange, 'no leader is known')
            return
        location = f'http://{address.host}:{self.port}{exchange.path}'
        send_json(exchange, 307, None, (('Location', location),))
