"""Routing decisions of one entry, without I/O.

The owner reports events (members, the start and end of calls, load figures)
and asks for targets, probes and hedge delays. Time is passed in.
"""

import random

import xxhash

from cyclamenlift.core.streams import Address
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import ServiceRule
from cyclamenlift.routing.ejection import EJECTION_ERROR_LEVEL
from cyclamenlift.routing.estimates import ERROR_WEIGHT
from cyclamenlift.routing.finish import FAR_KILOBYTE_COST
from cyclamenlift.routing.group import Candidate
from cyclamenlift.routing.group import TargetGroup
from cyclamenlift.routing.hedging import HedgeDelay
from cyclamenlift.routing.messages import CallProfile
from cyclamenlift.routing.messages import Choice
from cyclamenlift.routing.messages import DEFAULT_PROFILE
from cyclamenlift.routing.messages import Outcome
from cyclamenlift.routing.messages import ProbeOrder
from cyclamenlift.routing.policies import expected_seconds
from cyclamenlift.routing.policies import HOT_SHARE
from cyclamenlift.routing.policies import POLICIES
from cyclamenlift.routing.policies import Policy
from cyclamenlift.routing.policies import relative_load
from cyclamenlift.routing.policies import sample_of
from cyclamenlift.routing.probes import probe_rate_per_member
from cyclamenlift.routing.probes import ProbeAllowance
from cyclamenlift.routing.statements import TargetStatements
from cyclamenlift.routing.work import WorkTable
from cyclamenlift.wire.gen.protocol.ttypes import LoadFigures
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

DEPARTED_STATES = (MemberState.DEAD, MemberState.LEFT)
INITIAL_RECORDS_SECONDS = 3.0
PROBE_SAMPLE_SIZE = 4
PROBE_AFTER_SECONDS = 0.1
ERROR_OUTCOMES = frozenset(ERROR_WEIGHT)


class ServiceState:
    """The routing state that an entry keeps for one service."""

    def __init__(self, group: TargetGroup, policy: Policy, probe_rate: float):
        self.group = group
        self.policy = policy
        self.delay = HedgeDelay()
        self.probes = ProbeAllowance(probe_rate)


class RoutingState:
    """The routing decisions of one entry for all services of the event."""

    def __init__(self, data_centre: str, rng: random.Random):
        self.data_centre = data_centre
        self.rng = rng
        self.rules: EventRules | None = None
        self.services: dict[str, ServiceState] = {}
        self.records: dict[str, MemberRecord] = {}
        self.work = WorkTable()
        self.statements = TargetStatements()
        self.instance = ''
        # Bandwidth of this instance's link in bytes per second, 0 if unknown.
        self.link_rate = 0.0
        self.far_kilobyte_cost = FAR_KILOBYTE_COST
        self.first_record_at: float | None = None
        # Data centres to whose targets nothing may be sent.
        self.evacuated: frozenset[str] = frozenset()

    # Updates.

    def set_rules(self, rules: EventRules) -> None:
        """Apply the current document; estimates are kept."""
        self.rules = rules
        kept = self.services
        self.services = {}
        for name, rule in rules.services.items():
            old = kept.get(name)
            group = TargetGroup(rule, self.data_centre, self.rng)
            group.instance = self.instance
            group.far_kilobyte_cost = self.far_kilobyte_cost
            policy = POLICIES.get(rule.policy)()
            state = ServiceState(group, policy, 0.0)
            if old is not None:
                group.candidates = old.group.candidates
                group.typical_latency = old.group.typical_latency
                group.typical_gate_latency = old.group.typical_gate_latency
                group.distances = old.group.distances
                state.delay = old.delay
                state.probes = old.probes
            self.services[name] = state
        for record in self.records.values():
            self.update_group(record, 0.0, False)
        self.update_probe_rates()

    def set_evacuated(self, data_centres: frozenset[str], now: float) -> None:
        """Choose no targets of these data centres from now on.

        The load of those that come back into use is ramped up.
        """
        self.evacuated = data_centres
        for record in self.records.values():
            self.update_group(record, now, True)

    def note_member(self, record: MemberRecord, now: float) -> None:
        """Store a new or changed member record."""
        if self.first_record_at is None:
            self.first_record_at = now
        known = self.records.get(record.instance)
        count = len(self.records)
        if record.state in DEPARTED_STATES:
            self.records.pop(record.instance, None)
        else:
            self.records[record.instance] = record
        if known is not None and known.service_name != record.service_name:
            self.remove(known)
        young = now - self.first_record_at < INITIAL_RECORDS_SECONDS
        self.update_group(record, now, not young)
        if len(self.records) != count:
            self.update_probe_rates()

    def update_group(
        self, record: MemberRecord, now: float, ramp: bool
    ) -> None:
        """Add a member to the group of its service, or remove it.

        Records received just after this entry's start are of members that have
        been running before, so those do not get a slow-start ramp.
        """
        state = self.services.get(record.service_name)
        if state is None:
            return
        evacuated = record.data_centre in self.evacuated
        if is_allowed(record, state.group.rule) and not evacuated:
            state.group.update_candidate(record, now, ramp)
        else:
            state.group.remove(record.instance)

    def remove(self, record: MemberRecord) -> None:
        """Remove a member from the group of its service."""
        state = self.services.get(record.service_name)
        if state is not None:
            state.group.remove(record.instance)

    def update_probe_rates(self) -> None:
        """Divide each service's probe budget among all entries."""
        for state in self.services.values():
            budget = state.group.rule.probes_per_second
            rate = probe_rate_per_member(budget, len(self.records))
            state.probes.window.set_rate(rate)

    # Decisions.

    def choose(
        self,
        service: str,
        now: float,
        exclude: frozenset[str] = frozenset(),
        profile: CallProfile = DEFAULT_PROFILE,
    ) -> Choice | None:
        """Return the target for a call, or None if there is none."""
        state = self.services.get(service)
        if state is None:
            return None
        group = state.group
        usable = self.usable(group, now, exclude)
        if not usable:
            return None
        picked = state.policy.pick(group, usable, now, profile)
        picked = self.apply_slow_start(state, usable, picked, now, profile)
        return self.build_choice(group, picked, now, profile)

    def choose_by_hash(
        self,
        service: str,
        now: float,
        exclude: frozenset[str],
        profile: CallProfile,
        fingerprint: bytes,
    ) -> Choice | None:
        """Return the target that a request's fingerprint maps to.

        Uses rendezvous hashing (Thaler and Ravishankar, 1998): entries that
        see the same targets choose the same one without communicating.
        """
        state = self.services.get(service)
        if state is None:
            return None
        usable = self.usable(state.group, now, exclude)
        if not usable:
            return None
        picked = max(usable, key=lambda c: rendezvous_weight(c, fingerprint))
        return self.build_choice(state.group, picked, now, profile)

    def is_evacuated(self, service: str) -> bool:
        """Return whether a service has targets, but only evacuated ones."""
        state = self.services.get(service)
        if state is None or state.group.candidates:
            return False
        return any(
            record.service_name == service
            and record.data_centre in self.evacuated
            for record in self.records.values()
        )

    def targets_beside(self, service: str, instance: str) -> set[str]:
        """Return the targets in the data centre of an instance."""
        record = self.records.get(instance)
        state = self.services.get(service)
        if record is None or state is None:
            return set()
        return {
            c.instance
            for c in state.group.candidates.values()
            if c.data_centre == record.data_centre
        }

    def usable(
        self, group: TargetGroup, now: float, exclude: frozenset[str]
    ) -> list[Candidate]:
        """Return the targets that may take a call, without excluded ones."""
        group.refresh(now)
        usable = group.live
        if not exclude:
            return usable
        usable = [c for c in usable if c.instance not in exclude]
        # When too many look bad none is ejected, but a second try should still
        # avoid them while another target looks healthy.
        usable = [c for c in usable if not c.looks_bad(now)] or usable
        return usable or self.fallback_targets(group, now, exclude)

    def build_choice(
        self,
        group: TargetGroup,
        picked: Candidate,
        now: float,
        profile: CallProfile,
    ) -> Choice:
        hot = relative_load(group, picked, now) >= HOT_SHARE
        return Choice(
            picked.instance,
            picked.address,
            hot,
            expected_seconds(group, picked, now, profile),
            picked.estimate.pace,
        )

    def profile(
        self, route: str, body_bytes: int, objective: float = 0.0
    ) -> CallProfile:
        """Return the properties of a call of ``route``.

        ``objective`` is the route's latency objective in seconds, 0 if none.
        """
        kilobytes = body_bytes / 1024.0 + self.work.kilobytes(route)
        seconds = body_bytes / self.link_rate if self.link_rate else 0.0
        work = self.work.seconds(route, objective)
        return CallProfile(route, work, kilobytes, seconds, objective)

    def fallback_targets(
        self, group: TargetGroup, now: float, exclude
    ) -> list:
        """Return ejected targets that are not excluded."""
        return [
            c
            for c in group.candidates.values()
            if c.instance not in exclude and c.is_usable(now)
        ]

    def apply_slow_start(
        self,
        state: ServiceState,
        usable: list[Candidate],
        picked: Candidate,
        now: float,
        profile: CallProfile,
    ) -> Candidate:
        """Pick again, by chance, if the picked target is in slow start."""
        share = state.group.ramp(picked, now)
        if share >= 1.0 or self.rng.random() < share:
            return picked
        others = [c for c in usable if c is not picked]
        if not others:
            return picked
        return state.policy.pick(state.group, others, now, profile)

    def probes_due(self, service: str, now: float) -> list[ProbeOrder]:
        """Return the probe to send now, if the budget allows one.

        The target with the oldest figures of a small sample is probed, unless
        its figures have only just arrived.
        """
        state = self.services.get(service)
        if state is None or not state.group.live:
            return []
        sample = sample_of(self.rng, state.group.live, PROBE_SAMPLE_SIZE)
        probed = min(sample, key=lambda c: c.estimate.load_at)
        if now - probed.estimate.load_at < PROBE_AFTER_SECONDS:
            return []
        if not state.probes.take(now):
            return []
        probed.estimate.load_at = now
        return [ProbeOrder(service, probed.instance, probed.address)]

    def hedge_delay(self, service: str, now: float) -> float | None:
        """Return the delay in seconds before a hedge, None for no hedge."""
        state = self.services.get(service)
        if state is None or not state.group.rule.hedge:
            return None
        return state.delay.seconds

    # Reports of calls and gates.

    def find(self, service: str, instance: str) -> Candidate | None:
        state = self.services.get(service)
        if state is None:
            return None
        return state.group.candidates.get(instance)

    def call_started(self, service: str, instance: str, now: float) -> None:
        """Count a call sent to a target."""
        candidate = self.find(service, instance)
        if candidate is None:
            return
        candidate.estimate.call_started(now)
        self.services[service].probes.note_call()

    def call_ended(
        self,
        service: str,
        instance: str,
        outcome: Outcome,
        seconds: float,
        now: float,
    ) -> None:
        """Record how a call ended, ``seconds`` after its start."""
        candidate = self.find(service, instance)
        if candidate is None:
            return
        state = self.services[service]
        estimate = candidate.estimate
        estimate.call_ended(seconds, now)
        if outcome is Outcome.ANSWERED:
            self.note_answer(state, candidate, seconds, now)
        elif outcome in ERROR_OUTCOMES:
            self.note_error(state, candidate, outcome, seconds, now)
        elif outcome is Outcome.REFUSED_OVERLOAD:
            estimate.note_refusal(now)
        elif outcome is Outcome.REFUSED_DRAINING:
            state.group.note_draining(candidate, now)

    def note_answer(
        self,
        state: ServiceState,
        candidate: Candidate,
        seconds: float,
        now: float,
    ) -> None:
        group = state.group
        estimate = candidate.estimate
        estimate.note_latency(seconds, group.typical_latency, now)
        estimate.note_success(now)
        if candidate.bad_streak and estimate.error_level == 0.0:
            candidate.bad_streak = 0
        group.update_typical(seconds)
        group.note_distance(candidate, seconds)
        state.delay.note(seconds)

    def note_error(
        self,
        state: ServiceState,
        candidate: Candidate,
        outcome: Outcome,
        seconds: float,
        now: float,
    ) -> None:
        """Raise a target's error level; quick errors are no latency."""
        estimate = candidate.estimate
        estimate.note_error(outcome, now)
        if outcome in (Outcome.TIMEOUT, Outcome.OVERTAKEN):
            self.note_slow(state.group, candidate, seconds, now)
        if estimate.error_level >= EJECTION_ERROR_LEVEL:
            state.group.eject(candidate, now)

    def note_slow(
        self,
        group: TargetGroup,
        candidate: Candidate,
        seconds: float,
        now: float,
    ) -> None:
        """Use the time of an unanswered call as latency if it is higher."""
        estimate = candidate.estimate
        if now < estimate.latency_deadline and seconds > estimate.latency:
            estimate.note_latency(seconds, group.typical_latency, now)

    def note_answer_load(
        self, service: str, instance: str, load: LoadFigures, now: float
    ) -> None:
        """Store load figures received with an answer made by the target.

        Its gate has just heard from the target, so that it states nothing
        means that nothing is to be remembered any more.
        """
        if load.statement is None:
            self.statements.forget(instance)
        self.note_load(service, instance, load, now)

    def note_load(
        self, service: str, instance: str, load: LoadFigures, now: float
    ) -> None:
        """Store load figures received with an answer or probe answer."""
        if load.statement is not None:
            self.statements.note(instance, load.statement)
        candidate = self.find(service, instance)
        if candidate is None:
            return
        candidate.estimate.note_load(load, now)
        if load.state == TargetState.DRAINING:
            self.services[service].group.note_draining(candidate, now)


def is_allowed(record: MemberRecord, rule: ServiceRule) -> bool:
    """Return whether a member may carry its service now or later.

    A record whose address cannot be parsed is ignored.
    """
    if record.state in DEPARTED_STATES:
        return False
    try:
        Address.parse(record.peer_address or '')
    except ValueError:
        return False
    target = record.target_name or record.instance
    return rule.allows_target(target, record.data_centre)


def rendezvous_weight(candidate: Candidate, fingerprint: bytes) -> int:
    """Return the rendezvous weight of a target for a request."""
    name = candidate.instance.encode()
    return xxhash.xxh64_intdigest(name + fingerprint)
