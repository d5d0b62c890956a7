"""Client of the platform's key-value store: a full listing first, then watches for changes."""

import logging
import urllib.parse

import gevent
import msgspec
import urllib3

from verbenadrum.daemon import answers, sources
from verbenadrum.dissemination import duty
from verbenadrum.platform import wire

__all__ = ["StoreSource"]

_KEY_PATH = "/verbenadrum/kv-key"
_RANGE_PATH = "/verbenadrum/kv-range"
_WATCH_PATH = "/verbenadrum/kv-watch"
# Status of a watch from a revision that the store has dropped from its history.
_HISTORY_GONE = 410
_NOT_FOUND = 404
_OK = 200
# The empty prefix watches all keys with one call: there are few keys, and calls are billed.
_ALL_KEYS_PREFIX = ""
_MS_PER_S = 1000.0

_log = logging.getLogger(__name__)


@sources.record_sources.register("store")
class StoreSource:
    """Reads records from the platform's store.

    Parameters
    ----------
    options : SourceOptions
        Time limits, data centres and the ejection floor.
    """

    def __init__(self, *, options: sources.SourceOptions) -> None:
        self._options = options
        self._http = answers.make_pool_manager(num_pools=2, maxsize=2, retries=False)
        self._logged_faults: set[tuple[str, int]] = set()

    def poll(self, base_url: str, stream: duty.Stream, order: duty.PollOrder) -> duty.RecordsAnswer:
        """Return the changes after ``order.after``, or all records.

        All records are returned if ``order.after`` is 0 or no longer in the store's history.

        Raises
        ------
        SourceError
            If a call fails or its answer cannot be decoded.
        """
        if order.after:
            page = self._watch(base_url, order)
            if page is not None:
                return self._records_answer(
                    order.after, page.current_rev, page.events, full_listing=False
                )
        return self._read_all(base_url)

    def _read_all(self, base_url: str) -> duty.RecordsAnswer:
        # The pages are not a snapshot, so the answer has the lowest revision of all pages and the
        # next watch returns later changes. The configuration is read last: the answer for a missing
        # key carries no revision, so a configuration written between that answer and a later call
        # could fall before the watch and be missed.
        revisions = []
        items: list[wire.Item] = []
        after = ""
        while True:
            page = self._read_page(base_url, after)
            revisions.append(page.current_rev)
            items.extend(page.items)
            if not page.more_pages or not page.items:
                break
            after = page.items[-1].key
        status, data = self._get(base_url, _KEY_PATH, {"key": wire.CONFIGURATION_KEY})
        if status == _OK:
            items.append(_decode_json(data, wire.KeyAnswer))
        elif status != _NOT_FOUND:
            raise sources.SourceError(f"status {status} from {base_url}{_KEY_PATH}")
        return self._records_answer(0, min(revisions), tuple(items), full_listing=True)

    def _read_page(self, base_url: str, after: str) -> wire.Page:
        query = {"prefix": wire.SERVERS_PREFIX}
        if after:
            query["after"] = after
        status, data = self._get(base_url, _RANGE_PATH, query)
        if status != _OK:
            raise sources.SourceError(f"status {status} from {base_url}{_RANGE_PATH}")
        return _decode_json(data, wire.Page)

    def _watch(self, base_url: str, order: duty.PollOrder) -> wire.Page | None:
        """Return the changes, or None if all records have to be read instead.

        That is if the store's history no longer contains ``order.after``, or if the changes since
        then are too many for one answer.
        """
        query = {
            "prefix": _ALL_KEYS_PREFIX,
            "after": str(order.after),
            "wait_ms": f"{order.wait_ms:.0f}",
        }
        try:
            status, data = self._get(base_url, _WATCH_PATH, query, order.wait_ms)
        except sources.AnswerTooLargeError as error:
            _log.info("the store's changes are too many", extra={"fault": error.message})
            return None
        if status == _HISTORY_GONE:
            _log.info("the store's history was dropped", extra={"after": order.after})
            return None
        if status != _OK:
            raise sources.SourceError(f"status {status} from {base_url}{_WATCH_PATH}")
        return _decode_json(data, wire.Page)

    def _records_answer(
        self, after: int, revision: int, items: tuple[wire.Item, ...], *, full_listing: bool
    ) -> duty.RecordsAnswer:
        envelopes = []
        for item in sorted(items, key=lambda each: each.mod_revision):
            raw = self._decode_item(item)
            if raw is not None:
                envelopes.append(raw)
        return duty.RecordsAnswer(
            after=after,
            revision=max(after, revision),
            final=True,
            envelopes=tuple(envelopes),
            full_listing=full_listing,
        )

    def _decode_item(self, item: wire.Item) -> bytes | None:
        try:
            return wire.decode_item(
                item, data_centres=self._options.data_centres, floor=self._options.floor
            )
        except wire.MalformedValueError as error:
            if (item.key, item.mod_revision) not in self._logged_faults:
                self._logged_faults.add((item.key, item.mod_revision))
                _log.warning(
                    "value skipped",
                    extra={
                        "key": item.key,
                        "revision": item.mod_revision,
                        "fault": error.message,
                    },
                )
            return wire.refusal(item, error.message)

    def _get(
        self, base_url: str, path: str, query: dict[str, str], wait_ms: float = 0.0
    ) -> tuple[int, bytes]:
        response_timeout_s = wait_ms / _MS_PER_S + self._options.read_timeout_s
        url = f"{base_url}{path}?{urllib.parse.urlencode(query)}"
        with gevent.Timeout(response_timeout_s + self._options.connect_timeout_s):
            response = self._http.request(
                "GET",
                url,
                timeout=urllib3.Timeout(
                    connect=self._options.connect_timeout_s, read=response_timeout_s
                ),
                redirect=False,
                preload_content=False,
            )
            data = sources.read_answer_body(response, base_url)
        return response.status, data


def _decode_json(data: bytes, expected: type):
    try:
        return msgspec.json.decode(data, type=expected)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise sources.SourceError(f"cannot decode the store's answer: {error}") from error
