"""The limits on how often calls to a target may start, as one.

A target may be cold and declare a limit at the same time: the stricter one
holds.
"""

from collections.abc import Hashable

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.cold_start import ColdStartLimit
from cyclamenlift.gate.declared_limit import DeclaredLimit


class StartLimits:
    """Counts each call for all limits of a target."""

    def __init__(self) -> None:
        self.cold = ColdStartLimit()
        self.declared = DeclaredLimit()

    def follow_predecessor(self, started_at: float) -> None:
        """Count the unknown calls of the process that this one replaced."""
        self.cold.follow_predecessor(started_at)
        self.declared.follow_predecessor(started_at)

    def begin_incarnation(self, now: float) -> None:
        """Forget what is known, since another target has started."""
        self.cold.begin_incarnation(now)
        self.declared.begin_incarnation()

    def promise(self, key: Hashable) -> None:
        """Count a call that has a slot and will be sent."""
        self.cold.promise(key)
        self.declared.promise(key)

    def withdraw(self, key: Hashable) -> None:
        """Stop counting a call that was not sent."""
        self.cold.withdraw(key)
        self.declared.withdraw(key)

    def note_sent(self, key: Hashable, now: float) -> None:
        """Count a call that is being sent to the target."""
        self.cold.note_sent(key, now)
        self.declared.note_sent(key, now)

    def wait(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a call may be sent behind ``ahead`` others.

        0 if it may be sent now.
        """
        cold = self.cold.wait(now, ahead)
        return max(cold, self.declared.wait(now, ahead))

    def told_wait(self, now: float, ahead: int) -> float:
        """Return the wait that entries are told of.

        A warm target that must be asked again has none: the answer takes
        about a millisecond.
        """
        declared = self.declared.wait(now, ahead)
        if not self.cold.is_cold(now):
            return declared
        return max(declared, self.cold.wait(now, ahead))

    def refusal_code(self, now: float, ahead: int) -> ResultCode:
        """Return the code of a call that the stricter limit turns away."""
        if self.declared.wait(now, ahead) >= self.cold.wait(now, ahead):
            return ResultCode.TARGET_LIMITED
        return ResultCode.TARGET_COLD
