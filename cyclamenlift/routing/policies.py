"""How an entry picks one of the targets that may take a call.

Each policy is given the group and the candidates left after exclusions,
and returns one of them. ``hot_cold`` is the one that events use unless
they say otherwise; the others are there to compare it with.
"""

from typing import Protocol

from cyclamenlift.core.registry import Registry
from cyclamenlift.routing.finish import distance_cost
from cyclamenlift.routing.finish import expected_work
from cyclamenlift.routing.finish import queueing
from cyclamenlift.routing.group import Candidate
from cyclamenlift.routing.group import Group
from cyclamenlift.routing.messages import Need
from cyclamenlift.routing.messages import NO_NEED

HOT_SHARE = 0.8
SAMPLE_NEAR = 3
SAMPLE_FAR = 2
# Targets that are weighed for one call: all of a small service; in a large
# one the best of a dozen is about as good and costs less to find.
SAMPLE_FINISH = 12
ERROR_COST = 20.0
NEAR_EQUAL = 0.05
REFUSING_LOAD = 1.5
EXCESS_WEIGHT = 1.0
LATENCY_BAND = 1.75
LOAD_POWER = 2.0


class Policy(Protocol):
    """Picks among at least one candidate."""

    def pick(
        self,
        group: Group,
        usable: list[Candidate],
        now: float,
        need: Need = NO_NEED,
    ) -> Candidate:
        """Return one of ``usable``, which is never empty."""


POLICIES: Registry[type[Policy]] = Registry('policy')


@POLICIES.register('random')
class RandomPolicy:
    """Any candidate, whatever its load."""

    def pick(self, group, usable, now, need=NO_NEED):
        return group.rng.choice(usable)


@POLICIES.register('round_robin')
class RoundRobinPolicy:
    """One after the other."""

    def pick(self, group, usable, now, need=NO_NEED):
        group.turn += 1
        return usable[group.turn % len(usable)]


@POLICIES.register('least_calls')
class LeastCallsPolicy:
    """The fewest own calls in flight, of all candidates."""

    def pick(self, group, usable, now, need=NO_NEED):
        rng = group.rng
        return min(usable, key=lambda c: (c.estimate.in_flight, rng.random()))


@POLICIES.register('power_of_two')
class PowerOfTwoPolicy:
    """Two random candidates, the one with fewer own calls in flight."""

    def pick(self, group, usable, now, need=NO_NEED):
        rng = group.rng
        sample = sample_of(rng, usable, 2)
        return min(sample, key=lambda c: (c.estimate.in_flight, rng.random()))


@POLICIES.register('hot_cold')
class HotColdPolicy:
    """The lowest expected time of an answer among a few candidates.

    The nearer a target is to hot (its slots taken), the more its load
    counts; while the sampled ones are cold, slowness, errors and distance
    decide. It started as the hot/cold rule of Prequal (NSDI 2024); the
    design note says what was changed and why.
    """

    def pick(self, group, usable, now, need=NO_NEED):
        best = None
        best_cost = 0.0
        for candidate in near_first(group, usable):
            cost = expected_cost(group, candidate, now)
            if best is None or cost < best_cost:
                best = candidate
                best_cost = cost
        return best


def sample_of(rng, items: list, count: int) -> list:
    """Return up to ``count`` different items at random."""
    if len(items) <= count:
        return items
    return rng.sample(items, count)


def near_and_far(
    group: Group, usable: list[Candidate], count: int
) -> list[Candidate]:
    """Draw half of ``count`` near and half far, more where one is short."""
    if len(usable) <= count:
        return usable
    near, far = split(group, usable)
    some = sample_of(group.rng, near, max(count // 2, count - len(far)))
    return some + sample_of(group.rng, far, count - len(some))


def split(group: Group, usable: list[Candidate]) -> tuple[list, list]:
    """Return the near and the far ones."""
    if usable is group.live:
        return group.near, group.far
    near = [c for c in usable if group.is_near(c)]
    far = [c for c in usable if not group.is_near(c)]
    return near, far


def near_first(group: Group, usable: list[Candidate]) -> list[Candidate]:
    """Draw more from the near data centre than from the others."""
    near, far = split(group, usable)
    drawn = sample_of(group.rng, near, SAMPLE_NEAR)
    spare = SAMPLE_NEAR - len(drawn)
    return drawn + sample_of(group.rng, far, SAMPLE_FAR + spare)


def relative_load(group: Group, candidate: Candidate, now: float) -> float:
    """Return the estimated calls at a target against its slots."""
    estimate = candidate.estimate
    slots = candidate.slots * group.ramp(candidate, now)
    load = estimate.load(group.typical(), now) / max(1.0, slots)
    if estimate.is_refusing(now):
        return max(load, REFUSING_LOAD)
    return load


def expected_cost(group: Group, candidate: Candidate, now: float) -> float:
    """Return the time that an answer should take, with errors priced in.

    Seconds are added up: the wait for a slot, which grows with the square
    of the load; what the target takes beyond the usual spread of answer
    times; the way to its data centre; a price for recent errors; and a
    little at random, so that entries that know the same do not all move
    to the same target.

    Calls in flight that are older than the usual answer are the first sign
    of a target that has just slowed down.
    """
    estimate = candidate.estimate
    typical = group.typical()
    latency = estimate.expected_latency(typical, now)
    if estimate.in_flight:
        latency = max(latency, estimate.overdue_age(typical, now))
    load = relative_load(group, candidate, now)
    cost = typical * load**LOAD_POWER
    cost += EXCESS_WEIGHT * max(0.0, latency - LATENCY_BAND * typical)
    cost += group.distance(candidate)
    cost += typical * ERROR_COST * estimate.errors(now)
    return cost + typical * NEAR_EQUAL * group.rng.random()


@POLICIES.register('expected_finish')
class ExpectedFinishPolicy:
    """The earliest expected answer, by what the gates told last."""

    def pick(self, group, usable, now, need=NO_NEED):
        drawn = near_and_far(group, usable, SAMPLE_FINISH)
        costs = [(finish_cost(group, c, now, need), c) for c in drawn]
        return min(costs, key=lambda pair: pair[0])[1]


def expected_seconds(
    group: Group, candidate: Candidate, now: float, need: Need
) -> float:
    """Return how long an answer of this target should take from now."""
    estimate = candidate.estimate
    load = estimate.load(need.work, now)
    slots = estimate.slots or candidate.slots
    slots = max(1.0, slots * group.ramp(candidate, now))
    age = now - estimate.pace_at
    seconds = expected_work(need.work, estimate.pace, estimate.spell_left, age)
    seconds += estimate.lag_now(now)
    if need.body_seconds and candidate.instance != group.instance:
        seconds += need.body_seconds + estimate.body_wait_now(now)
    return seconds + queueing(load, slots, need.work)


def finish_cost(
    group: Group, candidate: Candidate, now: float, need: Need
) -> float:
    """Return the expected time with errors and distance priced in."""
    estimate = candidate.estimate
    cost = expected_seconds(group, candidate, now, need)
    near = group.is_near(candidate)
    cost += distance_cost(need.kilobytes, near, need.work, group.far_kilobyte)
    cost += need.work * ERROR_COST * estimate.errors(now)
    if estimate.is_refusing(now):
        cost += REFUSING_LOAD * need.work
    return cost + need.work * NEAR_EQUAL * group.rng.random()
