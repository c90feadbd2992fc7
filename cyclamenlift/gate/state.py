"""Which call may enter the target now, wait, or must go elsewhere.

Pure decisions: keys and instants come in, verdicts go out. A call is
*refused* only while nothing of it has reached the target, which is what
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
from cyclamenlift.routing.finish import StartPlan
from cyclamenlift.wire.gen.protocol.ttypes import LoadFigures
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

MIN_RETRY_AFTER = 0.005


class Verdict(enum.Enum):
    """What becomes of a call that asks to enter."""

    START = enum.auto()
    QUEUED = enum.auto()
    REFUSED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A verdict; ``retry_after`` is in seconds and only for REFUSED.

    ``latest_start`` is when a QUEUED call should be sent back if it still
    waits, 0 if it may wait until its deadline. ``held`` is how long it is
    held for the end of a slow spell, in seconds, 0 if it waits for a slot.
    """

    verdict: Verdict
    code: ResultCode = ResultCode.ANSWERED
    retry_after: float = 0.0
    latest_start: float = 0.0
    held: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """A queued call whose deadline can no longer be met: not run."""

    key: Hashable
    code: ResultCode


@dataclasses.dataclass(slots=True)
class Turn:
    """Whose turn it is after a slot became free."""

    started: list[Hashable] = dataclasses.field(default_factory=list)
    expired: list[Expired] = dataclasses.field(default_factory=list)


class GateState:
    """Slots, queue and state of one target."""

    def __init__(self, slots: int, queue_limit: int = 16):
        self.slots = slots
        self.queue_limit = queue_limit
        self.running: set[Hashable] = set()
        # How long each running call should hold its slot in all, seconds.
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
        """Decide on a new call; START and QUEUED take it in."""
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
        """Decide on a call that is of use only until some deadline."""
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
        """Decide once more on a call that has a slot but has not begun.

        Where it is done sooner after a spell it gives its slot back and
        waits for the end.
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
        """Take out the queued calls that can no longer be of use."""
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
        """Free the slot of ``key`` and hand it on.

        ``seconds`` is how long the target took, None when it was cut off
        and the figure says nothing.
        """
        self.running.discard(key)
        self.holds.pop(key, None)
        self.note_occupancy(now)
        if seconds is not None:
            self.service_time.note(seconds)
        self.errors.note(failed, now)
        return self.fill(now)

    def fill(self, now: float) -> Turn:
        """Give free slots to queued calls that need not be held."""
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
        """Give a call a slot, which it should hold for ``seconds``."""
        self.running.add(key)
        self.holds[key] = seconds
        self.note_occupancy(now)

    def note_occupancy(self, now: float) -> None:
        self.occupancy.note(len(self.running) + self.foreign, now)

    def set_slots(self, slots: int) -> None:
        """Take over how many calls the target can run at once."""
        self.slots = slots
        self.learning.set_slots(slots)
        self.limit = self.learning.crowding.chosen

    def update_limit(self, now: float) -> None:
        """Take over how many calls are worth running at once now."""
        self.limit = self.learning.limit(now)

    def withdraw(self, key: Hashable) -> bool:
        """Take a call out of the queue; True proves that it never ran."""
        return self.queue.pop(key, None) is not None

    def drain(self) -> list[Expired]:
        """Stop taking calls; return the queued ones, which did not run."""
        self.target_state = TargetState.DRAINING
        return self.empty_queue(ResultCode.DRAINING)

    def empty_queue(self, code: ResultCode) -> list[Expired]:
        """Take out all queued calls, which did not run."""
        waiting = [Expired(key, code) for key in self.queue]
        self.queue.clear()
        return waiting

    def renew(self, cold: bool) -> None:
        """Begin with a new incarnation, whatever the one before did."""
        self.target_state = TargetState.STARTING
        self.learning.pace.forget()
        self.foreign = 0
        if cold:
            self.errors = ErrorShare()

    def note_target_load(self, load: TargetLoad, now: float) -> None:
        """Take over what the target itself told of its load."""
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
        """Learn from a call that was answered; see ``Learning.note``."""
        self.learning.note(route, seconds, beside, now, nested, begun)
        self.update_limit(now)

    def set_target_state(self, state: TargetState) -> None:
        """Note what the target is; a drain is not taken back by health."""
        if self.target_state != TargetState.DRAINING:
            self.target_state = state

    # -- queries ----------------------------------------------------------

    def refuse(self, code: ResultCode) -> Admission:
        wait = max(MIN_RETRY_AFTER, self.expected_wait())
        return Admission(Verdict.REFUSED, code, wait)

    @property
    def room(self) -> int:
        """How many calls run at once: the slots, unless a crowd costs.

        Calls that the target has beside those that are known here hold
        slots too: a daemon before this one may have sent them, or they
        were cancelled and run on.
        """
        return max(1, self.limit - self.foreign)

    def refuse_until(self, code: ResultCode, wait: float) -> Admission:
        return Admission(Verdict.REFUSED, code, max(MIN_RETRY_AFTER, wait))

    def count_ahead(self, asking: Asking, now: float) -> int:
        """Return how many queued calls go before this one.

        Calls that are held for the end of a spell leave free slots to those
        that are not.
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
        """Return how many running calls make the target crowded."""
        return crowded_from(self.slots, self.rules.crowded_share)

    def wait_behind(self, ahead: int, room: int, guess: float = 0.0) -> float:
        """Return the seconds until a slot is free behind ``ahead``.

        ``guess`` is how long a call is taken to hold a slot before any
        was seen.
        """
        usual = self.learning.slot_seconds(guess)
        held = typical_hold(self.holds.values(), usual)
        return seconds_until_slot(ahead, len(self.running), room, held)

    def expect(self, asking: Asking, now: float) -> StartPlan:
        """Return how a call is done soonest, those that it makes too."""
        if asking.useful_deadline is None:
            return StartPlan(0.0, self.service_time.mean)
        return self.learning.expect(asking, len(self.running), now)

    def pace_percent(self, now: float) -> int:
        """Return how long work takes now, 100 as usual, 0 unknown."""
        return self.learning.pace.percent(now)

    def is_wasted(self, asking: Asking, best: StartPlan, now: float) -> bool:
        """Tell whether a slot would be lost to a call that will be late.

        Only where others wait for slots; in a roomy target it is served.
        """
        if len(self.running) < self.crowded_slots():
            return False
        spread = self.learning.spread(asking, best, now)
        done = now + best.seconds + self.rules.crowded_spreads * spread
        return done > asking.useful_deadline

    def expected_wait(self) -> float:
        """Return the seconds a call would queue, by recent service times."""
        ahead = len(self.queue) + 1
        return ahead * self.service_time.mean / self.slots

    def is_idle(self) -> bool:
        return not self.running and not self.queue

    def figures(
        self, now: float, lag: float = 0.0, body_wait: float = 0.0
    ) -> LoadFigures:
        """Return the load that rides on every answer."""
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
