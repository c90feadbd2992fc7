"""Limits on repetition and on kept bodies."""

from collections.abc import Callable

RETRY_RESERVE = 20.0
RETRY_CAP = 100.0
# Share of what may be saved up that early hedges leave untouched, for those
# that rescue a call from a frozen target. A share, since what an entry may
# save up falls with the number of entries, to little more than one retry.
KEPT_SHARE = 0.1
# An entry must be able to save up one whole retry, however many share.
LEAST_CAP = 1.2


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

    @property
    def kept(self) -> float:
        """What early hedges leave untouched."""
        return KEPT_SHARE * RETRY_CAP

    def take(self, keep: float = 0.0) -> bool:
        """Spend one retry; False when not more than ``keep`` is left."""
        if self.balance - keep < 1.0:
            return False
        self.balance -= 1.0
        return True


class SharedRetryBudget:
    """This entry's part of a budget that all entries share.

    In any window the fleet may send ``share`` of a service's first tries
    once more, and ``slack`` further ones. Each entry earns the share of its
    own first tries and has an even part of the slack: half of it saved up
    at most, the other half earned anew over a window. So what all entries
    spend within any window stays within the budget, whatever each sees.

    ``debit`` takes what could not be refused, so the balance may fall
    below zero; then nothing is spent until it is earned back.
    """

    def __init__(
        self,
        share: float,
        slack: float,
        window: float,
        now: Callable[[], float],
    ):
        self.now = now
        self.share = share
        self.slack = slack
        self.window = window
        self.members = 1
        self.balance = self.cap()
        self.filled_at = now()

    def set_members(self, members: int) -> None:
        """Share the slack among this many entries from now on."""
        self.members = max(1, members)
        self.balance = min(self.balance, self.cap())

    def cap(self) -> float:
        """Return the most that may be saved up."""
        return max(LEAST_CAP, self.slack / self.members / 2.0)

    @property
    def kept(self) -> float:
        """What early hedges leave untouched."""
        return KEPT_SHARE * self.cap()

    def fill(self) -> None:
        now = self.now()
        gained = (now - self.filled_at) * self.cap() / self.window
        self.filled_at = now
        self.balance = min(self.cap(), self.balance + gained)

    def earn(self) -> None:
        """Count one first try."""
        self.fill()
        self.balance = min(self.cap(), self.balance + self.share)

    def take(self, keep: float = 0.0) -> bool:
        """Spend one; False when not more than ``keep`` is left."""
        self.fill()
        if self.balance - keep < 1.0:
            return False
        self.balance -= 1.0
        return True

    def debit(self, amount: float) -> None:
        """Count repeats that happened without asking."""
        self.balance -= amount


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
