"""Calls that arrive late because of traffic ahead of them on the link."""

import pytest

from cyclamenlift.gate.lag_tracker import LagTracker

# The sender's clock is this far behind the gate's, in seconds.
APART = 1234.5
QUICK = 0.001


def take(
    delays: LagTracker, sent_at: float, way: float, link: int = 1
) -> float:
    return delays.note(link, sent_at, sent_at + APART + way)


def test_constant_delay_is_no_lag():
    delays = LagTracker()
    assert [take(delays, at, QUICK) for at in range(5)] == [0.0] * 5


def test_congestion_and_its_end_are_detected_at_once():
    delays = LagTracker()
    lags = [take(delays, at, way) for at, way in enumerate([0, 1.5, 0.7, 0])]
    assert lags == pytest.approx([0.0, 1.5, 0.7, 0.0], abs=0.001)


def test_faster_call_becomes_the_baseline():
    delays = LagTracker()
    take(delays, 0, 0.8)
    assert take(delays, 1, QUICK) == 0.0
    assert take(delays, 2, 0.8) == pytest.approx(0.799, abs=0.001)


def test_clock_drift_is_no_lag():
    delays = LagTracker()
    lags = [take(delays, at, at * 0.0001) for at in range(0, 100_000, 50)]
    assert max(lags) == 0.0


def test_each_connection_is_tracked_separately_until_closed():
    delays = LagTracker()
    take(delays, 0, QUICK, link=1)
    take(delays, 0, 2.0, link=2)
    assert take(delays, 1, 2.0, link=2) == 0.0
    assert take(delays, 1, 2.0, link=1) == pytest.approx(1.999, abs=0.001)
    delays.forget(1)
    assert delays.lag(1, APART + 1.0) == 0.0
    assert take(delays, 2, 2.0, link=1) == 0.0
