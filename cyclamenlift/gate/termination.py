"""Distinguishes termination of the target from a broken connection.

A target that terminates breaks off all its calls at once. Termination is
confirmed when its address refuses connections or another incarnation announces
itself. A connection that was reset, cut or corrupted while the target keeps
running says nothing about the request on it.
"""

import dataclasses
import typing

import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.wire.gen.protocol.ttypes import EndReport

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.gate_call import GateCall
    from cyclamenlift.gate.tasks import Gate
    from cyclamenlift.http.client import TargetClient

LOG = structlog.get_logger('gate')
# A call counts as running at the termination if it broke off at most this
# long, in seconds, before a connection was refused: all calls break off within
# milliseconds, and the address is probed immediately afterwards.
REFUSED_WINDOW_SECONDS = 1.0
# The same before another incarnation announces itself: targets restart within
# some seconds.
REPLACED_WINDOW_SECONDS = 10.0
# How long to delay reporting a broken call to its entry, in seconds, so that
# the report can say whether the target terminated. An address on the same
# instance refuses, and a health page there answers, within a few milliseconds.
REPORT_DELAY_SECONDS = 0.05
# Maximum number of fingerprints in a log line.
MAX_LOGGED = 48


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenCall:
    """A call whose connection to the target was lost while it ran."""

    fingerprint: bytes
    begun_at: float
    broke_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class UnreportedCall:
    """A broken call that has not been reported to its entry yet."""

    call: 'GateCall'
    detail: str
    broke_at: float


class TerminationDetector:
    """Keeps recently broken calls until their cause is known."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate
        self.broken: list[BrokenCall] = []
        self.unreported: list[UnreportedCall] = []
        self.timer = None
        self.ended = 0

    def watch(self, client: 'TargetClient') -> None:
        """Observe from a client's connections whether the target listens."""
        client.refused_hooks.append(self.note_connection_refused)
        client.probe_hooks.append(self.note_connected)

    @property
    def has_unreported(self) -> bool:
        """Whether broken calls have still to be reported to entries."""
        return bool(self.unreported)

    def note_broken(self, call: 'GateCall', detail: str) -> None:
        """Record a call that broke off, and probe the target's address."""
        self.remember(call)
        now = self.gate.now()
        self.unreported.append(UnreportedCall(call, detail, now))
        if len(self.unreported) == 1:
            scheduler = self.gate.scheduler
            self.timer = scheduler.after(
                REPORT_DELAY_SECONDS, self.report_broken
            )
            self.gate.client.probe_listener(now + REPORT_DELAY_SECONDS)

    def note_cancelled(self, call: 'GateCall') -> None:
        """Record a call that was cancelled while the target ran it.

        Its effects may still terminate the target a moment later.
        """
        if call.was_sent():
            self.remember(call)

    def remember(self, call: 'GateCall') -> None:
        now = self.gate.now()
        oldest = now - REPLACED_WINDOW_SECONDS
        self.broken = [b for b in self.broken if b.broke_at >= oldest]
        fingerprint = call.start.fingerprint or b''
        self.broken.append(BrokenCall(fingerprint, call.started_at, now))

    def note_answer(self, begun_at: float) -> None:
        """Record an answer: the target was running when that call began."""
        if self.broken:
            self.broken = [b for b in self.broken if b.broke_at >= begun_at]
        self.note_alive(begun_at)

    def note_connected(self) -> None:
        """Query the health page of a target that accepts connections.

        A terminating process accepts connections until its listener is closed,
        and a hanging one even longer: only an answer proves that it runs.
        """
        self.gate.presence.note_present('connection')
        if self.unreported:
            self.gate.pace_queries.send_query()

    def note_alive(self, request_sent_at: float) -> None:
        """Record an answer to a request sent at ``request_sent_at``.

        Calls that broke off before that were merely disconnected.
        """
        self.gate.presence.note_answer(request_sent_at)
        if not self.unreported:
            return
        if request_sent_at >= self.unreported[-1].broke_at:
            self.report_broken()
        else:
            self.gate.pace_queries.send_query()

    def note_connection_refused(self) -> None:
        """Record that the target's address refuses connections."""
        registration = self.gate.registration
        if not registration.draining:
            incarnation = registration.incarnation
            self.conclude_termination(
                'nobody listens', incarnation, REFUSED_WINDOW_SECONDS
            )
        self.gate.presence.note_connection_refused()

    def note_replaced(self, before: str) -> None:
        """Record that another incarnation replaced ``before``."""
        self.conclude_termination(
            'another incarnation', before, REPLACED_WINDOW_SECONDS
        )

    def conclude_termination(
        self, shown_by: str, incarnation: str, seconds: float
    ) -> None:
        """Conclude that the target terminated while it ran broken calls."""
        since = self.gate.now() - seconds
        ran = {
            b.fingerprint: b.begun_at
            for b in self.broken
            if b.broke_at >= since and b.fingerprint
        }
        self.broken.clear()
        if not ran:
            return
        self.ended += 1
        reports = self.gate.quarantine.note_end(
            self.gate.service, ran, incarnation
        )
        LOG.warning(
            'target_ended',
            shown_by=shown_by,
            incarnation=incarnation,
            ran=len(ran),
            reports=[report.report_id for report in reports],
            fingerprints=[f.hex() for f in ran][:MAX_LOGGED],
        )
        self.report_broken(
            ResultCode.TARGET_ENDED, reports[0] if reports else None
        )

    def report_broken(
        self,
        code: ResultCode = ResultCode.TARGET_BROKE_OFF,
        end: EndReport | None = None,
    ) -> None:
        """Report all broken calls to their entries.

        The first message on each connection lists the requests that ran when
        the target terminated: the entry must know them before it retries.
        """
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        waiting, self.unreported = self.unreported, []
        notified = set()
        for unreported in waiting:
            call = unreported.call
            first = call.link.number not in notified
            notified.add(call.link.number)
            call.send_broken(code, unreported.detail, end if first else None)
        self.gate.check_idle()
