"""Partial changes, applied to the newest full document.

The leader edits the current document and publishes the result with that
version as its base: if another change is committed first, it wins and the
partial change gets a version conflict. This module doesn't depend on how
partial changes are encoded.
"""

from collections.abc import Callable

from returns.result import Failure
from returns.result import Result
import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.events.change_identity import Change
from cyclamenlift.events.commands import internal_error_report
from cyclamenlift.events.commands import invalid_report
from cyclamenlift.events.commands import not_leader_report
from cyclamenlift.events.commands import outcome_report
from cyclamenlift.events.commands import publish_document
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.publish_report import PublishReport
from cyclamenlift.events.queries import confirm
from cyclamenlift.models.document import document_from_bytes
from cyclamenlift.models.document import EventDocument

LOG = structlog.get_logger('orders')
Edit = Callable[[EventDocument], Result[EventDocument, Problem]]
Done = Callable[[PublishReport], None]


def publish_partial(
    context: ControlContext, change: Change, edit: Edit, done: Done
) -> None:
    """Publish the current document as modified by ``edit``.

    Leadership is confirmed first: a new leader may not yet have applied all
    committed entries, which may include an earlier attempt of this very
    change. A change with a recorded outcome gets that outcome again.
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
        # This runs inside the replica, which stops on an unhandled error.
        LOG.exception('order_failed', order=change.short_id)
        done(internal_error_report(context, error))
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
