"""Typed tables of the settings file."""

from typing import Annotated

import msgspec

from verbenadrum.core import engine

__all__ = [
    "CallersTable",
    "HostTable",
    "LogTable",
    "MetricsTable",
    "OperatorsTable",
    "PeersTable",
    "PlatformTable",
    "Settings",
]

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
Address = Annotated[
    str,
    msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$", description="ip:port"),
]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://", description="http:// or https:// URL")]


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of every table: a key that is not declared is an error."""


class HostTable(Table):
    """Who this host is."""

    id: Name
    data_centre: Name
    region: Name


class CallersTable(Table):
    """Port for callers; TLS is on where a certificate is named."""

    listen: Address
    tls_cert: str = ""
    tls_key: str = ""


class OperatorsTable(Table):
    """Port for operators: health, readiness, metrics and status."""

    listen: Address


class PeersTable(Table):
    """Port for the other hosts.

    ``seeds`` are peer addresses that a host asks when it cannot reach the platform. With the
    three TLS files set, both sides of each connection must show a certificate of ``tls_ca``.
    """

    listen: Address
    seeds: tuple[Address, ...] = ()
    tls_cert: str = ""
    tls_key: str = ""
    tls_ca: str = ""


class PlatformTable(Table):
    """Where the platform's configuration service is read."""

    urls: Annotated[tuple[Url, ...], msgspec.Meta(min_length=1)]


class LogTable(Table):
    """What is logged to standard error."""

    level: Annotated[str, msgspec.Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class MetricsTable(Table):
    """Where metrics are pushed by OTLP, besides the scraping on the operators' port."""

    otlp_endpoint: str = ""
    otlp_interval_ms: Annotated[int, msgspec.Meta(ge=1000)] = 15_000


class DecisionsTable(engine.Choices, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Behaviours of the core by their registered names, and its random seed (0 for random)."""

    seed: Annotated[int, msgspec.Meta(ge=0)] = 0
    ring_size: Annotated[int, msgspec.Meta(ge=16, le=1_000_000)] = 4096


class Settings(Table):
    """The whole settings file."""

    host: HostTable
    callers: CallersTable
    operators: OperatorsTable
    peers: PeersTable
    platform: PlatformTable
    decisions: DecisionsTable = DecisionsTable()
    log: LogTable = LogTable()
    metrics: MetricsTable = MetricsTable()
