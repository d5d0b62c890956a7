"""OpenTelemetry exporters of one host: Prometheus on the operators' port, and OTLP if set.

Imported by `metrics` when metrics are first exported.
"""

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

_DURATION_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000)


class Exporter:
    """OpenTelemetry meter provider of this process, with its readers and instruments.

    Parameters
    ----------
    host : str
        This host's identifier, a resource attribute of every metric.
    settings : MetricsTable
        Endpoint and interval for pushed metrics.
    request_metrics : RequestMetrics
        Refusals and durations of requests.
    gauges : tuple of Gauge
        Metrics that are read at each collection.
    """

    def __init__(
        self,
        *,
        host: str,
        settings: types.MetricsTable,
        request_metrics: metrics.RequestMetrics,
        gauges: tuple[metrics.Gauge, ...],
    ) -> None:
        self._request_metrics = request_metrics
        # This reader registers its metrics in the process-wide registry of the Prometheus client.
        readers: list[export.MetricReader] = [prometheus.PrometheusMetricReader()]
        if settings.otlp_endpoint:
            from verbenadrum.daemon import otlp  # noqa: PLC0415

            readers.append(otlp.make_reader(settings))
        duration_view = view.View(
            instrument_name="verbenadrum.request.duration",
            aggregation=view.ExplicitBucketHistogramAggregation(_DURATION_BOUNDS_MS),
        )
        self._provider = sdk.MeterProvider(
            metric_readers=readers,
            views=[duration_view],
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
                gauge.name,
                [_gauge_callback(gauge.read)],
                unit=gauge.unit,
                description=gauge.description,
            )

    def scrape(self) -> bytes:
        """Return every metric in the Prometheus text format."""
        self._record_durations()
        return prometheus_client.generate_latest()

    def stop(self) -> None:
        """Record the remaining durations, push the metrics a last time, and stop."""
        self._record_durations()
        self._provider.shutdown()

    def _record_durations(self) -> None:
        """Move the queued durations into the histogram."""
        durations = self._request_metrics.durations_ms
        while durations:
            self._duration.record(durations.popleft())

    def _collect_refusals(self, options: api.CallbackOptions) -> Iterable[api.Observation]:
        # Nothing here is called before a periodic push, only this callback during it. The SDK runs
        # all callbacks before it reads the histogram, so the durations are part of the same push.
        self._record_durations()
        for code, count in self._request_metrics.refusals.items():
            yield api.Observation(count, {"code": code})


def _gauge_callback(
    read: Callable[[], float],
) -> Callable[[api.CallbackOptions], Iterable[api.Observation]]:
    def observe(options: api.CallbackOptions) -> Iterable[api.Observation]:
        yield api.Observation(read())

    return observe
