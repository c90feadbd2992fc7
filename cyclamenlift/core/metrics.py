"""Metrics of one daemon, by OpenTelemetry, cheap on the call path.

Adding to an OpenTelemetry counter costs several microseconds, too much for
each of a call's steps. The call path therefore only adds to plain numbers
and HDR histograms; observable instruments read them when ``/metrics`` is
asked for. ``METRICS`` is the one list of names, units and meanings.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum

from cyclamenlift.core.clock import MICROSECONDS
from cyclamenlift.core.latency import LatencyHistogram

LONGEST_SECONDS = 600.0
QUANTILES = (0.5, 0.99, 0.999)
THOUSAND = 1000


class Kind(enum.Enum):
    """Whether a value only grows or goes up and down."""

    COUNTER = 'counter'
    GAUGE = 'gauge'


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """One value of a metric, with the attributes that tell it apart."""

    value: float
    attributes: dict[str, str] | None = None


Read = Callable[[], Iterable[Reading]]


@dataclasses.dataclass(frozen=True, slots=True)
class MetricInfo:
    """Name, unit and meaning of one metric."""

    name: str
    kind: Kind
    unit: str
    description: str
    attributes: tuple[str, ...] = ()


METRICS = (
    MetricInfo(
        'cyclamenlift.calls',
        Kind.COUNTER,
        '{call}',
        'calls that ended at this entry',
        ('service', 'result'),
    ),
    MetricInfo(
        'cyclamenlift.calls.refused',
        Kind.COUNTER,
        '{call}',
        'calls that this entry proved not run, by result code',
        ('service', 'code'),
    ),
    MetricInfo(
        'cyclamenlift.call.duration',
        Kind.GAUGE,
        's',
        'time from the request head to the end of a call, since the start',
        ('service', 'quantile'),
    ),
    MetricInfo(
        'cyclamenlift.call.added',
        Kind.GAUGE,
        's',
        "time of answered calls without the target's own, since the start",
        ('service', 'quantile'),
    ),
    MetricInfo(
        'cyclamenlift.calls.open',
        Kind.GAUGE,
        '{call}',
        'calls that entered here and are not yet answered',
    ),
    MetricInfo(
        'cyclamenlift.gate.refused',
        Kind.COUNTER,
        '{call}',
        'calls that this gate refused',
    ),
    MetricInfo(
        'cyclamenlift.gate.probes',
        Kind.COUNTER,
        '{probe}',
        'load probes that this gate answered',
    ),
    MetricInfo(
        'cyclamenlift.gate.in_flight',
        Kind.GAUGE,
        '{call}',
        'calls that the local target runs now',
    ),
    MetricInfo(
        'cyclamenlift.gate.queued',
        Kind.GAUGE,
        '{call}',
        'calls that wait at this gate',
    ),
    MetricInfo(
        'cyclamenlift.gossip.sent',
        Kind.COUNTER,
        'By',
        'payload of membership packets sent',
    ),
    MetricInfo(
        'cyclamenlift.gossip.received',
        Kind.COUNTER,
        'By',
        'payload of membership packets received',
    ),
    MetricInfo(
        'cyclamenlift.gossip.refused',
        Kind.COUNTER,
        '{packet}',
        'membership packets of strangers or malformed ones',
    ),
    MetricInfo(
        'cyclamenlift.members',
        Kind.GAUGE,
        '{instance}',
        'members that are alive or suspected',
    ),
    MetricInfo(
        'cyclamenlift.targets.ended',
        Kind.COUNTER,
        '{end}',
        'times that the local target ended while it ran calls',
    ),
    MetricInfo(
        'cyclamenlift.requests.quarantined',
        Kind.GAUGE,
        '{request}',
        'requests that are kept from targets now',
    ),
    MetricInfo(
        'cyclamenlift.config.version',
        Kind.GAUGE,
        '{version}',
        'version of the event document in force here, 0 for none',
    ),
)
INFO = {info.name: info for info in METRICS}


class ResultClass(enum.Enum):
    """What a result code means for the caller: its thousands."""

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


def make_histogram() -> LatencyHistogram:
    return LatencyHistogram(LONGEST_SECONDS)


@dataclasses.dataclass(slots=True)
class CallFigures:
    """What is counted of one service's calls."""

    codes: dict[int, int] = dataclasses.field(default_factory=dict)
    duration: LatencyHistogram = dataclasses.field(
        default_factory=make_histogram
    )
    added: LatencyHistogram = dataclasses.field(default_factory=make_histogram)


class Metrics:
    """The metrics of one process, with a registry of their own."""

    def __init__(self, instance: str, data_centre: str) -> None:
        self.instance = instance
        self.data_centre = data_centre
        self.calls: dict[str, CallFigures] = {}
        self.observed: list[tuple[MetricInfo, Read]] = []
        self.exporter = None
        self.watch_calls()

    # -- the call path ----------------------------------------------------

    def call_finished(
        self,
        service: str,
        code: int,
        seconds: float,
        added_seconds: float | None = None,
    ) -> None:
        """Count one call; ``added_seconds`` if an answer told the rest."""
        figures = self.calls.get(service)
        if figures is None:
            figures = self.calls[service] = CallFigures()
        figures.codes[code] = figures.codes.get(code, 0) + 1
        figures.duration.note(seconds)
        if added_seconds is not None:
            figures.added.note(added_seconds)

    # -- collection -------------------------------------------------------

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Report ``read()`` as the metric ``name`` at each collection."""
        self.observe(INFO[name], lambda: [Reading(read())])

    def observe(self, info: MetricInfo, read: Read) -> None:
        """Report what ``read`` returns as the metric of ``info``."""
        self.observed.append((info, read))
        if self.exporter is not None:
            self.exporter.observe(info, read)

    def watch_calls(self) -> None:
        self.observe(INFO['cyclamenlift.calls'], self.calls_by_class)
        self.observe(INFO['cyclamenlift.calls.refused'], self.calls_refused)
        self.observe(
            INFO['cyclamenlift.call.duration'],
            lambda: self.quantiles(lambda figures: figures.duration),
        )
        self.observe(
            INFO['cyclamenlift.call.added'],
            lambda: self.quantiles(lambda figures: figures.added),
        )

    def calls_by_class(self) -> list[Reading]:
        result = []
        for service, figures in self.calls.items():
            counts = dict.fromkeys(ResultClass, 0)
            for code, count in figures.codes.items():
                counts[result_class(code)] += count
            for kind, count in counts.items():
                attributes = {'service': service, 'result': kind.name.lower()}
                result.append(Reading(count, attributes))
        return result

    def calls_refused(self) -> list[Reading]:
        return [
            Reading(count, {'service': service, 'code': str(int(code))})
            for service, figures in self.calls.items()
            for code, count in figures.codes.items()
            if result_class(code) is ResultClass.NOT_RUN
        ]

    def quantiles(
        self, choose: Callable[[CallFigures], LatencyHistogram]
    ) -> list[Reading]:
        result = []
        for service, figures in self.calls.items():
            histogram = choose(figures).read()
            if not histogram.get_total_count():
                continue
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(100 * quantile)
                attributes = {'service': service, 'quantile': str(quantile)}
                result.append(Reading(value / MICROSECONDS, attributes))
        return result

    def durations(self) -> dict[str, LatencyHistogram]:
        """Return the latencies of finished calls by service."""
        return {name: f.duration for name, f in self.calls.items()}

    def render_prometheus(self) -> bytes:
        """Return all metrics in the text form of Prometheus."""
        if self.exporter is None:
            self.exporter = self.make_exporter()
        return self.exporter.render()

    def make_exporter(self):
        """Load the libraries that export, with the first collection."""
        from cyclamenlift.core.exporting import Exporter

        exporter = Exporter(self.instance, self.data_centre, self.durations)
        for info, read in self.observed:
            exporter.observe(info, read)
        return exporter

    def close(self) -> None:
        """Stop the collection; the process is about to end."""
        if self.exporter is not None:
            self.exporter.close()
