"""When a second try of an idempotent call is worth its cost."""

import collections

QUANTILE = 0.95
WINDOW = 512
LEAST_SAMPLES = 64
REFRESH_SAMPLES = 64
LEAST_SECONDS = 0.002
# A second target is taken to need this many times the usual work. Objectives
# are about three times the work, so when it is asked the first one has had
# 1.75 times the work, which one call in twenty takes at the usual pace if
# times vary by a third.
HEDGE_WORK = 1.25


def last_in_time(objective_deadline: float, work: float) -> float:
    """Return the last instant at which a second try should be in time.

    An entry of a large fleet sees too few answers to know a quantile of
    their times; this needs none.

    >>> last_in_time(12.0, 0.8)
    11.0
    """
    return objective_deadline - HEDGE_WORK * work


class HedgeDelay:
    """A quantile of the latest answer times of one service.

    It is worked out anew once in a few dozen samples, since a sort for each
    call would cost more than it tells.
    """

    def __init__(self):
        self.samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW
        )
        self.until_refresh = LEAST_SAMPLES
        self.seconds: float | None = None

    def note(self, seconds: float) -> None:
        """Add the time of one answered call."""
        self.samples.append(seconds)
        self.until_refresh -= 1
        if self.until_refresh > 0:
            return
        self.until_refresh = REFRESH_SAMPLES
        ordered = sorted(self.samples)
        found = ordered[int(QUANTILE * (len(ordered) - 1))]
        self.seconds = max(LEAST_SECONDS, found)
