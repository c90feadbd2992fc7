"""The probe budget, enforced where probes arrive."""

from cyclamenlift.core.token_bucket import TokenBucket

BURST_SECONDS = 1.0


class ProbeBudget:
    """Limits the probes of this gate's target.

    Probes beyond it are dropped without an answer, so that probing costs the
    target's instance no more than configured, however many entries probe.
    """

    def __init__(self, per_second: float = 0.0):
        self.per_second = per_second
        # Made when the budget is first used, since it starts empty then.
        self.bucket: TokenBucket | None = None
        self.answered = 0
        self.dropped = 0

    def set_rate(self, per_second: float, now: float) -> None:
        """Change the rate; tokens saved under the old rate are capped."""
        bucket = self.find_bucket(now)
        self.per_second = per_second
        bucket.set_rate(per_second, self.burst(), now)

    def burst(self) -> float:
        """Return the capacity of the bucket, at least one probe."""
        if self.per_second <= 0:
            return 0.0
        return max(1.0, self.per_second * BURST_SECONDS)

    def find_bucket(self, now: float) -> TokenBucket:
        if self.bucket is None:
            self.bucket = TokenBucket(self.per_second, self.burst(), now, 0.0)
        return self.bucket

    def take(self, now: float) -> bool:
        """Consume a token; False if the budget is exhausted."""
        if not self.find_bucket(now).take(now):
            self.dropped += 1
            return False
        self.answered += 1
        return True
