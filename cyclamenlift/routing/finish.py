"""When an answer may be expected from a target: pure arithmetic.

The load that this answers: an instance's neighbours make its work several
times slower for some hundred milliseconds, then it is as fast as before.
On the sites that were measured a slow spell took about half a second, came
a quarter of the time and made work seven times as long, while a call's work
took 40 to 210 ms. So whether a target is in a spell now matters more than
how many calls it has, as long as it has slots left.
"""

# What is left of a slow spell when one hears of it, in seconds: half of a
# spell, since news come at any point of it, and now and then another one
# (33 spells were logged: 0.5 s most often, 0.63 s in the mean).
SPELL_LEFT = 0.4
# A figure of a pace older than this, in seconds, tells nothing. Until then
# it holds: a gate tells the entries that called it lately of each change.
PACE_FRESH = 3.0
# How much longer work takes on average, where the pace is not known: a
# quarter of the time seven times as long, but for the end of spells.
UNKNOWN_FACTOR = 1.5
# Share of the work that a full target takes longer: most slow down a
# little when their slots are nearly taken.
CROWDING = 0.3
# What a kilobyte across data centres counts, in seconds: links between
# them are priced so that an upload of 60 KB there costs a third of what it
# is worth, and on a link of 4 Mbit/s it takes 2 ms.
FAR_KILOBYTE = 0.004
# A call of this size costs about the same anywhere: heads are as large.
FREE_KILOBYTES = 1.0
PERCENT = 100.0


def slowed(work: float, pace_percent: int, age: float) -> float:
    """Return how long ``work`` takes at a pace told ``age`` seconds ago.

    >>> slowed(0.1, 100, 0.0)
    0.1
    >>> round(slowed(0.1, 700, 0.0), 3)
    0.443
    >>> round(slowed(0.02, 700, 0.0), 3)
    0.14
    """
    if pace_percent <= 0 or age >= PACE_FRESH:
        return work * UNKNOWN_FACTOR
    factor = pace_percent / PERCENT
    if factor <= 1.0:
        return work
    done_in_spell = SPELL_LEFT / factor
    if work <= done_in_spell:
        return work * factor
    return SPELL_LEFT + work - done_in_spell


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
    kilobytes: float, near: bool, far_kilobyte: float = FAR_KILOBYTE
) -> float:
    """Return what the way of a body counts, in seconds.

    >>> distance_cost(60.0, True), distance_cost(1.0, False)
    (0.0, 0.0)
    """
    if near:
        return 0.0
    return max(0.0, kilobytes - FREE_KILOBYTES) * far_kilobyte
