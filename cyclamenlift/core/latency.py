"""A latency histogram with cheap recording."""

from typing import TYPE_CHECKING

from cyclamenlift.core.clock import MICROSECONDS

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

SIGNIFICANT_DIGITS = 2
# An HDR histogram of two digits keeps the eight most significant bits.
PRECISION_BITS = 8


class LatencyHistogram:
    """Records latencies, in microseconds, in an HDR histogram.

    Recording into an HDR histogram takes several microseconds. So a value is
    first counted in a dictionary, keyed by the lowest value of its histogram
    bucket, and the counts are merged when the histogram is read. The result
    is the same, and the dictionary has at most as many keys as the histogram
    has buckets.

    >>> latency = LatencyHistogram(60.0)
    >>> latency.record(0.010)
    >>> latency.read().get_value_at_percentile(50)
    10047
    """

    __slots__ = ('unmerged', 'histogram', 'max_value')

    def __init__(self, max_seconds: float):
        self.max_value = int(max_seconds * MICROSECONDS)
        self.histogram: HdrHistogram | None = None
        self.unmerged: dict[int, int] = {}

    def record(self, seconds: float) -> None:
        """Record one latency; negative values count as zero."""
        value = int(seconds * MICROSECONDS) + 1 if seconds > 0.0 else 1
        surplus = value.bit_length() - PRECISION_BITS
        if surplus > 0:
            value = value >> surplus << surplus
        self.unmerged[value] = self.unmerged.get(value, 0) + 1

    def read(self) -> 'HdrHistogram':
        """Return the histogram of all recorded values."""
        if self.histogram is None:
            self.histogram = self.create_histogram()
        for value, count in self.unmerged.items():
            self.histogram.record_value(value, count)
        self.unmerged.clear()
        return self.histogram

    def cumulative_counts(self, bounds: tuple[float, ...]) -> list[int]:
        """Return the cumulative counts up to each bound in seconds.

        >>> latency = LatencyHistogram(60.0)
        >>> latency.record(0.010)
        >>> latency.record(0.200)
        >>> latency.cumulative_counts((0.1, 1.0))
        [1, 2]
        """
        counts = [0] * len(bounds)
        for item in self.read().get_recorded_iterator():
            seconds = item.value_iterated_to / MICROSECONDS
            for position, bound in enumerate(bounds):
                if seconds <= bound:
                    counts[position] += item.count_added_in_this_iter_step
        return counts

    def create_histogram(self) -> 'HdrHistogram':
        """Import the library on first use: few processes need it."""
        from hdrh.histogram import HdrHistogram

        return HdrHistogram(1, self.max_value, SIGNIFICANT_DIGITS)
