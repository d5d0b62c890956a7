"""Tests of the calls to the platform's store against a small HTTP server."""

import base64
import json
import urllib.parse

import pytest

from standins import canned
from verbenadrum.daemon import sources
from verbenadrum.dissemination import duty
from verbenadrum.platform import store
from verbenadrum.platform.tests import test_wire
from verbenadrum.records import envelope


class Store:
    """Answers from a table of keys; its history begins at a revision."""

    def __init__(self):
        self.rows = {"op/config": (5, test_wire.CONFIGURATION)}
        self.revision = 5
        self.oldest = 0
        self.events = []
        self.page = 2
        self.calls = []

    def put(self, key, value):
        self.revision += 1
        self.rows[key] = (self.revision, value)
        self.events.append(self.item(key))

    def item(self, key):
        revision, value = self.rows[key]
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        return {"key": key, "value": raw, "mod_revision": revision, "created_rev": 1, "lease": 0}

    def answer(self, path):
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        name = parts.path.rsplit("/", 1)[1]
        self.calls.append(name)
        status, body = getattr(self, name.replace("-", "_"))(query)
        return canned.Answer(json.dumps(body | {"current_rev": self.revision}).encode(), status)

    def kv_key(self, query):
        return (200, self.item(query["key"])) if query["key"] in self.rows else (404, {})

    def kv_range(self, query):
        keys = sorted(key for key in self.rows if key.startswith(query["prefix"]))
        keys = [key for key in keys if key > query.get("after", "")]
        items = [self.item(key) for key in keys[: self.page]]
        return 200, {"items": items, "more_pages": len(keys) > self.page}

    def kv_watch(self, query):
        after = int(query["after"])
        if after < self.oldest:
            return 410, {}
        return 200, {"events": [each for each in self.events if each["mod_revision"] > after]}


@pytest.fixture
def kept():
    return Store()


def poll(kept, after):
    options = sources.SourceOptions(host="h1", urls=("",), zones=test_wire.ZONES)
    with canned.serving(kept.answer) as server:
        source = store.StoreSource(options=options)
        order = duty.PollOrder(after=after, wait_ms=10.0, delay_ms=0.0)
        return source.poll(server.url, duty.Stream.RECORDS, order)


def names(answer):
    return [envelope.parse(raw).name for raw in answer.envelopes]


def test_listing_reads_every_page_and_is_whole(kept):
    for index in range(5):
        kept.put(f"servers/i-{index}", test_wire.SERVER)
    answer = poll(kept, 0)
    assert names(answer) == ["configuration", "i-0", "i-1", "i-2", "i-3", "i-4"]
    assert (answer.whole, answer.revision) == (True, 10)
    assert kept.calls == ["kv-range", "kv-range", "kv-range", "kv-key"]


def test_watch_brings_changes_only(kept):
    kept.put("servers/i-0", test_wire.SERVER)
    answer = poll(kept, 5)
    assert (names(answer), answer.whole, answer.revision) == (["i-0"], False, 6)


def test_dropped_history_leads_to_a_listing(kept):
    kept.put("servers/i-0", test_wire.SERVER)
    kept.oldest = 6
    assert poll(kept, 5).whole


def test_unreadable_entry_withdraws_its_server_and_the_others_hold(kept):
    kept.put("servers/i-0", test_wire.SERVER)
    kept.put("servers/i-1", {"address": 3})
    answer = poll(kept, 0)
    specs = {record.name: record.spec for record in map(envelope.parse, answer.envelopes)}
    assert specs["i-0"] is not None
    assert specs["i-1"] is None


@pytest.mark.parametrize("call", ["kv_key", "kv_range"])
def test_configuration_that_is_written_while_the_store_is_listed_is_not_missed(kept, call):
    configuration = kept.rows.pop("op/config")[1]
    answer_call = getattr(kept, call)

    def answer_and_write(query):
        answered = answer_call(query)
        kept.put("op/config", configuration)
        return answered

    setattr(kept, call, answer_and_write)
    listed = poll(kept, 0)
    setattr(kept, call, answer_call)
    watched = poll(kept, listed.revision)
    assert "configuration" in names(listed) + names(watched)


def test_missing_configuration_is_no_fault(kept):
    kept.rows.clear()
    assert names(poll(kept, 0)) == []


def test_refused_call_is_an_error(kept):
    kept.kv_key = lambda query: (429, {})
    with pytest.raises(sources.SourceError):
        poll(kept, 0)
