"""Applies what the target says of itself in its responses.

All responses to calls and to requests for the health page come here, so that
each statement of a target has one reader.
"""

import typing

import structlog

from cyclamenlift.gate.decision_log import log_cold
from cyclamenlift.gate.decision_log import log_declared_limit
from cyclamenlift.http.headers import find_header
from cyclamenlift.http.target_reports import parse_report
from cyclamenlift.http.target_reports import TargetReport

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.tasks import Gate

LOG = structlog.get_logger('gate')


class TargetReports:
    """Handles the reports of the gate's target."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate
        # The limit that the target declared last, in calls per second.
        self.calls_per_second: float | None = None

    def note_answer(self, headers, sent_at: float) -> None:
        """Apply the report in the response to a call sent at ``sent_at``."""
        report = parse_report(headers, self.gate.dialect)
        self.log_unreadable(report)
        self.note_load(report)
        self.note_limit(report, 'answer')

    def note_page(self, headers, asked_at: float) -> None:
        """Apply the report on the health page asked for at ``asked_at``.

        Another target may have answered: only the known one is believed.
        """
        report = parse_report(headers, self.gate.dialect)
        self.log_unreadable(report)
        if self.is_by_known_target(headers):
            self.note_cold(report, asked_at)
            self.note_limit(report, 'page')
        self.note_load(report)

    def is_by_known_target(self, headers) -> bool:
        """Return whether a page names the incarnation that is known."""
        name = find_header(headers, self.gate.dialect.incarnation)
        return bool(name) and name == self.gate.registration.incarnation

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
        cold_start = self.gate.state.cold_start
        if cold_start.note_page(cold_seconds, asked_at, self.gate.now()):
            log_cold(self.gate, cold_seconds, 'page')

    def note_limit(self, report: TargetReport, source: str) -> None:
        """Record the limit that the target declares."""
        dialect = self.gate.dialect
        if not report.could_read(dialect.calls_per_second):
            return
        before = self.calls_per_second
        if report.calls_per_second == before:
            return
        self.calls_per_second = report.calls_per_second
        log_declared_limit(self.gate, before, report.calls_per_second, source)

    def log_unreadable(self, report: TargetReport) -> None:
        """Log the fields of a report that have no effect."""
        for field in report.unreadable:
            LOG.warning(
                'target_report_unreadable',
                incarnation=self.gate.registration.incarnation,
                field=field.name,
                value=field.value,
            )
