"""Mean service time of each route's calls at targets of usual pace."""

from cyclamenlift.routing.finish import PERCENT
from cyclamenlift.routing.finish import SLOWDOWN_PACE

AVERAGE_WEIGHT = 0.05
# Samples are clipped to this multiple of the mean, so that one long call does
# not make all calls look long.
CLIP_FACTOR = 3.0
# Assumed work in seconds before any answer, for routes without an objective.
DEFAULT_WORK = 0.1
# Assumed work as a share of the route's objective.
DEFAULT_WORK_SHARE = 0.33
# Assumed mean deviation of a call's time before it is known, as a share of its
# mean: that of calls whose times vary by a third.
DEFAULT_SPREAD_SHARE = 0.25
# Answers are used to learn the work only up to this pace, in percent of the
# usual. It includes targets that have just started, which run at about twice
# the usual duration for seconds, because early samples are useful at once.
MAX_LEARNING_PACE = SLOWDOWN_PACE
DEFAULT_KILOBYTES = 1.0


class RouteWork:
    """Mean work in seconds and mean size of the answers of one route.

    ``nested`` is the mean time spent waiting for the calls' own nested calls,
    where known, and is not part of the work. ``spread`` is the mean absolute
    deviation of the sum of both.
    """

    __slots__ = ('count', 'kilobytes', 'nested', 'seconds', 'spread')

    def __init__(self):
        self.count = 0
        self.seconds = 0.0
        self.nested = 0.0
        self.spread = 0.0
        self.kilobytes = DEFAULT_KILOBYTES

    def note(self, seconds: float, size: int, nested: float = 0.0) -> None:
        self.kilobytes += AVERAGE_WEIGHT * (size / 1024.0 - self.kilobytes)
        self.count += 1
        weight = max(AVERAGE_WEIGHT, 1.0 / self.count)
        bounded = min(seconds, CLIP_FACTOR * self.seconds or seconds)
        if self.seconds:
            off = abs(bounded + nested - self.seconds - self.nested)
            self.spread += weight * (off - self.spread)
        self.seconds += weight * (bounded - self.seconds)
        self.nested += weight * (nested - self.nested)


class WorkTable:
    """The work of all routes whose answers this entry or gate has seen."""

    def __init__(self):
        self.routes: dict[str, RouteWork] = {}

    def note(
        self,
        route: str,
        seconds: float,
        pace_percent: int,
        size: int,
        nested: float = 0.0,
    ) -> None:
        """Add an answer's time, normalised to the usual pace of its target."""
        if pace_percent > MAX_LEARNING_PACE or seconds <= 0.0:
            return
        known = self.routes.get(route)
        if known is None:
            known = self.routes[route] = RouteWork()
        known.note(at_usual_pace(seconds, pace_percent), size, nested)

    def has_samples(self, route: str, samples: int) -> bool:
        """Return whether at least ``samples`` answers of a route were seen."""
        known = self.routes.get(route)
        return known is not None and known.count >= samples

    def seconds(self, route: str, objective: float = 0.0) -> float:
        """Return the work of a route in seconds, or a default if unknown.

        ``objective`` is the route's latency objective in seconds.
        """
        known = self.routes.get(route)
        if known is not None:
            return known.seconds
        return (
            DEFAULT_WORK_SHARE * objective if objective > 0.0 else DEFAULT_WORK
        )

    def nested(self, route: str) -> float:
        """Return the mean time that a route's calls wait for nested calls."""
        known = self.routes.get(route)
        return known.nested if known is not None else 0.0

    def spread(self, route: str, objective: float = 0.0) -> float:
        """Return the mean deviation of a call's time from its mean."""
        known = self.routes.get(route)
        if known is not None and known.count > 1:
            return known.spread
        return DEFAULT_SPREAD_SHARE * self.seconds(route, objective)

    def kilobytes(self, route: str) -> float:
        """Return the mean size of a route's answers."""
        known = self.routes.get(route)
        return known.kilobytes if known else DEFAULT_KILOBYTES


def at_usual_pace(seconds: float, pace_percent: int) -> float:
    """Return the time that a call would have taken at the usual pace.

    >>> at_usual_pace(0.2, 200), at_usual_pace(0.2, 100), at_usual_pace(0.2, 0)
    (0.1, 0.2, 0.2)
    """
    return seconds / max(1.0, pace_percent / PERCENT)
