"""A token bucket: so many a second, and some at once.

Pure logic; callers pass the time in.
"""

import math


class TokenBucket:
    """Tokens that accrue at ``rate`` a second up to ``depth``.

    ``debit`` may overdraw it; then nothing is to be had until the debt is
    paid.

    >>> bucket = TokenBucket(rate=2.0, depth=1.0, now=0.0)
    >>> bucket.take(0.0), bucket.take(0.0), bucket.wait(0.0)
    (True, False, 0.5)
    """

    def __init__(
        self,
        rate: float,
        depth: float,
        now: float,
        level: float | None = None,
    ):
        self.rate = rate
        self.depth = depth
        self.level = depth if level is None else level
        self.filled_at = now

    def fill(self, now: float) -> float:
        """Add what has accrued and return the level."""
        gained = max(0.0, now - self.filled_at) * self.rate
        self.filled_at = max(self.filled_at, now)
        self.level = min(self.depth, self.level + gained)
        return self.level

    def set_rate(self, rate: float, depth: float, now: float) -> None:
        """Change rate and depth; what was saved up beyond it is lost."""
        self.fill(now)
        self.rate = rate
        self.depth = depth
        self.level = min(self.level, depth)

    def take(self, now: float, count: float = 1.0) -> bool:
        """Take that many tokens; False if there are fewer."""
        if self.fill(now) < count:
            return False
        self.level -= count
        return True

    def take_up_to(self, now: float, wanted: int) -> int:
        """Take as many whole tokens as there are, ``wanted`` at most."""
        taken = min(wanted, max(0, int(self.fill(now))))
        self.level -= taken
        return taken

    def debit(self, now: float, count: float, floor: float) -> None:
        """Take tokens that may not be there, down to a level of ``floor``.

        A negative ``count`` gives tokens back.
        """
        level = self.fill(now) - count
        self.level = min(self.depth, max(floor, level))

    def wait(self, now: float, count: float = 1.0) -> float:
        """Return the seconds until there are ``count`` tokens."""
        missing = count - self.fill(now)
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate else math.inf
