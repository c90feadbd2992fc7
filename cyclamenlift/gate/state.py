"""Admission decisions, queue and load of one target.

Pure logic: callers pass in keys and timestamps and get verdicts back. A call
is *refused* only while no part of it has reached the target, which is what
lets an entry tell its caller "not run".
"""

import collections
from collections.abc import Hashable
import dataclasses
import enum
import math
import operator

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.admission import AdmissionRequest
from cyclamenlift.gate.admission import crowded_threshold
from cyclamenlift.gate.admission import DEFAULT_RULES
from cyclamenlift.gate.admission import mean_hold_time
from cyclamenlift.gate.admission import RecentUrgencies
from cyclamenlift.gate.admission import seconds_until_slot
from cyclamenlift.gate.admission import usable_slots
from cyclamenlift.gate.estimates import ErrorShare
from cyclamenlift.gate.estimates import ServiceTime
from cyclamenlift.gate.fair_shares import FairShares
from cyclamenlift.gate.occupancy import Occupancy
from cyclamenlift.gate.performance import PaceAtStart
from cyclamenlift.gate.performance import PerformanceModel
from cyclamenlift.gate.start_limits import StartLimits
from cyclamenlift.http.target_reports import TargetLoad
from cyclamenlift.routing.finish import StartPlan
from cyclamenlift.wire.gen.protocol.ttypes import LoadFigures
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

MIN_RETRY_AFTER = 0.005


class Verdict(enum.Enum):
    """The outcome of an admission request."""

    START = enum.auto()
    QUEUED = enum.auto()
    REFUSED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """The decision on an admission request.

    ``retry_after``, in seconds, is set only for REFUSED. ``latest_start`` is
    when a QUEUED call that still waits should be refused, 0 if it may wait
    until its deadline. ``hold_seconds`` is how long it is held for the
    target's slowdown to end, 0 if it waits only for a slot. ``displaced`` are
    waiting calls that this one goes before and that can't be in time now.
    """

    verdict: Verdict
    code: ResultCode = ResultCode.ANSWERED
    retry_after: float = 0.0
    latest_start: float = 0.0
    hold_seconds: float = 0.0
    displaced: tuple['DroppedCall', ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class DroppedCall:
    """A call that was removed from the queue and has not run."""

    key: Hashable
    code: ResultCode


@dataclasses.dataclass(slots=True)
class DequeueResult:
    """The calls that left the queue after a slot became free."""

    started: list[Hashable] = dataclasses.field(default_factory=list)
    dropped: list[DroppedCall] = dataclasses.field(default_factory=list)


class GateState:
    """Slots, queue and state of one target."""

    def __init__(self, slots: int, queue_limit: int = 16):
        self.slots = slots
        self.queue_limit = queue_limit
        self.running: set[Hashable] = set()
        # Seconds for which each running call is expected to hold its slot,
        # from its start to its end.
        self.hold_times: dict[Hashable, float] = {}
        self.queue: collections.OrderedDict[Hashable, AdmissionRequest] = (
            collections.OrderedDict()
        )
        self.recent_urgencies = RecentUrgencies()
        self.performance = PerformanceModel(slots)
        self.limit = self.performance.limit(0.0)
        self.rules = DEFAULT_RULES
        self.order_of = operator.attrgetter('order')
        self.occupancy = Occupancy()
        self.start_limits = StartLimits()
        self.fair_shares = FairShares()
        self.target_state = TargetState.STARTING
        self.service_time = ServiceTime()
        self.errors = ErrorShare()
        self.untracked_calls = 0

    # -- commands ---------------------------------------------------------

    def admit(self, key: Hashable, deadline: float, now: float) -> Admission:
        """Decide on a new call; START and QUEUED also add it to the state."""
        if self.target_state == TargetState.DRAINING:
            return self.refuse(ResultCode.DRAINING)
        if now >= deadline:
            return self.refuse(ResultCode.DEADLINE_NOT_RUN)
        limit_wait = self.start_limits.wait(now, len(self.queue))
        if len(self.running) < self.slots and not (self.queue or limit_wait):
            self.start(key, now)
            return Admission(Verdict.START)
        if len(self.queue) >= self.queue_limit:
            return self.refuse(ResultCode.OVERLOADED)
        late = now + limit_wait + self.service_time.mean > deadline
        if limit_wait and late:
            return self.refuse_limited(limit_wait, len(self.queue), now)
        if now + self.mean_queue_wait() + self.service_time.mean > deadline:
            return self.refuse(ResultCode.QUEUE_DEADLINE)
        self.queue[key] = AdmissionRequest(key, deadline)
        return Admission(Verdict.QUEUED)

    def admit_routed(self, request: AdmissionRequest, now: float) -> Admission:
        """Decide on a call of a route, whose answer has a useful deadline."""
        if self.target_state == TargetState.DRAINING:
            return self.refuse(ResultCode.DRAINING)
        if now >= request.deadline:
            return self.refuse(ResultCode.DEADLINE_NOT_RUN)
        self.recent_urgencies.note(request, now)
        self.update_limit(now)
        best = self.estimate(request, now)
        guess = best.seconds - best.held
        if request.account:
            tag = self.fair_shares.tag(request.account, guess)
            request = dataclasses.replace(request, tag=tag)
        ahead = self.count_ahead(request, now)
        limit = usable_slots(
            request,
            self.concurrency_limit,
            self.recent_urgencies,
            now,
            self.rules,
        )
        spread = self.performance.spread(request, best, now)
        if self.would_waste_slot(request, best, now):
            threshold = self.crowded_slots()
            retry_after = self.wait_for_slot(0, threshold, guess)
            return self.refuse_until(ResultCode.QUEUE_DEADLINE, retry_after)
        limit_wait = self.start_limits.wait(now, ahead)
        may_start = not (best.held or ahead or limit_wait)
        if may_start and len(self.running) < limit:
            self.start_request(self.charge(request, guess), now, guess)
            return Admission(Verdict.START)
        slot_wait = max(best.held, self.wait_for_slot(ahead, limit, guess))
        wait = max(slot_wait, limit_wait)
        latest = (
            request.useful_deadline - guess - self.rules.wait_spreads * spread
        )
        if request.repeated and not request.nested:
            return self.refuse_until(ResultCode.OVERLOADED, wait)
        full = len(self.queue) >= max(self.queue_limit, self.slots)
        if full and not self.may_displace(request):
            return self.refuse_until(ResultCode.OVERLOADED, wait)
        if now + wait > latest:
            if limit_wait > slot_wait:
                return self.refuse_limited(wait, ahead, now)
            return self.refuse_until(ResultCode.QUEUE_DEADLINE, wait)
        displaced = self.drop_last() if full else []
        self.queue[request.key] = self.charge(request, guess)
        if request.account:
            displaced += self.drop_displaced(request, now)
        return Admission(
            Verdict.QUEUED,
            latest_start=latest,
            hold_seconds=best.held,
            displaced=tuple(displaced),
        )

    def charge(
        self, request: AdmissionRequest, work: float
    ) -> AdmissionRequest:
        """Charge the account of a call that is admitted for its work."""
        if not request.account:
            return request
        tag = self.fair_shares.charge(request.account, work)
        return dataclasses.replace(request, tag=tag, work=work)

    def may_displace(self, request: AdmissionRequest) -> bool:
        """Return whether a call goes before the last one in the queue.

        Only where accounts compete: then the queue may be full of the calls
        of one that asks for more than its part.
        """
        if not request.account:
            return False
        last = max(self.queue.values(), key=self.order_of)
        return self.order_of(request) < self.order_of(last)

    def drop_last(self) -> list[DroppedCall]:
        """Remove and return the call that would start last."""
        last = max(self.queue.values(), key=self.order_of)
        self.leave_queue(last.key)
        return [DroppedCall(last.key, ResultCode.OVERLOADED)]

    def drop_displaced(
        self, request: AdmissionRequest, now: float
    ) -> list[DroppedCall]:
        """Remove and return the calls that a new one makes late.

        Refused now, their callers can still be served elsewhere.
        """
        own = self.order_of(request)
        behind = [
            other
            for other in self.queue.values()
            if self.order_of(other) > own
        ]
        return self.drop_late(behind, now)

    def leave_queue(self, key: Hashable) -> None:
        """Remove a call that has not started, and refund its account."""
        request = self.queue.pop(key)
        if request.account:
            self.fair_shares.refund(request.account, request.work)

    def recheck_before_start(
        self, request: AdmissionRequest, now: float
    ) -> Admission:
        """Decide again on a call that has a slot but was not sent yet.

        If the call would finish sooner after the current slowdown, it gives
        its slot back and is queued until the slowdown ends.
        """
        best = self.estimate(request, now)
        if not best.held:
            self.start(request.key, now, best.seconds)
            return Admission(Verdict.START)
        if request.account:
            # It was charged when it got its slot.
            tag = self.fair_shares.started_tag
            request = dataclasses.replace(request, tag=tag)
        self.running.discard(request.key)
        self.start_limits.withdraw(request.key)
        self.hold_times.pop(request.key, None)
        self.note_occupancy(now)
        self.queue[request.key] = request
        latest = request.useful_deadline - (best.seconds - best.held)
        return Admission(
            Verdict.QUEUED, latest_start=latest, hold_seconds=best.held
        )

    def drop_late_calls(self, now: float) -> list[DroppedCall]:
        """Remove and return queued calls that can't finish in time."""
        self.update_limit(now)
        return self.drop_late(list(self.queue.values()), now)

    def drop_late(
        self, requests: list[AdmissionRequest], now: float
    ) -> list[DroppedCall]:
        """Remove and return those of some queued calls that will be late."""
        found = []
        for request in requests:
            if request.useful_deadline is None:
                continue
            best = self.estimate(request, now)
            wait = self.wait_for_slot(
                self.count_ahead(request, now), self.concurrency_limit
            )
            done = now + max(wait, best.held) + best.seconds - best.held
            if done > request.useful_deadline:
                self.leave_queue(request.key)
                code = ResultCode.QUEUE_DEADLINE
                found.append(DroppedCall(request.key, code))
        return found

    def finish(
        self, key: Hashable, seconds: float | None, failed: bool, now: float
    ) -> DequeueResult:
        """Free the slot of ``key`` and start queued calls.

        ``seconds`` is the target's service time, or None if the call was cut
        off and its duration is meaningless.
        """
        self.running.discard(key)
        self.start_limits.withdraw(key)
        self.hold_times.pop(key, None)
        self.note_occupancy(now)
        if seconds is not None:
            self.service_time.note(seconds)
        self.errors.note(failed, now)
        if self.is_idle():
            self.fair_shares.forget_all()
        return self.start_queued(now)

    def start_queued(self, now: float) -> DequeueResult:
        """Assign free slots to queued calls that are not on hold."""
        result = DequeueResult()
        self.update_limit(now)
        for key in sorted(self.queue, key=self.order_in_queue):
            if len(self.running) >= self.concurrency_limit:
                break
            if self.start_limits.wait(now):
                break
            request = self.queue[key]
            if now >= request.deadline:
                self.leave_queue(key)
                code = ResultCode.DEADLINE_NOT_RUN
                result.dropped.append(DroppedCall(key, code))
                continue
            best = self.estimate(request, now)
            if best.held:
                continue
            del self.queue[key]
            self.start_request(request, now, best.seconds)
            result.started.append(key)
        return result

    def start(self, key: Hashable, now: float, seconds: float = 0.0) -> None:
        """Give a call a slot that it should hold for ``seconds``."""
        self.running.add(key)
        self.start_limits.promise(key)
        self.hold_times[key] = seconds
        self.note_occupancy(now)

    def start_request(
        self, request: AdmissionRequest, now: float, seconds: float
    ) -> None:
        """Give a call a slot; its account's turn has come."""
        if request.account:
            self.fair_shares.note_started(request.tag)
        self.start(request.key, now, seconds)

    def note_occupancy(self, now: float) -> None:
        self.occupancy.note(len(self.running) + self.untracked_calls, now)

    def set_slots(self, slots: int) -> None:
        """Set how many calls the target can run at once."""
        self.slots = slots
        self.performance.set_slots(slots)
        self.limit = self.performance.limiter.chosen

    def update_limit(self, now: float) -> None:
        """Recompute how many calls should run at once now."""
        self.limit = self.performance.limit(now)

    def withdraw(self, key: Hashable) -> bool:
        """Remove a call from the queue; True proves that it never ran."""
        if key not in self.queue:
            return False
        self.leave_queue(key)
        return True

    def drain(self) -> list[DroppedCall]:
        """Stop admitting calls; return the queued ones, which did not run."""
        self.target_state = TargetState.DRAINING
        return self.empty_queue(ResultCode.DRAINING)

    def empty_queue(self, code: ResultCode) -> list[DroppedCall]:
        """Remove and return all queued calls, which did not run."""
        waiting = [DroppedCall(key, code) for key in self.queue]
        self.queue.clear()
        return waiting

    def reset_for_incarnation(self, cold: bool, now: float) -> None:
        """Reset for a new incarnation of the target.

        What the previous incarnation reported no longer counts. A cold one
        also starts with an empty error history.
        """
        self.target_state = TargetState.STARTING
        self.performance.pace.forget()
        self.start_limits.begin_incarnation(now)
        self.untracked_calls = 0
        if cold:
            self.errors = ErrorShare()

    def note_target_load(self, load: TargetLoad, now: float) -> None:
        """Record the load that the target reported itself."""
        self.performance.pace.note(load, now)
        others = load.running + load.waiting - len(self.running)
        self.untracked_calls = max(0, others)
        self.note_occupancy(now)

    def note_work(
        self,
        route: str,
        seconds: float,
        concurrent: float,
        now: float,
        nested: float = 0.0,
        pace_at_start: PaceAtStart | None = None,
    ) -> None:
        """Record an answered call; see ``PerformanceModel.note``."""
        self.performance.note(
            route, seconds, concurrent, now, nested, pace_at_start
        )
        self.update_limit(now)

    def set_target_state(self, state: TargetState) -> None:
        """Set the target's state; health checks never undo a drain."""
        if self.target_state != TargetState.DRAINING:
            self.target_state = state

    # -- queries ----------------------------------------------------------

    def refuse(self, code: ResultCode) -> Admission:
        wait = max(MIN_RETRY_AFTER, self.mean_queue_wait())
        return Admission(Verdict.REFUSED, code, wait)

    @property
    def concurrency_limit(self) -> int:
        """The number of calls to run at once: the limit for known calls.

        Calls that the target reports beyond those known here occupy slots too:
        a previous daemon may have sent them, or they were cancelled here and
        still run.
        """
        return max(1, self.limit - self.untracked_calls)

    def refuse_until(self, code: ResultCode, wait: float) -> Admission:
        return Admission(Verdict.REFUSED, code, max(MIN_RETRY_AFTER, wait))

    def refuse_limited(self, wait: float, ahead: int, now: float) -> Admission:
        """Refuse a call that a limit on starts would make late."""
        limits = self.start_limits
        code = limits.refusal_code(now, ahead)
        if code is ResultCode.TARGET_LIMITED:
            wait = limits.declared.return_wait(now, wait)
        return self.refuse_until(code, wait)

    def count_ahead(self, request: AdmissionRequest, now: float) -> int:
        """Return how many queued calls start before this one.

        Calls held until a slowdown ends don't count: they leave free slots to
        calls that are not held.
        """
        own = self.order_of(request)
        return sum(
            1
            for key, other in self.queue.items()
            if key != request.key
            and self.order_of(other) <= own
            and not self.estimate(other, now).held
        )

    def order_in_queue(self, key: Hashable) -> tuple:
        return self.order_of(self.queue[key])

    def crowded_slots(self) -> int:
        """Return the number of running calls from which the target is busy."""
        return crowded_threshold(self.slots, self.rules.crowded_share)

    def wait_for_slot(
        self, ahead: int, limit: int, guess: float = 0.0
    ) -> float:
        """Return the seconds until a slot is free behind ``ahead`` calls.

        ``guess`` is the slot hold time to assume before any was measured.
        """
        usual = self.performance.slot_seconds(guess)
        seconds = mean_hold_time(self.hold_times.values(), usual)
        return seconds_until_slot(ahead, len(self.running), limit, seconds)

    def estimate(self, request: AdmissionRequest, now: float) -> StartPlan:
        """Return the soonest way to finish a call, nested calls included."""
        if request.useful_deadline is None:
            return StartPlan(0.0, self.service_time.mean)
        return self.performance.estimate(request, len(self.running), now)

    def pace_percent(self, now: float) -> int:
        """Return the pace: 100 is usual, 200 half speed, 0 unknown."""
        return self.performance.pace.percent(now)

    def would_waste_slot(
        self, request: AdmissionRequest, best: StartPlan, now: float
    ) -> bool:
        """Return whether a slot would go to a call that will be late.

        Applies only when other calls compete for slots; a target with free
        capacity serves the call anyway.
        """
        if len(self.running) < self.crowded_slots():
            return False
        spread = self.performance.spread(request, best, now)
        done = now + best.seconds + self.rules.crowded_spreads * spread
        return done > request.useful_deadline

    def start_wait(self, now: float) -> float:
        """Return the seconds until the target may get another call."""
        return self.start_limits.told_wait(now, len(self.queue))

    def told_slots(self) -> int:
        """Return the slots that entries are told of.

        A target with a limit has no use for more than its calls take up.
        """
        rate = self.start_limits.declared.calls_per_second
        if rate is None:
            return self.concurrency_limit
        used = math.ceil(rate * self.service_time.mean)
        return min(self.concurrency_limit, max(1, used))

    def mean_queue_wait(self) -> float:
        """Return the expected queueing time by recent service times."""
        ahead = len(self.queue) + 1
        return ahead * self.service_time.mean / self.slots

    def is_idle(self) -> bool:
        return not self.running and not self.queue

    def figures(
        self, now: float, lag: float = 0.0, body_wait: float = 0.0
    ) -> LoadFigures:
        """Return the load figures that are sent with every answer."""
        return LoadFigures(
            in_flight=len(self.running),
            queued=len(self.queue),
            slots=self.told_slots(),
            latency_us=int(self.service_time.mean * 1_000_000),
            error_permille=int(self.errors.share(now) * 1000),
            state=self.target_state,
            pace_percent=self.pace_percent(now),
            lag_ms=int(lag * MILLISECONDS),
            body_wait_ms=int(body_wait * MILLISECONDS),
            spell_left_ms=int(
                self.performance.pace.slowdown_left(now) * MILLISECONDS
            ),
            start_wait_ms=math.ceil(self.start_wait(now) * MILLISECONDS),
        )
