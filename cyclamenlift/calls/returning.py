"""Callers that come back after a refusal, told by the time they have left.

The load that this answers: more calls than there is room for, for seconds.
Whoever is refused comes back once, with a new call id and nothing that names
the earlier try, and competes with all who come for the first time. Refused
again it has waited for nothing. A caller says how long it will wait, though,
and most callers of a route say the same: who says less has used up the
difference. So its objective, which counts from its first try, is nearer than
it seems, and it should go before those who have all their time.
"""

import collections
from collections.abc import Hashable
import dataclasses

# Requests of a route that are remembered: at a few a second on each daemon
# this is some seconds, and a route whose callers change is learned anew.
REMEMBERED = 64
# The share of them that must say just the same time for it to be the usual
# one. Callers come back once at most on the sites that were measured, so
# first tries are at least half; chunks of time that vary give no usual one.
USUAL_SHARE = 0.4
# Requests that must have been seen before anything is concluded.
LEAST_SEEN = 8


@dataclasses.dataclass(slots=True)
class TimesSeen:
    """The times that the last callers of one route said, in ms."""

    last: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    counts: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )

    def note(self, asked_ms: int) -> None:
        self.last.append(asked_ms)
        self.counts[asked_ms] += 1
        if len(self.last) > REMEMBERED:
            oldest = self.last.popleft()
            self.counts[oldest] -= 1
            if not self.counts[oldest]:
                del self.counts[oldest]

    def usual(self) -> int:
        """Return the time that most say, 0 if there is no such time."""
        if len(self.last) < LEAST_SEEN:
            return 0
        value, count = self.counts.most_common(1)[0]
        return value if count >= USUAL_SHARE * len(self.last) else 0


class UsualTimes:
    """How long the callers of each route usually wait."""

    def __init__(self) -> None:
        self.routes: dict[Hashable, TimesSeen] = {}

    def used_up(self, route: Hashable, asked_ms: int) -> int:
        """Note a caller's time; return the ms that it has used up already.

        >>> times = UsualTimes()
        >>> [times.used_up('r', 1000) for _ in range(9)][-1]
        0
        >>> times.used_up('r', 850)
        150
        """
        seen = self.routes.get(route)
        if seen is None:
            seen = self.routes[route] = TimesSeen()
        seen.note(asked_ms)
        return max(0, seen.usual() - asked_ms)

    def keep_only(self, routes: set[str]) -> None:
        """Forget the routes that are gone."""
        for route in set(self.routes) - routes:
            del self.routes[route]
