"""Whether a target works slower when its slots are nearly taken.

The load that this answers: some targets take much longer for every call
once most slots are in use, so that the last slots cost more than they
give. On one measured site work took 1.7 times as long from eight tenths of
the slots on: 6 running calls then get less done than 4. Other targets do not
slow down, and there a limit would waste slots. So it is learned.
"""

# The share of the slots that is compared with a full target.
ROOMY_SHARE = 0.8
# Calls of each kind that are compared at least.
LEAST_SAMPLES = 12
WEIGHT = 0.08
# A sample counts at most this often its route's usual time.
CLIP = 4.0
# The full target must be slower by more than it has slots more, with a
# little over for chance, before the last slots are given up.
LOSS_FACTOR = 1.1


class MeanRatio:
    """Moving mean of times over the usual time of their route."""

    __slots__ = ('count', 'mean')

    def __init__(self):
        self.count = 0
        self.mean = 1.0

    def note(self, ratio: float) -> None:
        self.count += 1
        weight = max(WEIGHT, 1.0 / self.count)
        self.mean += weight * (min(CLIP, ratio) - self.mean)


class Crowding:
    """Compares calls that ran in a roomy and in a full target."""

    def __init__(self):
        self.roomy = MeanRatio()
        self.full = MeanRatio()

    def note(
        self, seconds: float, usual: float, running: int, slots: int
    ) -> None:
        """Take over a call that ran beside ``running`` others at most."""
        if usual <= 0.0:
            return
        kind = self.full if running > roomy_slots(slots) else self.roomy
        kind.note(seconds / usual)

    def limit(self, slots: int) -> int:
        """Return how many calls to run at once.

        >>> Crowding().limit(6)
        6
        """
        roomy = roomy_slots(slots)
        enough = min(self.roomy.count, self.full.count) >= LEAST_SAMPLES
        if not enough or roomy >= slots:
            return slots
        gain = slots / roomy
        slower = self.full.mean / self.roomy.mean
        return roomy if slower > gain * LOSS_FACTOR else slots


def roomy_slots(slots: int) -> int:
    """Return the slots up to which a target counts as roomy.

    >>> roomy_slots(6), roomy_slots(18), roomy_slots(2)
    (4, 14, 1)
    """
    return max(1, int(slots * ROOMY_SHARE))
