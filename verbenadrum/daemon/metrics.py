"""Figures of one host, kept in plain tables until somebody collects them.

The libraries that export metrics take longer to load than the rest of the daemon, and a host that
starts again is missed until it serves. They are loaded at the first collection.
"""

import collections
import importlib
from collections.abc import Callable

import msgspec

from verbenadrum.settings import types
from verbenadrum.utils import clock

__all__ = ["Gauge", "MeterSetup", "RequestMeters"]

_EXPORTERS = "verbenadrum.daemon.exporters"
# Durations that wait for a collection; a busy host fills this in about a minute.
_MOST_DURATIONS = 65_536


class Gauge(msgspec.Struct, frozen=True, kw_only=True):
    """A figure that is read when metrics are collected."""

    name: str
    unit: str
    description: str
    read: Callable[[], float]


class RequestMeters:
    """Counts of refusals by code, and the times to answer.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    refusals : Counter
        Requests answered by the fleet itself, by code.
    durations_ms : deque
        Times to answer since the last collection, the oldest dropped where too many wait.
    """

    def __init__(self, *, clock: clock.Clock) -> None:
        self._clock = clock
        self.refusals: collections.Counter[str] = collections.Counter()
        self.durations_ms: collections.deque[float] = collections.deque(maxlen=_MOST_DURATIONS)

    def ended(self, started_ms: float) -> None:
        """Count a request that began at a monotonic time."""
        self.durations_ms.append(self._clock.now_ms() - started_ms)

    def refused(self, code: str) -> None:
        """Count a refusal."""
        self.refusals[code] += 1


class MeterSetup:
    """Metrics of this process, exported once they are asked for.

    Parameters
    ----------
    host : str
        This host's identifier, a resource attribute of every metric.
    settings : MetricsTable
        Where metrics are pushed.
    meters : RequestMeters
        Figures of the requests.
    """

    def __init__(self, *, host: str, settings: types.MetricsTable, meters: RequestMeters) -> None:
        self._host = host
        self._settings = settings
        self._meters = meters
        self._gauges: list[Gauge] = []
        self._exporter = None

    def observe(self, name: str, unit: str, describe: str, read: Callable[[], float]) -> None:
        """Report a figure that is read when metrics are collected; call this before `start`."""
        self._gauges.append(Gauge(name=name, unit=unit, description=describe, read=read))

    def start(self) -> None:
        """Begin to push metrics where the settings say so."""
        if self._settings.otlp_endpoint:
            self._load()

    def scrape(self) -> bytes:
        """Return every metric in the Prometheus text format."""
        return self._load().scrape()

    def stop(self) -> None:
        """Push what is left."""
        if self._exporter is not None:
            self._exporter.stop()

    def _load(self):
        if self._exporter is None:
            exporters = importlib.import_module(_EXPORTERS)
            self._exporter = exporters.Exporter(
                host=self._host,
                settings=self._settings,
                meters=self._meters,
                gauges=tuple(self._gauges),
            )
        return self._exporter
