"""A latency histogram with cheap recording."""

from typing import TYPE_CHECKING

from cyclamenlift.core.clock import MICROSECONDS

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

SIGNIFICANT_DIGITS = 2
# An HDR histogram of two digits keeps the eight most significant bits.
KEPT_BITS = 8


class LatencyHistogram:
    """Records latencies, in microseconds, in an HDR histogram.

    Recording into an HDR histogram takes several microseconds. So a value is
    first counted in a dictionary, keyed by the lowest value of its histogram
    bucket, and the counts are merged when the histogram is read. The result
    is the same, and the dictionary has at most as many keys as the histogram
    has buckets.

    >>> latency = LatencyHistogram(60.0)
    >>> latency.note(0.010)
    >>> latency.read().get_value_at_percentile(50)
    10047
    """

    __slots__ = ('fresh', 'histogram', 'longest')

    def __init__(self, longest_seconds: float):
        self.longest = int(longest_seconds * MICROSECONDS)
        self.histogram: HdrHistogram | None = None
        self.fresh: dict[int, int] = {}

    def note(self, seconds: float) -> None:
        """Record one latency; negative values count as zero."""
        value = int(seconds * MICROSECONDS) + 1 if seconds > 0.0 else 1
        surplus = value.bit_length() - KEPT_BITS
        if surplus > 0:
            value = value >> surplus << surplus
        self.fresh[value] = self.fresh.get(value, 0) + 1

    def read(self) -> 'HdrHistogram':
        """Return the histogram of all recorded values."""
        if self.histogram is None:
            self.histogram = self.make()
        for value, count in self.fresh.items():
            self.histogram.record_value(value, count)
        self.fresh.clear()
        return self.histogram

    def counts_up_to(self, bounds: tuple[float, ...]) -> list[int]:
        """Return the cumulative counts up to each bound in seconds.

        >>> latency = LatencyHistogram(60.0)
        >>> latency.note(0.010)
        >>> latency.note(0.200)
        >>> latency.counts_up_to((0.1, 1.0))
        [1, 2]
        """
        counts = [0] * len(bounds)
        for item in self.read().get_recorded_iterator():
            seconds = item.value_iterated_to / MICROSECONDS
            for position, bound in enumerate(bounds):
                if seconds <= bound:
                    counts[position] += item.count_added_in_this_iter_step
        return counts

    def make(self) -> 'HdrHistogram':
        """Import the library on first use: few processes need it."""
        from hdrh.histogram import HdrHistogram

        return HdrHistogram(1, self.longest, SIGNIFICANT_DIGITS)
