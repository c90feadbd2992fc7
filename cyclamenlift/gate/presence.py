"""Whether anybody listens at the target's address.

A gate whose target has gone can run nothing. If it went on taking calls,
their bodies would cross the network to it and come to nothing, and callers
would hear late what was known all along. So from the first connection that
is refused it sends calls back at once, and entries leave it out, until
somebody is there again.
"""

import typing

import structlog

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.tasks import Gate

LOG = structlog.get_logger('gate')
# How often the address of a target that went is tried, in seconds: what a
# target that is back loses at most, for a connection that is refused.
TRY_SECONDS = 0.25
# How soon the address is tried again where a connection was refused while
# others were still open, in seconds: those of a process that ended are lost
# within milliseconds.
CHECK_SECONDS = 0.01


class Presence:
    """Knows whether the gate's target is there, by its connections."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate
        self.absent = False
        self.absent_at = 0.0
        self.checking = False

    def note_nobody_listens(self) -> None:
        """Take it that a connection to the target was refused.

        A target that is full may refuse one while it runs others.
        """
        gate = self.gate
        leaves = gate.state.target_state == TargetState.DRAINING
        if self.absent or leaves:
            return
        if gate.client.has_connections():
            self.check_again()
            return
        self.checking = False
        self.absent = True
        self.absent_at = gate.now()
        LOG.warning(
            'target_absent',
            incarnation=gate.registration.incarnation,
            waiting=len(gate.calls),
        )
        gate.set_target_state(TargetState.STARTING)
        gate.entrance.send_waiting_back(ResultCode.TARGET_UNREACHABLE)
        self.plan_try()

    def note_present(self, shown_by: str) -> None:
        """Take it that somebody is there again."""
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

    def note_answer(self, asked_at: float) -> None:
        """Take it that the target answered what it was asked then."""
        if asked_at > self.absent_at:
            self.note_present('answer')

    def check_again(self) -> None:
        """Try the address once more when lost connections are known."""
        if self.checking:
            return
        self.checking = True
        self.gate.scheduler.after(CHECK_SECONDS, self.check)

    def check(self) -> None:
        if self.checking:
            self.gate.client.probe_listener(self.gate.now())
            self.gate.scheduler.after(CHECK_SECONDS, self.end_check)

    def end_check(self) -> None:
        self.checking = False

    def plan_try(self) -> None:
        self.gate.scheduler.after(TRY_SECONDS, self.try_address)

    def try_address(self) -> None:
        """Look whether somebody listens, until somebody does."""
        if not self.absent:
            return
        self.gate.client.probe_listener(self.gate.now())
        self.plan_try()
