"""Clocks and deadlines.

Inside a process a deadline is an instant of the local monotonic clock, in
seconds. Between processes travels the time left, which the receiver turns
into a deadline at once: safety never compares two instances' clocks.
"""

import time
from typing import Protocol

MICROSECONDS = 1_000_000
MILLISECONDS = 1_000


class Clock(Protocol):
    """What a task asks for the time; tests pass a clock of their own."""

    def now(self) -> float:
        """Return the monotonic instant in seconds."""

    def unix_ms(self) -> int:
        """Return the wall clock in milliseconds since the epoch."""


class SystemClock:
    """The clocks of this machine."""

    # The function itself: a call reads the clock some twenty times, and a
    # method around it would cost as much again.
    now = staticmethod(time.monotonic)

    def unix_ms(self) -> int:
        return time.time_ns() // 1_000_000


def machine_seconds() -> float:
    """Return the seconds since the machine started, suspended ones too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def deadline_after(now: float, duration: float) -> float:
    """Return the instant that lies ``duration`` seconds after ``now``.

    >>> deadline_after(10.0, 0.5)
    10.5
    """
    return now + duration


def time_left(deadline: float, now: float) -> float:
    """Return the seconds until ``deadline``, never below zero.

    >>> time_left(10.5, 10.0)
    0.5
    >>> time_left(10.0, 11.0)
    0.0
    """
    return max(0.0, deadline - now)
