"""Clocks and deadlines.

Within a process a deadline is a time of the local monotonic clock, in
seconds. Messages between processes carry the remaining time, which the
receiver immediately converts to a deadline, so that correctness never
depends on comparing the clocks of two instances.
"""

import time
from typing import Protocol

MICROSECONDS = 1_000_000
MILLISECONDS = 1_000


class Clock(Protocol):
    """Source of time; tests pass their own implementation."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def unix_ms(self) -> int:
        """Return the wall-clock time in milliseconds since the epoch."""


class SystemClock:
    """The system clocks."""

    # The function itself: a call reads the clock some twenty times, and a
    # wrapping method would double the cost.
    now = staticmethod(time.monotonic)

    def unix_ms(self) -> int:
        return time.time_ns() // 1_000_000


def seconds_since_boot() -> float:
    """Return the seconds since the machine booted, including suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def deadline_after(now: float, duration: float) -> float:
    """Return the time ``duration`` seconds after ``now``.

    >>> deadline_after(10.0, 0.5)
    10.5
    """
    return now + duration


def time_left(deadline: float, now: float) -> float:
    """Return the seconds until ``deadline``, at least zero.

    >>> time_left(10.5, 10.0)
    0.5
    >>> time_left(10.0, 11.0)
    0.0
    """
    return max(0.0, deadline - now)
