"""Detects callers that retry after a refusal, by their timeouts.

When a service is overloaded for seconds, a refused caller retries once, with a
new call id and no reference to the earlier try, and competes with first tries.
If it is refused again, its wait was in vain. But callers state how long they
will wait, and most callers of a route state the same timeout: one that states
less has already used up the difference. Its latency objective, which counts
from its first try, is therefore nearer than it seems, and it should be served
before callers that have all their time left.
"""

import collections
from collections.abc import Hashable
import dataclasses

# Number of a route's latest requests that are remembered: some seconds of
# traffic at a few requests a second on each daemon, so that a change in a
# route's callers is learned.
MAX_REMEMBERED = 64
# Share of the remembered requests that must state exactly the same timeout for
# it to count as usual. First tries of callers that retry once are at least
# half. Routes whose timeouts vary have no usual one.
MIN_USUAL_SHARE = 0.4
# Minimum number of requests before a usual timeout is inferred.
MIN_SEEN = 8


@dataclasses.dataclass(slots=True)
class RecentTimeouts:
    """The timeouts stated by the latest callers of a route, in ms."""

    last: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    counts: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )

    def note(self, timeout_ms: int) -> None:
        self.last.append(timeout_ms)
        self.counts[timeout_ms] += 1
        if len(self.last) > MAX_REMEMBERED:
            oldest = self.last.popleft()
            self.counts[oldest] -= 1
            if not self.counts[oldest]:
                del self.counts[oldest]

    def usual(self) -> int:
        """Return the usual timeout, 0 if there is none."""
        if len(self.last) < MIN_SEEN:
            return 0
        value, count = self.counts.most_common(1)[0]
        return value if count >= MIN_USUAL_SHARE * len(self.last) else 0


class UsualTimeouts:
    """The usual timeout of the callers of each route."""

    def __init__(self) -> None:
        self.routes: dict[Hashable, RecentTimeouts] = {}

    def elapsed_ms(self, route: Hashable, timeout_ms: int) -> int:
        """Record a caller's timeout; return the ms already used up.

        >>> times = UsualTimeouts()
        >>> [times.elapsed_ms('r', 1000) for _ in range(9)][-1]
        0
        >>> times.elapsed_ms('r', 850)
        150
        """
        seen = self.routes.get(route)
        if seen is None:
            seen = self.routes[route] = RecentTimeouts()
        seen.note(timeout_ms)
        return max(0, seen.usual() - timeout_ms)

    def keep_only(self, routes: set[str]) -> None:
        """Drop all other routes."""
        for route in set(self.routes) - routes:
            del self.routes[route]
