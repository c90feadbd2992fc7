"""Turns among client accounts that compete for a target: fair queuing.

Start-time fair queuing (Goyal, Vin and Cheng, SIGCOMM 1996): each call has a
start tag, and the waiting call with the lowest tag goes first. The tags of an
account advance by the work of its calls over its weight, so that accounts
which compete get work in the proportion of their weights. One that was idle
starts at the tag of the call that started last, and gains no claim from it.

A few calls of an account may come together before they count as ahead of
others. Without that a small account would wait for its part for seconds after
each of its calls, as its next tag is far ahead, and be late with every second
one. Pure logic.
"""

# Accounts remembered before those without a claim are forgotten: more than
# compete for a target at once.
MAX_ACCOUNTS = 256
# Calls of an account that may come together without counting as ahead.
BURST_CALLS = 5.0


class FairShares:
    """The tags of the accounts that a target serves.

    >>> shares = FairShares()
    >>> [shares.charge('heavy', 1.0) for _ in range(7)]
    [0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 1.0]
    >>> shares.charge('light', 1.0)
    0.0
    """

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        # Start tag of the call that started last.
        self.started_tag = 0.0
        # Tag at which the next call of an account may start.
        self.next_tags: dict[str, float] = {}

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the weights of accounts; others have a weight of 1."""
        self.weights = weights

    def tag(self, account: str, work: float) -> float:
        """Return the start tag that a call would have now."""
        next_tag = self.next_tags.get(account, 0.0)
        burst = BURST_CALLS * self.cost(account, work)
        return max(self.started_tag, next_tag - burst)

    def charge(self, account: str, work: float) -> float:
        """Charge a call that was admitted; return its start tag."""
        tag = self.tag(account, work)
        begin = max(self.started_tag, self.next_tags.get(account, 0.0))
        self.next_tags[account] = begin + self.cost(account, work)
        if len(self.next_tags) > MAX_ACCOUNTS:
            self.forget_least()
        return tag

    def refund(self, account: str, work: float) -> None:
        """Give back what an admitted call was charged that did not start."""
        if account in self.next_tags:
            self.next_tags[account] -= self.cost(account, work)

    def note_started(self, tag: float) -> None:
        """Record the tag of a call that starts."""
        self.started_tag = max(self.started_tag, tag)

    def cost(self, account: str, work: float) -> float:
        return work / self.weights.get(account, 1.0)

    def forget_least(self) -> None:
        """Forget the half of the accounts that are least ahead."""
        ranked = sorted(self.next_tags, key=self.next_tags.get)
        for account in ranked[: len(ranked) // 2]:
            del self.next_tags[account]

    def forget_all(self) -> None:
        """Forget all accounts, as nothing waits or runs."""
        self.started_tag = 0.0
        self.next_tags.clear()
