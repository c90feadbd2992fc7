"""How much longer work takes in a target whose slots are nearly taken.

The load that this answers: some targets take much longer for every call
once most slots are in use, so that the last slots cost more than they
give. Where work takes 1.7 times as long from eight tenths of 15 slots on,
15 running calls get as much done as 9 would, and 12 get more done than
either. Other targets do not slow down, and there a limit would waste slots.
So it is learned: what calls took against the usual work of their route, by
the share of the slots that was in use while they ran.

On two heavy days of a deployment with such targets, credit less costs came
to 0.66 and 0.63 with the slots that get most done, to 0.55 and 0.54 with all
slots in use, one run of each day.
"""

# Upper ends of the bands of use that are told apart, as shares of the
# slots. Below half of the slots no target was seen to slow down.
BAND_SHARES = (0.5, 0.6, 0.7, 0.8, 0.9, 1.0)
# The share that is used before anything is known of a target: where slots
# are too many the first crowd after a start would be lost to it, where they
# are not a fifth of them waits for the time of a few dozen calls. Calls
# that ran below it tell what the work of their route is.
START_SHARE = 0.8
# Calls in a band before it says anything: their times vary by a third, so
# the mean of so many is known to less than a tenth.
LEAST_SAMPLES = 20
# Calls of a route, and calls in the roomy bands, before more slots are tried:
# fewer, since nothing is given up on their account, and where slots are not
# too many each second at eight tenths of them is a fifth of the target lost
# to a crowd that waits.
BASE_SAMPLES = 8
# Weight of a call in the moving mean of its band: of the last hundred or so.
WEIGHT = 0.02
# A call counts at most as this many times its route's usual work.
CLIP = 4.0
# More slots are preferred if they get at least this share as much done: what
# is known of a band is off by a few hundredths.
EVEN = 0.95
# How long a band that was given up is left alone, in seconds. To look again
# costs up to a third of the target for the time of two dozen calls, so
# about one hundredth of it.
LOOK_AGAIN_SECONDS = 15.0


class Band:
    """What calls took that ran while up to ``most`` slots were in use."""

    __slots__ = ('count', 'most', 'ratio')

    def __init__(self, most: int):
        self.most = most
        self.count = 0
        self.ratio = 1.0

    @property
    def known(self) -> bool:
        return self.count >= LEAST_SAMPLES

    def note(self, ratio: float) -> None:
        """Take over a call that took ``ratio`` of its route's usual."""
        self.count += 1
        weight = max(WEIGHT, 1.0 / self.count)
        self.ratio += weight * (min(CLIP, ratio) - self.ratio)


class Crowding:
    """Learns for one target how many calls it is worth running at once.

    ``chosen`` slots get most done, as far as is known. The next band is
    tried for a while (``looking``) when it was never tried or was given up
    long ago.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.bands = make_bands(slots)
        self.start = max(1, int(slots * START_SHARE))
        self.chosen = self.start
        self.looking: Band | None = None
        self.look_deadline = 0.0

    # -- queries ----------------------------------------------------------

    def band_of(self, in_use: float) -> Band:
        """Return the band of a mean number of slots in use."""
        for band in self.bands:
            if in_use <= band.most + 0.5:
                return band
        return self.bands[-1]

    def is_roomy(self, in_use: float) -> bool:
        """Tell whether a call ran where no crowd is expected."""
        return self.band_of(in_use).most <= self.start

    def slowness(self, in_use: float) -> float:
        """Return how much longer work takes with so many slots in use."""
        band = self.band_of(in_use)
        return max(1.0, band.ratio) if band.known else 1.0

    def limit(self, now: float, steady: bool = True) -> int:
        """Return how many calls to run at once.

        No further band is tried while the target is in a slow spell: what
        calls take then tells nothing.

        >>> Crowding(6).limit(0.0), Crowding(15).limit(0.0)
        (4, 12)
        """
        if not steady:
            return self.chosen
        if self.looking is None and self.may_look(now):
            self.look_further()
        return self.looking.most if self.looking else self.chosen

    def may_look(self, now: float) -> bool:
        """Tell whether it is time to try more slots."""
        if self.chosen >= self.slots or now < self.look_deadline:
            return False
        roomy = sum(b.count for b in self.bands if b.most <= self.chosen)
        return roomy >= BASE_SAMPLES

    # -- commands ---------------------------------------------------------

    def note(self, ratio: float, in_use: float, now: float) -> None:
        """Take over a call that took ``ratio`` of its route's usual."""
        band = self.band_of(in_use)
        band.note(ratio)
        before = self.chosen
        self.chosen = self.best()
        if band is self.looking and band.known:
            self.looking = None
            before = band.most
        if self.chosen < before:
            self.look_deadline = now + LOOK_AGAIN_SECONDS

    def look_further(self) -> None:
        """Learn the next band anew."""
        self.looking = next(b for b in self.bands if b.most > self.chosen)
        self.looking.count = 0

    def best(self) -> int:
        """Return the slots that get most done, the more where it is even.

        A band without enough calls is taken to be like the one below; the
        slots beyond the share to start with count only once tried.
        """
        best = 0
        best_done = 0.0
        ratio = 1.0
        for band in self.bands:
            if band.known:
                ratio = band.ratio
            elif band.most > self.start:
                break
            done = band.most / ratio
            if done >= EVEN * best_done:
                best = band.most
                best_done = max(best_done, done)
        return best


class AllSlots:
    """In the place of ``Crowding``: every slot is used, nothing learned."""

    def __init__(self, slots: int):
        self.chosen = slots

    def is_roomy(self, _in_use: float) -> bool:
        return True

    def slowness(self, _in_use: float) -> float:
        return 1.0

    def limit(self, _now: float, _steady: bool = True) -> int:
        return self.chosen

    def note(self, _ratio: float, _in_use: float, _now: float) -> None:
        """Learn nothing."""


def make_bands(slots: int) -> list[Band]:
    """Return the bands of so many slots, each of one slot at least.

    >>> [band.most for band in make_bands(15)]
    [7, 9, 10, 12, 13, 15]
    >>> [band.most for band in make_bands(6)]
    [3, 4, 5, 6]
    """
    ends = {max(1, int(slots * share)) for share in BAND_SHARES}
    return [Band(most) for most in sorted(ends)]
