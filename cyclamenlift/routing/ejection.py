"""Outlier ejection, limited to a share of the service's targets."""

from collections.abc import Sequence
from typing import TypeVar

T = TypeVar('T')

BASE_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 30.0
MAX_DOUBLINGS = 4
EJECTION_ERROR_LEVEL = 0.6


def ejection_limit(total: int, share: float) -> int:
    """Return how many of ``total`` targets may be ejected.

    Any share above 0 allows one ejection among two or more targets. Otherwise
    a service of three could never eject its one broken target.

    >>> [ejection_limit(n, 0.3) for n in (1, 2, 3, 6, 10)]
    [0, 1, 1, 1, 3]
    >>> ejection_limit(10, 0.0)
    0
    """
    if share <= 0.0 or total < 2:
        return 0
    return min(total - 1, max(1, int(total * share)))


def without_ejected(
    usable: Sequence[T], bad: Sequence[T], share: float
) -> list[T]:
    """Return the targets left after ejection, or all if too many look bad.

    When many targets look bad at once, the cause is more likely something they
    share (the network, an overload) than each target, and ejecting them would
    only move more load to the others.

    >>> without_ejected(['a', 'b', 'c', 'd'], ['b'], 0.3)
    ['a', 'c', 'd']
    >>> without_ejected(['a', 'b', 'c', 'd'], ['b', 'c'], 0.3)
    ['a', 'b', 'c', 'd']
    """
    if not bad or len(bad) > ejection_limit(len(usable), share):
        return list(usable)
    return [item for item in usable if item not in bad]


def ejection_deadline(streak: int, now: float) -> float:
    """Return when an ejection ends, given the number of earlier ones.

    >>> [ejection_deadline(streak, 0.0) for streak in (0, 1, 9)]
    [2.0, 4.0, 30.0]
    """
    seconds = BASE_EJECTION_SECONDS * 2 ** min(streak, MAX_DOUBLINGS)
    return now + min(seconds, MAX_EJECTION_SECONDS)
