"""Adaptive concurrency limit for targets that slow down under load.

Some targets take much longer for every call once most of their slots are in
use, so that the last slots cost more throughput than they add. If work takes
1.7 times as long from eight tenths of 15 slots on, 15 running calls get as
much done as 9 would, and 12 achieve more than either. Other targets don't slow
down, and a fixed limit would waste their slots. So the limit is learned from
the ratio of measured to usual service time, by the share of the slots that was
in use.
"""

# Upper bounds of the utilization bands, as shares of the slots. No target was
# observed to slow down below half of its slots.
BAND_SHARES = (0.5, 0.6, 0.7, 0.8, 0.9, 1.0)
# Share of the slots to use while nothing is known of a target. If its slots
# are too many, using all would lose the first burst after a start; if not, a
# fifth of them stays idle for the time of a few dozen calls. Calls below this
# share also measure the usual work of their route.
INITIAL_SHARE = 0.8
# Up to this many slots, all are used at first: one slot is a quarter of them
# or more, which is too much to leave idle while callers are refused.
FEW_SLOTS = 4
# Calls in a band before its mean is used. Service times vary by a third, so
# the mean of this many is accurate to less than a tenth.
MIN_BAND_SAMPLES = 20
# Calls of a route, and calls in the uncontended bands, before more slots are
# tried. Fewer, since no slot is given up because of them, and on a target
# without contention each second at eight tenths of its slots wastes a fifth of
# its capacity while calls are queued.
MIN_BASELINE_SAMPLES = 8
# Weight of a call in the moving average of its band: roughly the last hundred
# calls count.
WEIGHT = 0.02
# Upper bound for a call's time relative to its route's usual work.
MAX_RATIO = 4.0
# More slots are preferred if they achieve at least this share of the best
# throughput, as the estimate of a band is off by a few hundredths.
TIE_SHARE = 0.95
# How long to wait before a rejected band is tried again, in seconds. A trial
# costs up to a third of the target's capacity for the time of two dozen calls,
# so about one hundredth of it.
TRIAL_INTERVAL_SECONDS = 15.0


class UtilizationBand:
    """Relative service times while up to ``upper_bound`` slots were in use."""

    __slots__ = ('count', 'upper_bound', 'ratio')

    def __init__(self, upper_bound: int):
        self.upper_bound = upper_bound
        self.count = 0
        self.ratio = 1.0

    @property
    def known(self) -> bool:
        return self.count >= MIN_BAND_SAMPLES

    def note(self, ratio: float) -> None:
        """Record a call that took ``ratio`` of its route's usual time."""
        self.count += 1
        weight = max(WEIGHT, 1.0 / self.count)
        self.ratio += weight * (min(MAX_RATIO, ratio) - self.ratio)


class ConcurrencyLimiter:
    """Learns how many calls a target should run at once.

    ``chosen`` is the number of slots with the best known throughput. The next
    band is tried for a while (``trial_band``) if it was never tried or was
    rejected long ago.
    """

    def __init__(self, slots: int):
        self.slots = slots
        self.bands = make_bands(slots)
        self.initial_limit = slots
        if slots > FEW_SLOTS:
            self.initial_limit = max(1, int(slots * INITIAL_SHARE))
        self.chosen = self.initial_limit
        self.trial_band: UtilizationBand | None = None
        self.next_trial_at = 0.0

    # -- queries ----------------------------------------------------------

    def band_of(self, in_use: float) -> UtilizationBand:
        """Return the band for a mean number of slots in use."""
        for band in self.bands:
            if in_use <= band.upper_bound + 0.5:
                return band
        return self.bands[-1]

    def is_uncontended(self, in_use: float) -> bool:
        """Return whether a call ran at a utilization without contention."""
        return self.band_of(in_use).upper_bound <= self.initial_limit

    def contention_factor(self, in_use: float) -> float:
        """Return the factor by which work takes longer at a utilization."""
        band = self.band_of(in_use)
        return max(1.0, band.ratio) if band.known else 1.0

    def limit(self, now: float, steady: bool = True) -> int:
        """Return how many calls to run at once.

        No further band is tried during a slowdown of the target, as service
        times are then not comparable.

        >>> [ConcurrencyLimiter(n).limit(0.0) for n in (3, 6, 15)]
        [3, 4, 12]
        """
        if not steady:
            return self.chosen
        if self.trial_band is None and self.may_start_trial(now):
            self.start_trial()
        return self.trial_band.upper_bound if self.trial_band else self.chosen

    def may_start_trial(self, now: float) -> bool:
        """Return whether it is time to try more slots."""
        if self.chosen >= self.slots or now < self.next_trial_at:
            return False
        samples = sum(
            b.count for b in self.bands if b.upper_bound <= self.chosen
        )
        return samples >= MIN_BASELINE_SAMPLES

    # -- commands ---------------------------------------------------------

    def note(self, ratio: float, in_use: float, now: float) -> None:
        """Record a call that took ``ratio`` of its route's usual time."""
        band = self.band_of(in_use)
        band.note(ratio)
        before = self.chosen
        self.chosen = self.find_best()
        if band is self.trial_band and band.known:
            self.trial_band = None
            before = band.upper_bound
        if self.chosen < before:
            self.next_trial_at = now + TRIAL_INTERVAL_SECONDS

    def start_trial(self) -> None:
        """Start measuring the next band from scratch."""
        self.trial_band = next(
            b for b in self.bands if b.upper_bound > self.chosen
        )
        self.trial_band.count = 0

    def find_best(self) -> int:
        """Return the slots with the best throughput, the more if even.

        A band with too few samples is assumed to be like the one below; slots
        beyond the initial share count only once tried.
        """
        best = 0
        best_done = 0.0
        ratio = 1.0
        for band in self.bands:
            if band.known:
                ratio = band.ratio
            elif band.upper_bound > self.initial_limit:
                break
            done = band.upper_bound / ratio
            if done >= TIE_SHARE * best_done:
                best = band.upper_bound
                best_done = max(best_done, done)
        return best


class FixedConcurrency:
    """Replaces ``ConcurrencyLimiter``: always uses all slots."""

    def __init__(self, slots: int):
        self.chosen = slots

    def is_uncontended(self, _in_use: float) -> bool:
        return True

    def contention_factor(self, _in_use: float) -> float:
        return 1.0

    def limit(self, _now: float, _steady: bool = True) -> int:
        return self.chosen

    def note(self, _ratio: float, _in_use: float, _now: float) -> None:
        """Ignore the call, as the limit is fixed."""


def make_bands(slots: int) -> list[UtilizationBand]:
    """Return the utilization bands for ``slots``, each one slot or wider.

    >>> [band.upper_bound for band in make_bands(15)]
    [7, 9, 10, 12, 13, 15]
    >>> [band.upper_bound for band in make_bands(6)]
    [3, 4, 5, 6]
    """
    upper_bounds = {max(1, int(slots * share)) for share in BAND_SHARES}
    return [
        UtilizationBand(upper_bound) for upper_bound in sorted(upper_bounds)
    ]
