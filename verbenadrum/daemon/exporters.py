"""OpenTelemetry metrics of one host: scraped on the operators' port, and pushed where set."""

from collections.abc import Callable, Iterable

import prometheus_client
from opentelemetry import metrics as api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import export, view

from verbenadrum.daemon import metrics
from verbenadrum.settings import types

__all__ = ["Exporter"]

_LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000)


class Exporter:
    """Meter provider of this process with its exporters.

    Parameters
    ----------
    host : str
        This host's identifier, a resource attribute of every metric.
    settings : MetricsTable
        Where metrics are pushed.
    meters : RequestMeters
        Figures of the requests.
    gauges : tuple of Gauge
        Further figures.
    """

    def __init__(
        self,
        *,
        host: str,
        settings: types.MetricsTable,
        meters: metrics.RequestMeters,
        gauges: tuple[metrics.Gauge, ...],
    ) -> None:
        self._meters = meters
        # The reader files its figures in the process-wide registry of the Prometheus client.
        readers: list[export.MetricReader] = [prometheus.PrometheusMetricReader()]
        if settings.otlp_endpoint:
            readers.append(_push_reader(settings))
        latency = view.View(
            instrument_name="verbenadrum.request.duration",
            aggregation=view.ExplicitBucketHistogramAggregation(_LATENCY_BOUNDS_MS),
        )
        self._provider = sdk.MeterProvider(
            metric_readers=readers,
            views=[latency],
            resource=resources.Resource.create(
                {"service.name": "verbenadrum", "service.instance.id": host}
            ),
        )
        meter = self._provider.get_meter("verbenadrum")
        self._duration = meter.create_histogram(
            "verbenadrum.request.duration", unit="ms", description="Time to answer a caller."
        )
        meter.create_observable_counter(
            "verbenadrum.refusals",
            [self._collect_refusals],
            description="Requests answered by the fleet itself, by code.",
        )
        for gauge in gauges:
            meter.create_observable_gauge(
                gauge.name, [_reader(gauge.read)], unit=gauge.unit, description=gauge.description
            )

    def scrape(self) -> bytes:
        """Return every metric in the Prometheus text format."""
        self._drain()
        return prometheus_client.generate_latest()

    def stop(self) -> None:
        """Push what is left."""
        self._drain()
        self._provider.shutdown()

    def _drain(self) -> None:
        durations = self._meters.durations_ms
        while durations:
            self._duration.record(durations.popleft())

    def _collect_refusals(self, options: api.CallbackOptions) -> Iterable[api.Observation]:
        # A push has no call of its own before it; each collection drains for the next one.
        self._drain()
        for code, count in self._meters.refusals.items():
            yield api.Observation(count, {"code": code})


def _reader(
    read: Callable[[], float],
) -> Callable[[api.CallbackOptions], Iterable[api.Observation]]:
    def collect(options: api.CallbackOptions) -> Iterable[api.Observation]:
        yield api.Observation(read())

    return collect


def _push_reader(settings: types.MetricsTable) -> export.MetricReader:
    from opentelemetry.exporter.otlp.proto.http import metric_exporter  # noqa: PLC0415

    exporter = metric_exporter.OTLPMetricExporter(endpoint=settings.otlp_endpoint)
    return export.PeriodicExportingMetricReader(
        exporter, export_interval_millis=settings.otlp_interval_ms
    )
