"""The bytes that one member may send: a token bucket."""

IP_UDP_BYTES = 28
BYTES_PER_PERIOD = 1_900
BURST_BYTES = 48_000


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

    def spend(self, size: int) -> None:
        """Count a sent packet of ``size`` payload bytes."""
        self.tokens = max(-self.burst, self.tokens - size - IP_UDP_BYTES)
