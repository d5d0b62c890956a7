"""The operators' port: health, readiness, metrics, status and decisions."""

from collections.abc import Callable

import bottle
import msgspec

from verbenadrum.decisions import ring

__all__ = ["OperatorsPort"]

_JSON_CONTENT_TYPE = "application/json"
_DEFAULT_DECISION_COUNT = 100


class OperatorsPort:
    """WSGI application of the operators' port.

    ``/ready`` responds with 503 while the host accepts no new requests. ``/decisions`` returns the
    decisions about ``name`` or, without a name, the ``newest`` ones (100 by default); it responds
    with 400 if that is not a whole number.

    Parameters
    ----------
    decisions : DecisionRing
        Recent decisions, which the ``explain`` command queries.
    ready : callable
        Returns whether the host accepts new requests.
    status : callable
        Returns the status of the host, as values that can be encoded as JSON.
    scrape : callable
        Returns the metrics in the Prometheus text format.

    Attributes
    ----------
    application : Bottle
        The WSGI application.
    """

    def __init__(
        self,
        *,
        decisions: ring.DecisionRing,
        ready: Callable[[], bool],
        status: Callable[[], dict],
        scrape: Callable[[], bytes],
    ) -> None:
        self._scrape = scrape
        self._decisions = decisions
        self._ready = ready
        self._status = status
        self.application = bottle.Bottle()
        for path, callback in (
            ("/health", self._answer_health),
            ("/ready", self._answer_ready),
            ("/metrics", self._answer_metrics),
            ("/status", self._answer_status),
            ("/decisions", self._answer_decisions),
        ):
            self.application.route(path, callback=callback)

    def _answer_health(self) -> bytes:
        return _json_response({"healthy": True})

    def _answer_ready(self) -> bytes:
        ready = self._ready()
        bottle.response.status = 200 if ready else 503
        return _json_response({"ready": ready})

    def _answer_metrics(self) -> bytes:
        bottle.response.content_type = "text/plain; version=0.0.4"
        return self._scrape()

    def _answer_status(self) -> bytes:
        return _json_response(self._status())

    def _answer_decisions(self) -> bytes:
        name = bottle.request.query.get("name", "")
        if name:
            return _json_response(list(self._decisions.find(name)))
        try:
            newest = int(bottle.request.query.get("newest", _DEFAULT_DECISION_COUNT))
        except ValueError:
            bottle.response.status = 400
            return _json_response({"error": "newest must be a whole number"})
        return _json_response(self._decisions.newest(max(0, newest)))


def _json_response(value: object) -> bytes:
    bottle.response.content_type = _JSON_CONTENT_TYPE
    return msgspec.json.encode(value)
