"""When to send a hedge: a second try of an idempotent call."""

import collections

QUANTILE = 0.95
SAMPLE_WINDOW = 512
MIN_SAMPLES = 64
REFRESH_SAMPLES = 64
MIN_HEDGE_SECONDS = 0.002
# The expected duration of the second try, as a multiple of the usual work.
# Objectives are about three times the work, so at the time of the hedge the
# first try has had 1.75 times the work. One call in twenty takes that long at
# the usual pace if durations vary by a third.
SECOND_TRY_FACTOR = 1.25


def latest_hedge_time(objective_deadline: float, work: float) -> float:
    """Return the latest time at which a second try can meet the objective.

    This needs no quantile of answer times, for which an entry of a large fleet
    sees too few answers.

    >>> latest_hedge_time(12.0, 0.8)
    11.0
    """
    return objective_deadline - SECOND_TRY_FACTOR * work


class HedgeDelay:
    """A quantile of the latest answer times of one service.

    It is recomputed once every few dozen samples, since sorting on each call
    would cost more than the precision is worth.
    """

    def __init__(self):
        self.samples: collections.deque[float] = collections.deque(
            maxlen=SAMPLE_WINDOW
        )
        self.until_refresh = MIN_SAMPLES
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
        self.seconds = max(MIN_HEDGE_SECONDS, found)
