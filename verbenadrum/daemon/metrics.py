"""Metrics of one host, kept in plain data structures until they are exported.

The libraries that export metrics take longer to import than the rest of the daemon, and the fleet
lacks a restarting host's capacity until it serves. They are therefore imported at the first export.
"""

import collections
import importlib
from collections.abc import Callable

import msgspec

from verbenadrum.settings import types
from verbenadrum.utils import clock

__all__ = ["Gauge", "MetricsRegistry", "RequestMetrics"]

_EXPORTERS_MODULE = "verbenadrum.daemon.exporters"
# Bounds the durations between two collections; a busy host records this many in about a minute.
_MAX_QUEUED_DURATIONS = 65_536


class Gauge(msgspec.Struct, frozen=True, kw_only=True):
    """A metric whose value ``read`` returns when metrics are collected.

    ``unit`` is an OpenTelemetry unit such as ``By`` (bytes), or empty for a count.
    """

    name: str
    unit: str
    description: str
    read: Callable[[], float]


class RequestMetrics:
    """Counts of refusals, and durations of requests.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of this host.

    Attributes
    ----------
    refusals : Counter
        Number of requests that the fleet refused itself, by refusal code.
    durations_ms : deque
        Durations of the requests since the last collection; the oldest are dropped if there are
        too many.
    """

    def __init__(self, *, clock: clock.Clock) -> None:
        self._clock = clock
        self.refusals: collections.Counter[str] = collections.Counter()
        self.durations_ms: collections.deque[float] = collections.deque(
            maxlen=_MAX_QUEUED_DURATIONS
        )

    def record_duration(self, started_ms: float) -> None:
        """Record the duration of a request that started at a monotonic time and ends now."""
        self.durations_ms.append(self._clock.now_ms() - started_ms)

    def count_refusal(self, code: str) -> None:
        """Count a refusal with this code."""
        self.refusals[code] += 1


class MetricsRegistry:
    """All metrics of this host, with an exporter that is loaded when it is first needed.

    Parameters
    ----------
    host : str
        This host's identifier, a resource attribute of every metric.
    settings : MetricsTable
        Endpoint and interval for pushed metrics.
    request_metrics : RequestMetrics
        Refusals and durations of requests.
    """

    def __init__(
        self, *, host: str, settings: types.MetricsTable, request_metrics: RequestMetrics
    ) -> None:
        self._host = host
        self._settings = settings
        self._request_metrics = request_metrics
        self._gauges: list[Gauge] = []
        self._exporter = None

    def add_gauge(self, name: str, unit: str, description: str, read: Callable[[], float]) -> None:
        """Add a metric whose value ``read`` returns at each collection; call before `start`."""
        self._gauges.append(Gauge(name=name, unit=unit, description=description, read=read))

    def start(self) -> None:
        """Start to push metrics if the settings name an endpoint."""
        if self._settings.otlp_endpoint:
            self._load_exporter()

    def scrape(self) -> bytes:
        """Return every metric in the Prometheus text format."""
        return self._load_exporter().scrape()

    def stop(self) -> None:
        """Push the metrics a last time, and stop; does nothing if no exporter was loaded."""
        if self._exporter is not None:
            self._exporter.stop()

    def _load_exporter(self):
        """Return the exporter, which the first call imports and creates."""
        if self._exporter is None:
            exporters = importlib.import_module(_EXPORTERS_MODULE)
            self._exporter = exporters.Exporter(
                host=self._host,
                settings=self._settings,
                request_metrics=self._request_metrics,
                gauges=tuple(self._gauges),
            )
        return self._exporter
