"""Counts good and bad calls of each service by minute, in one daemon.

A call is good when it was answered within the service's objective. Calls
with an invalid request are not counted: the error is the caller's. Minutes
are those of the daemon's monotonic clock, and a snapshot identifies them by
their age, so clocks of different machines are never compared.
"""

import dataclasses

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.latency import LatencyHistogram
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import ServiceRule

BUCKET_SECONDS = 60.0
BUCKETS = 60
MAX_LATENCY_SECONDS = 3600.0
FIRST_CALLER_ERROR = 4000
LAST_CALLER_ERROR = 4999
ANSWERED = (ResultCode.ANSWERED, ResultCode.ANSWERED_FROM_RECORD)


def counts_towards_objective(code: int) -> bool:
    """Tell whether an outcome counts towards the service's objective.

    >>> counts_towards_objective(ResultCode.KEY_REQUIRED)
    False
    """
    return not FIRST_CALLER_ERROR <= code <= LAST_CALLER_ERROR


def meets_objective(code: int, seconds: float, rule: ServiceRule) -> bool:
    """Tell whether a finished call met the service's objective."""
    return code in ANSWERED and seconds <= rule.objective_seconds


@dataclasses.dataclass(slots=True)
class Minute:
    """Calls that ended within one minute."""

    number: int
    total: int = 0
    good: int = 0


class ServiceSeries:
    """Totals of one service, and its counts for the last 60 minutes."""

    def __init__(self) -> None:
        self.total = 0
        self.good = 0
        self.minutes: list[Minute] = []
        self.latency = LatencyHistogram(MAX_LATENCY_SECONDS)

    def record(self, good: bool, seconds: float, number: int) -> None:
        """Count one call that ended in minute ``number``."""
        if not self.minutes or self.minutes[-1].number != number:
            self.minutes.append(Minute(number))
            del self.minutes[:-BUCKETS]
        minute = self.minutes[-1]
        self.total += 1
        minute.total += 1
        if good:
            self.good += 1
            minute.good += 1
        self.latency.record(seconds)

    def by_age(self, number: int) -> list[list[int]]:
        """Return [total, good] for each minute, the current one first."""
        result = [[0, 0] for _ in range(BUCKETS)]
        for minute in self.minutes:
            age = number - minute.number
            if 0 <= age < BUCKETS:
                result[age] = [minute.total, minute.good]
        return result

    def to_snapshot(self, number: int) -> dict[str, object]:
        latency = self.latency.read()
        return {
            'total': self.total,
            'good': self.good,
            'minutes': self.by_age(number),
            'p50_us': latency.get_value_at_percentile(50),
            'p99_us': latency.get_value_at_percentile(99),
        }


class BurnCounters:
    """Call counts of every service that one daemon keeps for the report."""

    def __init__(self, instance: str, data_centre: str) -> None:
        self.instance = instance
        self.data_centre = data_centre
        self.services: dict[str, ServiceSeries] = {}

    def record(
        self, service: str, good: bool, seconds: float, now: float
    ) -> None:
        """Count a finished call of a service."""
        series = self.services.get(service)
        if series is None:
            series = self.services[service] = ServiceSeries()
        series.record(good, seconds, int(now // BUCKET_SECONDS))

    def to_snapshot(
        self, now: float, rules: EventRules | None
    ) -> dict[str, object]:
        """Return the JSON value for ``/burn``; see ``reports.models``."""
        number = int(now // BUCKET_SECONDS)
        objectives = {}
        if rules is not None:
            objectives = {
                name: {
                    'seconds': rule.objective_seconds,
                    'share': rule.objective_share,
                }
                for name, rule in rules.services.items()
            }
        return {
            'instance': self.instance,
            'data_centre': self.data_centre,
            'event': rules.event if rules else '',
            'version': rules.version if rules else 0,
            'objectives': objectives,
            'services': {
                name: series.to_snapshot(number)
                for name, series in self.services.items()
            },
        }
