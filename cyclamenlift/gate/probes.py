"""The probe budget, enforced where probes arrive."""

BURST_SECONDS = 1.0


class ProbeBudget:
    """A token bucket that limits the probes of this gate's target.

    Probes beyond it are dropped without an answer, so that probing costs the
    target's instance no more than configured, however many entries probe.
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
        """Return the capacity of the bucket, at least one probe."""
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
        """Consume a token; False if the budget is exhausted."""
        self.fill(now)
        if self.tokens < 1.0:
            self.dropped += 1
            return False
        self.tokens -= 1.0
        self.answered += 1
        return True
