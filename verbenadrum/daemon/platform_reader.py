"""Reads records and host lists from the platform where the core says that this host should."""

import logging
from collections.abc import Callable, Iterator

import gevent
import msgspec
import urllib3

from verbenadrum.core import engine, ports
from verbenadrum.dissemination import duty

__all__ = ["PlatformReader"]

_IDLE_S = 0.1
_MAX_PAUSE_S = 0.25
_MS_PER_S = 1000.0
_CONNECT_TIMEOUT_S = 1.0
# How much longer than its asked wait a long poll may take before it counts as failed.
_EXTRA_WAIT_S = 3.0
_MAX_ANSWER_BYTES = 2_097_152

_log = logging.getLogger(__name__)


class _RecordsBody(msgspec.Struct):
    """JSON answer with records; each envelope is kept as the bytes that came."""

    revision: int
    complete: bool
    records: tuple[msgspec.Raw, ...]


class _HostsBody(msgspec.Struct):
    """JSON answer with the host list."""

    revision: int
    hosts: tuple[ports.HostRow, ...]


class PlatformReader:
    """Long-polls the platform, turning to the next URL after a failure or a stale answer.

    Parameters
    ----------
    engine : Engine
        Says what to read, and takes the answers.
    urls : tuple of str
        Base URLs of the platform's configuration service.
    host : str
        This host's identifier, sent with each call.
    """

    def __init__(self, *, engine: engine.Engine, urls: tuple[str, ...], host: str) -> None:
        self._engine = engine
        self._urls = urls
        self._http = urllib3.PoolManager(
            headers={"X-Reader": host}, retries=False, num_pools=len(urls), maxsize=2
        )
        self._calls = 0

    @property
    def calls(self) -> int:
        """Calls made to the platform since the start."""
        return self._calls

    def run_records(self) -> None:
        """Read records until killed."""
        self._run(duty.Stream.RECORDS, "/v1/records", lambda due: due.records, self._take_records)

    def run_hosts(self) -> None:
        """Read host lists until killed."""
        self._run(duty.Stream.HOSTS, "/v1/hosts", lambda due: due.hosts, self._take_hosts)

    def _run(
        self,
        stream: duty.Stream,
        path: str,
        pick: Callable[[duty.Duty], duty.PollOrder | None],
        take: Callable[[int, bytes], bool],
    ) -> None:
        turn = 0
        for order in self._due(pick):
            url = self._urls[turn % len(self._urls)]
            try:
                fresh = take(order.after, self._call(url + path, order))
            except (urllib3.exceptions.HTTPError, OSError, msgspec.DecodeError) as error:
                _log.info("platform call failed", extra={"url": url, "fault": str(error)})
                self._engine.on_platform_failure(stream)
                fresh = False
            if not fresh:
                turn += 1

    def _due(self, pick: Callable[[duty.Duty], duty.PollOrder | None]) -> Iterator[duty.PollOrder]:
        """Yield each order when its time has come."""
        while True:
            order = pick(self._engine.reader_duty())
            if order is None:
                gevent.sleep(_IDLE_S)
            elif order.delay_ms > 0:
                gevent.sleep(min(order.delay_ms / _MS_PER_S, _MAX_PAUSE_S))
            else:
                yield order

    def _call(self, url: str, order: duty.PollOrder) -> bytes:
        self._calls += 1
        read_s = order.wait_ms / _MS_PER_S + _EXTRA_WAIT_S
        response = self._http.request(
            "GET",
            url,
            fields={"after": str(order.after), "wait_ms": str(int(order.wait_ms))},
            timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=read_s),
            preload_content=False,
        )
        try:
            body = response.read(_MAX_ANSWER_BYTES + 1)
        finally:
            response.release_conn()
        if response.status != 200:
            raise urllib3.exceptions.HTTPError(f"status {response.status}")
        if len(body) > _MAX_ANSWER_BYTES:
            raise urllib3.exceptions.HTTPError("the answer is too large")
        return body

    def _take_records(self, after: int, data: bytes) -> bool:
        body = msgspec.json.decode(data, type=_RecordsBody)
        answer = duty.RecordsAnswer(
            after=after,
            revision=body.revision,
            complete=body.complete,
            envelopes=tuple(bytes(raw) for raw in body.records),
        )
        return self._engine.on_platform_records(answer)

    def _take_hosts(self, after: int, data: bytes) -> bool:
        body = msgspec.json.decode(data, type=_HostsBody)
        answer = duty.HostsAnswer(after=after, revision=body.revision, rows=body.hosts)
        return self._engine.on_platform_hosts(answer)
