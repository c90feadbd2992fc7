"""Return times for refused callers, one after the other.

Callers that come back together would be refused together again.
"""

import math

# How far the returns of refused callers are spread at most, in seconds: many
# of them are served elsewhere and never come back.
MAX_SPREAD_SECONDS = 1.0


class SpacedReturns:
    """Gives refused callers times that are as far apart as calls may pass."""

    def __init__(self) -> None:
        self.last_return_at = -math.inf

    def wait(self, now: float, wait: float, gap: float) -> float:
        """Return the seconds after which the next refused caller returns.

        ``wait`` is when a call may pass again, ``gap`` the time between two.

        >>> returns = SpacedReturns()
        >>> [returns.wait(0.0, 0.5, 0.25) for _ in range(2)]
        [0.5, 0.75]
        """
        soonest = now + wait
        latest = soonest + MAX_SPREAD_SECONDS
        self.last_return_at = min(
            latest, max(soonest, self.last_return_at + gap)
        )
        return self.last_return_at - now
