"""Parsing of durations: a number followed by ``ms`` or ``s``."""

import re

PATTERN = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')
MILLISECONDS_PER_UNIT = {'ms': 1.0, 's': 1000.0}


def to_milliseconds(text: object) -> float:
    """Parse a duration to milliseconds; raise ValueError if invalid.

    >>> to_milliseconds('2.5s'), to_milliseconds('1500ms')
    (2500.0, 1500.0)
    """
    found = PATTERN.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(
            f'{str(text)[:40]!r} is not a duration such as 1500ms'
        )
    return float(found[1]) * MILLISECONDS_PER_UNIT[found[2]]


def to_seconds(text: object) -> float:
    """Parse a duration to seconds; raise ValueError if invalid.

    >>> to_seconds('1500ms')
    1.5
    """
    return to_milliseconds(text) / 1000.0
