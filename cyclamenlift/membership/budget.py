"""A token bucket that limits the bytes that a member sends."""

# Headers of a packet, which count in addition to its payload.
IP_UDP_BYTES = 28
BYTES_PER_PERIOD = 1_900
BURST_BYTES = 120_000
# A member that many newcomers ask at once sends each of them only a few
# records while its budget is at most this share of the burst.
REFERRAL_BYTES = 300
REFERRAL_SHARE = 0.5
# A pull is sent only while the budget could also cover an answer: otherwise
# the bytes go into requests that no member can answer.
PULL_RESERVE = 1_500
# With a smaller budget, only pulls of newcomers are answered.
MIN_ANSWER_BYTES = 400
MAX_OVERDRAFT_BYTES = 20_000
# What announcements leave of the budget, however many there are: a table of
# some 250 members for those that start or come back.
RESERVE_BYTES = 40_000


class ByteBudget:
    """Tokens are bytes; probes may overdraw, records may not.

    The rate applies to each period, so a member's traffic is independent of
    the number of members. The burst covers the first table transfer of a
    newcomer.
    """

    def __init__(
        self, now: float, rate: float, burst: float = BURST_BYTES
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.filled_at = now

    def available(self, now: float) -> int:
        """Return the number of bytes that may be sent now."""
        if now > self.filled_at:
            refilled = self.tokens + (now - self.filled_at) * self.rate
            self.tokens = min(self.burst, refilled)
            self.filled_at = now
        return max(0, int(self.tokens))

    def may_pull(self, now: float) -> bool:
        """Return whether the budget allows a pull now."""
        return self.available(now) >= PULL_RESERVE

    def answer_allowance(self, now: float, newcomer: bool) -> int:
        """Return the bytes of records that an answer to a pull may contain.

        A newcomer gets a short answer even while the budget is overdrawn,
        because it knows no other member to ask.
        """
        available_bytes = self.available(now)
        if not newcomer or available_bytes > REFERRAL_SHARE * self.burst:
            return (
                available_bytes if available_bytes >= MIN_ANSWER_BYTES else 0
            )
        return REFERRAL_BYTES if self.tokens > -MAX_OVERDRAFT_BYTES else 0

    def spend(self, size: int, lowest: int = -MAX_OVERDRAFT_BYTES) -> None:
        """Charge a sent packet of ``size`` payload bytes.

        It doesn't take the budget below ``lowest``.
        """
        left = self.tokens - size - IP_UDP_BYTES
        self.tokens = max(left, min(self.tokens, lowest))


class AnnouncementBudget:
    """The part of a budget that announcements may use up.

    They are sent at every change, however many there are, and never wait for
    the budget. Members that know nothing yet must still be answered, so the
    reserve is not charged for them.
    """

    def __init__(self, budget: ByteBudget) -> None:
        self.budget = budget

    def available(self, now: float) -> int:
        """Return the number of bytes above the reserve."""
        return max(0, self.budget.available(now) - RESERVE_BYTES)

    def spend(self, size: int) -> None:
        """Charge a sent announcement of ``size`` payload bytes."""
        self.budget.spend(size, lowest=RESERVE_BYTES)
