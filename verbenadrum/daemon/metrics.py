"""OpenTelemetry metrics of one host: scraped on the operators' port, and pushed where set."""

import collections
from collections.abc import Callable, Iterable

import prometheus_client
from opentelemetry import metrics as api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import export, view

from verbenadrum.settings import types
from verbenadrum.utils import clock

__all__ = ["MeterSetup", "RequestMeters", "scrape"]

_LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 30_000)


class MeterSetup:
    """Meter provider of this process with its exporters.

    Parameters
    ----------
    host : str
        This host's identifier, a resource attribute of every metric.
    settings : MetricsTable
        Where metrics are pushed.
    """

    def __init__(self, *, host: str, settings: types.MetricsTable) -> None:
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
        self.meter = self._provider.get_meter("verbenadrum")

    def observe(self, name: str, unit: str, describe: str, read: Callable[[], float]) -> None:
        """Report a figure that is read when metrics are collected."""

        def collect(options: api.CallbackOptions) -> Iterable[api.Observation]:
            yield api.Observation(read())

        self.meter.create_observable_gauge(name, [collect], unit=unit, description=describe)

    def stop(self) -> None:
        """Push what is left."""
        self._provider.shutdown()


class RequestMeters:
    """Counts of requests, refusals by code, and the time to answer.

    Refusals are counted in a plain table that is read at collection, which costs requests less.
    """

    def __init__(self, *, setup: MeterSetup, clock: clock.Clock) -> None:
        self._clock = clock
        self._refusals: collections.Counter[str] = collections.Counter()
        self._duration = setup.meter.create_histogram(
            "verbenadrum.request.duration", unit="ms", description="Time to answer a caller."
        )
        setup.meter.create_observable_counter(
            "verbenadrum.refusals",
            [self._collect_refusals],
            description="Requests answered by the fleet itself, by code.",
        )

    def ended(self, started_ms: float) -> None:
        """Count a request that began at a monotonic time."""
        self._duration.record(self._clock.now_ms() - started_ms)

    def refused(self, code: str) -> None:
        """Count a refusal."""
        self._refusals[code] += 1

    def _collect_refusals(self, options: api.CallbackOptions) -> Iterable[api.Observation]:
        for code, count in self._refusals.items():
            yield api.Observation(count, {"code": code})


def scrape() -> bytes:
    """Return every metric in the Prometheus text format."""
    return prometheus_client.generate_latest()


def _push_reader(settings: types.MetricsTable) -> export.MetricReader:
    from opentelemetry.exporter.otlp.proto.http import metric_exporter  # noqa: PLC0415

    exporter = metric_exporter.OTLPMetricExporter(endpoint=settings.otlp_endpoint)
    return export.PeriodicExportingMetricReader(
        exporter, export_interval_millis=settings.otlp_interval_ms
    )
