"""The JSON interface for operators on a control instance."""

from collections.abc import Callable

from circuits.web.controllers import Controller
from circuits.web.controllers import expose
from returns.result import Failure

from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.numbers import read_unsigned
from cyclamenlift.core.problems import Problem
from cyclamenlift.events.commands import publish
from cyclamenlift.events.commands import replace_storage
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.evacuation_orders import change_evacuation
from cyclamenlift.events.queries import evacuations
from cyclamenlift.events.queries import history
from cyclamenlift.events.queries import HISTORY_LIMIT
from cyclamenlift.events.queries import show
from cyclamenlift.events.queries import status
from cyclamenlift.events.reports import report_to_json
from cyclamenlift.events.request_models import EvacuationChange
from cyclamenlift.events.request_models import parse_request_body
from cyclamenlift.events.request_models import Publication
from cyclamenlift.events.request_models import StorageReplacement
from cyclamenlift.http.pages import Deferred
from cyclamenlift.http.pages import JSON
from cyclamenlift.http.pages import parse_query
from cyclamenlift.http.pages import problem_response
from cyclamenlift.http.pages import WebResponse


class ControlApi(Controller):
    """``/api``: every answer is a JSON report with a result code."""

    channel = '/api'

    def __init__(self, context: ControlContext):
        super().__init__()
        self.context = context

    @expose('publish')
    def publish(self) -> Deferred | WebResponse:
        """Publish a document (POST)."""
        return run_command(self, Publication, publish)

    @expose('replace-storage')
    def replace_storage(self) -> Deferred | WebResponse:
        """Accept the new storage of an instance as a voter (POST)."""
        return run_command(self, StorageReplacement, replace_storage)

    @expose('evacuate')
    def evacuate(self) -> Deferred | WebResponse:
        """Evacuate a data centre or take it back (POST)."""
        return run_command(self, EvacuationChange, change_evacuation)

    @expose('evacuations')
    def evacuations(self) -> Deferred | WebResponse:
        """Return the evacuated data centres."""
        return run_query(self, 'limit', 0, evacuations)

    @expose('document')
    def document(self) -> Deferred | WebResponse:
        """Return a version of the document, by default the newest."""
        return run_query(self, 'version', 0, show)

    @expose('history')
    def history(self) -> Deferred | WebResponse:
        """Return the authors and times of the newest versions."""
        return run_query(self, 'limit', HISTORY_LIMIT, history)

    @expose('status')
    def status(self) -> WebResponse:
        """Return the state of this instance."""
        return report_answer(status(self.context))


# Module-level functions: circuits exposes every method of a controller.


def run_command(
    page: ControlApi, kind: type, command: Callable
) -> Deferred | WebResponse:
    """Validate the JSON body as ``kind`` and run a command with it."""
    if page.request.method != 'POST':
        return problem_response(Problem(ResultCode.METHOD_NOT_ALLOWED))
    order = parse_request_body(kind, page.request.content)
    if isinstance(order, Failure):
        return problem_response(order.failure())
    deferred = Deferred()
    command(
        page.context,
        order.unwrap(),
        lambda report: deferred.resolve(report_answer(report)),
    )
    return deferred


def run_query(
    page: ControlApi, name: str, default: int, query: Callable
) -> Deferred | WebResponse:
    """Read a number from the query string and run a query with it."""
    text = parse_query(page.request).get(name, str(default))
    number = read_unsigned(text)
    if number is None:
        detail = f'{text[:50]!r} is no whole number'
        return problem_response(Problem(ResultCode.BAD_REQUEST, detail, name))
    deferred = Deferred()
    query(
        page.context,
        number,
        lambda report: deferred.resolve(report_answer(report)),
    )
    return deferred


def report_answer(report) -> WebResponse:
    """Return a report as JSON with the HTTP status of its code."""
    status_code = describe(report.code).status or 200
    return WebResponse(report_to_json(report), status_code, JSON)
