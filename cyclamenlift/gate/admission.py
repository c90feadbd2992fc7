"""Admission arithmetic: which call may start, wait or be refused.

Under overload, with more calls than slots for seconds at a time and slowdowns
that take most of a target's speed for half a second, first-come first-served
makes every call wait until its objective has passed, so none is served in
time. A call is therefore admitted only if it can still be in time. One that
can't is refused at once, while its caller can still try another target or
retry later. Nested calls, made by calls that are running, have priority: their
parents hold slots until they are answered.
"""

from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses

# Slots reserved for more urgent calls while such calls arrive. One is enough,
# as a slot becomes free many times a second.
RESERVED_SLOTS = 1
# Slots are reserved if more urgent calls arrived within this many seconds: any
# kind of call worth a reserve arrives more than once a second.
URGENT_WINDOW_SECONDS = 1.0
# Targets with fewer slots reserve none.
MIN_SLOTS_TO_RESERVE = 3
# Retries use at most this share of the slots, as first tries are worth more
# and might otherwise get none.
REPEAT_SHARE = 0.8
# From this share of the slots on, a call that can't be in time is refused
# instead of started, since calls arrive that still can. Below it there is
# capacity for both.
CROWDED_SHARE = 0.5
# Safety margins, in multiples of the spread of the route's service time: a
# call counts as late if it would be late when it takes the mean plus this many
# spreads. The first applies to a call that would start on a busy target, the
# second to one that would wait. At twice its capacity a target is busy whether
# ten calls wait or two, but half of the calls that were admitted at the last
# possible moment are late. With larger margins slots begin to stay free.
CROWDED_SPREADS = 0.5
WAIT_SPREADS = 1.5
# Retry-after, in seconds, when the target itself refused a call and its slots
# are taken: a few service times at the usual tens of milliseconds.
TARGET_FULL_RETRY_AFTER = 0.1
# The same when its slots seem free: it rejects some calls whatever its load,
# and the next one is as likely to be accepted now as later. A caller whose
# objective is 200 ms has lost half of it after 100 ms.
TARGET_SHEDDING_RETRY_AFTER = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRules:
    """Tunable admission parameters; see the constants above."""

    reserved_slots: int = RESERVED_SLOTS
    repeat_share: float = REPEAT_SHARE
    crowded_share: float = CROWDED_SHARE
    crowded_spreads: float = CROWDED_SPREADS
    wait_spreads: float = WAIT_SPREADS


DEFAULT_RULES = AdmissionRules()


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A call that asks for admission; times are monotonic seconds.

    After ``useful_deadline`` the answer is too late for the route's objective
    or, for a nested call, its parent has given up; None if the call has no
    route. ``rank`` 0 is the most urgent. ``repeated`` marks a retry;
    ``returned`` a call whose caller was refused before and has come back.
    ``objective`` is what is left of the route's objective, in seconds.
    ``account`` is the client account, '' for none; ``tag`` orders the calls of
    accounts that compete, ``work`` is what the account was charged for it.
    """

    key: Hashable
    deadline: float
    useful_deadline: float | None = None
    rank: int = 0
    nested: bool = False
    repeated: bool = False
    route: str = ''
    returned: bool = False
    objective: float = 0.0
    account: str = ''
    tag: float = 0.0
    work: float = 0.0

    @property
    def urgency(self) -> tuple[bool, int]:
        """The priority for which slots are reserved: nested, then rank."""
        return (not self.nested, self.rank)

    @property
    def order(self) -> tuple[bool, int, float, bool]:
        """The sort key of the queue.

        Urgency, then the accounts' turns, then callers that came back.
        """
        return (not self.nested, self.rank, self.tag, not self.returned)


class RecentUrgencies:
    """Tracks when calls of each urgency last arrived."""

    def __init__(self) -> None:
        self.last_seen: dict[tuple[bool, int], float] = {}

    def note(self, request: AdmissionRequest, now: float) -> None:
        self.last_seen[request.urgency] = now

    def has_more_urgent(self, request: AdmissionRequest, now: float) -> bool:
        """Return whether more urgent calls arrived recently."""
        return any(
            urgency < request.urgency and now - at < URGENT_WINDOW_SECONDS
            for urgency, at in self.last_seen.items()
        )


def usable_slots(
    request: AdmissionRequest,
    slots: int,
    recent: RecentUrgencies,
    now: float,
    rules: AdmissionRules = DEFAULT_RULES,
) -> int:
    """Return how many slots, taken or free, this call may use."""
    if request.repeated and not request.nested:
        return max(1, int(slots * rules.repeat_share))
    if slots < MIN_SLOTS_TO_RESERVE:
        return slots
    if recent.has_more_urgent(request, now):
        return slots - rules.reserved_slots
    return slots


def crowded_threshold(slots: int, share: float = CROWDED_SHARE) -> int:
    """Return the number of running calls from which a target is busy.

    >>> crowded_threshold(6), crowded_threshold(1)
    (3, 1)
    """
    return max(1, int(slots * share))


def seconds_until_slot(
    ahead: int, running: int, slots: int, work: float
) -> float:
    """Return the seconds until a call with ``ahead`` before it starts.

    ``work`` is how long a call currently holds a slot.

    >>> seconds_until_slot(0, 3, 4, 0.1)
    0.0
    >>> seconds_until_slot(1, 4, 4, 0.1)
    0.05
    """
    frees = ahead + 1 - max(0, slots - running)
    return max(0, frees) * work / slots


def mean_hold_time(running: Iterable[float], usual: float) -> float:
    """Return the mean slot hold time of the running calls.

    This is the harmonic mean, since what matters is how often slots become
    free: a call that is seven times as slow frees its slot a seventh as often.
    Calls of unknown duration count as usual ones.

    >>> mean_hold_time([], 0.1), mean_hold_time([0.1, 0.1], 0.2)
    (0.1, 0.1)
    >>> round(mean_hold_time([0.1, 0.7], 0.1), 3)
    0.175
    """
    count = 0
    rate = 0.0
    for seconds in running:
        seconds = seconds or usual
        if seconds:
            count += 1
            rate += 1.0 / seconds
    return count / rate if count else usual


def retry_after_refusal(running: int, limit: int) -> float:
    """Return the retry-after for a call that the target itself refused.

    >>> retry_after_refusal(12, 12), retry_after_refusal(4, 12)
    (0.1, 0.01)
    """
    return (
        TARGET_FULL_RETRY_AFTER
        if running >= limit
        else TARGET_SHEDDING_RETRY_AFTER
    )
