"""Performance model of a target: pace, work per route, contention."""

import dataclasses
import math

from cyclamenlift.gate.admission import Asking
from cyclamenlift.gate.crowding import BASE_SAMPLES
from cyclamenlift.gate.crowding import Crowding
from cyclamenlift.gate.estimates import ServiceTime
from cyclamenlift.gate.news import is_same_pace
from cyclamenlift.gate.spells import PaceKeeping
from cyclamenlift.gate.spells import Progress
from cyclamenlift.gate.spells import Spells
from cyclamenlift.http.dialects import TargetLoad
from cyclamenlift.routing.finish import best_start
from cyclamenlift.routing.finish import PERCENT
from cyclamenlift.routing.finish import Start
from cyclamenlift.routing.work import at_usual_pace
from cyclamenlift.routing.work import MOST_PACE
from cyclamenlift.routing.work import WorkTable

NEVER = float('-inf')
# Pace figures older than this, in seconds, are ignored: the neighbours that
# slow a target down come and go in about half a second.
PACE_SECONDS = 0.5
# Assumed cost of querying the pace before a call, in seconds: the round trip
# on the local instance and its processor time on a small core. An estimate.
ASKING_SECONDS = 0.002
# The pace that is assumed if none was reported, in percent of the usual.
USUAL_PACE = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """The target's pace when a call began there, 0 if it was unknown.

    ``progress`` is the value of ``WorkProgress`` at that time.
    """

    pace_percent: int
    progress: float


class TargetPace:
    """How long work takes at the target now, as reported by the target."""

    def __init__(self) -> None:
        self.load: TargetLoad | None = None
        self.told_at = 0.0
        self.steady_percent = 0
        self.steady_since = NEVER
        self.spells = Spells()
        self.progress = Progress()

    def note(self, load: TargetLoad, now: float) -> None:
        if self.age(now) > PACE_SECONDS:
            self.spells.lose_sight()
        self.spells.note(load.pace_percent, now)
        self.progress.note(load.pace_percent, now)
        self.load = load
        self.told_at = now
        if not is_same_pace(load.pace_percent, self.steady_percent):
            self.steady_percent = load.pace_percent
            self.steady_since = now

    def forget(self) -> None:
        """Reset for another target."""
        self.load = None
        self.spells.lose_sight()

    def age(self, now: float) -> float:
        """Return the age of the newest pace figure in seconds."""
        return now - self.told_at if self.load is not None else math.inf

    def percent(self, now: float) -> int:
        """Return the current pace, 100 for the usual one, 0 if unknown."""
        if self.age(now) > PACE_SECONDS:
            return 0
        return self.load.pace_percent

    def begun(self, now: float) -> Begun:
        """Return the pace to store with a call that begins now."""
        return Begun(self.percent(now), self.progress.until(now))

    def spell_left(self, now: float) -> float:
        """Return the expected rest of the current slowdown in seconds."""
        if self.percent(now) <= MOST_PACE:
            return 0.0
        return self.spells.left(now)

    def is_usual(self, now: float) -> bool:
        """Tell whether the target is in no slowdown."""
        return self.percent(now) <= MOST_PACE

    def was_kept(self, seconds: float, now: float) -> bool:
        """Tell whether the pace was constant for the last ``seconds``."""
        return self.steady_since <= now - seconds


class Learning:
    """Estimates service times by route, pace and concurrency."""

    def __init__(self, slots: int) -> None:
        self.pace = TargetPace()
        self.keeping = PaceKeeping()
        self.work = WorkTable()
        # Mean time for which a call of any route holds a slot at the usual
        # pace.
        self.slot_time = ServiceTime()
        self.make_crowding = Crowding
        self.crowding = Crowding(slots)

    def set_slots(self, slots: int) -> None:
        """Reset the concurrency limiter for a new number of slots."""
        self.crowding = self.make_crowding(slots)

    def note(
        self,
        route: str,
        seconds: float,
        beside: float,
        now: float,
        nested: float = 0.0,
        begun: Begun | None = None,
    ) -> None:
        """Update the model with a call that ran beside ``beside`` others.

        ``beside`` is the mean number of other calls, ``nested`` the time spent
        waiting for nested calls, ``begun`` the pace at the start. If ``begun``
        is None, or calls don't keep the pace at which they started, only calls
        during which the target's pace was constant are used.
        """
        own = max(0.0, seconds - nested)
        changed = not self.pace.was_kept(seconds, now)
        if begun is None:
            if changed:
                return
            begun = self.pace.begun(now)
        if own <= 0.0 or not self.tells_of_work(begun):
            return
        if changed:
            self.note_changed(route, own, begun, now, nested)
            if not self.keeping.kept:
                return
        pace = begun.pace_percent
        at_usual = at_usual_pace(own, pace)
        self.slot_time.note(at_usual + nested)
        in_use = beside + 1.0
        if self.work.knows(route, BASE_SAMPLES):
            ratio = at_usual / self.work.seconds(route)
            self.crowding.note(ratio, in_use, now)
        if self.crowding.is_roomy(in_use):
            self.work.note(route, own, pace, 0, nested)

    def tells_of_work(self, begun: Begun) -> bool:
        """Tell whether a call that began at this pace measures its work.

        Targets that never report a pace are assumed to keep the usual one.
        """
        if not begun.pace_percent:
            return self.pace.load is None or not self.pace.load.pace_percent
        return begun.pace_percent <= MOST_PACE

    def note_changed(
        self, route: str, own: float, begun: Begun, now: float, nested: float
    ) -> None:
        """Update the pace model with a call during which the pace changed."""
        if nested or not begun.pace_percent:
            return
        if not self.work.knows(route, BASE_SAMPLES):
            return
        usual = self.work.seconds(route)
        followed = self.pace.progress.until(now) - begun.progress
        keeping = at_usual_pace(own, begun.pace_percent)
        self.keeping.note(keeping / usual, followed / usual)

    def is_doubtful(self, route: str, objective: float, now: float) -> bool:
        """Tell whether querying the pace pays off before a call begins."""
        work = self.work.seconds(route, objective)
        age = self.pace.age(now)
        return self.pace.spells.risk(work, age, now) > ASKING_SECONDS

    def limit(self, now: float) -> int:
        """Return how many calls should run at once now."""
        return self.crowding.limit(now, self.pace.is_usual(now))

    def expect(self, asking: Asking, running: int, now: float) -> Start:
        """Return the soonest way to finish a call beside ``running`` others.

        The time includes that of its nested calls.
        """
        work = self.work.seconds(asking.route, asking.objective)
        work *= self.crowding.slowness(running + 1)
        start = self.best_start(work, now)
        nested = self.work.nested(asking.route)
        return Start(start.held, start.seconds + nested)

    def best_start(self, work: float, now: float) -> Start:
        """Return the soonest way to finish ``work`` at the current pace."""
        percent = self.pace.percent(now) or USUAL_PACE
        left = self.pace.spell_left(now)
        if not self.keeping.kept:
            return Start(0.0, followed_work(work, percent, left))
        return best_start(work, percent, left)

    def spread(self, asking: Asking, start: Start, now: float) -> float:
        """Return the expected deviation of a call's time from its mean."""
        spread = self.work.spread(asking.route, asking.objective)
        if start.held or not self.keeping.kept:
            return spread
        return spread * max(1.0, self.pace.percent(now) / PERCENT)

    def slot_seconds(self, guess: float) -> float:
        """Return how long a call usually holds a slot, or ``guess``."""
        return self.slot_time.mean or guess


def followed_work(work: float, pace_percent: int, spell_left: float) -> float:
    """Return how long work takes if it follows the target's pace.

    >>> followed_work(0.1, 100, 0.0), round(followed_work(0.1, 700, 0.4), 3)
    (0.1, 0.443)
    """
    factor = max(1.0, pace_percent / PERCENT)
    done_in_spell = spell_left / factor
    if pace_percent <= MOST_PACE or work <= done_in_spell:
        return work * factor
    return spell_left + work - done_in_spell
