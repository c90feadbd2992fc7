"""Limits on repetition and on kept bodies."""

RETRY_RESERVE = 20.0
RETRY_CAP = 100.0


class RetryBudget:
    """Retries and hedges allowed for one service at this entry.

    Each first try earns ``share`` of a retry, so that under a fault the
    load on targets grows by that share at most. A small reserve lets an
    idle service repeat its first calls.

    >>> b = RetryBudget(0.5)
    >>> b.balance = 0.0
    >>> b.earn(); b.take()
    False
    >>> b.earn(); b.take()
    True
    """

    def __init__(self, share: float):
        self.share = share
        self.balance = RETRY_RESERVE

    def earn(self) -> None:
        """Count one first try."""
        self.balance = min(RETRY_CAP, self.balance + self.share)

    def take(self, keep: float = 0.0) -> bool:
        """Spend one retry; False when not more than ``keep`` is left."""
        if self.balance - keep < 1.0:
            return False
        self.balance -= 1.0
        return True


class BodyBudget:
    """Bytes of request bodies that this entry keeps at once.

    A body is kept until the target has answered, so that a proven not-run
    upload can move to another target.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Set bytes aside; False when they do not fit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def free(self, size: int) -> None:
        self.used -= size
