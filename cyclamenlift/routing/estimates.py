"""One entry's estimate of the state of one target.

Only the entry's own calls in flight are known exactly. All other figures are
out of date when they arrive, so each has a deadline after which it is ignored.
"""

import bisect

from cyclamenlift.core.clock import MICROSECONDS
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.routing.messages import Outcome
from cyclamenlift.wire.gen.protocol.ttypes import LoadFigures

LOAD_DECAY_FACTOR = 1.0
LOAD_DECAY_MIN = 0.005
LOAD_DECAY_MAX = 0.25
LOAD_SECONDS = 5.0
OTHERS_WEIGHT = 0.03
LATENCY_SECONDS = 60.0
LATENCY_HALF_LIFE = 10.0
LATENCY_WEIGHT = 0.25
CLIP_FACTOR = 5.0
LONG_CALL_FACTOR = 10.0
TIME_TOLERANCE = 1e-6
ERROR_HALF_LIFE = 2.0
ERROR_WEIGHT = {
    Outcome.TARGET_ERROR: 0.35,
    Outcome.TIMEOUT: 0.35,
    Outcome.LOST: 0.8,
    Outcome.OVERTAKEN: 0.05,
}
ERROR_DECAY_ON_SUCCESS = 0.7
REFUSED_SECONDS = 0.05
PERMILLE = 1000.0


class Estimate:
    """Load, latency and error estimates of a target, in monotonic time."""

    __slots__ = (
        'answered_at',
        'body_wait',
        'start_wait',
        'error_at',
        'error_level',
        'gate_latency',
        'in_flight',
        'lag',
        'latency',
        'latency_deadline',
        'load_at',
        'load_deadline',
        'others',
        'others_mean',
        'pace',
        'pace_at',
        'refused_deadline',
        'slots',
        'spell_left',
        'starts',
    )

    def __init__(self):
        self.in_flight = 0
        self.starts: list[float] = []
        self.others = 0
        self.others_mean = 0.0
        self.gate_latency = 0.0
        self.answered_at = 0.0
        self.slots = 0
        self.pace = 0
        self.pace_at = 0.0
        self.spell_left = 0.0
        self.lag = 0.0
        self.body_wait = 0.0
        self.start_wait = 0.0
        self.load_at = 0.0
        self.load_deadline = 0.0
        self.latency = 0.0
        self.latency_deadline = 0.0
        self.error_level = 0.0
        self.error_at = 0.0
        self.refused_deadline = 0.0

    def call_started(self, now: float) -> None:
        self.in_flight += 1
        self.starts.append(now)

    def call_ended(self, seconds: float, now: float) -> None:
        """Remove one call in flight; ignore an end without a start."""
        if self.in_flight == 0:
            return
        self.in_flight -= 1
        index = bisect.bisect_right(
            self.starts, now - seconds + TIME_TOLERANCE
        )
        del self.starts[max(0, index - 1)]

    def load(self, typical: float, now: float) -> float:
        """Return the estimated calls at the target, from all entries.

        The entry's own calls are counted exactly. The last reported count of
        other entries' calls decays, within about one answer time, to their
        running average, and is ignored after its deadline.
        """
        if now >= self.load_deadline:
            return self.in_flight
        fresh = min(
            LOAD_DECAY_MAX, max(LOAD_DECAY_MIN, LOAD_DECAY_FACTOR * typical)
        )
        weight = max(0.0, 1.0 - (now - self.load_at) / fresh)
        others = self.others_mean + weight * (self.others - self.others_mean)
        return self.in_flight + others

    def note_load(self, figures: LoadFigures, now: float) -> None:
        """Store the load reported by a gate, minus the entry's own calls."""
        total = (figures.in_flight or 0) + (figures.queued or 0)
        self.others = max(0, total - self.in_flight)
        if now >= self.load_deadline:
            self.others_mean = self.others
        else:
            change = self.others - self.others_mean
            self.others_mean += OTHERS_WEIGHT * change
        self.load_at = now
        self.load_deadline = now + LOAD_SECONDS
        self.slots = figures.slots or 0
        self.pace = figures.pace_percent or 0
        self.pace_at = now
        self.spell_left = (figures.spell_left_ms or 0) / MILLISECONDS
        self.lag = (figures.lag_ms or 0) / MILLISECONDS
        self.body_wait = (figures.body_wait_ms or 0) / MILLISECONDS
        self.start_wait = (figures.start_wait_ms or 0) / MILLISECONDS
        self.gate_latency = (figures.latency_us or 0) / MICROSECONDS
        if figures.error_permille:
            level = min(1.0, figures.error_permille / PERMILLE)
            self.raise_error_level(level, now)

    def current_lag(self, now: float) -> float:
        """Return the expected delay of a call sent now on its way to the gate.

        The reported delay shrinks with its age, since what was queued on the
        way arrives in the meantime.
        """
        return max(0.0, self.lag - (now - self.pace_at))

    def current_body_wait(self, now: float) -> float:
        """Return how long a body sent now waits behind other bodies."""
        return max(0.0, self.body_wait - (now - self.pace_at))

    def current_start_wait(self, now: float) -> float:
        """Return the time until the target may get another call."""
        return max(0.0, self.start_wait - (now - self.pace_at))

    def is_refusing(self, now: float) -> bool:
        """Return whether the gate has just refused a call for overload."""
        return now < self.refused_deadline

    def note_refusal(self, now: float) -> None:
        self.refused_deadline = now + REFUSED_SECONDS

    def note_latency(self, seconds: float, typical: float, now: float):
        """Add a call's latency to the moving average.

        A sample is clipped to a multiple of the typical latency, so that a
        large upload does not make its target look slow for short calls.
        """
        if typical > 0.0:
            seconds = min(seconds, CLIP_FACTOR * typical)
        self.answered_at = now
        if now >= self.latency_deadline:
            self.latency = seconds
        else:
            self.latency += LATENCY_WEIGHT * (seconds - self.latency)
        self.latency_deadline = now + LATENCY_SECONDS

    def expected_latency(self, typical: float, now: float) -> float:
        """Return the expected latency of an answer.

        A target only looks slow if both the gate's figure and the entry's own
        average are high, since one long upload can distort either. Without new
        answers the estimate decays to the typical latency, so that a target
        that was slow is eventually tried again.
        """
        if now >= self.latency_deadline:
            return typical
        latency = self.latency
        if self.gate_latency and now < self.load_deadline:
            latency = min(latency, self.gate_latency)
        age = now - self.answered_at
        kept = 0.5 ** (age / LATENCY_HALF_LIFE)
        return typical + kept * (latency - typical)

    def in_flight_age(self, typical: float, now: float) -> float:
        """Return the mean age of the entry's calls in flight, in seconds.

        A call that takes many times the typical latency while later ones were
        answered is a long operation, such as an upload. It says nothing about
        the target and is left out.
        """
        if not self.starts:
            return 0.0
        long_ago = now - LONG_CALL_FACTOR * typical
        total = 0.0
        count = 0
        for start in self.starts:
            if start < long_ago and start < self.answered_at:
                continue
            total += now - start
            count += 1
        return total / count if count else 0.0

    def current_errors(self, now: float) -> float:
        """Return the error level from 0 to 1, decayed to ``now``."""
        if self.error_level == 0.0:
            return 0.0
        age = max(0.0, now - self.error_at)
        return self.error_level * 0.5 ** (age / ERROR_HALF_LIFE)

    def raise_error_level(self, level: float, now: float) -> None:
        """Raise the error level to at least ``level``."""
        self.error_level = max(level, self.current_errors(now))
        self.error_at = now

    def note_error(self, outcome: Outcome, now: float) -> None:
        level = self.current_errors(now)
        weight = ERROR_WEIGHT[outcome]
        self.error_level = level + weight * (1.0 - level)
        self.error_at = now

    def note_success(self, now: float) -> None:
        if self.error_level:
            self.error_level = (
                self.current_errors(now) * ERROR_DECAY_ON_SUCCESS
            )
            self.error_at = now
            if self.error_level < 0.01:
                self.error_level = 0.0
