"""Detects local network problems before declaring others dead.

A member that can't reach a large share of the others is more likely to be
disconnected itself. It then keeps them SUSPECT, which routing still uses,
instead of declaring them DEAD.
"""

import collections
import math

# Each side of a partition keeps at least this share of the members it knew.
MAX_FAILING_SHARE = 0.4
# Number of recent probes that are taken into account.
WINDOW = 10
# A suspect has this many periods to refute, times the binary logarithm of the
# number of members, but no fewer than the floor.
SUSPICION_FACTOR = 1.5
SUSPICION_FLOOR = 4.0


def suspicion_periods(members: int) -> float:
    """Return the number of periods in which a suspect can refute.

    >>> suspicion_periods(3), round(suspicion_periods(680), 1)
    (4.0, 14.1)
    """
    return max(SUSPICION_FLOOR, SUSPICION_FACTOR * math.log2(members + 1))


class LocalHealth:
    """Recent results of this member's probes to unsuspected members."""

    def __init__(self) -> None:
        self.outcomes: collections.deque[bool] = collections.deque(
            [True] * WINDOW, maxlen=WINDOW
        )

    def record_probe(self, answered: bool) -> None:
        self.outcomes.append(answered)

    def failing_share(self) -> float:
        """Return the share of recent probes that were not answered."""
        return self.outcomes.count(False) / WINDOW

    def must_defer_death(self, failing: int, known: int) -> bool:
        """Return whether another death may not be declared or accepted.

        ``failing`` counts SUSPECT and DEAD records including the one in
        question, ``known`` all records except LEFT ones.
        """
        if self.failing_share() > MAX_FAILING_SHARE:
            return True
        return failing > MAX_FAILING_SHARE * known
