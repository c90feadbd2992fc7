"""The budget of load probes, respected by entries, enforced by gates."""

import collections
import math

PROBES_PER_CALL = 0.05
MAX_ALLOWANCE = 2.0


def probe_rate_per_member(budget: float, members: int) -> float:
    """Return one member's share of a service's probes per second.

    >>> probe_rate_per_member(20.0, 12)
    1.6666666666666667
    """
    return budget / max(1, members)


class ProbeWindow:
    """A sliding-window limit of ``rate`` probes in any one second.

    A token bucket would allow its burst on top of its rate. Below one probe a
    second, the window keeps 1 / rate seconds between two probes.
    """

    def __init__(self, rate: float):
        self.grants: collections.deque[float] = collections.deque()
        self.set_rate(rate)

    def set_rate(self, rate: float) -> None:
        """Change the rate; earlier grants still count."""
        self.rate = max(0.0, rate)
        self.limit = max(1, math.floor(self.rate))
        self.seconds = 1.0 if self.rate >= 1.0 else math.inf
        if 0.0 < self.rate < 1.0:
            self.seconds = 1.0 / self.rate

    def take(self, now: float) -> bool:
        """Take one probe from the budget; return False if it is used up."""
        if self.rate <= 0.0:
            return False
        while self.grants and now - self.grants[0] >= self.seconds:
            self.grants.popleft()
        if len(self.grants) >= self.limit:
            return False
        self.grants.append(now)
        return True


class ProbeAllowance:
    """An entry's probe allowance: a fraction of a probe per call sent.

    The event's budget limits probes per second. This limits them by calls, so
    that a service with little traffic and few slots is not flooded with
    probes.
    """

    def __init__(self, rate: float):
        self.window = ProbeWindow(rate)
        self.earned = 0.0

    def note_call(self) -> None:
        self.earned = min(MAX_ALLOWANCE, self.earned + PROBES_PER_CALL)

    def take(self, now: float) -> bool:
        if self.earned < 1.0 or not self.window.take(now):
            return False
        self.earned -= 1.0
        return True
