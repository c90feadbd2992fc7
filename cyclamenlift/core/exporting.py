"""Metrics by OpenTelemetry, in the text form of Prometheus.

The libraries are loaded when metrics are first asked for: they take some
megabytes and a tenth of a second, and the call path never needs them.
"""

from collections.abc import Callable
from collections.abc import Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
import prometheus_client

from cyclamenlift.core.metrics import Kind
from cyclamenlift.core.metrics import MetricInfo
from cyclamenlift.core.metrics import Reading

Read = Callable[[], Iterable[Reading]]


class Exporter:
    """A meter provider with a registry of its own."""

    def __init__(self, instance: str, data_centre: str):
        self.registry = prometheus_client.CollectorRegistry()
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
        """Make the instrument that ``info`` describes."""
        create = {
            Kind.COUNTER: self.meter.create_observable_counter,
            Kind.GAUGE: self.meter.create_observable_gauge,
        }[info.kind]
        create(
            info.name,
            callbacks=[lambda _options: observations(read())],
            unit=info.unit,
            description=info.description,
        )

    def render(self) -> bytes:
        """Return all metrics in the text form of Prometheus."""
        return prometheus_client.generate_latest(self.registry)

    def close(self) -> None:
        self.provider.shutdown()


def observations(readings: Iterable[Reading]) -> list[Observation]:
    return [Observation(r.value, r.attributes) for r in readings]
