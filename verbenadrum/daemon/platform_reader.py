"""Polls the platform for records and host lists, as the core's `ReadPlan` says."""

import logging
from typing import Annotated

import gevent
import msgspec
import urllib3

from verbenadrum.core import ports
from verbenadrum.daemon import answers, sources
from verbenadrum.dissemination import duty
from verbenadrum.engine import engine
from verbenadrum.records import envelope, revisions

__all__ = ["HttpSource", "PlatformReader"]

_MS_PER_S = 1000.0
# Added to the wait of a long poll, it limits the whole call; the read timeout restarts with each
# received piece.
_CALL_TIMEOUT_MARGIN_S = 10.0
_DUTY_CHECK_INTERVAL_S = 0.25
_ERROR_DELAY_S = 1.0
_CONNECTIONS_PER_URL = 2
_MAX_LISTING_BYTES = 268_435_456

_log = logging.getLogger(__name__)


_Generation = Annotated[int, msgspec.Meta(ge=0, le=revisions.MAX_GENERATION)]


class _RecordsBody(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a poll for records; the core decodes the envelopes."""

    revision: int
    records: tuple[msgspec.Raw, ...]
    complete: bool = True
    generation: _Generation | msgspec.UnsetType = msgspec.UNSET


class _HostsBody(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a poll for the host list."""

    revision: int
    hosts: tuple[ports.HostRow, ...]
    generation: _Generation | msgspec.UnsetType = msgspec.UNSET


@sources.record_sources.register("records")
class HttpSource:
    """Record source that calls a configuration service with this project's own HTTP interface.

    The service numbers its revisions by a counter, and counts in ``generation`` how often it has
    come back from an older copy. Revisions in the answers of `poll` hold both; see
    `verbenadrum.records.revisions`.

    Parameters
    ----------
    options : SourceOptions
        Timeouts, and this host's identifier, which is sent in the header ``X-Reader``.
    """

    def __init__(self, *, options: sources.SourceOptions) -> None:
        self._options = options
        self._headers = {"X-Reader": options.host, "Accept": "application/json"}
        self._generation = 0
        # urllib3 itself sets TCP_NODELAY on its sockets.
        self._http = answers.make_pool_manager(
            num_pools=len(options.urls), maxsize=_CONNECTIONS_PER_URL, retries=False
        )

    def poll(
        self, base_url: str, stream: duty.Stream, order: duty.PollOrder
    ) -> duty.RecordsAnswer | duty.HostsAnswer:
        """Make one long poll and return its decoded answer.

        A listing of all records is read to its end, in as many calls as it takes.

        Raises
        ------
        SourceError
            If an answer is too large, has another status than 200, cannot be decoded, or is of an
            older generation than one seen before, or if a listing does not end.
        urllib3.exceptions.HTTPError, OSError, gevent.Timeout
            If a call fails or takes too long.
        """
        known_revision = max(order.after, order.known_revision)
        self._generation = max(self._generation, revisions.generation_of(known_revision))
        if stream is duty.Stream.HOSTS:
            body, _ = self._get(base_url, stream, order.after, order.wait_ms, _HostsBody)
            generation = self._update_generation(base_url, body)
            revision = _join(base_url, generation, body.revision)
            return duty.HostsAnswer(after=order.after, revision=revision, rows=body.hosts)
        body, size = self._get(base_url, stream, order.after, order.wait_ms, _RecordsBody)
        generation = self._update_generation(base_url, body)
        if not order.after or generation != revisions.generation_of(order.after):
            return self._list_records(base_url, order, body, size)
        return duty.RecordsAnswer(
            after=order.after,
            revision=_join(base_url, generation, body.revision),
            final=body.complete,
            envelopes=_renumbered(base_url, body, generation),
        )

    def _list_records(
        self, base_url: str, order: duty.PollOrder, body: _RecordsBody, size: int
    ) -> duty.RecordsAnswer:
        """Read the pages that follow the first one of a listing, and return all as one answer.

        The listing begins again if the service comes back from a copy meanwhile.
        """
        generation = self._generation
        total_bytes = size
        envelopes = _renumbered(base_url, body, generation)
        while not body.complete:
            cursor = _join(base_url, generation, body.revision)
            body, size = self._get(base_url, duty.Stream.RECORDS, cursor, 0.0, _RecordsBody)
            total_bytes += size
            if total_bytes > _MAX_LISTING_BYTES:
                raise sources.SourceError(
                    f"the listing of {base_url} is longer than {_MAX_LISTING_BYTES} bytes"
                )
            if self._update_generation(base_url, body) != generation:
                generation = self._generation
                envelopes = ()
            elif body.revision <= revisions.counter_of(cursor):
                raise sources.SourceError(
                    f"the listing of {base_url} does not go on after revision {body.revision}"
                )
            envelopes += _renumbered(base_url, body, generation)
        # Within a generation the service lists withdrawals as well, so nothing else is withdrawn.
        known_revision = order.after or order.known_revision
        begins_generation = known_revision and generation > revisions.generation_of(known_revision)
        return duty.RecordsAnswer(
            after=0,
            revision=_join(base_url, generation, body.revision),
            final=True,
            envelopes=tuple(raw for raw in envelopes if _has_header(raw, base_url)),
            full_listing=bool(begins_generation),
        )

    def _update_generation(self, base_url: str, body: _RecordsBody | _HostsBody) -> int:
        """Return the generation of an answer; it is the one known so far if none is stated.

        Raises
        ------
        SourceError
            If the answer is of an older generation than the one known so far.
        """
        if body.generation is not msgspec.UNSET:
            if body.generation < self._generation:
                raise sources.SourceError(
                    f"generation {body.generation} of {base_url} is older than {self._generation}"
                )
            self._generation = body.generation
        return self._generation

    def _get(
        self, base_url: str, stream: duty.Stream, after: int, wait_ms: float, expected: type
    ) -> tuple[_RecordsBody | _HostsBody, int]:
        """Make one call, and return its decoded answer and the size of its body."""
        wait_s = wait_ms / _MS_PER_S
        read_s = wait_s + self._options.read_timeout_s
        query = f"after={revisions.counter_of(after)}&wait_ms={wait_ms:.0f}"
        if revisions.generation_of(after):
            query += f"&generation={revisions.generation_of(after)}"
        with gevent.Timeout(wait_s + _CALL_TIMEOUT_MARGIN_S):
            response = self._http.request(
                "GET",
                f"{base_url}/v1/{stream.value}?{query}",
                headers=self._headers,
                timeout=urllib3.Timeout(connect=self._options.connect_timeout_s, read=read_s),
                redirect=False,
                preload_content=False,
            )
            data = sources.read_answer_body(response, base_url)
        if response.status != 200:
            raise sources.SourceError(f"status {response.status} from {base_url}")
        return _decode(data, expected), len(data)


class PlatformReader:
    """Polls the platform for records and for host lists, each in its own greenlet.

    Each greenlet makes one call at a time. After a failed call or a stale answer it uses the next
    of the URLs.

    Parameters
    ----------
    engine : Engine
        Core that decides what to read, and applies the answers.
    urls : tuple of str
        Base URLs of the platform.
    source : Source
        Makes the calls.
    """

    def __init__(
        self, *, engine: engine.Engine, urls: tuple[str, ...], source: sources.Source
    ) -> None:
        self._engine = engine
        self._urls = tuple(url.rstrip("/") for url in urls)
        self._source = source
        self._url_index = dict.fromkeys(duty.Stream, 0)
        self._failing: set[duty.Stream] = set()
        self._listing_behind = False
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls to the platform since the start, failed ones included."""
        return self._calls

    def run_records(self) -> None:
        """Poll for records until the greenlet is killed."""
        self._run(duty.Stream.RECORDS)

    def run_hosts(self) -> None:
        """Poll for host lists until the greenlet is killed."""
        self._run(duty.Stream.HOSTS)

    def poll_once(self, stream: duty.Stream) -> float:
        """Make one call if the core orders one now.

        Returns
        -------
        float
            Seconds to wait before the next call of this method.
        """
        order = self._poll_order(stream)
        if order is None:
            return _DUTY_CHECK_INTERVAL_S
        if order.delay_ms > 0:
            return min(_DUTY_CHECK_INTERVAL_S, order.delay_ms / _MS_PER_S)
        self._poll(stream, order)
        return 0.0

    def _run(self, stream: duty.Stream) -> None:
        while True:
            try:
                delay_s = self.poll_once(stream)
            except Exception:
                # An error in one answer must not stop the later polls.
                _log.exception("a platform answer could not be taken")
                delay_s = _ERROR_DELAY_S
            gevent.sleep(delay_s)

    def _poll_order(self, stream: duty.Stream) -> duty.PollOrder | None:
        read_plan = self._engine.platform_read_plan()
        return read_plan.records if stream is duty.Stream.RECORDS else read_plan.hosts

    def _poll(self, stream: duty.Stream, order: duty.PollOrder) -> None:
        self._calls += 1
        base_url = self._urls[self._url_index[stream] % len(self._urls)]
        try:
            answer = self._source.poll(base_url, stream, order)
            self._log_listing_behind(answer, order)
            fresh = self._apply_answer(answer)
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            sources.SourceError,
            gevent.Timeout,
        ) as error:
            self._log_failure(stream, error)
            self._engine.on_platform_failure(stream)
            fresh = False
        else:
            self._log_recovery(stream)
        if not fresh:
            self._url_index[stream] += 1

    def _apply_answer(self, answer: duty.RecordsAnswer | duty.HostsAnswer) -> bool:
        if isinstance(answer, duty.RecordsAnswer):
            return self._engine.on_platform_records(answer)
        return self._engine.on_platform_hosts(answer)

    def _log_listing_behind(
        self, answer: duty.RecordsAnswer | duty.HostsAnswer, order: duty.PollOrder
    ) -> None:
        """Log the first of successive listings that are older than what was held before them."""
        if not isinstance(answer, duty.RecordsAnswer):
            return
        behind = answer.full_listing and answer.revision < order.known_revision
        if behind and not self._listing_behind:
            _log.warning(
                "the platform lists an older state",
                extra={"revision": answer.revision, "known": order.known_revision},
            )
        self._listing_behind = behind

    def _log_failure(self, stream: duty.Stream, error: BaseException) -> None:
        if stream not in self._failing:
            self._failing.add(stream)
            _log.warning(
                "platform cannot be read", extra={"stream": stream.value, "fault": str(error)}
            )

    def _log_recovery(self, stream: duty.Stream) -> None:
        if stream in self._failing:
            self._failing.discard(stream)
            _log.info("platform is read again", extra={"stream": stream.value})


def _decode(data: bytes, expected: type):
    try:
        return msgspec.json.decode(data, type=expected)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise sources.SourceError(f"cannot decode the platform's answer: {error}") from error


def _join(base_url: str, generation: int, counter: int) -> int:
    try:
        return revisions.join(generation, counter)
    except ValueError as error:
        raise sources.SourceError(f"revision of {base_url}: {error}") from error


def _renumbered(base_url: str, body: _RecordsBody, generation: int) -> tuple[bytes, ...]:
    """Return the envelopes of a page, with the generation in their revisions."""
    return tuple(_renumber(base_url, bytes(raw), generation) for raw in body.records)


def _renumber(base_url: str, raw: bytes, generation: int) -> bytes:
    """Return an envelope with the generation in its revision, or as it is if it has no revision."""
    try:
        return revisions.renumber(raw, generation)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return raw
    except ValueError as error:
        raise sources.SourceError(f"revision of a record of {base_url}: {error}") from error


def _has_header(raw: bytes, base_url: str) -> bool:
    """Return whether the header of an envelope can be read; log a warning if it cannot."""
    try:
        envelope.read_header(raw)
    except envelope.UnreadableEnvelopeError as error:
        _log.warning(
            "record is left out of a listing", extra={"url": base_url, "fault": str(error)}
        )
        return False
    return True
