"""Typed values that the decisions on account limits take and return."""

import dataclasses
import enum

from cyclamenlift.core.codes import ResultCode


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """An account's calls at one entry since its last report.

    ``used`` calls passed without a grant (below 0: more were given back), a
    grant is wanted for ``wanted``, ``turned_away`` were refused.
    """

    account: str
    used: int = 0
    wanted: int = 0
    turned_away: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """What an entry may use of an account's limit; times in seconds.

    ``tight_seconds`` is how long calls need a grant, 0 if they need none.
    ``wait_seconds`` is when to ask again, ``calls_per_second`` what this entry
    may expect then.
    """

    account: str
    granted: int = 0
    wait_seconds: float = 0.0
    tight_seconds: float = 0.0
    calls_per_second: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """The calls a second that are demanded of an account somewhere."""

    account: str
    calls_per_second: float


class Passage(enum.Enum):
    """What an entry does with a call of an account."""

    PASS = enum.auto()
    ASK = enum.auto()
    REFUSE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The decision on a call.

    If it is refused, with a code, the seconds to wait, and what the decision
    is based on.
    """

    passage: Passage
    code: ResultCode = ResultCode.ACCOUNT_LIMITED
    wait_seconds: float = 0.0
    basis: str = ''


PASS = Decision(Passage.PASS)
ASK = Decision(Passage.ASK)


@dataclasses.dataclass(frozen=True, slots=True)
class LimitTolerance:
    """How far all instances together may exceed a limit by.

    In any ``window_seconds``, ``slack_calls`` calls beyond the limit do no
    harm. Half of them let the jitter of an account of a few calls a second
    pass, the others are left to what instances can't know of each other.
    """

    window_seconds: float = 5.0
    slack_calls: float = 0.0

    @property
    def jitter_calls(self) -> float:
        return self.slack_calls / 2.0
