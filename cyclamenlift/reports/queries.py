"""Error-budget burn of services, computed from the daemons' snapshots."""

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
    """Number of calls, and of those that met the objective."""

    total: int = 0
    good: int = 0

    def add(self, total: int, good: int) -> 'Tally':
        return Tally(self.total + total, self.good + good)

    def bad_share(self) -> float:
        """Return the share of calls that missed the objective, 0 if none."""
        return (self.total - self.good) / self.total if self.total else 0.0

    def burn_rate(self, share: float) -> float:
        """Return the burn rate; at 1 the error budget is used up exactly.

        >>> round(Tally(1000, 990).burn_rate(0.999), 3)
        10.0
        """
        return self.bad_share() / (1.0 - share)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceBurn:
    """Burn report of one service of one event.

    ``budget_left`` is the remaining share of the error budget for the calls
    so far, negative when the budget is exceeded. ``minutes`` are newest
    first. The 99th percentile is the highest of any daemon, since
    percentiles of several daemons cannot be combined.
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

    Objectives are taken from the newest configuration version among the
    daemons. Services with the highest burn rate come first.
    """
    received = list(snapshots)
    if not received:
        return []
    newest = max(received, key=lambda snapshot: snapshot.version)
    result = [
        service_burn(newest.event, name, objective, received)
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
    """Return the burn of one service across all daemons."""
    figures = [
        (s.data_centre, s.services[service])
        for s in snapshots
        if service in s.services
    ]
    calls = Tally()
    for _, one in figures:
        calls = calls.add(one.total, one.good)
    minutes = sum_minutes(one for _, one in figures)
    worst, worst_burn = worst_data_centre(figures, objective.share)
    return ServiceBurn(
        event=event,
        service=service,
        objective_share=objective.share,
        objective_seconds=objective.seconds,
        calls=calls,
        budget_left=1.0 - calls.burn_rate(objective.share),
        short_burn=sum_window(minutes, SHORT_MINUTES).burn_rate(
            objective.share
        ),
        long_burn=sum_window(minutes, LONG_MINUTES).burn_rate(objective.share),
        worst_data_centre=worst,
        worst_burn=worst_burn,
        highest_p99_seconds=max((f.p99_us for _, f in figures), default=0)
        / 1e6,
        minutes=minutes,
    )


def sum_minutes(figures: Iterable[ServiceFigures]) -> tuple[Tally, ...]:
    """Sum the minutes of several daemons, newest first."""
    sums = [Tally()] * BUCKETS
    for one in figures:
        for age, (total, good) in enumerate(one.minutes):
            sums[age] = sums[age].add(total, good)
    return tuple(sums)


def sum_window(minutes: tuple[Tally, ...], length: int) -> Tally:
    """Sum the calls of the last ``length`` minutes."""
    result = Tally()
    for minute in minutes[:length]:
        result = result.add(minute.total, minute.good)
    return result


def worst_data_centre(
    figures: list[tuple[str, ServiceFigures]], share: float
) -> tuple[str, float]:
    """Return the data centre with the highest burn in the long window."""
    groups: dict[str, list[ServiceFigures]] = {}
    for data_centre, one in figures:
        groups.setdefault(data_centre, []).append(one)
    rates = [
        (sum_window(sum_minutes(group), LONG_MINUTES).burn_rate(share), name)
        for name, group in groups.items()
    ]
    if not rates:
        return '', 0.0
    rate, name = max(rates)
    return (name, rate) if rate > 0 else ('', 0.0)
