"""Client of the platform's key-value store: a full listing first, then watches for changes.

A store that has come back from an older copy gives out its revisions again. The client joins them
with the generation that each answer states, so that the revisions of records only increase.
"""

import logging
import re
import urllib.parse

import gevent
import msgspec
import urllib3

from verbenadrum.daemon import answers, sources
from verbenadrum.dissemination import duty
from verbenadrum.platform import wire
from verbenadrum.records import revisions

__all__ = ["StoreSource"]

_KEY_PATH = "/verbenadrum/kv-key"
_RANGE_PATH = "/verbenadrum/kv-range"
_WATCH_PATH = "/verbenadrum/kv-watch"
# Header of every answer with the store's generation.
_GENERATION_HEADER = "Store-Era"
_GENERATION_PATTERN = re.compile("[0-9]{1,20}")
_MAX_QUOTED_CHARS = 50
# A listing during which the store's generation changes begins again.
_MAX_LISTINGS = 3
# Status of a watch from a revision that the store has dropped from its history.
_HISTORY_GONE = 410
_NOT_FOUND = 404
_OK = 200
# The empty prefix watches all keys with one call: there are few keys, and calls are billed.
_ALL_KEYS_PREFIX = ""
_MS_PER_S = 1000.0

_log = logging.getLogger(__name__)


class _Answer(msgspec.Struct, frozen=True, kw_only=True):
    """Status and body of an answer, and the generation of the store that it comes from."""

    status: int
    data: bytes
    generation: int


class _Changes(msgspec.Struct, frozen=True, kw_only=True):
    """Keys of the store at a value of its counter in a generation."""

    generation: int
    counter: int
    items: tuple[wire.Item, ...]

    @property
    def revision(self) -> int:
        """Revision of records up to which the keys are known.

        Raises
        ------
        SourceError
            If the store's counter is out of range.
        """
        try:
            return revisions.join(self.generation, self.counter)
        except ValueError as error:
            raise sources.SourceError(f"the store's revision is unusable: {error}") from error


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
        # Generation and counter of the last fault logged for each key that exists.
        self._logged_faults: dict[str, tuple[int, int]] = {}
        # The newest generation known; None before the first answer.
        self._generation: int | None = None
        self._logged_old_generation: int | None = None
        self._logged_dropped = 0
        self._logged_stale = False

    def poll(self, base_url: str, stream: duty.Stream, order: duty.PollOrder) -> duty.RecordsAnswer:
        """Return the changes after ``order.after``, or all records.

        All records are returned if ``order.after`` is 0, no longer in the store's history or of an
        older generation of the store. An answer that is older than ``order.after`` is returned with
        its own, smaller revision.

        Raises
        ------
        SourceError
            If a call fails or its answer cannot be decoded.
        """
        self._note_known(max(order.after, order.known_revision))
        changes = None
        if order.after and revisions.generation_of(order.after) == self._generation:
            changes = self._watch(base_url, order)
        full_listing = changes is None
        if full_listing:
            changes = self._read_all(base_url)
        stale = changes.revision < order.after
        self._log_stale(changes, order, stale)
        return duty.RecordsAnswer(
            after=order.after if stale or not full_listing else 0,
            revision=changes.revision,
            final=True,
            envelopes=self._envelopes(changes, full_listing=full_listing),
            full_listing=full_listing,
        )

    def _note_known(self, revision: int) -> None:
        """Take over the generation of a revision that this host has from elsewhere."""
        if revision:
            self._generation = max(self._generation or 0, revisions.generation_of(revision))

    def _read_all(self, base_url: str) -> _Changes:
        for _ in range(_MAX_LISTINGS):
            changes = self._list(base_url)
            if changes is not None:
                return changes
        raise sources.SourceError(
            f"the generation of {base_url} changed during each of {_MAX_LISTINGS} listings"
        )

    def _list(self, base_url: str) -> _Changes | None:
        """Return all keys, or None if the store's generation changed meanwhile."""
        # The pages are not a snapshot, so the answer has the lowest revision of all pages and the
        # next watch returns later changes. The configuration is read last: the answer for a missing
        # key carries no revision, so a configuration written between that answer and a later call
        # could fall before the watch and be missed.
        counters = []
        generations = set()
        items: list[wire.Item] = []
        after = ""
        while True:
            answer = self._read_page(base_url, after)
            generations.add(answer.generation)
            if len(generations) > 1:
                return None
            page = _decode_json(answer.data, wire.Page)
            counters.append(page.current_rev)
            items.extend(page.items)
            if not page.more_pages or not page.items:
                break
            after = page.items[-1].key
        answer = self._get(base_url, _KEY_PATH, {"key": wire.CONFIGURATION_KEY})
        if answer.status == _OK:
            items.append(_decode_json(answer.data, wire.KeyAnswer))
        elif answer.status != _NOT_FOUND:
            raise sources.SourceError(f"status {answer.status} from {base_url}{_KEY_PATH}")
        if answer.generation not in generations:
            return None
        return _Changes(generation=answer.generation, counter=min(counters), items=tuple(items))

    def _read_page(self, base_url: str, after: str) -> _Answer:
        query = {"prefix": wire.SERVERS_PREFIX}
        if after:
            query["after"] = after
        answer = self._get(base_url, _RANGE_PATH, query)
        if answer.status != _OK:
            raise sources.SourceError(f"status {answer.status} from {base_url}{_RANGE_PATH}")
        return answer

    def _watch(self, base_url: str, order: duty.PollOrder) -> _Changes | None:
        """Return the changes, or None if all records have to be read instead.

        That is if the store's history no longer contains ``order.after``, if the changes since then
        are too many for one answer, or if the store has a new generation.
        """
        after = revisions.counter_of(order.after)
        query = {
            "prefix": _ALL_KEYS_PREFIX,
            "after": str(after),
            "wait_ms": f"{order.wait_ms:.0f}",
        }
        try:
            answer = self._get(base_url, _WATCH_PATH, query, order.wait_ms)
        except sources.AnswerTooLargeError as error:
            _log.info("the store's changes are too many", extra={"fault": error.message})
            return None
        if answer.status not in (_OK, _HISTORY_GONE):
            raise sources.SourceError(f"status {answer.status} from {base_url}{_WATCH_PATH}")
        if answer.generation != revisions.generation_of(order.after):
            return None
        if answer.status == _HISTORY_GONE:
            if self._logged_dropped != order.after:
                self._logged_dropped = order.after
                _log.info(
                    "the store's history was dropped",
                    extra={"after": after, "generation": answer.generation},
                )
            return None
        page = _decode_json(answer.data, wire.Page)
        return _Changes(generation=answer.generation, counter=page.current_rev, items=page.events)

    def _log_stale(self, changes: _Changes, order: duty.PollOrder, stale: bool) -> None:
        """Log the first of consecutive answers that are older than the records held."""
        if stale and not self._logged_stale:
            _log.warning(
                "the store is behind the records held",
                extra={
                    "revision": changes.counter,
                    "after": revisions.counter_of(order.after),
                    "generation": changes.generation,
                },
            )
        self._logged_stale = stale

    def _envelopes(self, changes: _Changes, *, full_listing: bool) -> tuple[bytes, ...]:
        if full_listing:
            listed = {item.key for item in changes.items}
            self._logged_faults = {
                key: logged for key, logged in self._logged_faults.items() if key in listed
            }
        envelopes = []
        for item in sorted(changes.items, key=lambda each: each.mod_revision):
            raw = self._decode_item(item, changes.generation)
            if raw is not None:
                envelopes.append(raw)
        return tuple(envelopes)

    def _decode_item(self, item: wire.Item, generation: int) -> bytes | None:
        try:
            raw = wire.decode_item(
                item,
                generation=generation,
                data_centres=self._options.data_centres,
                floor=self._options.floor,
            )
        except wire.MalformedValueError as error:
            self._log_fault(item, generation, error.message)
            try:
                return wire.refusal(item, error.message, generation=generation)
            except ValueError:  # the revision itself is out of range
                return None
        if item.deleted:
            self._logged_faults.pop(item.key, None)
        return raw

    def _log_fault(self, item: wire.Item, generation: int, fault: str) -> None:
        """Log a fault of a key's value, once for each revision."""
        if self._logged_faults.get(item.key) == (generation, item.mod_revision):
            return
        self._logged_faults[item.key] = (generation, item.mod_revision)
        _log.warning(
            "value skipped",
            extra={
                "key": item.key,
                "revision": item.mod_revision,
                "generation": generation,
                "fault": fault,
            },
        )

    def _get(
        self, base_url: str, path: str, query: dict[str, str], wait_ms: float = 0.0
    ) -> _Answer:
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
        generation = self._read_generation(response.headers.get(_GENERATION_HEADER), base_url)
        return _Answer(status=response.status, data=data, generation=generation)

    def _read_generation(self, text: str | None, base_url: str) -> int:
        """Return the generation that an answer's header states, or the one known without it.

        Raises
        ------
        SourceError
            If the header is no whole number in range, or states an older generation than the one
            known.
        """
        known = self._generation
        if text is None:
            return known or 0
        generation = int(text) if _GENERATION_PATTERN.fullmatch(text) else -1
        if not 0 <= generation <= revisions.MAX_GENERATION:
            raise sources.SourceError(
                f"{_GENERATION_HEADER} {text[:_MAX_QUOTED_CHARS]!r} from {base_url} is not a whole "
                f"number from 0 to {revisions.MAX_GENERATION}"
            )
        if known is not None and generation < known:
            self._log_old_generation(generation, known)
            raise sources.SourceError(
                f"generation {generation} of {base_url} is older than {known}, which is known"
            )
        if known is not None and generation > known:
            _log.info("the store has a new generation", extra={"old": known, "new": generation})
            self._logged_old_generation = None
        self._generation = generation
        return generation

    def _log_old_generation(self, generation: int, known: int) -> None:
        if self._logged_old_generation != generation:
            self._logged_old_generation = generation
            _log.warning(
                "the store's generation went back", extra={"generation": generation, "known": known}
            )


def _decode_json(data: bytes, expected: type):
    try:
        return msgspec.json.decode(data, type=expected)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise sources.SourceError(f"cannot decode the store's answer: {error}") from error
