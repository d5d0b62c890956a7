"""Pushes the metrics of one host to a collector by OTLP.

Imported by `exporters` if the settings name a collector.
"""

import requests
from opentelemetry.exporter.otlp.proto.http import metric_exporter
from opentelemetry.sdk.metrics import export
from requests import adapters

from verbenadrum.daemon import answers
from verbenadrum.settings import types

__all__ = ["make_reader", "make_session"]


class _BoundedAdapter(adapters.HTTPAdapter):
    """Adapter whose connections, also to proxies, read answers as those to servers do."""

    def init_poolmanager(self, *arguments: object, **options: object) -> None:
        """Create the pool manager."""
        super().init_poolmanager(*arguments, **options)
        answers.use_bounded_connections(self.poolmanager)

    def proxy_manager_for(self, proxy: str, **options: object) -> object:
        """Return the pool manager for a proxy."""
        known = proxy in self.proxy_manager
        manager = super().proxy_manager_for(proxy, **options)
        if not known:
            answers.use_bounded_connections(manager)
        return manager


def make_reader(settings: types.MetricsTable) -> export.PeriodicExportingMetricReader:
    """Return a reader that pushes the metrics at the interval of the settings."""
    exporter = metric_exporter.OTLPMetricExporter(
        endpoint=settings.otlp_endpoint, session=make_session()
    )
    return export.PeriodicExportingMetricReader(
        exporter, export_interval_millis=settings.otlp_interval_ms
    )


def make_session() -> requests.Session:
    """Return a session that raises an error if an answer is malformed or cut."""
    session = requests.Session()
    for scheme in ("http://", "https://"):
        session.mount(scheme, _BoundedAdapter())
    return session
