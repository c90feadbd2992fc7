"""Exports metrics with OpenTelemetry in the Prometheus text format.

This module is imported on the first scrape: its libraries take some
megabytes and a tenth of a second to load, and the call path doesn't need
them.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
import prometheus_client
from prometheus_client.core import HistogramMetricFamily

from cyclamenlift.core.latency import LatencyHistogram
from cyclamenlift.core.latency import MICROSECONDS
from cyclamenlift.core.metrics import MetricInfo
from cyclamenlift.core.metrics import MetricKind
from cyclamenlift.core.metrics import Reading

Read = Callable[[], Iterable[Reading]]
Durations = Callable[[], Mapping[str, LatencyHistogram]]

HISTOGRAM_NAME = 'cyclamenlift_call_latency_seconds'
# Upper bounds of the buckets, in seconds: about two for each doubling in the
# range of latency objectives (0.1 to 1 s), fewer elsewhere.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 10.0)


class Exporter:
    """A meter provider with its own registry."""

    def __init__(self, instance: str, data_centre: str, durations: Durations):
        self.registry = prometheus_client.CollectorRegistry()
        self.registry.register(LatencyCollector(durations))
        reader = PrometheusMetricReader(
            scope_info_enabled=False, registry=self.registry
        )
        resource = Resource(
            {
                'service.name': 'cyclamenlift',
                'service.instance.id': instance,
                'cloud.availability_zone': data_centre,
            }
        )
        self.provider = MeterProvider(
            metric_readers=[reader],
            resource=resource,
            shutdown_on_exit=False,
        )
        self.meter = self.provider.get_meter('cyclamenlift')

    def observe(self, info: MetricInfo, read: Read) -> None:
        """Create the instrument that ``info`` describes."""
        create = {
            MetricKind.COUNTER: self.meter.create_observable_counter,
            MetricKind.GAUGE: self.meter.create_observable_gauge,
        }[info.kind]
        create(
            info.name,
            callbacks=[lambda _options: observations(read())],
            unit=info.unit,
            description=info.description,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def close(self) -> None:
        self.provider.shutdown()


class LatencyCollector:
    """Exports latencies as histograms, which can be aggregated.

    Quantiles can't. OpenTelemetry has no observable (asynchronous)
    histogram, so this is a native Prometheus collector.
    """

    def __init__(self, durations: Durations):
        self.durations = durations

    def collect(self) -> Iterable[HistogramMetricFamily]:
        """Yield one histogram for each service."""
        family = HistogramMetricFamily(
            HISTOGRAM_NAME, 'time of finished calls', labels=['service']
        )
        for service, latency in self.durations().items():
            counts = latency.cumulative_counts(BUCKETS)
            total = latency.read().get_total_count()
            buckets = [
                (str(bound), count)
                for bound, count in zip(BUCKETS, counts, strict=True)
            ]
            family.add_metric(
                [service],
                [*buckets, ('+Inf', total)],
                latency.read().get_mean_value() * total / MICROSECONDS,
            )
        yield family


def observations(readings: Iterable[Reading]) -> list[Observation]:
    return [Observation(r.value, r.attributes) for r in readings]
