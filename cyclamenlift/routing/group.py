"""The candidate targets of one service and which of them are live."""

import random

from cyclamenlift.core.streams import Address
from cyclamenlift.models.rules import ServiceRule
from cyclamenlift.routing.ejection import ejection_deadline
from cyclamenlift.routing.ejection import without_ejected
from cyclamenlift.routing.estimates import Estimate
from cyclamenlift.routing.finish import FAR_KILOBYTE_COST
from cyclamenlift.routing.finish import STAY_SHARE
from cyclamenlift.routing.slow_start import ramp_share
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

DRAIN_SECONDS = 10.0
USABLE_STATES = (TargetState.READY, TargetState.UNHEALTHY)
AVERAGE_WEIGHT = 0.02
GATE_CLIP = 3.0
ANSWER_CLIP = 10.0
NEVER = float('inf')


class Candidate:
    """A target that the event's rules allow, with its estimate."""

    __slots__ = (
        'address',
        'bad_deadline',
        'bad_streak',
        'data_centre',
        'drain_deadline',
        'estimate',
        'incarnation',
        'instance',
        'member_state',
        'ramp_deadline',
        'slots',
        'target_state',
    )

    def __init__(self, record: MemberRecord):
        self.instance = record.instance
        self.estimate = Estimate()
        self.bad_deadline = 0.0
        self.bad_streak = 0
        self.drain_deadline = 0.0
        self.ramp_deadline = 0.0
        self.update(record)

    def update(self, record: MemberRecord) -> None:
        self.incarnation = record.incarnation or 0
        self.address = Address.parse(record.peer_address)
        self.data_centre = record.data_centre
        self.slots = max(1, record.slots or 1)
        self.member_state = record.state
        self.target_state = record.target_state

    def is_usable(self, now: float) -> bool:
        """Return whether the target accepts new calls, healthy or not.

        Members that are dead or have left are never candidates.
        """
        if self.target_state not in USABLE_STATES:
            return False
        return now >= self.drain_deadline

    def looks_bad(self, now: float) -> bool:
        """Return whether to eject the target if the share allows it."""
        if self.member_state == MemberState.SUSPECT:
            return True
        if self.target_state == TargetState.UNHEALTHY:
            return True
        return now < self.bad_deadline

    def next_deadline(self, now: float) -> float:
        """Return when the target's status may change next."""
        later = (self.bad_deadline, self.drain_deadline)
        return min((d for d in later if d > now), default=NEVER)


class TargetGroup:
    """All candidates of one service and the lists that policies draw from.

    The lists are rebuilt only when a candidate changes or a deadline passes,
    so that a choice does not have to iterate over the service.
    """

    def __init__(self, rule: ServiceRule, data_centre: str, rng):
        self.rule = rule
        self.data_centre = data_centre
        # The entry's own instance: bodies for its target are not sent over the
        # network.
        self.instance = ''
        # Cost of a kilobyte sent to another data centre, in seconds.
        self.far_kilobyte_cost = FAR_KILOBYTE_COST
        # Share of its objective within which a call stays near.
        self.stay_share = STAY_SHARE
        self.rng: random.Random = rng
        self.candidates: dict[str, Candidate] = {}
        self.live: list[Candidate] = []
        self.near: list[Candidate] = []
        self.far: list[Candidate] = []
        self.rebuild_deadline = 0.0
        self.typical_latency = 0.0
        self.typical_gate_latency = 0.0
        self.distances: dict[str, float] = {}
        self.next_index = 0

    def invalidate(self) -> None:
        """Mark the lists as stale, to be rebuilt before the next choice."""
        self.rebuild_deadline = 0.0

    def refresh(self, now: float) -> None:
        """Rebuild the lists if they are stale."""
        if now < self.rebuild_deadline:
            return
        usable = [c for c in self.candidates.values() if c.is_usable(now)]
        bad = [c for c in usable if c.looks_bad(now)]
        self.live = without_ejected(usable, bad, self.rule.ejection_share)
        self.near = [c for c in self.live if self.is_near(c)]
        self.far = [c for c in self.live if not self.is_near(c)]
        deadlines = (c.next_deadline(now) for c in self.candidates.values())
        self.rebuild_deadline = min(deadlines, default=NEVER)

    def is_near(self, candidate: Candidate) -> bool:
        return candidate.data_centre == self.data_centre

    def update_candidate(self, record: MemberRecord, now: float, ramp: bool):
        """Add or update a candidate; start the ramp of a (re)started one."""
        known = self.candidates.get(record.instance)
        was_usable = known is not None and known.is_usable(now)
        restarted = known is not None and (record.incarnation or 0) > (
            known.incarnation
        )
        if known is None:
            known = Candidate(record)
            self.candidates[record.instance] = known
        elif restarted and not was_usable:
            known.estimate = Estimate()
        known.update(record)
        if known.target_state == TargetState.DRAINING:
            known.drain_deadline = 0.0
        if ramp and not was_usable and known.is_usable(now):
            known.ramp_deadline = now + self.rule.slow_start_seconds
        self.invalidate()

    def remove(self, instance: str) -> None:
        self.candidates.pop(instance, None)
        self.invalidate()

    def note_draining(self, candidate: Candidate, now: float) -> None:
        """Leave out a target that has reported that it is draining.

        Its member record follows by gossip. The deadline covers the case that
        the record never arrives.
        """
        candidate.drain_deadline = now + DRAIN_SECONDS
        self.invalidate()

    def eject(self, candidate: Candidate, now: float) -> None:
        """Eject a target for a time that doubles with each repetition."""
        if now < candidate.bad_deadline:
            return
        candidate.bad_deadline = ejection_deadline(candidate.bad_streak, now)
        candidate.bad_streak += 1
        self.invalidate()

    def ramp(self, candidate: Candidate, now: float) -> float:
        """Return the share of full load allowed during slow start."""
        left = candidate.ramp_deadline - now
        if left <= 0.0:
            return 1.0
        return ramp_share(left, self.rule.slow_start_seconds)

    def update_typical(self, seconds: float) -> None:
        """Update the moving average of the service's answer times.

        Samples are clipped, so that uploads do not dominate the average.
        """
        if self.typical_latency == 0.0:
            self.typical_latency = seconds
            return
        bounded = min(seconds, ANSWER_CLIP * self.typical_latency)
        change = bounded - self.typical_latency
        self.typical_latency += AVERAGE_WEIGHT * change

    def typical(self) -> float:
        """Return the typical answer time in seconds, 1 while unknown."""
        return self.typical_gate_latency or self.typical_latency or 1.0

    def note_distance(self, candidate: Candidate, seconds: float) -> None:
        """Average the part of an answer's time spent outside its target.

        The average is kept per data centre and is mostly the round-trip time.
        """
        gate = candidate.estimate.gate_latency
        if gate <= 0.0:
            return
        if self.typical_gate_latency == 0.0:
            self.typical_gate_latency = gate
        bounded = min(gate, GATE_CLIP * self.typical_gate_latency)
        self.typical_gate_latency += AVERAGE_WEIGHT * (
            bounded - self.typical_gate_latency
        )
        outside = min(seconds - gate, self.typical_gate_latency)
        name = candidate.data_centre
        known = self.distances.get(name)
        if known is None:
            self.distances[name] = outside
            return
        self.distances[name] = known + AVERAGE_WEIGHT * (outside - known)

    def distance(self, candidate: Candidate) -> float:
        """Return a target's extra latency over this data centre's ones."""
        known = self.distances.get(candidate.data_centre)
        near = self.distances.get(self.data_centre)
        if known is None or near is None:
            return 0.0
        return max(0.0, known - near)
