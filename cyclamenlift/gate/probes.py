"""The measuring budget, enforced where probes arrive."""

BURST_SECONDS = 1.0


class ProbeBudget:
    """A token bucket: the budget for measuring this gate's target.

    A probe beyond it is dropped without an answer, so measuring costs a
    target's instance no more than was set, however many entries ask.
    """

    def __init__(self, per_second: float = 0.0):
        self.per_second = per_second
        self.tokens = 0.0
        self.filled_at: float | None = None
        self.answered = 0
        self.dropped = 0

    def set_rate(self, per_second: float, now: float) -> None:
        """Change the rate; tokens saved under the old rate are capped."""
        self.fill(now)
        self.per_second = per_second
        self.tokens = min(self.tokens, self.burst())

    def burst(self) -> float:
        """Return the most probes that may be saved up (at least one)."""
        if self.per_second <= 0:
            return 0.0
        return max(1.0, self.per_second * BURST_SECONDS)

    def fill(self, now: float) -> None:
        if self.filled_at is None:
            self.filled_at = now
        gained = (now - self.filled_at) * self.per_second
        self.tokens = min(self.burst(), self.tokens + gained)
        self.filled_at = now

    def take(self, now: float) -> bool:
        """Spend one probe; False when the budget is used up."""
        self.fill(now)
        if self.tokens < 1.0:
            self.dropped += 1
            return False
        self.tokens -= 1.0
        self.answered += 1
        return True
