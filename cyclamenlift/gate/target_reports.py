"""Applies what the target says of itself in its responses.

All responses to calls and to requests for the health page come here, so that
each statement of a target has one reader.
"""

from collections.abc import Callable
import typing

import structlog

from cyclamenlift.gate.decision_log import log_cold
from cyclamenlift.gate.decision_log import log_declared_limit
from cyclamenlift.gate.registration import is_older
from cyclamenlift.gate.registration import UNKNOWN_START
from cyclamenlift.gate.verdicts import AnswerVerdict
from cyclamenlift.http.headers import find_header
from cyclamenlift.http.headers import Headers
from cyclamenlift.http.target_reports import parse_report
from cyclamenlift.http.target_reports import TargetReport
from cyclamenlift.wire.gen.protocol.ttypes import TargetStatement

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.tasks import Gate

LOG = structlog.get_logger('gate')
# A change of the limit by more than this factor is sent to entries at once;
# smaller ones reach them with the next answers.
LIMIT_STEP = 1.3


class TargetReports:
    """Handles the reports of the gate's target."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate
        # Name and start for which an outdated statement has been logged.
        self.outdated_logged_for = ('', 0)

    # -- commands ---------------------------------------------------------

    def note_answer(
        self,
        headers: Headers,
        sent_at: float,
        verdict: AnswerVerdict = AnswerVerdict.ANSWER,
    ) -> None:
        """Apply the report in the response to a call sent at ``sent_at``.

        The load is that of whatever target listens at the address now. It
        comes last, since it may start calls that wait.
        """
        report = self.read(headers)
        if verdict is not AnswerVerdict.REPLACED:
            self.apply_answer(report, sent_at, verdict)
        self.note_load(report)

    def note_page(self, headers: Headers, asked_at: float) -> None:
        """Apply the report on the health page asked for at ``asked_at``.

        Another target may have answered: only the known one is believed.
        """
        report = self.read(headers)
        self.apply_page(
            report, headers, asked_at, self.is_of_known_start(asked_at)
        )
        self.note_load(report)

    def note_identifying_page(self, headers: Headers, asked_at: float) -> None:
        """Apply the page by which the target has just been identified.

        Its load was applied before.
        """
        report = parse_report(headers, self.gate.dialect)
        self.apply_page(report, headers, asked_at, of_known_start=True)

    def note_hearsay(self, statement: TargetStatement | None) -> None:
        """Apply what an entry was told of the target by a predecessor.

        The target may have started again under its name since then. An entry
        of an earlier release names no start; what it was told is from before
        this process.
        """
        if statement is None:
            return
        registration = self.gate.registration
        if statement.incarnation != registration.incarnation:
            return
        if self.is_outdated(statement):
            self.log_outdated(statement)
            return
        if statement.leaving and not registration.draining:
            self.gate.target_leaves(
                statement.incarnation,
                statement.born_ms or UNKNOWN_START,
                'entry',
                told_by_ms=self.gate.announcements.started_ms,
            )
        rate = statement.calls_per_second
        if rate is not None:
            declared = self.gate.state.start_limits.declared
            self.apply_limit(lambda: declared.note_hearsay(rate), 'entry')

    # -- queries ----------------------------------------------------------

    def is_outdated(self, statement: TargetStatement) -> bool:
        """Return whether a statement is of an earlier start of the target."""
        registration = self.gate.registration
        if not statement.born_ms:
            started_ms = self.gate.announcements.started_ms
            return is_older(started_ms, registration.born_ms)
        return registration.is_earlier(
            statement.incarnation, statement.born_ms
        )

    def statement(self) -> TargetStatement | None:
        """Return what entries are to remember of the target, if anything."""
        registration = self.gate.registration
        rate = self.gate.state.start_limits.declared.calls_per_second
        if rate is None and not registration.draining:
            return None
        return TargetStatement(
            registration.incarnation,
            registration.draining,
            rate,
            registration.born_ms or None,
        )

    def is_of_known_start(self, asked_at: float) -> bool:
        """Return whether a response is not of an earlier start of the target.

        One to a request from before the known start was announced may be.
        """
        return asked_at >= self.gate.announcements.known_since

    def is_by_known_target(self, headers: Headers) -> bool:
        """Return whether a page names the incarnation that is known."""
        name = find_header(headers, self.gate.dialect.incarnation)
        return bool(name) and name == self.gate.registration.incarnation

    def is_statement(
        self, report: TargetReport, verdict: AnswerVerdict
    ) -> bool:
        """Return whether an answer tells what limit is in force.

        Damaged answers end no limit, and neither does an unreadable one.
        """
        if report.calls_per_second is not None:
            return True
        if verdict is not AnswerVerdict.ANSWER:
            return False
        return report.could_read(self.gate.dialect.calls_per_second)

    # -- steps ------------------------------------------------------------

    def read(self, headers: Headers) -> TargetReport:
        """Read a report and log what could not be understood."""
        report = parse_report(headers, self.gate.dialect)
        for field in report.unreadable:
            LOG.warning(
                'target_report_unreadable',
                incarnation=self.gate.registration.incarnation,
                field=field.name,
                value=field.value,
            )
        return report

    def apply_answer(
        self, report: TargetReport, sent_at: float, verdict: AnswerVerdict
    ) -> None:
        """Apply what the target says of itself in an answer to a call."""
        if not self.is_of_known_start(sent_at):
            return
        if report.leaving and verdict is not AnswerVerdict.UNPROVEN:
            self.note_leaving('answer')
        if not self.is_statement(report, verdict):
            return
        declared = self.gate.state.start_limits.declared
        rate = report.calls_per_second
        now = self.gate.now()
        self.apply_limit(
            lambda: declared.note_answer(rate, sent_at, now), 'answer'
        )

    def apply_page(
        self,
        report: TargetReport,
        headers: Headers,
        asked_at: float,
        of_known_start: bool,
    ) -> None:
        """Apply what a page says that only the known target may say.

        A page of an earlier start does no harm by saying that the target is
        warm: it has to say so again before it gets more than a cold one.
        """
        if not self.is_by_known_target(headers):
            return
        self.note_cold(report, asked_at)
        if not of_known_start:
            return
        if report.leaving:
            self.note_leaving('page')
        self.note_limit_on_page(report, asked_at)

    def note_load(self, report: TargetReport) -> None:
        """Record the load that the target reports and act on its pace."""
        if report.load is None:
            return
        gate = self.gate
        now = gate.now()
        gate.state.note_target_load(report.load, now)
        gate.notify_pace_change(now)
        if gate.state.queue:
            gate.apply_dequeued(gate.state.start_queued(now))
        gate.pace_queries.resume_all()

    def note_cold(self, report: TargetReport, asked_at: float) -> None:
        """Record how much longer the target is cold."""
        dialect = self.gate.dialect
        if not dialect.cold_ms or not report.could_read(dialect.cold_ms):
            return
        # A page without the field is that of a warm target.
        cold_seconds = report.cold_seconds or 0.0
        cold = self.gate.state.start_limits.cold
        if cold.note_page(cold_seconds, asked_at, self.gate.now()):
            log_cold(self.gate, cold_seconds, 'page')

    def note_limit_on_page(
        self, report: TargetReport, asked_at: float
    ) -> None:
        """Record the limit that the health page names, or that it is over."""
        if not report.could_read(self.gate.dialect.calls_per_second):
            return
        declared = self.gate.state.start_limits.declared
        rate = report.calls_per_second
        now = self.gate.now()
        self.apply_limit(
            lambda: declared.note_page(rate, asked_at, now), 'page'
        )

    def note_leaving(self, source: str) -> None:
        """Stop admitting calls, as if the target had announced it."""
        registration = self.gate.registration
        if not registration.draining:
            self.gate.target_leaves(
                registration.incarnation, registration.born_ms, source
            )

    def log_outdated(self, statement: TargetStatement) -> None:
        """Log, once for each start, a statement of an earlier one."""
        registration = self.gate.registration
        known = (registration.incarnation, registration.born_ms)
        if known == self.outdated_logged_for:
            return
        self.outdated_logged_for = known
        LOG.info(
            'target_statement_outdated',
            incarnation=registration.incarnation,
            born_ms=registration.born_ms,
            told_born_ms=statement.born_ms or 0,
            leaving=bool(statement.leaving),
        )

    def apply_limit(self, note: Callable[[], bool], source: str) -> None:
        """Record a limit with ``note`` and act on its change."""
        gate = self.gate
        declared = gate.state.start_limits.declared
        before = declared.calls_per_second
        if not note():
            return
        after = declared.calls_per_second
        log_declared_limit(gate, before, after, source)
        if is_step(before, after):
            gate.pace_notifier.notify(gate.figures(), gate.now())
        gate.admission_control.restart_limit_timer()


def is_step(before: float | None, after: float | None) -> bool:
    """Return whether entries are told of a change of the limit at once.

    >>> is_step(None, 2.0), is_step(2.0, 1.0), is_step(25.3, 25.1)
    (True, True, False)
    """
    if before is None or after is None:
        return True
    low, high = sorted((before, after))
    return high > LIMIT_STEP * low
