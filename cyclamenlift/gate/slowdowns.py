"""Slowdowns of one target: when they occur, how long, and their effect.

A target's pace is several times the usual for some hundred milliseconds at a
time. Whether to hold a call until a slowdown is over depends on how long
slowdowns last at this target, and on whether a call keeps the pace at which it
began or follows the target's pace. Both are learned from the target's reports
and answers.
"""

import collections

from cyclamenlift.routing.finish import PERCENT
from cyclamenlift.routing.finish import SLOWDOWN_PACE

# Assumed duration of slowdowns before any was observed, in seconds. Counts as
# two observations.
INITIAL_LENGTHS = (0.5, 0.5)
# The same for the time between slowdowns, and for how much longer work takes
# in one, as a factor minus one.
INITIAL_GAPS = (1.5, 1.5)
INITIAL_EXCESS = 3.0
EXCESS_WEIGHT = 0.25
MIN_GAP = 0.1
# Slowdowns in the history: about half a minute's where they take up a quarter
# of the time.
HISTORY_LENGTH = 16
# Calls during which the pace changed that are needed to override the default,
# that calls keep their pace. Service times vary by a third, so the
# mean of this many is accurate to a tenth.
MIN_PACE_CHANGES = 12
# Minimum weight of a call in the moving averages.
WEIGHT = 0.05
# Lower bound for a call's work relative to its route's usual work.
MIN_RATIO = 0.2


class SlowdownHistory:
    """Detects slowdowns of the target and estimates their duration."""

    def __init__(self) -> None:
        self.lengths = collections.deque(INITIAL_LENGTHS, HISTORY_LENGTH)
        self.gaps = collections.deque(INITIAL_GAPS, HISTORY_LENGTH)
        self.since: float | None = None
        self.usual_since: float | None = None
        # Mean extra time that work takes in a slowdown, as a factor minus one.
        self.excess = INITIAL_EXCESS

    def note(self, pace_percent: int, now: float) -> None:
        """Record a pace figure."""
        if pace_percent > SLOWDOWN_PACE:
            self.note_slowdown(pace_percent, now)
        else:
            self.note_usual_pace(now)

    def note_slowdown(self, pace_percent: int, now: float) -> None:
        if self.since is not None:
            return
        self.since = now
        excess = pace_percent / PERCENT - 1.0
        self.excess += EXCESS_WEIGHT * (excess - self.excess)
        if self.usual_since is not None:
            self.gaps.append(now - self.usual_since)
            self.usual_since = None

    def note_usual_pace(self, now: float) -> None:
        if self.since is not None:
            self.lengths.append(now - self.since)
            self.since = None
        if self.usual_since is None:
            self.usual_since = now

    def reset_current(self) -> None:
        """Discard the current slowdown or gap, whose end was not observed."""
        self.since = None
        self.usual_since = None

    def risk(self, work: float, age: float, now: float) -> float:
        """Return the expected loss of a call that begins on an old figure.

        In seconds: the extra time that the call takes in a slowdown,
        multiplied by the probability that one has begun in the ``age`` seconds
        since the figure.

        >>> round(SlowdownHistory().risk(0.66, 0.04, 1.0), 3)
        0.053
        """
        gaps = list(self.gaps)
        if self.usual_since is not None:
            # Count the current gap too: at a target without slowdowns it is
            # the only one, and grows.
            gaps.append(now - self.usual_since)
        gap = max(MIN_GAP, sum(gaps) / len(gaps))
        return work * self.excess * min(1.0, age / gap)

    def remaining(self, now: float) -> float:
        """Return the expected rest of the current slowdown, 0 without one.

        It is estimated from past slowdowns that lasted longer than this one
        has so far. If there are none, the slowdown is of another kind and is
        expected to last as long again as it already has.

        >>> history = SlowdownHistory()
        >>> history.note(700, 1.0)
        >>> round(history.remaining(1.2), 1), round(history.remaining(3.0), 1)
        (0.3, 2.0)
        """
        if self.since is None:
            return 0.0
        age = now - self.since
        longer = [length - age for length in self.lengths if length > age]
        if not longer:
            return age
        return sum(longer) / len(longer)


class WorkProgress:
    """Cumulative work that a call following the target's pace would do.

    In seconds of work at the usual pace. The difference of two readings is the
    part of a call that would have been done between them.
    """

    __slots__ = ('at', 'done', 'pace_percent')

    def __init__(self) -> None:
        self.done = 0.0
        self.at = 0.0
        self.pace_percent = int(PERCENT)

    def note(self, pace_percent: int, now: float) -> None:
        """Set the pace from now on."""
        self.done = self.until(now)
        self.at = now
        self.pace_percent = pace_percent or int(PERCENT)

    def until(self, now: float) -> float:
        """Return the cumulative work at the given time."""
        elapsed = max(0.0, now - self.at)
        return self.done + elapsed * PERCENT / self.pace_percent


class PaceRetention:
    """Learns whether calls keep the pace at which they began.

    For each call during which the pace changed, its work is computed under two
    hypotheses, that it kept its first pace and that it followed every change,
    and each is compared with the usual work of its route. The hypothesis whose
    mean is closer to 1 holds; until there are enough samples, calls are
    assumed to keep their pace.

    A longer call is more likely to see a change, so calls are weighted by the
    inverse of their duration; otherwise they would seem longer than they are.
    """

    __slots__ = ('count', 'followed_shares', 'weights')

    def __init__(self) -> None:
        self.count = 0
        self.weights = 0.0
        self.followed_shares = 0.0

    def note(self, keeping: float, following: float) -> None:
        """Record a call's work relative to the usual, by both hypotheses."""
        self.count += 1
        weight = max(WEIGHT, 1.0 / self.count)
        keeping = max(MIN_RATIO, keeping)
        self.weights += weight * (1.0 / keeping - self.weights)
        share = following / keeping
        self.followed_shares += weight * (share - self.followed_shares)

    @property
    def keeping(self) -> float:
        """Return the mean relative work if calls keep their pace."""
        return 1.0 / self.weights if self.weights else 1.0

    @property
    def following(self) -> float:
        """Return the mean relative work if calls follow the pace."""
        if not self.weights:
            return 1.0
        return self.followed_shares / self.weights

    @property
    def is_retained(self) -> bool:
        """Whether calls keep their pace, according to the samples."""
        if self.count < MIN_PACE_CHANGES:
            return True
        return abs(self.keeping - 1.0) <= abs(self.following - 1.0)
