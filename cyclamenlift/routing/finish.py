"""Expected completion times of calls, as pure functions.

Other workloads on a host slow a target down several times for some hundred
milliseconds, after which it recovers. Such a slowdown may be present a quarter
of the time and make calls several times as long. A call keeps the pace at
which its target began it, even when the slowdown ends first. So a call of 660
ms that begins at a seventh of the speed takes 4.6 s, while one that first
waits for the end of a slowdown of half a second takes about a second.

A pace is the current duration of calls as a percentage of the usual one.
"""

import dataclasses

# A pace above this, in percent of the usual one, means a slowdown that ends
# within about a second. Targets that have just started run at about twice the
# usual duration for seconds, which is too long to wait out.
SLOWDOWN_PACE = 250
# Default for the remaining seconds of a slowdown when the gate does not report
# them: half of a slowdown, since reports arrive at any point of it, plus an
# allowance for another one that follows.
DEFAULT_SLOWDOWN_LEFT = 0.4
# A reported pace older than this, in seconds, is ignored. Until then it holds,
# because gates report each change to the entries that called them recently.
PACE_VALID_SECONDS = 3.0
# Factor on the expected duration where the pace is unknown. Little is lost by
# asking such a gate, as it sends the call back at once if its target is slow.
# The factor prefers targets with a known pace if all else is equal.
UNKNOWN_PACE_FACTOR = 1.05
# Extra duration of a call at a full target, as a share of its work: most
# targets slow down slightly when their slots are nearly taken.
CONTENTION = 0.3
# Cost of a kilobyte sent to another data centre, in seconds. Traffic between
# data centres is priced so that an upload of 60 KB there costs a third of its
# value, and on a link of 4 Mbit/s a kilobyte takes 2 ms.
FAR_KILOBYTE_COST = 0.004
# Cost of any call to another data centre, as a share of its work, to save
# traffic between data centres where a near target is as good. Callers allow
# about twice the work as slack.
FAR_WORK_SHARE = 0.1
# A call stays in its data centre as long as it is expected to be answered
# there within this share of its objective: its caller gains nothing by a
# target elsewhere that is faster. The rest is for expectations that
# prove wrong, and for one more try.
STAY_SHARE = 0.4
# Calls up to this size have no distance cost per kilobyte: headers alone are
# as large.
FREE_KILOBYTES = 1.0
PERCENT = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class StartPlan:
    """The faster of two options: begin a call now, or hold it back.

    ``held`` is how long to hold the call until the pace should be back to
    normal, 0 to begin now. ``seconds`` is the expected time until the call is
    done. Both are in seconds.
    """

    held: float
    seconds: float


def best_start(
    work: float, pace_percent: int, slowdown_left: float
) -> StartPlan:
    """Return the start that completes ``work`` soonest at this pace.

    ``slowdown_left`` is the expected remaining seconds of the slowdown.

    >>> best_start(0.66, 100, 0.0)
    StartPlan(held=0.0, seconds=0.66)
    >>> best_start(0.66, 700, 0.25)
    StartPlan(held=0.25, seconds=0.91)
    >>> best_start(0.015, 700, 0.25)
    StartPlan(held=0.0, seconds=0.105)
    """
    begun_now = work * max(1.0, pace_percent / PERCENT)
    held = slowdown_left + work
    if pace_percent <= SLOWDOWN_PACE or begun_now <= held:
        return StartPlan(0.0, begun_now)
    return StartPlan(slowdown_left, held)


def expected_work(
    work: float, pace_percent: int, slowdown_left: float, age: float
) -> float:
    """Return the expected duration of ``work`` from a report of this age.

    Gates hold a call back when that is faster, so entries assume it.

    >>> expected_work(0.1, 100, 0.0, 0.0)
    0.1
    >>> round(expected_work(0.1, 700, 0.3, 0.1), 3)
    0.3
    >>> round(expected_work(0.02, 700, 0.3, 0.0), 3)
    0.14
    """
    if pace_percent <= 0 or age >= PACE_VALID_SECONDS:
        return work * UNKNOWN_PACE_FACTOR
    left = max(0.0, (slowdown_left or DEFAULT_SLOWDOWN_LEFT) - age)
    return best_start(work, pace_percent, left).seconds


def queueing_delay(load: float, slots: float, work: float) -> float:
    """Return the wait behind ``load`` calls plus the cost of contention.

    >>> queueing_delay(0, 10, 0.1)
    0.0
    >>> queueing_delay(10, 10, 0.1) > queueing_delay(5, 10, 0.1)
    True
    """
    share = min(1.0, load / slots)
    crowd = CONTENTION * share * share * work
    waiting = max(0.0, load + 1.0 - slots)
    return crowd + waiting * work / slots


def distance_cost(
    kilobytes: float,
    near: bool,
    work: float = 0.0,
    far_kilobyte_cost: float = FAR_KILOBYTE_COST,
) -> float:
    """Return the cost of the distance to a target, in seconds.

    >>> distance_cost(60.0, True), distance_cost(1.0, False)
    (0.0, 0.0)
    >>> distance_cost(1.0, False, 0.5)
    0.05
    """
    if near or far_kilobyte_cost == 0.0:
        return 0.0
    body = max(0.0, kilobytes - FREE_KILOBYTES) * far_kilobyte_cost
    return FAR_WORK_SHARE * work + body
