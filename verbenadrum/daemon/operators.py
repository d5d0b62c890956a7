"""The operators' port: health, readiness, metrics, status and decisions."""

from collections.abc import Callable

import bottle
import msgspec

from verbenadrum.decisions import ring

__all__ = ["OperatorsPort"]

_JSON = "application/json"
_DEFAULT_NEWEST = 100


class OperatorsPort:
    """WSGI application of the operators' port.

    Parameters
    ----------
    decisions : DecisionRing
        History that ``explain`` asks for.
    ready : callable
        Returns whether the host takes new requests.
    status : callable
        Returns the status, as values that JSON can hold.
    scrape : callable
        Returns the metrics as text.
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
        return _as_json({"healthy": True})

    def _answer_ready(self) -> bytes:
        ready = self._ready()
        bottle.response.status = 200 if ready else 503
        return _as_json({"ready": ready})

    def _answer_metrics(self) -> bytes:
        bottle.response.content_type = "text/plain; version=0.0.4"
        return self._scrape()

    def _answer_status(self) -> bytes:
        return _as_json(self._status())

    def _answer_decisions(self) -> bytes:
        name = bottle.request.query.get("name", "")
        if name:
            return _as_json(list(self._decisions.find(name)))
        try:
            newest = int(bottle.request.query.get("newest", _DEFAULT_NEWEST))
        except ValueError:
            bottle.response.status = 400
            return _as_json({"error": "newest must be a whole number"})
        return _as_json(self._decisions.newest(max(0, newest)))


def _as_json(value: object) -> bytes:
    bottle.response.content_type = _JSON
    return msgspec.json.encode(value)
