"""Who may enter a target, wait for it or should go elsewhere: arithmetic.

The load that this answers: more calls than slots for seconds at a time,
while slow spells take most of a target's speed for half a second. Served in
turn, every call then waits until its objective has passed and nobody is
served in time. So a call enters only if it can still be in time, and one
that can not is sent back at once, while its caller can try another target
or come back. Calls that running work has made go first: their parents hold
slots until they are answered.
"""

from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses

# Slots that are left to more urgent calls, while some come: one is enough,
# since a slot frees many times a second.
RESERVED_SLOTS = 1
# More urgent calls were seen this lately, in seconds, if slots are left to
# them: the rate of any kind worth a reserve is above one a second.
URGENT_SECONDS = 1.0
# Targets with fewer slots keep none back.
LEAST_SLOTS_TO_RESERVE = 3
# Repeats take only slots up to this share: they are worth less than a
# first try, which may not get any.
REPEAT_SHARE = 0.8
# From this share of the slots on, a call that can not be in time any more is
# sent back instead of started: others come that still can. Below it there is
# room for both. On two heavy days of a site where targets are seven times
# slower a third of the time, single plays earned 0.264 and 0.206 of worth
# without such a share, 0.318 and 0.287 with 0.7, 0.361 and 0.286 with 0.5,
# 0.368 and 0.275 with 0.3; of the middle ones the lower refuses less.
CROWDED_SHARE = 0.5
# A call counts as late where it would be if it took that many times its
# route's usual spread longer than the mean: in a crowded target when it
# starts, and more when it has to wait. A target that is asked for twice what
# it can do is busy whether ten wait or two, but those that were let in up to
# the last moment are late, half of them. One gate on an event heap, as many
# calls as in its test: 1,374 in time and 521 late by means alone, 1,666 and
# 217 with one spread, 1,698 and 116 with two, where slots begin to stay
# free. In a whole fleet, two seconds after a restart of all: 267 and 340 of
# 964 by means alone, 360 and 221 with about one and a half.
CROWDED_SPREADS = 0.5
WAIT_SPREADS = 1.5
# When a target that refused for itself may have room again, in seconds: a
# few answers' time at the usual work of tens of milliseconds.
TARGET_FULL_WAIT = 0.1
# The same where it has room by all that is known: it refuses some calls,
# whatever its load, and the next one is as likely to be taken now as later.
# Callers whose objective is 200 ms have lost half of it after 100 ms.
TARGET_SHEDS_WAIT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionRules:
    """The figures that decide who enters; see the constants."""

    reserved_slots: int = RESERVED_SLOTS
    repeat_share: float = REPEAT_SHARE
    crowded_share: float = CROWDED_SHARE
    crowded_spreads: float = CROWDED_SPREADS
    wait_spreads: float = WAIT_SPREADS


DEFAULT_RULES = AdmissionRules()


@dataclasses.dataclass(frozen=True, slots=True)
class Asking:
    """A call that asks to enter; instants are monotonic seconds.

    ``useful_deadline`` is when its answer is late for the route's
    objective, or, for a nested call, when its parent gives up; None where
    no route says. ``rank`` 0 is the most urgent. ``repeated`` marks a try
    beyond the first; ``returned`` a call whose caller was refused before
    and has come back. ``objective`` is what is left of the route's
    objective, in seconds.
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

    @property
    def urgency(self) -> tuple[bool, int]:
        """What slots are kept for: nested calls, then the more urgent."""
        return (not self.nested, self.rank)

    @property
    def order(self) -> tuple[bool, int, bool]:
        """What goes first: by urgency, then who has come back."""
        return (not self.nested, self.rank, not self.returned)


class UrgencySeen:
    """When calls of each order came last, to know whom to leave room."""

    def __init__(self) -> None:
        self.seen: dict[tuple[bool, int], float] = {}

    def note(self, asking: Asking, now: float) -> None:
        self.seen[asking.urgency] = now

    def more_urgent_come(self, asking: Asking, now: float) -> bool:
        """Tell whether calls that go before this one came lately."""
        return any(
            urgency < asking.urgency and now - at < URGENT_SECONDS
            for urgency, at in self.seen.items()
        )


def slots_for(
    asking: Asking,
    slots: int,
    seen: UrgencySeen,
    now: float,
    rules: AdmissionRules = DEFAULT_RULES,
) -> int:
    """Return how many running calls still leave a slot for this one."""
    if asking.repeated and not asking.nested:
        return max(1, int(slots * rules.repeat_share))
    if slots < LEAST_SLOTS_TO_RESERVE:
        return slots
    if seen.more_urgent_come(asking, now):
        return slots - rules.reserved_slots
    return slots


def crowded_from(slots: int, share: float = CROWDED_SHARE) -> int:
    """Return how many running calls make a target crowded.

    >>> crowded_from(6), crowded_from(1)
    (3, 1)
    """
    return max(1, int(slots * share))


def seconds_until_slot(
    ahead: int, running: int, slots: int, work: float
) -> float:
    """Return when a call gets a slot that has ``ahead`` before it.

    ``work`` is how long a call holds a slot now.

    >>> seconds_until_slot(0, 3, 4, 0.1)
    0.0
    >>> seconds_until_slot(1, 4, 4, 0.1)
    0.05
    """
    frees = ahead + 1 - max(0, slots - running)
    return max(0, frees) * work / slots


def typical_hold(running: Iterable[float], usual: float) -> float:
    """Return how long calls hold a slot, by those that run now.

    What counts is how often slots are freed, so a call that is seven times
    as slow frees its slot a seventh as often. Calls of unknown length count
    as usual ones.

    >>> typical_hold([], 0.1), typical_hold([0.1, 0.1], 0.2)
    (0.1, 0.1)
    >>> round(typical_hold([0.1, 0.7], 0.1), 3)
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


def wait_when_refused(running: int, room: int) -> float:
    """Return when to come back after the target itself refused a call.

    >>> wait_when_refused(12, 12), wait_when_refused(4, 12)
    (0.1, 0.01)
    """
    return TARGET_FULL_WAIT if running >= room else TARGET_SHEDS_WAIT
