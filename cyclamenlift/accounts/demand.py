"""How much of an account is demanded where, and the part that follows.

The parts follow demand as in Raghavan et al., Cloud Control with Distributed
Rate Limiting (SIGCOMM 2007), among data centres in place of instances.
"""

import math

# Bounds of the time constant of a rate, in seconds, and the calls that it
# should span: short against the seconds for which demand moves, but longer for
# an account of few calls, in which chance would look like movement.
MIN_RATE_SECONDS = 1.0
MAX_RATE_SECONDS = 4.0
CALLS_TO_MEASURE = 10.0
# Part of a limit that is divided evenly whatever the demand is, so that calls
# that begin to arrive in a data centre find some.
EVEN_SHARE = 0.1


class RateMeter:
    """The recent rate of something that is counted, in units a second."""

    def __init__(self, seconds: float = MIN_RATE_SECONDS) -> None:
        self.seconds = seconds
        self.rate = 0.0
        self.noted_at = -math.inf

    def note(self, count: float, now: float) -> None:
        """Count ``count`` more; it may be negative."""
        self.rate = max(0.0, self.current(now) + count / self.seconds)
        self.noted_at = now

    def current(self, now: float) -> float:
        """Return the rate, which decays while nothing is counted."""
        age = now - self.noted_at
        if age == math.inf:
            return 0.0
        return self.rate * math.exp(-max(0.0, age) / self.seconds)


def seconds_to_measure(limit: float) -> float:
    """Return the time constant for an account by its limit.

    >>> seconds_to_measure(2.5), seconds_to_measure(100.0)
    (4.0, 1.0)
    """
    wanted = CALLS_TO_MEASURE / limit
    return min(MAX_RATE_SECONDS, max(MIN_RATE_SECONDS, wanted))


def part_of_limit(own: float, others: list[float], limit: float) -> float:
    """Return a data centre's part of a limit, 0 to 1.

    ``own`` and ``others`` are demands in calls a second, all capped at the
    limit. Parts that are worked out from the same figures add up to 1.

    >>> part_of_limit(0.0, [0.0], 10.0)
    0.5
    >>> round(part_of_limit(9.0, [0.0], 10.0), 2)
    0.95
    """
    floor = EVEN_SHARE * limit / (1 + len(others))
    wanted = min(own, limit) + floor
    total = wanted + sum(min(other, limit) + floor for other in others)
    return wanted / total
