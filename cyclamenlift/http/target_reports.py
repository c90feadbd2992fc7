"""What a target says of itself in the header of a response.

Responses to calls and the health page carry the same fields. One function
reads them all, so that a field has one place where it is understood.
"""

import dataclasses
import math
import re

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.numbers import read_unsigned
from cyclamenlift.http.dialects import Dialect
from cyclamenlift.http.headers import find_header
from cyclamenlift.http.headers import Headers

# A number with an optional fraction; no sign, exponent or special value.
DECIMAL = re.compile(r'[0-9]{1,15}(\.[0-9]{1,15})?', re.ASCII)
# The value of the field by which a target says that it leaves.
LEAVING = '1'
# Characters of an unreadable value that are reported.
MAX_REPORTED_VALUE = 40


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load that a target reports about itself.

    ``pace_percent`` is the current duration of work relative to the usual
    one: 100 for the usual duration, 0 if it isn't reported.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UnreadableField:
    """A field whose value could not be understood."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """The statements of a target in one response.

    ``load`` is None if not reported. ``cold_seconds``, on the health page, is
    how much longer the target is cold, None if not reported.
    ``calls_per_second`` is the limit that it declares: how many calls it takes
    from all instances together; None if it declares none. ``leaving`` is
    whether it says that it is about to leave. ``unreadable`` lists the fields
    that were present and not understood.
    """

    load: TargetLoad | None = None
    cold_seconds: float | None = None
    calls_per_second: float | None = None
    leaving: bool = False
    unreadable: tuple[UnreadableField, ...] = ()

    def could_read(self, name: str) -> bool:
        """Return whether the field is absent or was understood."""
        return all(field.name != name for field in self.unreadable)


def parse_report(headers: Headers, dialect: Dialect) -> TargetReport:
    """Read what a target says of itself; unreadable fields have no effect."""
    load = parse_load(find_header(headers, dialect.load))
    cold = find_header(headers, dialect.cold_ms)
    limits = find_all(headers, dialect.calls_per_second)
    leaving = find_header(headers, dialect.leaving)
    if cold is None and not limits and leaving is None:
        return TargetReport(load)
    unreadable = []
    cold_seconds = parse_cold_seconds(cold)
    if cold is not None and cold_seconds is None:
        unreadable.append((dialect.cold_ms, cold))
    rate = parse_rate(limits)
    if limits and rate is None:
        unreadable.append((dialect.calls_per_second, ', '.join(limits)))
    leaves = leaving is not None and leaving.strip() == LEAVING
    if leaving is not None and not leaves:
        unreadable.append((dialect.leaving, leaving))
    return TargetReport(
        load,
        cold_seconds,
        rate,
        leaves,
        tuple(
            UnreadableField(name, value[:MAX_REPORTED_VALUE])
            for name, value in unreadable
        ),
    )


def find_all(headers: Headers, name: str) -> list[str]:
    """Return the values of all fields with this name, lists taken apart.

    >>> find_all([('a', '1, 2'), ('b', '3'), ('a', '4')], 'a')
    ['1', '2', '4']
    """
    if not name:
        return []
    found = [value for key, value in headers if key == name]
    return [part.strip() for value in found for part in value.split(',')]


def parse_rate(values: list[str]) -> float | None:
    """Return the lowest readable rate; None if there is none.

    >>> parse_rate(['10.5', '8', 'many']), parse_rate(['-1']), parse_rate([])
    (8.0, None, None)
    """
    rates = [float(v) for v in values if DECIMAL.fullmatch(v)]
    lowest = min(rates, default=math.inf)
    return lowest if math.isfinite(lowest) else None


def parse_cold_seconds(text: str | None) -> float | None:
    """Parse how much longer a target is cold; None if invalid.

    >>> parse_cold_seconds('1500'), parse_cold_seconds('soon')
    (1.5, None)
    """
    milliseconds = read_unsigned((text or '').strip())
    return None if milliseconds is None else milliseconds / MILLISECONDS


def parse_load(text: str | None) -> TargetLoad | None:
    """Parse running, waiting, slots and an optional pace; None if invalid.

    >>> parse_load('3,0,8,250')
    TargetLoad(running=3, waiting=0, slots=8, pace_percent=250)
    >>> parse_load('3,x') is None
    True
    """
    parts = (text or '').split(',')
    if len(parts) < 3:
        return None
    numbers = [read_unsigned(part.strip()) for part in parts[:4]]
    if None in numbers:
        return None
    return TargetLoad(*numbers)
