"""Operator queries to a control instance."""

from collections.abc import Callable

from returns.result import Success

import cyclamenlift
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.reports import ControlReport
from cyclamenlift.events.reports import DocumentReport
from cyclamenlift.events.reports import EvacuationReport
from cyclamenlift.events.reports import HistoryReport

HISTORY_LIMIT = 200


def show(
    context: ControlContext,
    version: int,
    done: Callable[[DocumentReport], None],
) -> None:
    """Report one version of the document, 0 for the current one."""

    def finish(confirmed: bool) -> None:
        done(document_report(context, version, confirmed))

    confirm(context, finish)


def history(
    context: ControlContext,
    limit: int,
    done: Callable[[HistoryReport], None],
) -> None:
    """Report the newest versions and their authors."""

    def finish(confirmed: bool) -> None:
        records = context.store.history(min(max(1, limit), HISTORY_LIMIT))
        report = HistoryReport(
            ResultCode.ANSWERED,
            context.instance,
            context.store.version,
            confirmed,
            tuple(records),
            context.leader_hint(),
        )
        done(report)

    confirm(context, finish)


def status(context: ControlContext) -> ControlReport:
    """Report this instance's own view of its state."""
    return ControlReport(
        code=ResultCode.ANSWERED,
        kind='control',
        instance=context.instance,
        data_centre=context.data_centre,
        software=cyclamenlift.__version__,
        version=context.store.version,
        claims=len(context.ledger),
        ledger_time_ms=context.ledger.time_ms,
        replica=context.replica.status(),
        evacuated=evacuated_names(context),
    )


def evacuations(
    context: ControlContext,
    _number: int,
    done: Callable[[EvacuationReport], None],
) -> None:
    """Report the evacuated data centres."""

    def finish(confirmed: bool) -> None:
        report = EvacuationReport(
            ResultCode.ANSWERED,
            context.instance,
            context.evacuations.revision,
            confirmed,
            tuple(context.evacuations.evacuated()),
            tuple(sorted(context.find_data_centres())),
            context.leader_hint(),
        )
        done(report)

    confirm(context, finish)


def evacuated_names(context: ControlContext) -> tuple[str, ...]:
    """Return the names of the evacuated data centres."""
    records = context.evacuations.evacuated()
    return tuple(record.data_centre for record in records)


def confirm(context: ControlContext, done: Callable[[bool], None]) -> None:
    """Confirm leadership by a majority read; ``done`` gets the result.

    An instance that doesn't lead or is partitioned still answers with the data
    it has, but never as confirmed.
    """
    if not context.leads():
        done(False)
        return
    context.replica.read_barrier(
        lambda result: done(isinstance(result, Success))
    )


def document_report(
    context: ControlContext, version: int, confirmed: bool
) -> DocumentReport:
    """Return the report of a version, or that it isn't kept."""
    store = context.store
    data = store.document(version)
    code = ResultCode.ANSWERED if data else ResultCode.NOT_FOUND
    return DocumentReport(
        code,
        context.instance,
        version or store.version,
        store.version,
        confirmed,
        data.decode() if data else '',
        context.leader_hint(),
    )
