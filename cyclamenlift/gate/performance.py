"""Performance model of a target: pace, work per route, contention."""

import dataclasses
import math

from cyclamenlift.gate.admission import AdmissionRequest
from cyclamenlift.gate.concurrency import ConcurrencyLimiter
from cyclamenlift.gate.concurrency import MIN_BASELINE_SAMPLES
from cyclamenlift.gate.estimates import ServiceTime
from cyclamenlift.gate.pace_notifier import is_same_pace
from cyclamenlift.gate.slowdowns import PaceRetention
from cyclamenlift.gate.slowdowns import SlowdownHistory
from cyclamenlift.gate.slowdowns import WorkProgress
from cyclamenlift.http.target_reports import TargetLoad
from cyclamenlift.routing.finish import best_start
from cyclamenlift.routing.finish import PERCENT
from cyclamenlift.routing.finish import StartPlan
from cyclamenlift.routing.work import at_usual_pace
from cyclamenlift.routing.work import MAX_LEARNING_PACE
from cyclamenlift.routing.work import WorkTable

NEVER = float('-inf')
# Pace figures older than this, in seconds, are ignored: the neighbours that
# slow a target down come and go in about half a second.
PACE_MAX_AGE_SECONDS = 0.5
# Assumed cost of querying the pace before a call, in seconds: the round trip
# on the local instance and its processor time on a small core. An estimate.
PACE_QUERY_SECONDS = 0.002
# The pace that is assumed if none was reported, in percent of the usual.
USUAL_PACE = 100


@dataclasses.dataclass(frozen=True, slots=True)
class PaceAtStart:
    """The target's pace when a call began there, 0 if it was unknown.

    ``progress`` is the value of ``WorkProgress`` at that time.
    """

    pace_percent: int
    progress: float


class TargetPace:
    """How long work takes at the target now, as reported by the target."""

    def __init__(self) -> None:
        self.load: TargetLoad | None = None
        self.reported_at = 0.0
        self.steady_percent = 0
        self.steady_since = NEVER
        self.slowdowns = SlowdownHistory()
        self.progress = WorkProgress()

    def note(self, load: TargetLoad, now: float) -> None:
        if self.age(now) > PACE_MAX_AGE_SECONDS:
            self.slowdowns.reset_current()
        self.slowdowns.note(load.pace_percent, now)
        self.progress.note(load.pace_percent, now)
        self.load = load
        self.reported_at = now
        if not is_same_pace(load.pace_percent, self.steady_percent):
            self.steady_percent = load.pace_percent
            self.steady_since = now

    def forget(self) -> None:
        """Reset for another target."""
        self.load = None
        self.slowdowns.reset_current()

    def age(self, now: float) -> float:
        """Return the age of the newest pace figure in seconds."""
        return now - self.reported_at if self.load is not None else math.inf

    def percent(self, now: float) -> int:
        """Return the current pace, 100 for the usual one, 0 if unknown."""
        if self.age(now) > PACE_MAX_AGE_SECONDS:
            return 0
        return self.load.pace_percent

    def pace_at_start(self, now: float) -> PaceAtStart:
        """Return the pace to store with a call that begins now."""
        return PaceAtStart(self.percent(now), self.progress.until(now))

    def slowdown_left(self, now: float) -> float:
        """Return the expected rest of the current slowdown in seconds."""
        if self.percent(now) <= MAX_LEARNING_PACE:
            return 0.0
        return self.slowdowns.remaining(now)

    def is_usual(self, now: float) -> bool:
        """Return whether the target is in no slowdown."""
        return self.percent(now) <= MAX_LEARNING_PACE

    def was_constant(self, seconds: float, now: float) -> bool:
        """Return whether the pace was constant for the last ``seconds``."""
        return self.steady_since <= now - seconds


class PerformanceModel:
    """Estimates service times by route, pace and concurrency."""

    def __init__(self, slots: int) -> None:
        self.pace = TargetPace()
        self.pace_retention = PaceRetention()
        self.work = WorkTable()
        # Mean time for which a call of any route holds a slot at the usual
        # pace.
        self.slot_time = ServiceTime()
        self.make_limiter = ConcurrencyLimiter
        self.limiter = ConcurrencyLimiter(slots)

    def set_slots(self, slots: int) -> None:
        """Reset the concurrency limiter for a new number of slots."""
        self.limiter = self.make_limiter(slots)

    def note(
        self,
        route: str,
        seconds: float,
        concurrent: float,
        now: float,
        nested: float = 0.0,
        pace_at_start: PaceAtStart | None = None,
    ) -> None:
        """Update the model with a call that was answered.

        ``concurrent`` is the mean number of other calls that ran meanwhile,
        ``nested`` the time spent waiting for nested calls, ``pace_at_start``
        the pace at the start. If that is None, or calls don't keep the pace at
        which they started, only calls during which the target's pace was
        constant are used.
        """
        own = max(0.0, seconds - nested)
        changed = not self.pace.was_constant(seconds, now)
        if pace_at_start is None:
            if changed:
                return
            pace_at_start = self.pace.pace_at_start(now)
        if own <= 0.0 or not self.is_work_sample(pace_at_start):
            return
        if changed:
            self.note_pace_change(route, own, pace_at_start, now, nested)
            if not self.pace_retention.is_retained:
                return
        pace = pace_at_start.pace_percent
        usual_seconds = at_usual_pace(own, pace)
        self.slot_time.note(usual_seconds + nested)
        in_use = concurrent + 1.0
        if self.work.has_samples(route, MIN_BASELINE_SAMPLES):
            ratio = usual_seconds / self.work.seconds(route)
            self.limiter.note(ratio, in_use, now)
        if self.limiter.is_uncontended(in_use):
            self.work.note(route, own, pace, 0, nested)

    def is_work_sample(self, pace_at_start: PaceAtStart) -> bool:
        """Return whether a call that began at this pace measures its work.

        Targets that never report a pace are assumed to keep the usual one.
        """
        if not pace_at_start.pace_percent:
            return self.pace.load is None or not self.pace.load.pace_percent
        return pace_at_start.pace_percent <= MAX_LEARNING_PACE

    def note_pace_change(
        self,
        route: str,
        own: float,
        pace_at_start: PaceAtStart,
        now: float,
        nested: float,
    ) -> None:
        """Update the pace model with a call during which the pace changed."""
        if nested or not pace_at_start.pace_percent:
            return
        if not self.work.has_samples(route, MIN_BASELINE_SAMPLES):
            return
        usual = self.work.seconds(route)
        followed = self.pace.progress.until(now) - pace_at_start.progress
        keeping = at_usual_pace(own, pace_at_start.pace_percent)
        self.pace_retention.note(keeping / usual, followed / usual)

    def is_pace_uncertain(
        self, route: str, objective: float, now: float
    ) -> bool:
        """Return whether querying the pace pays off before a call begins."""
        work = self.work.seconds(route, objective)
        age = self.pace.age(now)
        return self.pace.slowdowns.risk(work, age, now) > PACE_QUERY_SECONDS

    def limit(self, now: float) -> int:
        """Return how many calls should run at once now."""
        return self.limiter.limit(now, self.pace.is_usual(now))

    def estimate(
        self, request: AdmissionRequest, running: int, now: float
    ) -> StartPlan:
        """Return the soonest way to finish a call beside ``running`` others.

        The time includes that of its nested calls.
        """
        work = self.work.seconds(request.route, request.objective)
        work *= self.limiter.contention_factor(running + 1)
        start = self.best_start(work, now)
        nested = self.work.nested(request.route)
        return StartPlan(start.held, start.seconds + nested)

    def best_start(self, work: float, now: float) -> StartPlan:
        """Return the soonest way to finish ``work`` at the current pace."""
        percent = self.pace.percent(now) or USUAL_PACE
        left = self.pace.slowdown_left(now)
        if not self.pace_retention.is_retained:
            return StartPlan(0.0, work_following_pace(work, percent, left))
        return best_start(work, percent, left)

    def spread(
        self, request: AdmissionRequest, start: StartPlan, now: float
    ) -> float:
        """Return the expected deviation of a call's time from its mean."""
        spread = self.work.spread(request.route, request.objective)
        if start.held or not self.pace_retention.is_retained:
            return spread
        return spread * max(1.0, self.pace.percent(now) / PERCENT)

    def slot_seconds(self, guess: float) -> float:
        """Return how long a call usually holds a slot, or ``guess``."""
        return self.slot_time.mean or guess


def work_following_pace(
    work: float, pace_percent: int, slowdown_left: float
) -> float:
    """Return how long work takes if it follows the target's pace.

    >>> work_following_pace(0.1, 100, 0.0)
    0.1
    >>> round(work_following_pace(0.1, 700, 0.4), 3)
    0.443
    """
    factor = max(1.0, pace_percent / PERCENT)
    done_in_slowdown = slowdown_left / factor
    if pace_percent <= MAX_LEARNING_PACE or work <= done_in_slowdown:
        return work * factor
    return slowdown_left + work - done_in_slowdown
