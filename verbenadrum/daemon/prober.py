"""Sends the health probes to backend servers that the core orders."""

import logging
import time

import gevent
import urllib3
from urllib3 import exceptions

from verbenadrum.core import ports
from verbenadrum.daemon import answers, sockets, upstream
from verbenadrum.engine import engine

__all__ = ["Prober"]

# The answer to a health check is short.
_MAX_ANSWER_BYTES = 65_536
_MS_PER_S = 1000.0

_log = logging.getLogger(__name__)


class Prober:
    """Sends each ordered probe once, on a new connection, and reports its outcome to the core.

    Parameters
    ----------
    engine : Engine
        Core that orders the probes and receives the outcomes.
    names : HeaderNames
        Names of the headers that the hosts and the backend servers interpret.
    """

    def __init__(
        self, *, engine: engine.Engine, names: upstream.HeaderNames = upstream.DEFAULT_HEADER_NAMES
    ) -> None:
        self._engine = engine
        self._names = names

    def start_due_probes(self) -> None:
        """Start the probes that are due, each in its own greenlet, and return at once."""
        for order in self._engine.pop_due_probes():
            gevent.spawn(self._run, order)

    def _run(self, order: ports.ProbeOrder) -> None:
        started_s = time.monotonic()
        status = 0
        draining = False
        try:
            response = self._send_probe(order)
            status = response.status
            kind = upstream.outcome_kind(status, response.headers, self._names)
            draining = upstream.is_draining(response.headers, self._names)
        except (exceptions.TimeoutError, TimeoutError):
            kind = ports.OutcomeKind.TIMEOUT
        except (exceptions.HTTPError, OSError):
            kind = ports.OutcomeKind.CONNECT_FAILED
        except Exception:
            _log.exception("probe failed unexpectedly", extra={"server": order.server})
            kind = ports.OutcomeKind.CONNECT_FAILED
        latency_ms = (time.monotonic() - started_s) * _MS_PER_S
        outcome = ports.Outcome(
            kind=kind, latency_ms=latency_ms, bytes_sent=True, status=status, draining=draining
        )
        self._engine.record_probe(order, outcome)

    def _send_probe(self, order: ports.ProbeOrder) -> urllib3.BaseHTTPResponse:
        ip, port = sockets.split_address(order.address)
        timeout_s = order.timeout_ms / _MS_PER_S
        headers = {"X-Probe": "true"}
        with (
            gevent.Timeout(timeout_s, TimeoutError("the health probe timed out")),
            answers.BoundedPool(ip, port, timeout=timeout_s, retries=False) as pool,
            pool.request(
                "GET", order.path, headers=headers, redirect=False, preload_content=False
            ) as response,
        ):
            # A truncated answer counts as a failure, so the body has to be read.
            answers.read_body(response, max_bytes=_MAX_ANSWER_BYTES)
        return response
