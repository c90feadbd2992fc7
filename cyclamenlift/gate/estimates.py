"""Moving averages of a target's service time and error share."""

SMOOTHING = 0.1
ERROR_HALF_LIFE = 2.0


class ServiceTime:
    """Exponentially weighted mean of the target's service time, seconds.

    >>> t = ServiceTime()
    >>> t.note(0.010)
    >>> t.mean
    0.01
    """

    __slots__ = ('mean', 'seen')

    def __init__(self):
        self.mean = 0.0
        self.seen = False

    def note(self, seconds: float) -> None:
        if not self.seen:
            self.seen = True
            self.mean = seconds
            return
        self.mean += SMOOTHING * (seconds - self.mean)


class ErrorShare:
    """Share of recent calls that failed, with a half-life of 2 s."""

    __slots__ = ('failed', 'since', 'total')

    def __init__(self):
        self.failed = 0.0
        self.total = 0.0
        self.since = 0.0

    def note(self, failed: bool, now: float) -> None:
        self.decay(now)
        self.total += 1.0
        if failed:
            self.failed += 1.0

    def share(self, now: float) -> float:
        """Return the share from 0 to 1; 0 without recent calls."""
        self.decay(now)
        if self.total < 1.0:
            return 0.0
        return self.failed / self.total

    def decay(self, now: float) -> None:
        elapsed = now - self.since
        if elapsed < 0.01:
            return
        weight = 0.5 ** (elapsed / ERROR_HALF_LIFE)
        self.failed *= weight
        self.total *= weight
        self.since = now
