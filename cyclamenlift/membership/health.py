"""Doubt about one's own network before others are declared dead.

A member that loses sight of a large part of the others is more likely cut
off itself. It then holds them as SUSPECT, which routing still uses, rather
than declaring them DEAD.
"""

import collections
import math

# Both sides of a cut keep at least this share of what they knew.
HOLD_SHARE = 0.4
WINDOW = 10
SUSPICION_FACTOR = 1.5
SUSPICION_FLOOR = 4.0


def suspicion_periods(members: int) -> float:
    """Return how many periods a suspect has to refute.

    >>> suspicion_periods(3), round(suspicion_periods(680), 1)
    (4.0, 14.1)
    """
    return max(SUSPICION_FLOOR, SUSPICION_FACTOR * math.log2(members + 1))


class LocalHealth:
    """The last outcomes of own probes to members not yet suspected."""

    def __init__(self) -> None:
        self.outcomes: collections.deque[bool] = collections.deque(
            [True] * WINDOW, maxlen=WINDOW
        )

    def note(self, answered: bool) -> None:
        self.outcomes.append(answered)

    def failing_share(self) -> float:
        """Return the share of the last probes that went unanswered."""
        return self.outcomes.count(False) / WINDOW

    def must_hold(self, failing: int, known: int) -> bool:
        """Tell whether one more death may not be declared or believed.

        ``failing`` counts SUSPECT and DEAD records with the one at hand,
        ``known`` all records but those that left.
        """
        if self.failing_share() > HOLD_SHARE:
            return True
        return failing > HOLD_SHARE * known
