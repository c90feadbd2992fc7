"""Decides the next step of a call after one of its tries has ended.

These are pure decisions. The invariant behind them: a caller may be told "not
run" only if *every* try is proven not run, and only tries proven not run or
idempotent operations are tried again.
"""

import dataclasses
import enum

from cyclamenlift.calls.budgets import RetryBudget
from cyclamenlift.core.codes import ResultCode


class EndKind(enum.Enum):
    """How one try ended."""

    ANSWERED = 'answered'
    TARGET_ERROR = 'target_error'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """The end of one try; ``code`` is the reason if it was not answered."""

    kind: EndKind
    code: ResultCode = ResultCode.ANSWERED
    retry_after_ms: int = 0
    detail: str = ''


class Step(enum.Enum):
    """What the entry does next."""

    WAIT = enum.auto()
    RETRY = enum.auto()
    ANSWER = enum.auto()
    GIVE_UP = enum.auto()


# These refusals move a call to another target without adding load to an
# overloaded service, so their retries are not charged to the budget.
UNCHARGED_CODES = frozenset(
    (ResultCode.DRAINING, ResultCode.TARGET_UNREACHABLE)
)
# Refusals by a gate: the call did not reach its target. Only codes that the
# gate itself proves are listed, not those of the target.
GATE_REFUSAL_CODES = UNCHARGED_CODES | {
    ResultCode.NO_TARGET,
    ResultCode.OVERLOADED,
    ResultCode.QUEUE_DEADLINE,
    ResultCode.TARGET_SLOW,
    ResultCode.REQUEST_QUARANTINED,
    ResultCode.TARGET_COLD,
    ResultCode.TARGET_LIMITED,
    ResultCode.EVACUATED,
}
# Refusals that tell that a target has as many calls as it can serve.
OVERLOAD_CODES = frozenset(
    (
        ResultCode.OVERLOADED,
        ResultCode.QUEUE_DEADLINE,
        ResultCode.TARGET_COLD,
        ResultCode.TARGET_LIMITED,
    )
)
# Number of targets that may end under one call. The first may have ended
# because of another call that it ran; that is unlikely for two.
MAX_ENDED_TARGETS = 2
# Number of gates that one call may ask, regardless of its tries: enough to
# find the one with free slots among a few dozen, at about a millisecond each.
MAX_GATES_ASKED = 8
# Retry delay in milliseconds while all targets of a service are evacuated: an
# evacuation usually lasts for minutes.
EVACUATED_RETRY_AFTER_MS = 1000


@dataclasses.dataclass(slots=True)
class CallState:
    """The state of one call.

    ``unknown_code`` is set by the first try that may have run and is never
    cleared.
    """

    idempotent: bool
    max_tries: int
    deadline: float
    budget: RetryBudget
    tries: int = 0
    open_tries: int = 0
    unknown_code: ResultCode | None = None
    last_code: ResultCode = ResultCode.NO_TARGET
    retry_after_ms: int = 0
    done: bool = False
    gate_refusals_free: bool = False
    gates_asked: int = 0
    ended_targets: int = 0

    def try_started(self) -> None:
        if self.gates_asked == 0:
            self.budget.earn()
        self.gates_asked += 1
        self.tries += 1
        self.open_tries += 1

    def may_hedge(self, keep: float = 0.0, rescue: bool = False) -> bool:
        """Return whether to hedge, and charge the budget if so.

        ``keep`` is the balance that the hedge must leave. A ``rescue`` hedges
        a call whose open tries all seem stalled. It is limited by the open
        tries rather than all tries, since earlier ones may have been refused.
        """
        if not self.idempotent or self.done or not self.open_tries:
            return False
        used = self.tries
        if rescue and not self.gate_refusals_free:
            used = self.open_tries
        if used >= self.max_tries or (self.open_tries > 1 and not rescue):
            return False
        return self.budget.take(keep)

    def try_ended(self, ending: Ending, now: float) -> Step:
        """Record the end of one try and return the next step."""
        self.open_tries -= 1
        if self.done:
            return Step.WAIT
        self.note_retry_after(ending)
        if ending.kind is EndKind.ANSWERED:
            return Step.ANSWER
        if ending.code == ResultCode.REQUEST_QUARANTINED:
            self.mark_quarantined(ending.retry_after_ms)
        if self.is_free_refusal(ending):
            self.tries -= 1
        if ending.kind is not EndKind.TARGET_ERROR:
            self.note_code(ending)
        if self.open_tries > 0:
            return Step.WAIT
        if self.may_retry(ending, now):
            return Step.RETRY
        if ending.kind is EndKind.TARGET_ERROR:
            return Step.ANSWER
        return Step.GIVE_UP

    def note_retry_after(self, ending: Ending) -> None:
        """Keep the longest retry delay that a gate named.

        Where gates are asked one after another, keep the shortest: the first
        gate with free slots is worth retrying for.
        """
        if not self.gate_refusals_free:
            longest = max(self.retry_after_ms, ending.retry_after_ms)
            self.retry_after_ms = longest
        elif ending.retry_after_ms:
            known = self.retry_after_ms or ending.retry_after_ms
            self.retry_after_ms = min(known, ending.retry_after_ms)

    def note_code(self, ending: Ending) -> None:
        if ending.kind is EndKind.UNKNOWN and self.unknown_code is None:
            self.unknown_code = ending.code
        if ending.code == ResultCode.TARGET_ENDED:
            self.ended_targets += 1
        self.last_code = ending.code

    def note_evacuated(self) -> None:
        """Record that only targets in evacuated data centres are left."""
        self.last_code = ResultCode.EVACUATED
        self.retry_after_ms = EVACUATED_RETRY_AFTER_MS

    def mark_quarantined(self, retry_after_ms: int) -> None:
        """Mark the call as quarantined, so that no other target is tried.

        This replaces the retry delays of gates without free slots.
        """
        self.last_code = ResultCode.REQUEST_QUARANTINED
        self.retry_after_ms = retry_after_ms

    def may_retry(self, ending: Ending, now: float) -> bool:
        if ending.code == ResultCode.REQUEST_QUARANTINED:
            return False
        if self.ended_targets >= MAX_ENDED_TARGETS:
            return False
        if self.tries >= self.max_tries or now >= self.deadline:
            return False
        if ending.kind is not EndKind.NOT_RUN and not self.idempotent:
            return False
        if self.is_free_refusal(ending):
            return self.gates_asked < MAX_GATES_ASKED
        if ending.kind is EndKind.NOT_RUN and ending.code in UNCHARGED_CODES:
            return True
        return self.budget.take()

    def is_free_refusal(self, ending: Ending) -> bool:
        """Return whether a try ended without reaching a target."""
        return (
            self.gate_refusals_free
            and ending.kind is EndKind.NOT_RUN
            and ending.code in GATE_REFUSAL_CODES
        )

    def final_code(self) -> ResultCode:
        """Return the result code of a call that has failed."""
        if self.unknown_code is not None:
            return self.unknown_code
        return self.last_code

    def deadline_code(self, all_unsent: bool) -> ResultCode:
        """Return the code at the deadline: "not run" only if proven."""
        if self.unknown_code is not None:
            return self.unknown_code
        if self.open_tries and not all_unsent:
            return ResultCode.DEADLINE_UNKNOWN
        return ResultCode.DEADLINE_NOT_RUN
