"""How long the calls of each route take at a target that is not slowed."""

from cyclamenlift.routing.finish import PERCENT
from cyclamenlift.routing.finish import SPELL_PACE

WEIGHT = 0.05
# A sample counts for at most this many times the mean: one long call
# must not make all seem long.
CLIP = 3.0
# The work that is assumed before any answer was seen, in seconds, where the
# route has no objective.
FIRST_GUESS = 0.1
# The same as a share of the route's objective: on all sheets of sites seen
# so far work is 0.30 to 0.38 of it.
GUESS_SHARE = 0.33
# How far a call's time is taken to lie from its mean before it is known, as
# a share of it: that of calls whose times vary by a third.
SPREAD_GUESS = 0.25
# Answers of targets up to this pace, in percent of the usual, tell of the
# work: a target that has just started keeps about twice the usual for
# seconds, and all that is learned then is of use at once.
MOST_PACE = SPELL_PACE
FIRST_KILOBYTES = 1.0


class RouteWork:
    """Mean work, in seconds, and mean bytes of an answer of one route.

    ``nested`` is the mean time that its calls waited for calls of their
    own, where it is known, and is not part of the work. ``spread`` is how
    far both together lie from their mean, in the mean.
    """

    __slots__ = ('count', 'kilobytes', 'nested', 'seconds', 'spread')

    def __init__(self):
        self.count = 0
        self.seconds = 0.0
        self.nested = 0.0
        self.spread = 0.0
        self.kilobytes = FIRST_KILOBYTES

    def note(self, seconds: float, size: int, nested: float = 0.0) -> None:
        self.kilobytes += WEIGHT * (size / 1024.0 - self.kilobytes)
        self.count += 1
        weight = max(WEIGHT, 1.0 / self.count)
        bounded = min(seconds, CLIP * self.seconds or seconds)
        if self.seconds:
            off = abs(bounded + nested - self.seconds - self.nested)
            self.spread += weight * (off - self.spread)
        self.seconds += weight * (bounded - self.seconds)
        self.nested += weight * (nested - self.nested)


class WorkTable:
    """The work of all routes that this entry or gate has seen answers of."""

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
        """Take over an answer's time, less what its target's pace added."""
        if pace_percent > MOST_PACE or seconds <= 0.0:
            return
        known = self.routes.get(route)
        if known is None:
            known = self.routes[route] = RouteWork()
        known.note(at_usual_pace(seconds, pace_percent), size, nested)

    def knows(self, route: str, samples: int) -> bool:
        """Tell whether at least so many answers of a route were seen."""
        known = self.routes.get(route)
        return known is not None and known.count >= samples

    def seconds(self, route: str, objective: float = 0.0) -> float:
        """Return the work of a route in seconds, a guess if unknown.

        ``objective`` is the time in which its calls should be answered.
        """
        known = self.routes.get(route)
        if known is not None:
            return known.seconds
        return GUESS_SHARE * objective if objective > 0.0 else FIRST_GUESS

    def nested(self, route: str) -> float:
        """Return how long its calls wait for calls that they make."""
        known = self.routes.get(route)
        return known.nested if known is not None else 0.0

    def spread(self, route: str, objective: float = 0.0) -> float:
        """Return how far the time of a call lies from its mean."""
        known = self.routes.get(route)
        if known is not None and known.count > 1:
            return known.spread
        return SPREAD_GUESS * self.seconds(route, objective)

    def kilobytes(self, route: str) -> float:
        """Return the mean size of a route's answers."""
        known = self.routes.get(route)
        return known.kilobytes if known else FIRST_KILOBYTES


def at_usual_pace(seconds: float, pace_percent: int) -> float:
    """Return what a call would have taken at the usual pace.

    >>> at_usual_pace(0.2, 200), at_usual_pace(0.2, 100), at_usual_pace(0.2, 0)
    (0.1, 0.2, 0.2)
    """
    return seconds / max(1.0, pace_percent / PERCENT)
