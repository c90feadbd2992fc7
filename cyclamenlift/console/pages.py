"""Console pages: view, edit, publish, history and control instances."""

import json

from circuits.web.controllers import BaseController
from circuits.web.controllers import expose
import pydantic
import structlog

from cyclamenlift.console.control_interface import ControlInterface
from cyclamenlift.console.editing import Draft
from cyclamenlift.console.editing import draft_from_fields
from cyclamenlift.console.rendering import render
from cyclamenlift.console.views import blank_document
from cyclamenlift.console.views import FormBuilder
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.numbers import read_unsigned
from cyclamenlift.core.problems import Problem
from cyclamenlift.events.publish_report import PublishReport
from cyclamenlift.events.reports import DocumentReport
from cyclamenlift.events.reports import StorageReport
from cyclamenlift.events.request_models import StorageReplacement
from cyclamenlift.http.pages import Deferred
from cyclamenlift.http.pages import parse_form
from cyclamenlift.http.pages import parse_query
from cyclamenlift.http.pages import problem_response
from cyclamenlift.http.pages import WebResponse

LOG = structlog.get_logger('console')
HISTORY_LENGTH = 50
# After these results the same change may be resubmitted with its change id.
RESUBMITTABLE_CODES = (
    ResultCode.CHANGE_UNKNOWN,
    ResultCode.NOT_LEADER,
    ResultCode.DOCUMENT_INVALID,
)

Answer = Deferred | WebResponse


class ConsolePages(BaseController):
    """Serves ``/``, ``/edit``, ``/version``, ``/history``, ``/instances``."""

    channel = '/'

    def __init__(self, control: ControlInterface):
        super().__init__()
        self.control = control

    @expose('index')
    def index(self) -> Answer:
        """Show the document in force."""
        return show_version(self.control, 0)

    @expose('version')
    def version(self) -> Answer:
        """Show one version."""
        return show_version(self.control, requested_version(self.request))

    @expose('edit')
    def edit(self) -> Answer:
        """Show the form for a version (GET) or process it (POST)."""
        if self.request.method == 'POST':
            return handle_form(self.control, self.request)
        return show_form(self.control, requested_version(self.request))

    @expose('history')
    def history(self) -> Answer:
        """List the newest versions and who published them."""
        deferred = Deferred()
        self.control.history(
            HISTORY_LENGTH,
            lambda report: deferred.resolve(
                render('history.html', report.code, report=report)
            ),
        )
        return deferred

    @expose('instances')
    def instances(self) -> Answer:
        """Show the control instances (GET) or replace a storage (POST)."""
        if self.request.method == 'POST':
            return replace_storage(self.control, self.request)
        return show_instances(self.control, None)


# Helpers are module functions: circuits serves every controller method.


def requested_version(request) -> int:
    """Return the version in the query, 0 (the newest) if missing."""
    text = parse_query(request).get('version', '')
    return read_unsigned(text) or 0


def show_version(control: ControlInterface, version: int) -> Deferred:
    deferred = Deferred()

    def finish(report: DocumentReport) -> None:
        document = json.loads(report.document) if report.document else None
        code = report.code
        if not document and not report.current_version:
            # A new cluster has no document yet; that is not an error.
            code = ResultCode.ANSWERED
        deferred.resolve(
            render('event.html', code, report=report, document=document)
        )

    control.show(version, finish)
    return deferred


def show_form(control: ControlInterface, version: int) -> Deferred:
    """Render the form for a version, with the newest version as its base."""
    deferred = Deferred()

    def finish(report: DocumentReport) -> None:
        value = json.loads(report.document) if report.document else None
        draft = Draft(value or blank_document(), report.current_version)
        draft.assign_change_id()
        deferred.resolve(render_form(draft, ResultCode.ANSWERED))

    control.show(version, finish)
    return deferred


def handle_form(control: ControlInterface, request) -> Answer:
    """Edit rows, validate or publish; the form keeps its values."""
    try:
        draft = draft_from_fields(parse_form(request))
    except ValueError as error:
        return problem_response(Problem(ResultCode.BAD_REQUEST, str(error)))
    if draft.edit_rows():
        return render_form(draft, ResultCode.ANSWERED)
    if draft.action == 'take-text':
        return render_form(draft, validation_code(draft.load_text()))
    if draft.action == 'check':
        valid = draft.check()
        return render_form(draft, validation_code(valid), checked=valid)
    if draft.action == 'rebase':
        return rebase(control, draft)
    if draft.action == 'publish':
        return publish(control, draft)
    detail = f'unknown action {draft.action[:50]!r}'
    return problem_response(Problem(ResultCode.BAD_REQUEST, detail))


def validation_code(valid: bool) -> ResultCode:
    return ResultCode.ANSWERED if valid else ResultCode.DOCUMENT_INVALID


def rebase(control: ControlInterface, draft: Draft) -> Deferred:
    """Set the newest version as the base, under a new change id."""
    deferred = Deferred()

    def finish(report: DocumentReport) -> None:
        draft.base_version = report.current_version
        draft.assign_change_id()
        deferred.resolve(render_form(draft, ResultCode.ANSWERED))

    control.show(0, finish)
    return deferred


def publish(control: ControlInterface, draft: Draft) -> Answer:
    """Publish the draft; answer once the outcome is known."""
    try:
        change = draft.publication()
    except pydantic.ValidationError as error:
        detail = error.errors()[0]['msg']
        return problem_response(Problem(ResultCode.BAD_REQUEST, detail))
    deferred = Deferred()

    def finish(report: PublishReport) -> None:
        LOG.info(
            'console_published',
            change_id=draft.change_id,
            code=int(report.code),
            version=report.version,
        )
        draft.set_problems(report.problems)
        if report.code == ResultCode.CHANGE_ACCEPTED:
            answer = render('accepted.html', report.code, report=report)
        else:
            if report.code not in RESUBMITTABLE_CODES:
                draft.assign_change_id()
            answer = render_form(draft, report.code, report=report)
        deferred.resolve(answer)

    control.publish(change, finish)
    return deferred


def render_form(
    draft: Draft,
    code: ResultCode,
    report: PublishReport | None = None,
    checked: bool = False,
) -> WebResponse:
    form = FormBuilder(draft.value, draft.problems).build()
    return render(
        'edit.html',
        code,
        draft=draft,
        form=form,
        report=report,
        checked=checked,
    )


def show_instances(
    control: ControlInterface, done: StorageReport | None
) -> Deferred:
    deferred = Deferred()
    code = ResultCode.ANSWERED if done is None else done.code
    control.status(
        lambda report: deferred.resolve(
            render('instances.html', code, report=report, done=done)
        )
    )
    return deferred


def replace_storage(control: ControlInterface, request) -> Answer:
    """Request a replacement, then show the instances with its outcome."""
    try:
        replacement = StorageReplacement(**dict(parse_form(request)))
    except (ValueError, TypeError):
        detail = 'instance and storage_id are required'
        return problem_response(Problem(ResultCode.BAD_REQUEST, detail))
    deferred = Deferred()

    def finish(report: StorageReport) -> None:
        page = show_instances(control, report)
        page.then(deferred.resolve)

    control.replace_storage(replacement, finish)
    return deferred
