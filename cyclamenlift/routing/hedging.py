"""When a second try of an idempotent call is worth its cost."""

import collections

QUANTILE = 0.95
WINDOW = 512
LEAST_SAMPLES = 64
REFRESH_SAMPLES = 64
LEAST_SECONDS = 0.002


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
