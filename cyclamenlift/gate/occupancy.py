"""Measures a target's mean concurrency while a call runs."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class OccupancyMark:
    """A time and the slot-seconds that were used until then."""

    at: float
    used: float


class Occupancy:
    """Cumulative slot-seconds; compare two readings to get a mean."""

    __slots__ = ('at', 'count', 'used')

    def __init__(self) -> None:
        self.count = 0
        self.used = 0.0
        self.at = 0.0

    def note(self, count: int, now: float) -> None:
        """Set how many calls run from now on."""
        self.used += self.count * (now - self.at)
        self.count = count
        self.at = now

    def mark(self, now: float) -> OccupancyMark:
        return OccupancyMark(now, self.used + self.count * (now - self.at))

    def mean_since(self, mark: OccupancyMark, now: float) -> float:
        """Return the mean number of running calls since ``mark``.

        >>> occupancy = Occupancy()
        >>> occupancy.note(2, 0.0)
        >>> mark = occupancy.mark(0.0)
        >>> occupancy.note(4, 1.0)
        >>> occupancy.mean_since(mark, 2.0)
        3.0
        """
        elapsed = now - mark.at
        if elapsed <= 0.0:
            return float(self.count)
        return (self.mark(now).used - mark.used) / elapsed
