"""OpenTelemetry metrics of one daemon, with cheap recording.

Adding to an OpenTelemetry counter costs several microseconds, too much for
each step of a call. So the call path only updates plain numbers and HDR
histograms; observable instruments read them when ``/metrics`` is scraped.
``METRICS`` is the complete list of names, units and descriptions.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum

from cyclamenlift.core.clock import MICROSECONDS
from cyclamenlift.core.latency import LatencyHistogram

MAX_LATENCY_SECONDS = 600.0
QUANTILES = (0.5, 0.99, 0.999)
THOUSAND = 1000


class MetricKind(enum.Enum):
    """Whether a value only increases or may also decrease."""

    COUNTER = 'counter'
    GAUGE = 'gauge'


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """One value of a metric and its attributes."""

    value: float
    attributes: dict[str, str] | None = None


Read = Callable[[], Iterable[Reading]]


@dataclasses.dataclass(frozen=True, slots=True)
class MetricInfo:
    """Name, unit and description of one metric."""

    name: str
    kind: MetricKind
    unit: str
    description: str
    attributes: tuple[str, ...] = ()


METRICS = (
    MetricInfo(
        'cyclamenlift.calls',
        MetricKind.COUNTER,
        '{call}',
        'calls that ended at this entry',
        ('service', 'result'),
    ),
    MetricInfo(
        'cyclamenlift.calls.refused',
        MetricKind.COUNTER,
        '{call}',
        'calls that this entry proved not run, by result code',
        ('service', 'code'),
    ),
    MetricInfo(
        'cyclamenlift.call.duration',
        MetricKind.GAUGE,
        's',
        'time from the request head to the end of a call, since the start',
        ('service', 'quantile'),
    ),
    MetricInfo(
        'cyclamenlift.call.added',
        MetricKind.GAUGE,
        's',
        "time of answered calls without the target's own, since the start",
        ('service', 'quantile'),
    ),
    MetricInfo(
        'cyclamenlift.calls.open',
        MetricKind.GAUGE,
        '{call}',
        'calls that entered here and are not yet answered',
    ),
    MetricInfo(
        'cyclamenlift.calls.errors',
        MetricKind.COUNTER,
        '{call}',
        'calls that an error of this entry ended',
    ),
    MetricInfo(
        'cyclamenlift.gate.refused',
        MetricKind.COUNTER,
        '{call}',
        'calls that this gate refused',
    ),
    MetricInfo(
        'cyclamenlift.gate.sent',
        MetricKind.COUNTER,
        '{call}',
        'calls that this gate sent to the local target',
    ),
    MetricInfo(
        'cyclamenlift.gate.errors',
        MetricKind.COUNTER,
        '{error}',
        'calls and connections that an error of this gate ended',
    ),
    MetricInfo(
        'cyclamenlift.gate.target_limit',
        MetricKind.GAUGE,
        '{call}/s',
        'limit that the local target declares, -1 for none',
    ),
    MetricInfo(
        'cyclamenlift.gate.probes',
        MetricKind.COUNTER,
        '{probe}',
        'load probes that this gate answered',
    ),
    MetricInfo(
        'cyclamenlift.gate.in_flight',
        MetricKind.GAUGE,
        '{call}',
        'calls that the local target runs now',
    ),
    MetricInfo(
        'cyclamenlift.gate.queued',
        MetricKind.GAUGE,
        '{call}',
        'calls that wait at this gate',
    ),
    MetricInfo(
        'cyclamenlift.gossip.sent',
        MetricKind.COUNTER,
        'By',
        'payload of membership packets sent',
    ),
    MetricInfo(
        'cyclamenlift.gossip.received',
        MetricKind.COUNTER,
        'By',
        'payload of membership packets received',
    ),
    MetricInfo(
        'cyclamenlift.gossip.refused',
        MetricKind.COUNTER,
        '{packet}',
        'membership packets of strangers or malformed ones',
    ),
    MetricInfo(
        'cyclamenlift.gossip.withheld',
        MetricKind.COUNTER,
        '{record}',
        'records that answers to members left out for want of budget',
    ),
    MetricInfo(
        'cyclamenlift.wire.far',
        MetricKind.COUNTER,
        'By',
        'frames sent to other data centres, by message',
        ('message',),
    ),
    MetricInfo(
        'cyclamenlift.members',
        MetricKind.GAUGE,
        '{instance}',
        'members that are alive or suspected',
    ),
    MetricInfo(
        'cyclamenlift.targets.ended',
        MetricKind.COUNTER,
        '{end}',
        'times that the local target ended while it ran calls',
    ),
    MetricInfo(
        'cyclamenlift.requests.quarantined',
        MetricKind.GAUGE,
        '{request}',
        'requests that are kept from targets now',
    ),
    MetricInfo(
        'cyclamenlift.evacuated',
        MetricKind.GAUGE,
        '{data_centre}',
        'data centres to whose targets this instance sends nothing',
    ),
    MetricInfo(
        'cyclamenlift.accounts.passed',
        MetricKind.COUNTER,
        '{call}',
        'calls of the largest client accounts that their limits let pass here',
        ('account',),
    ),
    MetricInfo(
        'cyclamenlift.accounts.refused',
        MetricKind.COUNTER,
        '{call}',
        'calls of client accounts that their limits refused here',
        ('account',),
    ),
    MetricInfo(
        'cyclamenlift.accounts.in_doubt',
        MetricKind.GAUGE,
        '{account}',
        'client accounts for which no home answers this entry',
    ),
    MetricInfo(
        'cyclamenlift.accounts.home',
        MetricKind.GAUGE,
        '{account}',
        'client accounts for which this instance is the home',
    ),
    MetricInfo(
        'cyclamenlift.accounts.keys_refused',
        MetricKind.COUNTER,
        '{request}',
        'requests without a key of a client account that is in force',
    ),
    MetricInfo(
        'cyclamenlift.config.version',
        MetricKind.GAUGE,
        '{version}',
        'version of the event document in force here, 0 for none',
    ),
)
INFO = {info.name: info for info in METRICS}


class ResultClass(enum.Enum):
    """Classes of result codes, by their thousands digit."""

    ANSWERED = 1
    NOT_RUN = 2
    UNKNOWN = 3
    WRONG = 4
    OTHER = 0


CLASS_VALUES = frozenset(item.value for item in ResultClass)


def result_class(code: int) -> ResultClass:
    """Return the class of a result code.

    >>> result_class(2002).name
    'NOT_RUN'
    """
    thousands = code // THOUSAND
    return ResultClass(thousands if thousands in CLASS_VALUES else 0)


def create_histogram() -> LatencyHistogram:
    return LatencyHistogram(MAX_LATENCY_SECONDS)


@dataclasses.dataclass(slots=True)
class CallStatistics:
    """Counters and latencies of the calls of one service."""

    codes: dict[int, int] = dataclasses.field(default_factory=dict)
    duration: LatencyHistogram = dataclasses.field(
        default_factory=create_histogram
    )
    added: LatencyHistogram = dataclasses.field(
        default_factory=create_histogram
    )


class Metrics:
    """The metrics of one process, with their own registry."""

    def __init__(self, instance: str, data_centre: str) -> None:
        self.instance = instance
        self.data_centre = data_centre
        self.calls: dict[str, CallStatistics] = {}
        self.observed: list[tuple[MetricInfo, Read]] = []
        self.exporter = None
        self.watch_calls()

    # -- the call path ----------------------------------------------------

    def record_call(
        self,
        service: str,
        code: int,
        seconds: float,
        added_seconds: float | None = None,
    ) -> None:
        """Record a call; ``added_seconds`` if the target's time is known."""
        statistics = self.calls.get(service)
        if statistics is None:
            statistics = self.calls[service] = CallStatistics()
        statistics.codes[code] = statistics.codes.get(code, 0) + 1
        statistics.duration.record(seconds)
        if added_seconds is not None:
            statistics.added.record(added_seconds)

    # -- collection -------------------------------------------------------

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Report ``read()`` as the metric ``name`` on each scrape."""
        self.observe(INFO[name], lambda: [Reading(read())])

    def observe(self, info: MetricInfo, read: Read) -> None:
        """Report the readings that ``read`` returns as the metric ``info``."""
        self.observed.append((info, read))
        if self.exporter is not None:
            self.exporter.observe(info, read)

    def watch_calls(self) -> None:
        self.observe(INFO['cyclamenlift.calls'], self.calls_by_class)
        self.observe(INFO['cyclamenlift.calls.refused'], self.calls_refused)
        self.observe(
            INFO['cyclamenlift.call.duration'],
            lambda: self.quantiles(lambda statistics: statistics.duration),
        )
        self.observe(
            INFO['cyclamenlift.call.added'],
            lambda: self.quantiles(lambda statistics: statistics.added),
        )

    def calls_by_class(self) -> list[Reading]:
        result = []
        for service, statistics in self.calls.items():
            counts = dict.fromkeys(ResultClass, 0)
            for code, count in statistics.codes.items():
                counts[result_class(code)] += count
            for kind, count in counts.items():
                attributes = {'service': service, 'result': kind.name.lower()}
                result.append(Reading(count, attributes))
        return result

    def calls_refused(self) -> list[Reading]:
        return [
            Reading(count, {'service': service, 'code': str(int(code))})
            for service, statistics in self.calls.items()
            for code, count in statistics.codes.items()
            if result_class(code) is ResultClass.NOT_RUN
        ]

    def quantiles(
        self, select: Callable[[CallStatistics], LatencyHistogram]
    ) -> list[Reading]:
        result = []
        for service, statistics in self.calls.items():
            histogram = select(statistics).read()
            if not histogram.get_total_count():
                continue
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(100 * quantile)
                attributes = {'service': service, 'quantile': str(quantile)}
                result.append(Reading(value / MICROSECONDS, attributes))
        return result

    def durations(self) -> dict[str, LatencyHistogram]:
        """Return the latency histograms of finished calls by service."""
        return {
            name: statistics.duration
            for name, statistics in self.calls.items()
        }

    def render_prometheus(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        if self.exporter is None:
            self.exporter = self.create_exporter()
        return self.exporter.render()

    def create_exporter(self):
        """Import the exporter libraries on the first scrape."""
        from cyclamenlift.core.exporting import Exporter

        exporter = Exporter(self.instance, self.data_centre, self.durations)
        for info, read in self.observed:
            exporter.observe(info, read)
        return exporter

    def close(self) -> None:
        """Shut down the exporter at the end of the process."""
        if self.exporter is not None:
            self.exporter.close()
