"""The JSON interface for operators on a control instance."""

from collections.abc import Callable

from circuits.web.controllers import Controller
from circuits.web.controllers import expose
from returns.result import Failure

from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.events.border import Publication
from cyclamenlift.events.border import read_border
from cyclamenlift.events.border import StorageReplacement
from cyclamenlift.events.commands import publish
from cyclamenlift.events.commands import replace_storage
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.queries import history
from cyclamenlift.events.queries import HISTORY_LIMIT
from cyclamenlift.events.queries import show
from cyclamenlift.events.queries import status
from cyclamenlift.events.reports import report_to_json
from cyclamenlift.http.pages import Deferred
from cyclamenlift.http.pages import JSON
from cyclamenlift.http.pages import problem_answer
from cyclamenlift.http.pages import query_of
from cyclamenlift.http.pages import WebAnswer

MAX_DIGITS = 18


class ControlApi(Controller):
    """``/api``: every answer is a JSON report with a result code."""

    channel = '/api'

    def __init__(self, context: ControlContext):
        super().__init__()
        self.context = context

    @expose('publish')
    def publish(self) -> Deferred | WebAnswer:
        """Publish a document (POST)."""
        return run_command(self, Publication, publish)

    @expose('replace-storage')
    def replace_storage(self) -> Deferred | WebAnswer:
        """Accept the new storage of an instance as a voter (POST)."""
        return run_command(self, StorageReplacement, replace_storage)

    @expose('document')
    def document(self) -> Deferred | WebAnswer:
        """Return a version of the document, by default the newest."""
        return run_query(self, 'version', 0, show)

    @expose('history')
    def history(self) -> Deferred | WebAnswer:
        """Return the authors and times of the newest versions."""
        return run_query(self, 'limit', HISTORY_LIMIT, history)

    @expose('status')
    def status(self) -> WebAnswer:
        """Return the state of this instance."""
        return report_answer(status(self.context))


# Module-level functions: circuits exposes every method of a controller.


def run_command(
    page: ControlApi, kind: type, command: Callable
) -> Deferred | WebAnswer:
    """Validate the JSON body as ``kind`` and run a command with it."""
    if page.request.method != 'POST':
        return problem_answer(Problem(ResultCode.METHOD_NOT_ALLOWED))
    order = read_border(kind, page.request.content)
    if isinstance(order, Failure):
        return problem_answer(order.failure())
    deferred = Deferred()
    command(
        page.context,
        order.unwrap(),
        lambda report: deferred.resolve(report_answer(report)),
    )
    return deferred


def run_query(
    page: ControlApi, name: str, default: int, query: Callable
) -> Deferred | WebAnswer:
    """Read a number from the query string and run a query with it."""
    text = query_of(page.request).get(name, str(default))
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        detail = f'{text[:50]!r} is not a whole number'
        return problem_answer(Problem(ResultCode.BAD_REQUEST, detail, name))
    deferred = Deferred()
    query(
        page.context,
        int(text),
        lambda report: deferred.resolve(report_answer(report)),
    )
    return deferred


def report_answer(report) -> WebAnswer:
    """Return a report as JSON with the HTTP status of its code."""
    status_code = describe(report.code).status or 200
    return WebAnswer(report_to_json(report), status_code, JSON)
