"""Which requests a gate does not let to its target, since they end targets."""

import typing

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.quarantine.state import QuarantineStatus

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.running import GateCall
    from cyclamenlift.gate.tasks import Gate

# When a suspect may come back that is running here already, in seconds: a
# harmful request ends its target within about a tenth of a second, and a
# bystander is answered in that time.
RUNNING_RETRY = 0.25
# How long after one trial the next one is let through, in seconds: the first
# may have been turned back by its target and have shown nothing.
TRIAL_SECONDS = 30.0
# Requests whose trials are remembered.
MOST_TRIALS = 256


class SuspectCheck:
    """Looks at a call before it is let in, and again before it begins."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate
        # When the next trial of a request may begin here.
        self.next_trial: dict[bytes, float] = {}

    def turn_away(self, call: 'GateCall') -> bool:
        """Refuse a call that must not reach the target; tell if it was."""
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
            self.refuse(call, 'a suspect that runs here', RUNNING_RETRY)
            return True
        return assessment.is_trial and self.turn_away_trial(call, fingerprint)

    def turn_away_trial(self, call: 'GateCall', fingerprint: bytes) -> bool:
        """Let one trial through, and others wait until it has shown much."""
        now = self.gate.now()
        wait = self.next_trial.get(fingerprint, now) - now
        if wait > 0.0:
            self.refuse(call, 'a trial was made lately', wait)
            return True
        if call.key in self.gate.state.running:
            self.note_trial(fingerprint, now)
        return False

    def note_trial(self, fingerprint: bytes, now: float) -> None:
        if len(self.next_trial) >= MOST_TRIALS:
            self.next_trial.clear()
        self.next_trial[fingerprint] = now + TRIAL_SECONDS

    def is_running(self, fingerprint: bytes) -> bool:
        """Tell whether the target has the same request already.

        One at a time: else several targets would end of it at once.
        """
        return any(
            call.target_call is not None
            and call.start.fingerprint == fingerprint
            for call in self.gate.calls.values()
        )

    def refuse(self, call: 'GateCall', detail: str, wait: float) -> None:
        """Give a slot back, if the call has one, and refuse the call."""
        gate = self.gate
        if call.key in gate.state.running:
            gate.release(call, None, False)
        else:
            gate.forget(call)
        call.tell_refused(ResultCode.REQUEST_QUARANTINED, detail, wait)
