"""Which call may enter the target now, wait, or must go elsewhere.

Pure decisions: keys and instants come in, verdicts go out. A call is
*refused* only while nothing of it has reached the target, which is what
lets an entry tell its caller "not run".
"""

import collections
from collections.abc import Hashable
import dataclasses
import enum

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.estimates import ErrorShare
from cyclamenlift.gate.estimates import ServiceTime
from cyclamenlift.http.dialects import TargetLoad
from cyclamenlift.wire.gen.protocol.ttypes import LoadFigures
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

MIN_RETRY_AFTER = 0.005
# A target's neighbours come and go in about half a second; a figure on its
# pace that is older tells nothing.
PACE_SECONDS = 0.5


class Verdict(enum.Enum):
    """What becomes of a call that asks to enter."""

    START = enum.auto()
    QUEUED = enum.auto()
    REFUSED = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A verdict; ``retry_after`` is in seconds and only for REFUSED."""

    verdict: Verdict
    code: ResultCode = ResultCode.ANSWERED
    retry_after: float = 0.0


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
        self.queue: collections.OrderedDict[Hashable, float] = (
            collections.OrderedDict()
        )
        self.target_state = TargetState.STARTING
        self.service_time = ServiceTime()
        self.errors = ErrorShare()
        self.target_load: TargetLoad | None = None
        self.target_load_at = 0.0

    # -- commands ---------------------------------------------------------

    def admit(self, key: Hashable, deadline: float, now: float) -> Admission:
        """Decide on a new call; START and QUEUED take it in."""
        if self.target_state == TargetState.DRAINING:
            return self.refuse(ResultCode.DRAINING)
        if now >= deadline:
            return self.refuse(ResultCode.DEADLINE_NOT_RUN)
        if len(self.running) < self.slots and not self.queue:
            self.running.add(key)
            return Admission(Verdict.START)
        if len(self.queue) >= self.queue_limit:
            return self.refuse(ResultCode.OVERLOADED)
        if now + self.expected_wait() + self.service_time.mean > deadline:
            return self.refuse(ResultCode.QUEUE_DEADLINE)
        self.queue[key] = deadline
        return Admission(Verdict.QUEUED)

    def finish(
        self, key: Hashable, seconds: float | None, failed: bool, now: float
    ) -> Turn:
        """Free the slot of ``key`` and hand it on.

        ``seconds`` is how long the target took, None when it was cut off
        and the figure says nothing.
        """
        self.running.discard(key)
        if seconds is not None:
            self.service_time.note(seconds)
        self.errors.note(failed, now)
        return self.fill(now)

    def fill(self, now: float) -> Turn:
        """Give free slots to queued calls that can still be in time."""
        turn = Turn()
        while self.queue and len(self.running) < self.slots:
            key, deadline = self.queue.popitem(last=False)
            if now >= deadline:
                code = ResultCode.DEADLINE_NOT_RUN
                turn.expired.append(Expired(key, code))
                continue
            self.running.add(key)
            turn.started.append(key)
        return turn

    def withdraw(self, key: Hashable) -> bool:
        """Take a call out of the queue; True proves that it never ran."""
        return self.queue.pop(key, None) is not None

    def drain(self) -> list[Expired]:
        """Stop taking calls; return the queued ones, which did not run."""
        self.target_state = TargetState.DRAINING
        waiting = [Expired(key, ResultCode.DRAINING) for key in self.queue]
        self.queue.clear()
        return waiting

    def renew(self, cold: bool) -> None:
        """Begin with a new incarnation, whatever the one before did."""
        self.target_state = TargetState.STARTING
        self.target_load = None
        if cold:
            self.errors = ErrorShare()

    def note_target_load(self, load: TargetLoad, now: float) -> None:
        """Take over what the target itself told of its load."""
        self.target_load = load
        self.target_load_at = now

    def pace_percent(self, now: float) -> int:
        """Return how long work takes now, 100 as usual, 0 unknown."""
        load = self.target_load
        if load is None or now - self.target_load_at > PACE_SECONDS:
            return 0
        return load.pace_percent

    def set_target_state(self, state: TargetState) -> None:
        """Note what the target is; a drain is not taken back by health."""
        if self.target_state != TargetState.DRAINING:
            self.target_state = state

    # -- queries ----------------------------------------------------------

    def refuse(self, code: ResultCode) -> Admission:
        wait = max(MIN_RETRY_AFTER, self.expected_wait())
        return Admission(Verdict.REFUSED, code, wait)

    def expected_wait(self) -> float:
        """Return the seconds a call would queue, by recent service times."""
        ahead = len(self.queue) + 1
        return ahead * self.service_time.mean / self.slots

    def is_idle(self) -> bool:
        return not self.running and not self.queue

    def figures(self, now: float) -> LoadFigures:
        """Return the load that rides on every answer."""
        return LoadFigures(
            in_flight=len(self.running),
            queued=len(self.queue),
            slots=self.slots,
            latency_us=int(self.service_time.mean * 1_000_000),
            error_permille=int(self.errors.share(now) * 1000),
            state=self.target_state,
            pace_percent=self.pace_percent(now),
        )
