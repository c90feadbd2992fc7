"""Retry budgets and the budget for buffered request bodies."""

from collections.abc import Callable

INITIAL_BALANCE = 20.0
MAX_BALANCE = 100.0
# Share of the maximum balance that early hedges must leave for those that
# rescue a call from a frozen target. It is a share because the maximum falls
# with the number of entries, down to little more than one retry.
RESCUE_RESERVE_SHARE = 0.1
# Every entry can accumulate at least one whole retry, however many entries
# share the budget.
MIN_CAP = 1.2


class RetryBudget:
    """Limits the retries and hedges of one service at this entry.

    Each first try earns ``share`` of a retry, which bounds the extra load on
    targets during a fault to that share. An initial balance lets an idle
    service retry its first calls.

    >>> b = RetryBudget(0.5)
    >>> b.balance = 0.0
    >>> b.earn(); b.take()
    False
    >>> b.earn(); b.take()
    True
    """

    def __init__(self, share: float):
        self.share = share
        self.balance = INITIAL_BALANCE

    def earn(self) -> None:
        """Credit one first try."""
        self.balance = min(MAX_BALANCE, self.balance + self.share)

    @property
    def rescue_reserve(self) -> float:
        """The balance that early hedges must leave."""
        return RESCUE_RESERVE_SHARE * MAX_BALANCE

    def take(self, keep: float = 0.0) -> bool:
        """Spend one retry, leaving at least ``keep``; False if it cannot."""
        if self.balance - keep < 1.0:
            return False
        self.balance -= 1.0
        return True


class SharedRetryBudget:
    """This entry's part of a retry budget that all entries share.

    In any window the fleet may retry ``share`` of a service's first tries plus
    ``slack`` further ones. Each entry earns the share of its own first tries
    and an even part of the slack: at most half of that part accumulates, and
    the other half is earned again over a window. So the total that all entries
    spend in any window stays within the budget, whatever each of them sees.

    ``debit`` charges repeats that could not be refused, so the balance may
    fall below zero; then nothing is spent until it is earned back.
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
        self.refilled_at = now()

    def set_members(self, members: int) -> None:
        """Divide the slack among this many entries from now on."""
        self.members = max(1, members)
        self.balance = min(self.balance, self.cap())

    def cap(self) -> float:
        """Return the maximum balance."""
        return max(MIN_CAP, self.slack / self.members / 2.0)

    @property
    def rescue_reserve(self) -> float:
        """The balance that early hedges must leave."""
        return RESCUE_RESERVE_SHARE * self.cap()

    def refill(self) -> None:
        now = self.now()
        gained = (now - self.refilled_at) * self.cap() / self.window
        self.refilled_at = now
        self.balance = min(self.cap(), self.balance + gained)

    def earn(self) -> None:
        """Credit one first try."""
        self.refill()
        self.balance = min(self.cap(), self.balance + self.share)

    def take(self, keep: float = 0.0) -> bool:
        """Spend one retry, leaving at least ``keep``; False if it cannot."""
        self.refill()
        if self.balance - keep < 1.0:
            return False
        self.balance -= 1.0
        return True

    def debit(self, amount: float) -> None:
        """Charge repeats that happened without a check of the budget."""
        self.balance -= amount


class BodyBudget:
    """Limits the bytes of bodies that this entry buffers.

    A request's body is kept until the target has answered, so that an upload
    proven not run can be sent to another target. A large answer is held until
    it is whole if other calls of its connection depend on it.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False if they exceed the limit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def free(self, size: int) -> None:
        self.used -= size
