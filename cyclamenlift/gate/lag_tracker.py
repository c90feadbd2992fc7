"""Estimates the transit delay of calls from an entry to this gate.

When bodies fill a slow link, later messages wait in the network for up to
seconds. A call carries the time that was left when it was sent; a gate that
ignored the delay would run calls whose callers have given up, and would pass
too much time on to targets.

The clocks of two instances are never compared. Each call carries its sender's
timestamp, and its lag is how much longer it took than the fastest call on the
same connection. A constant delay is thus not detected, but none is ever
reported that does not exist. The clock used keeps running while the machine is
suspended.
"""

from collections.abc import Hashable
import dataclasses

# Allowed clock drift, in seconds per second: twice that of usual crystals. The
# baseline of the fastest call grows at this rate.
DRIFT = 0.0002


@dataclasses.dataclass(slots=True)
class LinkDelay:
    """The delay of one connection; times are on the gate's clock.

    ``min_offset`` is the smallest difference of the two clocks that was
    observed, at ``min_offset_at``; ``lag`` is the extra delay of the last
    call.
    """

    min_offset: float
    min_offset_at: float
    lag: float = 0.0
    lag_at: float = 0.0


class LagTracker:
    """The delays of all connections to a gate, by link number."""

    def __init__(self) -> None:
        self.by_link: dict[Hashable, LinkDelay] = {}

    def note(self, link: Hashable, sent_at: float, now: float) -> float:
        """Record a call; return its lag in seconds.

        >>> delays = LagTracker()
        >>> delays.note(1, 100.0, 7.0), round(delays.note(1, 101.0, 8.5), 2)
        (0.0, 0.5)
        """
        offset = now - sent_at
        delay = self.by_link.get(link)
        if delay is None:
            delay = self.by_link[link] = LinkDelay(offset, now)
        baseline = delay.min_offset + DRIFT * (now - delay.min_offset_at)
        if offset <= baseline:
            delay.min_offset = offset
            delay.min_offset_at = now
            baseline = offset
        delay.lag = offset - baseline
        delay.lag_at = now
        return delay.lag

    def lag(self, link: Hashable, now: float) -> float:
        """Return the current lag, if the backlog has been draining since.

        >>> delays = LagTracker()
        >>> _ = delays.note(1, 100.0, 7.0), delays.note(1, 101.0, 8.5)
        >>> round(delays.lag(1, 8.7), 2), delays.lag(1, 9.5)
        (0.3, 0.0)
        """
        delay = self.by_link.get(link)
        if delay is None:
            return 0.0
        return max(0.0, delay.lag - (now - delay.lag_at))

    def forget(self, link: Hashable) -> None:
        """Remove a connection that was closed."""
        self.by_link.pop(link, None)
