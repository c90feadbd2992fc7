"""Slow spells of one target: since when, how long, and whom they slow.

The load that this answers: the pace of a target is several times the usual
for some hundred milliseconds at a time. Whether a call is held until a spell
is over depends on how long spells last here, and on whether a call that has
begun keeps its pace or is as fast as the target is at each moment. Both are
learned from the target's own figures and answers.
"""

import collections

from cyclamenlift.routing.finish import PERCENT
from cyclamenlift.routing.finish import SPELL_PACE

# How long spells are taken to last before any was seen, in seconds: as long
# as on the sites that were measured. Counts as two spells.
FIRST_LENGTHS = (0.5, 0.5)
# The same for the time between two spells, and for how much longer work takes
# in one, as a factor less one: the least that was seen.
FIRST_GAPS = (1.5, 1.5)
FIRST_EXCESS = 3.0
EXCESS_WEIGHT = 0.25
LEAST_GAP = 0.1
# Spells that are remembered: those of about half a minute, where they come a
# quarter of the time.
LENGTHS_KEPT = 16
# Calls during which the pace changed, before they outweigh what was
# measured, that calls keep their pace: their times vary by a third, so the
# mean of so many is known to a tenth.
LEAST_CHANGED = 12
# Weight of a call in the moving means.
WEIGHT = 0.05
# A call counts as at least this share of its route's usual work.
LEAST_RATIO = 0.2


class Spells:
    """When the target is in a slow spell, and how long spells last."""

    def __init__(self) -> None:
        self.lengths = collections.deque(FIRST_LENGTHS, LENGTHS_KEPT)
        self.gaps = collections.deque(FIRST_GAPS, LENGTHS_KEPT)
        self.since: float | None = None
        self.usual_since: float | None = None
        # How much more than the usual work takes in a spell, as a factor.
        self.excess = FIRST_EXCESS

    def note(self, pace_percent: int, now: float) -> None:
        """Take over a figure of the pace."""
        if pace_percent > SPELL_PACE:
            self.note_slow(pace_percent, now)
        else:
            self.note_usual(now)

    def note_slow(self, pace_percent: int, now: float) -> None:
        if self.since is not None:
            return
        self.since = now
        excess = pace_percent / PERCENT - 1.0
        self.excess += EXCESS_WEIGHT * (excess - self.excess)
        if self.usual_since is not None:
            self.gaps.append(now - self.usual_since)
            self.usual_since = None

    def note_usual(self, now: float) -> None:
        if self.since is not None:
            self.lengths.append(now - self.since)
            self.since = None
        if self.usual_since is None:
            self.usual_since = now

    def lose_sight(self) -> None:
        """Forget a spell whose end was not seen, or a gap."""
        self.since = None
        self.usual_since = None

    def risk(self, work: float, age: float, now: float) -> float:
        """Return what a call may lose that begins by an old figure.

        In seconds: what it takes longer in a spell, times the chance that
        one has begun in the ``age`` seconds since the figure.

        >>> round(Spells().risk(0.66, 0.04, 1.0), 3)
        0.053
        """
        gaps = list(self.gaps)
        if self.usual_since is not None:
            # A target without spells has one gap that grows.
            gaps.append(now - self.usual_since)
        gap = max(LEAST_GAP, sum(gaps) / len(gaps))
        return work * self.excess * min(1.0, age / gap)

    def left(self, now: float) -> float:
        """Return how much longer the spell should last, 0 without one.

        By those that lasted longer than this one has; when none did it is
        of another kind, which goes on for about as long as it has.

        >>> spells = Spells()
        >>> spells.note(700, 1.0)
        >>> round(spells.left(1.2), 1), round(spells.left(3.0), 1)
        (0.3, 2.0)
        """
        if self.since is None:
            return 0.0
        age = now - self.since
        longer = [length - age for length in self.lengths if length > age]
        if not longer:
            return age
        return sum(longer) / len(longer)


class Progress:
    """Work that a target which follows its pace would have done so far.

    In seconds of work at the usual pace; read off at two instants it tells
    how much of a call would have been done between them.
    """

    __slots__ = ('at', 'done', 'pace_percent')

    def __init__(self) -> None:
        self.done = 0.0
        self.at = 0.0
        self.pace_percent = int(PERCENT)

    def note(self, pace_percent: int, now: float) -> None:
        """Take over the pace from now on."""
        self.done = self.until(now)
        self.at = now
        self.pace_percent = pace_percent or int(PERCENT)

    def until(self, now: float) -> float:
        """Return the work done up to an instant."""
        elapsed = max(0.0, now - self.at)
        return self.done + elapsed * PERCENT / self.pace_percent


class PaceKeeping:
    """Whether calls keep the pace at which they began.

    For each call during which the pace changed it compares what its work
    would have been if it kept its first pace, and if it followed each
    change, with the usual work of its route. Whichever is nearer in the
    mean holds; until enough were seen calls count as keeping their pace.

    The longer a call, the likelier a change during it. So each counts by
    one over its time, or calls would seem longer than they are.
    """

    __slots__ = ('count', 'followed_shares', 'weights')

    def __init__(self) -> None:
        self.count = 0
        self.weights = 0.0
        self.followed_shares = 0.0

    def note(self, keeping: float, following: float) -> None:
        """Take over a call's work over the usual one by either account."""
        self.count += 1
        weight = max(WEIGHT, 1.0 / self.count)
        keeping = max(LEAST_RATIO, keeping)
        self.weights += weight * (1.0 / keeping - self.weights)
        share = following / keeping
        self.followed_shares += weight * (share - self.followed_shares)

    @property
    def keeping(self) -> float:
        """Return the mean work over the usual if calls keep their pace."""
        return 1.0 / self.weights if self.weights else 1.0

    @property
    def following(self) -> float:
        """Return the same if calls follow the pace."""
        if not self.weights:
            return 1.0
        return self.followed_shares / self.weights

    @property
    def kept(self) -> bool:
        """Whether calls keep their pace, by what was seen."""
        if self.count < LEAST_CHANGED:
            return True
        return abs(self.keeping - 1.0) <= abs(self.following - 1.0)
