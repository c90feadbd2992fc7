"""How long the calls of each route take at a target that is not slowed."""

WEIGHT = 0.05
# A sample counts for at most this many times the mean: one long call
# must not make all seem long.
CLIP = 3.0
# The work that is assumed before any answer was seen, in seconds.
FIRST_GUESS = 0.1
# Answers of targets up to this pace count as not slowed.
USUAL_PACE = 120
FIRST_KILOBYTES = 1.0


class RouteWork:
    """Mean work, in seconds, and mean bytes of an answer of one route."""

    __slots__ = ('kilobytes', 'seconds')

    def __init__(self):
        self.seconds = 0.0
        self.kilobytes = FIRST_KILOBYTES

    def note(self, seconds: float, size: int) -> None:
        self.kilobytes += WEIGHT * (size / 1024.0 - self.kilobytes)
        if not self.seconds:
            self.seconds = seconds
            return
        bounded = min(seconds, CLIP * self.seconds)
        self.seconds += WEIGHT * (bounded - self.seconds)


class WorkTable:
    """The work of all routes that this entry has seen answers of."""

    def __init__(self):
        self.routes: dict[str, RouteWork] = {}

    def note(
        self, route: str, seconds: float, pace_percent: int, size: int
    ) -> None:
        """Take over an answer's service time, if its target was not slow."""
        if pace_percent > USUAL_PACE or seconds <= 0.0:
            return
        known = self.routes.get(route)
        if known is None:
            known = self.routes[route] = RouteWork()
        known.note(seconds, size)

    def seconds(self, route: str) -> float:
        """Return the work of a route in seconds, a guess if unknown."""
        known = self.routes.get(route)
        return known.seconds if known else FIRST_GUESS

    def kilobytes(self, route: str) -> float:
        """Return the mean size of a route's answers."""
        known = self.routes.get(route)
        return known.kilobytes if known else FIRST_KILOBYTES
