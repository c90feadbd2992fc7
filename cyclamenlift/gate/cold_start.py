"""Limits the calls that a target gets in any second while it is cold.

A target that has just started is cold for some seconds, and may become cold
again at any time. It then bears only a few calls a second; above that it ends,
comes back cold and ends again under the same load. All calls to a target pass
its gate, so the limit is exact without messages. Pure logic; callers pass the
time in.
"""

import dataclasses
import math

from cyclamenlift.gate.call_window import CallBound
from cyclamenlift.gate.call_window import StartLimit

WINDOW_SECONDS = 1.0
# Share of the calls that a cold target bears which it is given: calls reach it
# up to some milliseconds after they were sent, so those of two windows may
# meet in one second.
USED_SHARE = 0.9
NEVER = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class ColdRate:
    """What a target of a service bears while it is cold.

    ``calls_per_second`` is the declared rate, 0 for no limit. It may be
    exceeded by the factor ``burst_factor`` and ``burst_slack`` further calls
    in a second. ``cold_seconds`` is how long a target that doesn't say so
    itself is taken to be cold after its start.
    """

    calls_per_second: float = 0.0
    cold_seconds: float = 0.0
    burst_factor: float = 1.0
    burst_slack: float = 0.0

    @property
    def max_calls(self) -> int:
        """The most calls that are sent in any second, 0 for no limit.

        >>> ColdRate(8.5, 3.0, 1.5, 8.0).max_calls, ColdRate().max_calls
        (18, 0)
        """
        if not self.calls_per_second:
            return 0
        most = self.calls_per_second * self.burst_factor + self.burst_slack
        return max(1, int(USED_SHARE * most))


NO_LIMIT = ColdRate()


class ColdStartLimit(StartLimit):
    """Counts the calls to a target that is, or may have become, cold.

    Only calls sent since the target last said that it is warm can have reached
    it cold. Calls that have a slot but were not sent yet count as well. A
    target that is taken to be warm also gets at most ``rate.max_calls`` until
    it says so again, so that one that has just become cold gets no more than
    it bears before that is known.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rate = NO_LIMIT
        # Until something tells, a target is taken to be cold.
        self.cold_until = math.inf
        self.unknown_since: float | None = None
        self.page_tells = False
        # Whether the target said last that it is cold, None before it has.
        self.told_cold: bool | None = None
        self.warm_at = NEVER
        # When this process started, and until when calls of its predecessor
        # to the target may still count.
        self.started_at = NEVER
        self.blind_until = NEVER

    def set_rate(self, rate: ColdRate) -> None:
        """Set what the target bears while it is cold."""
        self.rate = rate
        bound = CallBound(rate.max_calls, WINDOW_SECONDS)
        self.window.bound = bound if rate.max_calls else None

    # -- what is known of the target --------------------------------------

    def follow_predecessor(self, started_at: float) -> None:
        """Count the unknown calls of the process that this one replaced.

        It may have sent as many as the target bears until this one started.
        """
        self.started_at = started_at
        self.blind_until = started_at + WINDOW_SECONDS

    def begin_incarnation(self, now: float) -> None:
        """Forget what is known, since another target has started.

        Calls count on: the target before may turn out to be still there.
        """
        self.cold_until = math.inf
        self.unknown_since = now
        self.page_tells = False
        self.told_cold = None
        self.warm_at = NEVER

    def note_page(
        self, cold_seconds: float, asked_at: float, now: float
    ) -> bool:
        """Record how much longer the target is cold by its health page.

        The page was asked for at ``asked_at``: a warm target was warm then.
        Returns whether the target told something else before.
        """
        self.page_tells = True
        return self.note(cold_seconds, asked_at, now)

    def note_announcement(self, cold_seconds: float, now: float) -> bool:
        """Record how much longer the target is cold by its announcement.

        An announcement may be delayed for seconds, so the page goes first.
        Returns whether the target told something else before.
        """
        if self.page_tells:
            return False
        return self.note(cold_seconds, now, now)

    def note(self, cold_seconds: float, asked_at: float, now: float) -> bool:
        self.cold_until = now + cold_seconds
        cold = cold_seconds > 0.0
        if not cold:
            self.warm_at = max(self.warm_at, asked_at)
        changed = cold != self.told_cold
        self.told_cold = cold
        return changed

    def blind_wait(self, now: float) -> float:
        """Return the seconds for which unknown calls may still count.

        None do if the target's page says that it is warm, or that it got cold
        after this process started.
        """
        if now >= self.blind_until:
            return 0.0
        began_cold = self.cold_until - self.rate.cold_seconds
        got_cold_since = self.told_cold and began_cold >= self.started_at
        if self.page_tells and (got_cold_since or not self.told_cold):
            return 0.0
        return self.blind_until - now

    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold, or not known to be warm."""
        if self.cold_until < math.inf:
            return now < self.cold_until
        if self.unknown_since is None:
            return True
        return now < self.unknown_since + self.rate.cold_seconds

    # -- calls -------------------------------------------------------------

    def wait(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a call may be sent behind ``ahead`` others.

        0 if it may be sent now.
        """
        if self.window.bound is None:
            return 0.0
        blind_wait = self.blind_wait(now)
        if blind_wait:
            return blind_wait
        self.window.forget_until(self.warm_at)
        return self.window.wait(now, ahead)

    def needs_report(self, now: float) -> bool:
        """Return whether a warm target must say again that it is warm."""
        return not self.is_cold(now) and self.wait(now) > 0.0
