"""When an answer may be expected from a target: pure arithmetic.

The load that this answers: an instance's neighbours make its work several
times slower for some hundred milliseconds, then it is as fast as before. On
the sites that were measured a slow spell took about half a second, came a
quarter of the time and made work four or seven times as long. A call keeps
the pace at which its target began it to its end, also when the spell is
long over. So a call of 660 ms that begins in a spell takes 4.6 s, and one
that waits for the end of the spell first about a second.
"""

import dataclasses

# Beyond this pace, in percent of the usual, a target is in a slow spell that
# passes within a second or so. Targets that have just started keep about
# twice the usual for seconds, which is not worth waiting for.
SPELL_PACE = 250
# What is left of a slow spell when one hears of it, in seconds, where nobody
# tells: half of a spell, since news come at any point of it, and now and
# then another one (33 spells were logged: 0.5 s most often, 0.63 s in the
# mean).
SPELL_LEFT = 0.4
# A figure of a pace older than this, in seconds, tells nothing. Until then
# it holds: a gate tells the entries that called it lately of each change.
PACE_FRESH = 3.0
# How much longer work takes on average, where the pace is not known: a gate
# whose target is slow sends the call back at once, so little is lost by
# asking it. Known targets go first where all else is the same.
UNKNOWN_FACTOR = 1.05
# Share of the work that a full target takes longer: most slow down a
# little when their slots are nearly taken.
CROWDING = 0.3
# What a kilobyte across data centres counts, in seconds: links between
# them are priced so that an upload of 60 KB there costs a third of what it
# is worth, and on a link of 4 Mbit/s it takes 2 ms.
FAR_KILOBYTE = 0.004
# What any call to another data centre counts, as a share of its work: where
# a near target is as good, bytes between data centres are saved; callers
# leave time of about twice the work.
FAR_SHARE = 0.1
# A call of this size costs about the same anywhere: heads are as large.
FREE_KILOBYTES = 1.0
PERCENT = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The better of two ways to run a call: begin it now, or hold it.

    ``held`` is how long it is held until the pace should be usual again, 0
    if it begins now; ``seconds`` is when it should be done, from now. Both
    in seconds.
    """

    held: float
    seconds: float


def best_start(work: float, pace_percent: int, spell_left: float) -> Start:
    """Return how ``work`` is done soonest at a target with this pace.

    ``spell_left`` is how much longer the spell should last, in seconds.

    >>> best_start(0.66, 100, 0.0)
    Start(held=0.0, seconds=0.66)
    >>> best_start(0.66, 700, 0.25)
    Start(held=0.25, seconds=0.91)
    >>> best_start(0.015, 700, 0.25)
    Start(held=0.0, seconds=0.105)
    """
    begun_now = work * max(1.0, pace_percent / PERCENT)
    held = spell_left + work
    if pace_percent <= SPELL_PACE or begun_now <= held:
        return Start(0.0, begun_now)
    return Start(spell_left, held)


def expected_work(
    work: float, pace_percent: int, spell_left: float, age: float
) -> float:
    """Return how long ``work`` takes by what was told ``age`` seconds ago.

    Gates hold a call while that is better, so entries count on it.

    >>> expected_work(0.1, 100, 0.0, 0.0)
    0.1
    >>> round(expected_work(0.1, 700, 0.3, 0.1), 3)
    0.3
    >>> round(expected_work(0.02, 700, 0.3, 0.0), 3)
    0.14
    """
    if pace_percent <= 0 or age >= PACE_FRESH:
        return work * UNKNOWN_FACTOR
    left = max(0.0, (spell_left or SPELL_LEFT) - age)
    return best_start(work, pace_percent, left).seconds


def queueing(load: float, slots: float, work: float) -> float:
    """Return the wait behind ``load`` calls, and what a crowd costs.

    >>> queueing(0, 10, 0.1)
    0.0
    >>> queueing(10, 10, 0.1) > queueing(5, 10, 0.1)
    True
    """
    share = min(1.0, load / slots)
    crowd = CROWDING * share * share * work
    waiting = max(0.0, load + 1.0 - slots)
    return crowd + waiting * work / slots


def distance_cost(
    kilobytes: float,
    near: bool,
    work: float = 0.0,
    far_kilobyte: float = FAR_KILOBYTE,
) -> float:
    """Return what the way of a call counts, in seconds.

    >>> distance_cost(60.0, True), distance_cost(1.0, False)
    (0.0, 0.0)
    >>> distance_cost(1.0, False, 0.5)
    0.05
    """
    if near or far_kilobyte == 0.0:
        return 0.0
    body = max(0.0, kilobytes - FREE_KILOBYTES) * far_kilobyte
    return FAR_SHARE * work + body
