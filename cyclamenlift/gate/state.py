"""Admission decisions, queue and load of one target.

Pure logic: callers pass in keys and timestamps and get verdicts back. A call
is *refused* only while no part of it has reached the target, which is what
lets an entry tell its caller "not run".
"""

import collections
from collections.abc import Hashable
import dataclasses
import enum
import operator

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.admission import Asking
from cyclamenlift.gate.admission import crowded_from
from cyclamenlift.gate.admission import DEFAULT_RULES
from cyclamenlift.gate.admission import seconds_until_slot
from cyclamenlift.gate.admission import slots_for
from cyclamenlift.gate.admission import typical_hold
from cyclamenlift.gate.admission import UrgencySeen
from cyclamenlift.gate.estimates import ErrorShare
from cyclamenlift.gate.estimates import ServiceTime
from cyclamenlift.gate.learning import Begun
from cyclamenlift.gate.learning import Learning
from cyclamenlift.gate.occupancy import Occupancy
from cyclamenlift.http.dialects import TargetLoad
from cyclamenlift.routing.finish import Start
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
    when a QUEUED call that still waits should be sent back, 0 if it may wait
    until its deadline. ``hold_seconds`` is how long it is held for the
    target's slowdown to end, 0 if it waits only for a slot.
    """

    verdict: Verdict
    code: ResultCode = ResultCode.ANSWERED
    retry_after: float = 0.0
    latest_start: float = 0.0
    held: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """A call that was removed from the queue and has not run."""

    key: Hashable
    code: ResultCode


@dataclasses.dataclass(slots=True)
class Turn:
    """The calls that left the queue after a slot became free."""

    started: list[Hashable] = dataclasses.field(default_factory=list)
    expired: list[Expired] = dataclasses.field(default_factory=list)


class GateState:
    """Slots, queue and state of one target."""

    def __init__(self, slots: int, queue_limit: int = 16):
        self.slots = slots
        self.queue_limit = queue_limit
        self.running: set[Hashable] = set()
        # Seconds for which each running call is expected to hold its slot,
        # from its start to its end.
        self.holds: dict[Hashable, float] = {}
        self.queue: collections.OrderedDict[Hashable, Asking] = (
            collections.OrderedDict()
        )
        self.urgency = UrgencySeen()
        self.learning = Learning(slots)
        self.limit = self.learning.limit(0.0)
        self.rules = DEFAULT_RULES
        self.order_of = operator.attrgetter('order')
        self.occupancy = Occupancy()
        self.target_state = TargetState.STARTING
        self.service_time = ServiceTime()
        self.errors = ErrorShare()
        self.foreign = 0

    # -- commands ---------------------------------------------------------

    def admit(self, key: Hashable, deadline: float, now: float) -> Admission:
        """Decide on a new call; START and QUEUED also add it to the state."""
        if self.target_state == TargetState.DRAINING:
            return self.refuse(ResultCode.DRAINING)
        if now >= deadline:
            return self.refuse(ResultCode.DEADLINE_NOT_RUN)
        if len(self.running) < self.slots and not self.queue:
            self.start(key, now)
            return Admission(Verdict.START)
        if len(self.queue) >= self.queue_limit:
            return self.refuse(ResultCode.OVERLOADED)
        if now + self.expected_wait() + self.service_time.mean > deadline:
            return self.refuse(ResultCode.QUEUE_DEADLINE)
        self.queue[key] = Asking(key, deadline)
        return Admission(Verdict.QUEUED)

    def admit_routed(self, asking: Asking, now: float) -> Admission:
        """Decide on a call of a route, whose answer has a useful deadline."""
        if self.target_state == TargetState.DRAINING:
            return self.refuse(ResultCode.DRAINING)
        if now >= asking.deadline:
            return self.refuse(ResultCode.DEADLINE_NOT_RUN)
        self.urgency.note(asking, now)
        self.update_limit(now)
        ahead = self.count_ahead(asking, now)
        room = slots_for(asking, self.room, self.urgency, now, self.rules)
        best = self.expect(asking, now)
        guess = best.seconds - best.held
        spread = self.learning.spread(asking, best, now)
        if self.is_wasted(asking, best, now):
            few = self.crowded_slots()
            uncrowded = self.wait_behind(0, few, guess)
            return self.refuse_until(ResultCode.QUEUE_DEADLINE, uncrowded)
        if not best.held and not ahead and len(self.running) < room:
            self.start(asking.key, now, guess)
            return Admission(Verdict.START)
        wait = max(best.held, self.wait_behind(ahead, room, guess))
        latest = (
            asking.useful_deadline - guess - self.rules.wait_spreads * spread
        )
        if asking.repeated and not asking.nested:
            return self.refuse_until(ResultCode.OVERLOADED, wait)
        if len(self.queue) >= max(self.queue_limit, self.slots):
            return self.refuse_until(ResultCode.OVERLOADED, wait)
        if now + wait > latest:
            return self.refuse_until(ResultCode.QUEUE_DEADLINE, wait)
        self.queue[asking.key] = asking
        return Admission(Verdict.QUEUED, latest_start=latest, held=best.held)

    def reconsider(self, asking: Asking, now: float) -> Admission:
        """Decide again on a call that has a slot but was not sent yet.

        If the call would finish sooner after the current slowdown, it gives
        its slot back and is queued until the slowdown ends.
        """
        best = self.expect(asking, now)
        if not best.held:
            self.start(asking.key, now, best.seconds)
            return Admission(Verdict.START)
        self.running.discard(asking.key)
        self.holds.pop(asking.key, None)
        self.note_occupancy(now)
        self.queue[asking.key] = asking
        latest = asking.useful_deadline - (best.seconds - best.held)
        return Admission(Verdict.QUEUED, latest_start=latest, held=best.held)

    def hopeless(self, now: float) -> list[Expired]:
        """Remove and return queued calls that can't finish in time."""
        found = []
        self.update_limit(now)
        for key, asking in list(self.queue.items()):
            if asking.useful_deadline is None:
                continue
            best = self.expect(asking, now)
            wait = self.wait_behind(self.count_ahead(asking, now), self.room)
            done = now + max(wait, best.held) + best.seconds - best.held
            if done > asking.useful_deadline:
                del self.queue[key]
                found.append(Expired(key, ResultCode.QUEUE_DEADLINE))
        return found

    def finish(
        self, key: Hashable, seconds: float | None, failed: bool, now: float
    ) -> Turn:
        """Free the slot of ``key`` and start queued calls.

        ``seconds`` is the target's service time, or None if the call was cut
        off and its duration is meaningless.
        """
        self.running.discard(key)
        self.holds.pop(key, None)
        self.note_occupancy(now)
        if seconds is not None:
            self.service_time.note(seconds)
        self.errors.note(failed, now)
        return self.fill(now)

    def fill(self, now: float) -> Turn:
        """Assign free slots to queued calls that are not on hold."""
        turn = Turn()
        self.update_limit(now)
        for key in sorted(self.queue, key=self.order_in_queue):
            if len(self.running) >= self.room:
                break
            asking = self.queue[key]
            if now >= asking.deadline:
                del self.queue[key]
                code = ResultCode.DEADLINE_NOT_RUN
                turn.expired.append(Expired(key, code))
                continue
            best = self.expect(asking, now)
            if best.held:
                continue
            del self.queue[key]
            self.start(key, now, best.seconds)
            turn.started.append(key)
        return turn

    def start(self, key: Hashable, now: float, seconds: float = 0.0) -> None:
        """Give a call a slot that it should hold for ``seconds``."""
        self.running.add(key)
        self.holds[key] = seconds
        self.note_occupancy(now)

    def note_occupancy(self, now: float) -> None:
        self.occupancy.note(len(self.running) + self.foreign, now)

    def set_slots(self, slots: int) -> None:
        """Set how many calls the target can run at once."""
        self.slots = slots
        self.learning.set_slots(slots)
        self.limit = self.learning.crowding.chosen

    def update_limit(self, now: float) -> None:
        """Recompute how many calls should run at once now."""
        self.limit = self.learning.limit(now)

    def withdraw(self, key: Hashable) -> bool:
        """Remove a call from the queue; True proves that it never ran."""
        return self.queue.pop(key, None) is not None

    def drain(self) -> list[Expired]:
        """Stop admitting calls; return the queued ones, which did not run."""
        self.target_state = TargetState.DRAINING
        return self.empty_queue(ResultCode.DRAINING)

    def empty_queue(self, code: ResultCode) -> list[Expired]:
        """Remove and return all queued calls, which did not run."""
        waiting = [Expired(key, code) for key in self.queue]
        self.queue.clear()
        return waiting

    def renew(self, cold: bool) -> None:
        """Reset for a new incarnation of the target.

        What the previous incarnation reported no longer counts. A cold one
        also starts with an empty error history.
        """
        self.target_state = TargetState.STARTING
        self.learning.pace.forget()
        self.foreign = 0
        if cold:
            self.errors = ErrorShare()

    def note_target_load(self, load: TargetLoad, now: float) -> None:
        """Record the load that the target reported itself."""
        self.learning.pace.note(load, now)
        others = load.running + load.waiting - len(self.running)
        self.foreign = max(0, others)
        self.note_occupancy(now)

    def note_work(
        self,
        route: str,
        seconds: float,
        beside: float,
        now: float,
        nested: float = 0.0,
        begun: Begun | None = None,
    ) -> None:
        """Record an answered call; see ``PerformanceModel.note``."""
        self.learning.note(route, seconds, beside, now, nested, begun)
        self.update_limit(now)

    def set_target_state(self, state: TargetState) -> None:
        """Set the target's state; health checks never undo a drain."""
        if self.target_state != TargetState.DRAINING:
            self.target_state = state

    # -- queries ----------------------------------------------------------

    def refuse(self, code: ResultCode) -> Admission:
        wait = max(MIN_RETRY_AFTER, self.expected_wait())
        return Admission(Verdict.REFUSED, code, wait)

    @property
    def room(self) -> int:
        """The number of calls to run at once: the limit for known calls.

        Calls that the target reports beyond those known here occupy slots too:
        a previous daemon may have sent them, or they were cancelled here and
        still run.
        """
        return max(1, self.limit - self.foreign)

    def refuse_until(self, code: ResultCode, wait: float) -> Admission:
        return Admission(Verdict.REFUSED, code, max(MIN_RETRY_AFTER, wait))

    def count_ahead(self, asking: Asking, now: float) -> int:
        """Return how many queued calls start before this one.

        Calls held until a slowdown ends don't count: they leave free slots to
        calls that are not held.
        """
        own = self.order_of(asking)
        return sum(
            1
            for key, other in self.queue.items()
            if key != asking.key
            and self.order_of(other) <= own
            and not self.expect(other, now).held
        )

    def order_in_queue(self, key: Hashable) -> tuple:
        return self.order_of(self.queue[key])

    def crowded_slots(self) -> int:
        """Return the number of running calls from which the target is busy."""
        return crowded_from(self.slots, self.rules.crowded_share)

    def wait_behind(self, ahead: int, room: int, guess: float = 0.0) -> float:
        """Return the seconds until a slot is free behind ``ahead`` calls.

        ``guess`` is the slot hold time to assume before any was measured.
        """
        usual = self.learning.slot_seconds(guess)
        held = typical_hold(self.holds.values(), usual)
        return seconds_until_slot(ahead, len(self.running), room, held)

    def expect(self, asking: Asking, now: float) -> Start:
        """Return the soonest way to finish a call, nested calls included."""
        if asking.useful_deadline is None:
            return Start(0.0, self.service_time.mean)
        return self.learning.expect(asking, len(self.running), now)

    def pace_percent(self, now: float) -> int:
        """Return the pace: 100 is usual, 200 half speed, 0 unknown."""
        return self.learning.pace.percent(now)

    def is_wasted(self, asking: Asking, best: Start, now: float) -> bool:
        """Tell whether a slot would go to a call that will be late.

        Applies only when other calls compete for slots; a target with free
        capacity serves the call anyway.
        """
        if len(self.running) < self.crowded_slots():
            return False
        spread = self.learning.spread(asking, best, now)
        done = now + best.seconds + self.rules.crowded_spreads * spread
        return done > asking.useful_deadline

    def expected_wait(self) -> float:
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
            slots=self.room,
            latency_us=int(self.service_time.mean * 1_000_000),
            error_permille=int(self.errors.share(now) * 1000),
            state=self.target_state,
            pace_percent=self.pace_percent(now),
            lag_ms=int(lag * MILLISECONDS),
            body_wait_ms=int(body_wait * MILLISECONDS),
            spell_left_ms=int(
                self.learning.pace.spell_left(now) * MILLISECONDS
            ),
        )
