"""Load balancing policies: how an entry picks a target for a call.

Each policy gets the group and the candidates left after exclusions and returns
one of them. ``hot_cold`` is the default; the others exist for comparison.
"""

from typing import Protocol

from cyclamenlift.core.registry import Registry
from cyclamenlift.routing.finish import distance_cost
from cyclamenlift.routing.finish import expected_work
from cyclamenlift.routing.finish import queueing_delay
from cyclamenlift.routing.group import Candidate
from cyclamenlift.routing.group import TargetGroup
from cyclamenlift.routing.messages import CallProfile
from cyclamenlift.routing.messages import DEFAULT_PROFILE

HOT_SHARE = 0.8
NEAR_SAMPLE_SIZE = 3
FAR_SAMPLE_SIZE = 2
# Number of targets compared per call: all of a small service. In a large one
# the best of a dozen is about as good and cheaper to find.
FINISH_SAMPLE_SIZE = 12
ERROR_COST = 20.0
JITTER_SHARE = 0.05
REFUSING_LOAD = 1.5
EXCESS_WEIGHT = 1.0
LATENCY_BAND = 1.75
LOAD_POWER = 2.0


class Policy(Protocol):
    """Chooses one of at least one candidate."""

    def pick(
        self,
        group: TargetGroup,
        usable: list[Candidate],
        now: float,
        profile: CallProfile = DEFAULT_PROFILE,
    ) -> Candidate:
        """Return one of ``usable``, which is never empty."""


POLICIES: Registry[type[Policy]] = Registry('policy')


@POLICIES.register('random')
class RandomPolicy:
    """Picks a candidate at random, regardless of load."""

    def pick(self, group, usable, now, profile=DEFAULT_PROFILE):
        return group.rng.choice(usable)


@POLICIES.register('round_robin')
class RoundRobinPolicy:
    """Picks the candidates in turn."""

    def pick(self, group, usable, now, profile=DEFAULT_PROFILE):
        group.next_index += 1
        return usable[group.next_index % len(usable)]


@POLICIES.register('least_calls')
class LeastCallsPolicy:
    """Picks the candidate with the fewest own calls in flight."""

    def pick(self, group, usable, now, profile=DEFAULT_PROFILE):
        rng = group.rng
        return min(usable, key=lambda c: (c.estimate.in_flight, rng.random()))


@POLICIES.register('power_of_two')
class PowerOfTwoPolicy:
    """Picks the one of two random candidates with fewer own calls."""

    def pick(self, group, usable, now, profile=DEFAULT_PROFILE):
        rng = group.rng
        sample = sample_of(rng, usable, 2)
        return min(sample, key=lambda c: (c.estimate.in_flight, rng.random()))


@POLICIES.register('hot_cold')
class HotColdPolicy:
    """Picks the lowest expected answer time among a few candidates.

    The closer a target is to hot (all slots taken), the more its load counts.
    While the sampled targets are cold, latency, errors and distance decide. It
    is derived from the hot/cold rule of Prequal (NSDI 2024); the design note
    lists the changes and their reasons.
    """

    def pick(self, group, usable, now, profile=DEFAULT_PROFILE):
        best = None
        best_cost = 0.0
        for candidate in sample_mostly_near(group, usable):
            cost = expected_cost(group, candidate, now)
            if best is None or cost < best_cost:
                best = candidate
                best_cost = cost
        return best


def sample_of(rng, items: list, count: int) -> list:
    """Return up to ``count`` distinct items at random."""
    if len(items) <= count:
        return items
    return rng.sample(items, count)


def sample_near_and_far(
    group: TargetGroup, usable: list[Candidate], count: int
) -> list[Candidate]:
    """Sample half of ``count`` near and half far, more if one is short."""
    if len(usable) <= count:
        return usable
    near, far = split_by_place(group, usable)
    some = sample_of(group.rng, near, max(count // 2, count - len(far)))
    return some + sample_of(group.rng, far, count - len(some))


def split_by_place(
    group: TargetGroup, usable: list[Candidate]
) -> tuple[list, list]:
    """Return the candidates of this data centre and the others."""
    if usable is group.live:
        return group.near, group.far
    near = [c for c in usable if group.is_near(c)]
    far = [c for c in usable if not group.is_near(c)]
    return near, far


def sample_mostly_near(
    group: TargetGroup, usable: list[Candidate]
) -> list[Candidate]:
    """Sample more candidates of this data centre than of the others."""
    near, far = split_by_place(group, usable)
    drawn = sample_of(group.rng, near, NEAR_SAMPLE_SIZE)
    spare = NEAR_SAMPLE_SIZE - len(drawn)
    return drawn + sample_of(group.rng, far, FAR_SAMPLE_SIZE + spare)


def relative_load(
    group: TargetGroup, candidate: Candidate, now: float
) -> float:
    """Return the estimated calls at a target relative to its slots."""
    estimate = candidate.estimate
    slots = candidate.slots * group.ramp(candidate, now)
    load = estimate.load(group.typical(), now) / max(1.0, slots)
    if estimate.is_refusing(now):
        return max(load, REFUSING_LOAD)
    return load


def expected_cost(
    group: TargetGroup, candidate: Candidate, now: float
) -> float:
    """Return the expected answer time with a penalty for errors.

    The cost is a sum in seconds: the wait for a slot, which grows with the
    square of the load; latency beyond the usual spread of answer times; the
    distance to the target's data centre; a penalty for recent errors; and a
    small random term, so that entries with the same information do not all
    switch to the same target.

    Calls in flight that are older than the typical answer are the first sign
    that a target has just slowed down.
    """
    estimate = candidate.estimate
    typical = group.typical()
    latency = estimate.expected_latency(typical, now)
    if estimate.in_flight:
        latency = max(latency, estimate.in_flight_age(typical, now))
    load = relative_load(group, candidate, now)
    cost = typical * load**LOAD_POWER
    cost += EXCESS_WEIGHT * max(0.0, latency - LATENCY_BAND * typical)
    cost += group.distance(candidate)
    cost += typical * ERROR_COST * estimate.current_errors(now)
    return cost + typical * JITTER_SHARE * group.rng.random()


@POLICIES.register('expected_finish')
class ExpectedFinishPolicy:
    """Picks the earliest expected answer by the last reports of gates."""

    def pick(self, group, usable, now, profile=DEFAULT_PROFILE):
        drawn = sample_near_and_far(group, usable, FINISH_SAMPLE_SIZE)
        costs = [(finish_cost(group, c, now, profile), c) for c in drawn]
        near = [pair for pair in costs if group.is_near(pair[1])]
        cost, best = min(near or costs, key=lambda pair: pair[0])
        if cost <= group.stay_share * profile.objective:
            return best
        return min(costs, key=lambda pair: pair[0])[1]


def expected_seconds(
    group: TargetGroup, candidate: Candidate, now: float, profile: CallProfile
) -> float:
    """Return the expected time until this target answers."""
    estimate = candidate.estimate
    load = estimate.load(profile.work, now)
    slots = estimate.slots or candidate.slots
    slots = max(1.0, slots * group.ramp(candidate, now))
    age = now - estimate.pace_at
    seconds = expected_work(
        profile.work, estimate.pace, estimate.spell_left, age
    )
    seconds += estimate.current_lag(now)
    seconds += estimate.current_start_wait(now)
    if profile.body_seconds and candidate.instance != group.instance:
        seconds += profile.body_seconds + estimate.current_body_wait(now)
    return seconds + queueing_delay(load, slots, profile.work)


def finish_cost(
    group: TargetGroup, candidate: Candidate, now: float, profile: CallProfile
) -> float:
    """Return the expected time with penalties for errors and distance."""
    estimate = candidate.estimate
    cost = expected_seconds(group, candidate, now, profile)
    near = group.is_near(candidate)
    cost += distance_cost(
        profile.kilobytes, near, profile.work, group.far_kilobyte_cost
    )
    cost += profile.work * ERROR_COST * estimate.current_errors(now)
    if estimate.is_refusing(now):
        cost += REFUSING_LOAD * profile.work
    return cost + profile.work * JITTER_SHARE * group.rng.random()
