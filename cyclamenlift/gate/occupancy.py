"""How many calls a target ran, in the mean, while one call ran."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """An instant and the slot-seconds that were used up to it."""

    at: float
    used: float


class Occupancy:
    """Slot-seconds used since the start, to be read off at two instants."""

    __slots__ = ('at', 'count', 'used')

    def __init__(self) -> None:
        self.count = 0
        self.used = 0.0
        self.at = 0.0

    def note(self, count: int, now: float) -> None:
        """Take over how many calls run from now on."""
        self.used += self.count * (now - self.at)
        self.count = count
        self.at = now

    def mark(self, now: float) -> Mark:
        return Mark(now, self.used + self.count * (now - self.at))

    def mean_since(self, mark: Mark, now: float) -> float:
        """Return the mean number of calls since an earlier mark.

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
