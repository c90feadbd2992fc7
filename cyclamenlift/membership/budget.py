"""The bytes that one member may send: a token bucket."""

IP_UDP_BYTES = 28
BYTES_PER_PERIOD = 1_900
BURST_BYTES = 120_000
# A member that many newcomers ask at once only names a few others to them.
REFERRAL_BYTES = 300
REFERRAL_SHARE = 0.5
# A pull is sent only by those who could answer one as well: else bytes go
# into questions that nobody can answer.
PULL_RESERVE = 1_500
LEAST_ANSWER = 400
CREDIT_BYTES = 20_000


class ByteBudget:
    """Tokens are bytes; probes may overdraw, records may not.

    The rate holds for each period, so a member's traffic is the same
    whatever the number of members. The burst carries a newcomer's first
    table transfer.
    """

    def __init__(
        self, now: float, rate: float, burst: float = BURST_BYTES
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.filled_at = now

    def room(self, now: float) -> int:
        """Return the bytes that may be sent now."""
        if now > self.filled_at:
            grown = self.tokens + (now - self.filled_at) * self.rate
            self.tokens = min(self.burst, grown)
            self.filled_at = now
        return max(0, int(self.tokens))

    def may_pull(self, now: float) -> bool:
        """Tell whether a pull should be sent now."""
        return self.room(now) >= PULL_RESERVE

    def answer_room(self, now: float, newcomer: bool) -> int:
        """Return the bytes of records that an answer to a pull may have.

        A newcomer gets a short answer even on credit: it knows nobody else
        whom it could ask.
        """
        room = self.room(now)
        if not newcomer or room > REFERRAL_SHARE * self.burst:
            return room if room >= LEAST_ANSWER else 0
        return REFERRAL_BYTES if self.tokens > -CREDIT_BYTES else 0

    def spend(self, size: int) -> None:
        """Count a sent packet of ``size`` payload bytes."""
        self.tokens = max(-CREDIT_BYTES, self.tokens - size - IP_UDP_BYTES)
