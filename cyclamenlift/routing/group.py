"""The targets that may carry one service, and which of them do now."""

import random

from cyclamenlift.core.streams import Address
from cyclamenlift.models.rules import ServiceRule
from cyclamenlift.routing.ejection import eject
from cyclamenlift.routing.ejection import eject_until
from cyclamenlift.routing.estimates import Estimate
from cyclamenlift.routing.finish import FAR_KILOBYTE
from cyclamenlift.routing.slow_start import ramp_share
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

DRAIN_SECONDS = 10.0
USABLE_STATES = (TargetState.READY, TargetState.UNHEALTHY)
SLOW_WEIGHT = 0.02
GATE_CLIP = 3.0
ANSWER_CLIP = 10.0
NEVER = float('inf')


class Candidate:
    """One target that the event's rules allow, with its estimate."""

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
        """Tell whether it takes new calls at all, well or badly.

        Members that are dead or have left are no candidates to begin with.
        """
        if self.target_state not in USABLE_STATES:
            return False
        return now >= self.drain_deadline

    def looks_bad(self, now: float) -> bool:
        """Tell whether it should be left out, if the share allows it."""
        if self.member_state == MemberState.SUSPECT:
            return True
        if self.target_state == TargetState.UNHEALTHY:
            return True
        return now < self.bad_deadline

    def next_deadline(self, now: float) -> float:
        """Return the next instant at which it may look otherwise."""
        later = (self.bad_deadline, self.drain_deadline)
        return min((d for d in later if d > now), default=NEVER)


class Group:
    """All candidates of one service and the lists that policies draw from.

    The lists are made anew only when a candidate changes or a deadline
    passes, so that a choice costs no walk over the service.
    """

    def __init__(self, rule: ServiceRule, data_centre: str, rng):
        self.rule = rule
        self.data_centre = data_centre
        # The instance of the entry itself, where a body need not travel.
        self.instance = ''
        # What a kilobyte to another data centre counts, in seconds.
        self.far_kilobyte = FAR_KILOBYTE
        self.rng: random.Random = rng
        self.candidates: dict[str, Candidate] = {}
        self.live: list[Candidate] = []
        self.near: list[Candidate] = []
        self.far: list[Candidate] = []
        self.rebuild_deadline = 0.0
        self.typical_latency = 0.0
        self.typical_gate = 0.0
        self.distances: dict[str, float] = {}
        self.turn = 0

    def touch(self) -> None:
        """Have the lists made anew before the next choice."""
        self.rebuild_deadline = 0.0

    def refresh(self, now: float) -> None:
        """Make the lists anew if something has changed."""
        if now < self.rebuild_deadline:
            return
        usable = [c for c in self.candidates.values() if c.is_usable(now)]
        bad = [c for c in usable if c.looks_bad(now)]
        self.live = eject(usable, bad, self.rule.ejection_share)
        self.near = [c for c in self.live if self.is_near(c)]
        self.far = [c for c in self.live if not self.is_near(c)]
        deadlines = (c.next_deadline(now) for c in self.candidates.values())
        self.rebuild_deadline = min(deadlines, default=NEVER)

    def is_near(self, candidate: Candidate) -> bool:
        return candidate.data_centre == self.data_centre

    def note_record(self, record: MemberRecord, now: float, ramp: bool):
        """Add or update a candidate; one that (re)starts ramps up."""
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
        self.touch()

    def remove(self, instance: str) -> None:
        self.candidates.pop(instance, None)
        self.touch()

    def note_draining(self, candidate: Candidate, now: float) -> None:
        """Leave a target out that said itself that it drains.

        Its record follows by gossip; the deadline guards against a record
        that never comes.
        """
        candidate.drain_deadline = now + DRAIN_SECONDS
        self.touch()

    def note_bad(self, candidate: Candidate, now: float) -> None:
        """Eject a target for a time that doubles with each relapse."""
        if now < candidate.bad_deadline:
            return
        candidate.bad_deadline = eject_until(candidate.bad_streak, now)
        candidate.bad_streak += 1
        self.touch()

    def ramp(self, candidate: Candidate, now: float) -> float:
        """Return the share of its load that it should carry now."""
        left = candidate.ramp_deadline - now
        if left <= 0.0:
            return 1.0
        return ramp_share(left, self.rule.slow_start_seconds)

    def note_typical(self, seconds: float) -> None:
        """Keep a slow average of the whole service's answer times.

        Samples are clipped, so that uploads do not hide what is usual.
        """
        if self.typical_latency == 0.0:
            self.typical_latency = seconds
            return
        bounded = min(seconds, ANSWER_CLIP * self.typical_latency)
        change = bounded - self.typical_latency
        self.typical_latency += SLOW_WEIGHT * change

    def typical(self) -> float:
        """Return the usual answer time in seconds, 1 while unknown."""
        return self.typical_gate or self.typical_latency or 1.0

    def note_distance(self, candidate: Candidate, seconds: float) -> None:
        """Average the part of an answer's time that its target did not use.

        It is kept for each data centre: mostly the way there and back.
        """
        gate = candidate.estimate.gate_latency
        if gate <= 0.0:
            return
        if self.typical_gate == 0.0:
            self.typical_gate = gate
        bounded = min(gate, GATE_CLIP * self.typical_gate)
        self.typical_gate += SLOW_WEIGHT * (bounded - self.typical_gate)
        outside = min(seconds - gate, self.typical_gate)
        name = candidate.data_centre
        known = self.distances.get(name)
        if known is None:
            self.distances[name] = outside
            return
        self.distances[name] = known + SLOW_WEIGHT * (outside - known)

    def distance(self, candidate: Candidate) -> float:
        """Return how much farther away a target is than the near ones."""
        known = self.distances.get(candidate.data_centre)
        near = self.distances.get(self.data_centre)
        if known is None or near is None:
            return 0.0
        return max(0.0, known - near)
