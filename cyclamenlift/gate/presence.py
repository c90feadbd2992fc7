"""Tracks whether the target's address accepts connections.

A gate whose target is gone can't run calls. If it kept admitting them, their
bodies would cross the network in vain, and callers would learn late what was
already known. So from the first refused connection on it refuses calls
immediately, and entries avoid it, until the address accepts connections again.
"""

import typing

import structlog

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.tasks import Gate

LOG = structlog.get_logger('gate')
# Interval between connection attempts to an absent target, in seconds: the
# delay until a returning target is noticed, at the cost of one refused
# connection each.
CONNECT_INTERVAL_SECONDS = 0.25
# Delay before the address is tried again if a connection was refused while
# others were still open, in seconds: the connections of a process that exited
# are lost within milliseconds.
RECHECK_SECONDS = 0.01


class Presence:
    """Tracks the presence of the target by its connections."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate
        self.absent = False
        self.absent_at = 0.0
        self.rechecking = False

    def note_connection_refused(self) -> None:
        """Handle a refused connection to the target.

        A target at its connection limit may refuse one while it still serves
        others.
        """
        gate = self.gate
        leaves = gate.state.target_state == TargetState.DRAINING
        if self.absent or leaves:
            return
        if gate.client.has_connections():
            self.schedule_recheck()
            return
        self.rechecking = False
        self.absent = True
        self.absent_at = gate.now()
        LOG.warning(
            'target_absent',
            incarnation=gate.registration.incarnation,
            waiting=len(gate.calls),
        )
        gate.set_target_state(TargetState.STARTING)
        gate.admission_control.refuse_waiting_calls(
            ResultCode.TARGET_UNREACHABLE
        )
        self.schedule_connect()

    def note_present(self, shown_by: str) -> None:
        """Handle evidence that the target is running again."""
        if not self.absent:
            return
        self.absent = False
        gate = self.gate
        LOG.info(
            'target_present',
            incarnation=gate.registration.incarnation,
            shown_by=shown_by,
            absent_ms=int((gate.now() - self.absent_at) * MILLISECONDS),
        )
        if not gate.awaits_target():
            gate.set_target_state(TargetState.READY)

    def note_answer(self, request_sent_at: float) -> None:
        """Handle an answer to a request sent at ``request_sent_at``."""
        if request_sent_at > self.absent_at:
            self.note_present('answer')

    def schedule_recheck(self) -> None:
        """Retry the address once the loss of open connections is known."""
        if self.rechecking:
            return
        self.rechecking = True
        self.gate.scheduler.after(RECHECK_SECONDS, self.recheck)

    def recheck(self) -> None:
        if self.rechecking:
            self.gate.client.probe_listener(self.gate.now())
            self.gate.scheduler.after(RECHECK_SECONDS, self.end_recheck)

    def end_recheck(self) -> None:
        self.rechecking = False

    def schedule_connect(self) -> None:
        self.gate.scheduler.after(CONNECT_INTERVAL_SECONDS, self.try_connect)

    def try_connect(self) -> None:
        """Try to connect repeatedly until the target is present."""
        if not self.absent:
            return
        self.gate.client.probe_listener(self.gate.now())
        self.schedule_connect()
