"""Keeps requests that terminate targets away from the gate's target."""

import typing

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.quarantine.state import QuarantineStatus

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.gate_call import GateCall
    from cyclamenlift.gate.tasks import Gate

# Retry-after for a suspect that is already running here, in seconds: a harmful
# request terminates its target within about a tenth of a second, and a
# harmless one is answered in that time.
RUNNING_RETRY_AFTER = 0.25
# Time between two trials of a request, in seconds: the first may have been
# rejected by the target and have shown nothing.
TRIAL_SECONDS = 30.0
# Maximum number of requests whose trials are remembered.
MAX_TRIALS = 256


class SuspectCheck:
    """Checks a call on arrival and again before it is sent."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate
        # The earliest time of the next trial here, by request.
        self.next_trial: dict[bytes, float] = {}

    def refuse_suspect(self, call: 'GateCall') -> bool:
        """Refuse a call that must not reach the target; True if refused."""
        fingerprint = call.start.fingerprint
        if not fingerprint:
            return False
        gate = self.gate
        assessment = gate.quarantine.assess(gate.service, fingerprint)
        if assessment.status is QuarantineStatus.CLEAR:
            return False
        if assessment.status is QuarantineStatus.QUARANTINED:
            wait = assessment.until - self.gate.now()
            self.refuse(call, 'targets ended while they ran it', wait)
            return True
        if self.is_running(fingerprint):
            self.refuse(
                call,
                'a suspect that runs here',
                RUNNING_RETRY_AFTER,
            )
            return True
        return assessment.is_trial and self.refuse_extra_trial(
            call, fingerprint
        )

    def refuse_extra_trial(self, call: 'GateCall', fingerprint: bytes) -> bool:
        """Let one trial through and refuse others for a while."""
        now = self.gate.now()
        wait = self.next_trial.get(fingerprint, now) - now
        if wait > 0.0:
            self.refuse(call, 'a trial was made lately', wait)
            return True
        if call.key in self.gate.state.running:
            self.note_trial(fingerprint, now)
        return False

    def note_trial(self, fingerprint: bytes, now: float) -> None:
        if len(self.next_trial) >= MAX_TRIALS:
            self.next_trial.clear()
        self.next_trial[fingerprint] = now + TRIAL_SECONDS

    def is_running(self, fingerprint: bytes) -> bool:
        """Return whether the target already runs the same request.

        Only one runs at a time: otherwise one request could terminate several
        targets at once.
        """
        return any(
            call.target_call is not None
            and call.start.fingerprint == fingerprint
            for call in self.gate.calls.values()
        )

    def refuse(self, call: 'GateCall', detail: str, wait: float) -> None:
        """Refuse a call and free its slot, if it has one."""
        gate = self.gate
        if call.key in gate.state.running:
            gate.release(call, None, False)
        else:
            gate.forget(call)
        call.send_refused(ResultCode.REQUEST_QUARANTINED, detail, wait)
