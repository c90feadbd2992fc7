"""Operator commands, shared by the console and the command line."""

from collections.abc import Callable

from returns.result import Failure
from returns.result import Result

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.compression import compress
from cyclamenlift.core.problems import one_line
from cyclamenlift.core.problems import Problem
from cyclamenlift.events.change_identity import Change
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.publish_report import FieldProblem
from cyclamenlift.events.publish_report import PublishReport
from cyclamenlift.events.reports import StorageReport
from cyclamenlift.events.request_models import Publication
from cyclamenlift.events.request_models import StorageReplacement
from cyclamenlift.events.state import PublishOutcome
from cyclamenlift.models.document import document_from_text
from cyclamenlift.models.document import document_to_bytes
from cyclamenlift.models.document import EventDocument
from cyclamenlift.models.document import MAX_CANONICAL_BYTES
from cyclamenlift.wire.codec import encode_struct
from cyclamenlift.wire.gen.protocol.ttypes import Command
from cyclamenlift.wire.gen.protocol.ttypes import PublishCommand

# Maximum length of the detail reported for an unexpected error.
MAX_DETAIL_LENGTH = 200


def publish(
    context: ControlContext,
    publication: Publication,
    done: Callable[[PublishReport], None],
) -> None:
    """Publish a document; ``done`` is called once with the report.

    The document is validated before it is proposed. A failed proposal may
    still take effect unless the failure is NOT_LEADER, so it is reported as
    CHANGE_UNKNOWN and the operator retries with the same change id.
    """
    parsed = document_from_text(publication.document)
    if isinstance(parsed, Failure):
        done(invalid_report(context, parsed.failure()))
        return
    publish_document(
        context,
        parsed.unwrap(),
        Change(
            publication.change_id,
            publication.base_version,
            publication.operator_name,
        ),
        done,
    )


def publish_document(
    context: ControlContext,
    checked: EventDocument,
    change: Change,
    done: Callable[[PublishReport], None],
) -> None:
    """Publish a validated document; see ``publish``."""
    document = document_to_bytes(checked)
    if len(document) > MAX_CANONICAL_BYTES:
        problem = Problem(ResultCode.DOCUMENT_INVALID, 'the document is large')
        done(invalid_report(context, [problem]))
        return
    if not context.leads():
        done(not_leader_report(context))
        return
    command = PublishCommand(
        change_id=change.change_id,
        base_version=change.base_version,
        operator_name=change.operator_name,
        chosen_version=change.chosen_version,
        packed_document=compress(document),
    )

    def finish(result: Result[bytes, Problem]) -> None:
        done(publish_report(context, result))

    context.replica.propose(encode_struct(Command(publish=command)), finish)


def publish_report(
    context: ControlContext, result: Result[bytes, Problem]
) -> PublishReport:
    """Return the report for the result of a proposal."""
    if isinstance(result, Failure):
        if result.failure().code == ResultCode.NOT_LEADER:
            return not_leader_report(context)
        return PublishReport(
            ResultCode.CHANGE_UNKNOWN,
            context.instance,
            current_version=context.store.version,
            detail=result.failure().detail,
            leader=context.leader_hint(),
        )
    return outcome_report(context, PublishOutcome.from_json(result.unwrap()))


def outcome_report(
    context: ControlContext, outcome: PublishOutcome
) -> PublishReport:
    """Return the report for an outcome from the log."""
    return PublishReport(
        ResultCode(outcome.code),
        context.instance,
        outcome.version,
        outcome.current_version,
        outcome.detail,
    )


def invalid_report(
    context: ControlContext, problems: list[Problem]
) -> PublishReport:
    """Return a report of all errors of a rejected document."""
    fields = tuple(FieldProblem(p.where, p.detail) for p in problems)
    return PublishReport(
        ResultCode.DOCUMENT_INVALID,
        context.instance,
        current_version=context.store.version,
        detail=f'{len(fields)} errors' if len(fields) > 1 else '1 error',
        problems=fields,
    )


def internal_error_report(
    context: ControlContext, error: Exception
) -> PublishReport:
    """Return the rejection of a change that raised an internal error."""
    detail = one_line(f'{type(error).__name__}: {error}', MAX_DETAIL_LENGTH)
    problem = Problem(ResultCode.DOCUMENT_INVALID, detail)
    return invalid_report(context, [problem])


def not_leader_report(context: ControlContext) -> PublishReport:
    return PublishReport(
        ResultCode.NOT_LEADER,
        context.instance,
        current_version=context.store.version,
        leader=context.leader_hint(),
    )


def replace_storage(
    context: ControlContext,
    order: StorageReplacement,
    done: Callable[[StorageReport], None],
) -> None:
    """Accept a new storage in place of a lost one."""
    if not context.leads():
        report = StorageReport(
            ResultCode.NOT_LEADER,
            context.instance,
            leader=context.leader_hint(),
        )
        done(report)
        return

    def finish(result: Result[bytes, Problem]) -> None:
        done(storage_report(context, result))

    context.replica.replace_storage(order.instance, order.storage_id, finish)


def storage_report(
    context: ControlContext, result: Result[bytes, Problem]
) -> StorageReport:
    if isinstance(result, Failure):
        problem = result.failure()
        return StorageReport(
            problem.code,
            context.instance,
            problem.detail,
            context.leader_hint(),
        )
    return StorageReport(ResultCode.STORAGE_REPLACED, context.instance)
