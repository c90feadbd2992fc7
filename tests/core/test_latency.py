"""The latency histogram gives the same counts as an HDR histogram."""

from hdrh.histogram import HdrHistogram
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cyclamenlift.core.latency import LatencyHistogram
from cyclamenlift.core.latency import MICROSECONDS
from cyclamenlift.core.latency import SIGNIFICANT_DIGITS

LONGEST = 600.0
SECONDS = st.one_of(st.floats(-1.0, 0.01), st.floats(0.0, LONGEST - 1))


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.lists(SECONDS, max_size=20), max_size=4))
def test_counts_equal_those_of_an_hdr_histogram(batches):
    latency = LatencyHistogram(LONGEST)
    longest = int(LONGEST * MICROSECONDS)
    plain = HdrHistogram(1, longest, SIGNIFICANT_DIGITS)
    for batch in batches:
        for seconds in batch:
            latency.record(seconds)
            plain.record_value(int(max(0.0, seconds) * MICROSECONDS) + 1)
        found = latency.read()
        assert list(found.counts) == list(plain.counts)
        assert found.total_count == plain.total_count
