"""Service-level burn from the figures of many daemons."""

from collections.abc import Iterable
import dataclasses

from cyclamenlift.reports.models import BurnSnapshot
from cyclamenlift.reports.models import ObjectiveFigures
from cyclamenlift.reports.models import ServiceFigures
from cyclamenlift.reports.state import BUCKETS

SHORT_MINUTES = 5
LONG_MINUTES = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Calls and those of them that met the objective."""

    total: int = 0
    good: int = 0

    def plus(self, total: int, good: int) -> 'Tally':
        return Tally(self.total + total, self.good + good)

    def bad_share(self) -> float:
        """Return the share of bad calls, 0 without calls."""
        return (self.total - self.good) / self.total if self.total else 0.0

    def burn_rate(self, share: float) -> float:
        """Return how fast the error budget goes; 1 uses it up exactly.

        >>> round(Tally(1000, 990).burn_rate(0.999), 3)
        10.0
        """
        return self.bad_share() / (1.0 - share)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceBurn:
    """One service of one event.

    ``budget_left`` is a share of the budget for the calls so far, negative
    when more was used than allowed. ``minutes`` are newest first. The 99th
    percentile is the highest that any daemon saw, since percentiles can't
    be added up.
    """

    event: str
    service: str
    objective_share: float
    objective_seconds: float
    calls: Tally
    budget_left: float
    short_burn: float
    long_burn: float
    worst_data_centre: str
    worst_burn: float
    highest_p99_seconds: float
    minutes: tuple[Tally, ...]


def burn(snapshots: Iterable[BurnSnapshot]) -> list[ServiceBurn]:
    """Return the burn of each service that has an objective.

    Objectives are those of the newest configuration among the daemons. The
    services that burn fastest come first.
    """
    given = list(snapshots)
    if not given:
        return []
    newest = max(given, key=lambda snapshot: snapshot.version)
    result = [
        service_burn(newest.event, name, objective, given)
        for name, objective in newest.objectives.items()
    ]
    return sorted(
        result, key=lambda b: (-b.short_burn, -b.long_burn, b.service)
    )


def service_burn(
    event: str,
    service: str,
    objective: ObjectiveFigures,
    snapshots: list[BurnSnapshot],
) -> ServiceBurn:
    """Return the burn of one service over all daemons."""
    figures = [
        (s.data_centre, s.services[service])
        for s in snapshots
        if service in s.services
    ]
    calls = Tally()
    for _, one in figures:
        calls = calls.plus(one.total, one.good)
    minutes = add_minutes(one for _, one in figures)
    worst, worst_burn = worst_data_centre(figures, objective.share)
    return ServiceBurn(
        event=event,
        service=service,
        objective_share=objective.share,
        objective_seconds=objective.seconds,
        calls=calls,
        budget_left=1.0 - calls.burn_rate(objective.share),
        short_burn=window(minutes, SHORT_MINUTES).burn_rate(objective.share),
        long_burn=window(minutes, LONG_MINUTES).burn_rate(objective.share),
        worst_data_centre=worst,
        worst_burn=worst_burn,
        highest_p99_seconds=max((f.p99_us for _, f in figures), default=0)
        / 1e6,
        minutes=minutes,
    )


def add_minutes(figures: Iterable[ServiceFigures]) -> tuple[Tally, ...]:
    """Add up the minutes of several daemons, newest first."""
    sums = [Tally()] * BUCKETS
    for one in figures:
        for age, (total, good) in enumerate(one.minutes):
            sums[age] = sums[age].plus(total, good)
    return tuple(sums)


def window(minutes: tuple[Tally, ...], length: int) -> Tally:
    """Return the calls of the last ``length`` minutes."""
    result = Tally()
    for minute in minutes[:length]:
        result = result.plus(minute.total, minute.good)
    return result


def worst_data_centre(
    figures: list[tuple[str, ServiceFigures]], share: float
) -> tuple[str, float]:
    """Return the data centre with the highest burn of the long window."""
    groups: dict[str, list[ServiceFigures]] = {}
    for data_centre, one in figures:
        groups.setdefault(data_centre, []).append(one)
    rates = [
        (window(add_minutes(group), LONG_MINUTES).burn_rate(share), name)
        for name, group in groups.items()
    ]
    if not rates:
        return '', 0.0
    rate, name = max(rates)
    return (name, rate) if rate > 0 else ('', 0.0)
