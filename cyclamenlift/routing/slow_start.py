"""Slow start: the load ramp of a target that has just started."""

MIN_RAMP_SHARE = 0.1


def ramp_share(left: float, length: float) -> float:
    """Return the share of full load, ``left`` seconds before the ramp ends.

    >>> [ramp_share(left, 10.0) for left in (10.0, 5.0, 0.0)]
    [0.1, 0.5, 1.0]
    """
    if length <= 0.0:
        return 1.0
    return min(1.0, max(MIN_RAMP_SHARE, 1.0 - left / length))
