"""Changes of a part of the document, made on the newest whole one.

The leader makes the new document from the one in force and publishes it
with that version as its base: a change that came in between wins, and the
partial one is told so. Nothing here depends on how a part is written down.
"""

from collections.abc import Callable

from returns.result import Failure
from returns.result import Result
import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.events.commands import Change
from cyclamenlift.events.commands import failed_report
from cyclamenlift.events.commands import invalid_report
from cyclamenlift.events.commands import not_leader_report
from cyclamenlift.events.commands import outcome_report
from cyclamenlift.events.commands import publish_document
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.queries import confirm
from cyclamenlift.events.reports import PublishReport
from cyclamenlift.models.document import document_from_bytes
from cyclamenlift.models.document import EventDocument

LOG = structlog.get_logger('orders')
Edit = Callable[[EventDocument], Result[EventDocument, Problem]]
Done = Callable[[PublishReport], None]


def publish_partial(
    context: ControlContext, change: Change, edit: Edit, done: Done
) -> None:
    """Publish what ``edit`` makes of the document in force.

    Leadership is confirmed first: an instance that leads anew may not have
    run yet what was committed before, such as this very change, sent once
    already. A change that was answered before gets that answer again.
    """

    def begin(confirmed: bool) -> None:
        if not confirmed:
            done(not_leader_report(context))
            return
        known = context.store.changes.get(change.change_id)
        if known is not None:
            done(outcome_report(context, known.outcome))
        elif context.store.version != change.base_version:
            done(conflict_report(context, change))
        else:
            publish_edited(context, change, edit, done)

    confirm(context, begin)


def publish_edited(
    context: ControlContext, change: Change, edit: Edit, done: Done
) -> None:
    data = context.store.document()
    if data is None:
        done(conflict_report(context, change))
        return
    try:
        edited = edit(document_from_bytes(data))
    except Exception as error:
        # This runs within the replica, which stops at an error of its own.
        LOG.exception('order_failed', order=change.shown_id)
        done(failed_report(context, error))
        return
    if isinstance(edited, Failure):
        done(invalid_report(context, [edited.failure()]))
        return
    publish_document(context, edited.unwrap(), change, done)


def conflict_report(context: ControlContext, change: Change) -> PublishReport:
    current = context.store.version
    return PublishReport(
        ResultCode.VERSION_CONFLICT,
        context.instance,
        current_version=current,
        detail=f'based on {change.base_version}, current is {current}',
    )
