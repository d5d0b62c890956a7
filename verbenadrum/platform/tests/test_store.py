"""Tests of the client of the platform's store against a fake HTTP server."""

import base64
import json
import urllib.parse

import gevent
import pytest
from gevent import server
from urllib3 import exceptions

from standins import canned
from verbenadrum.daemon import sockets, sources
from verbenadrum.dissemination import duty
from verbenadrum.platform import store
from verbenadrum.platform.tests import test_wire
from verbenadrum.records import envelope


class FakeStore:
    """In-memory store; a watch from before revision ``oldest_revision`` gets status 410.

    ``headers`` are those of every answer.
    """

    def __init__(self):
        self.headers = ()
        self.rows = {"op/config": (5, test_wire.CONFIGURATION)}
        self.revision = 5
        self.oldest_revision = 0
        self.events = []
        self.page_size = 2
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
        raw = json.dumps(body | {"current_rev": self.revision}).encode()
        return canned.Answer(raw, status, self.headers)

    def kv_key(self, query):
        return (200, self.item(query["key"])) if query["key"] in self.rows else (404, {})

    def kv_range(self, query):
        keys = sorted(key for key in self.rows if key.startswith(query["prefix"]))
        keys = [key for key in keys if key > query.get("after", "")]
        items = [self.item(key) for key in keys[: self.page_size]]
        return 200, {"items": items, "more_pages": len(keys) > self.page_size}

    def kv_watch(self, query):
        after = int(query["after"])
        if after < self.oldest_revision:
            return 410, {}
        return 200, {"events": [each for each in self.events if each["mod_revision"] > after]}


@pytest.fixture
def fake_store():
    return FakeStore()


def make_source():
    options = sources.SourceOptions(host="h1", urls=("",), data_centres=test_wire.ZONES)
    return store.StoreSource(options=options)


def poll(fake_store, after, source=None, known_revision=0):
    source = source or make_source()
    order = duty.PollOrder(after=after, wait_ms=10.0, delay_ms=0.0, known_revision=known_revision)
    with canned.serve(fake_store.answer) as server:
        return source.poll(server.url, duty.Stream.RECORDS, order)


def names(answer):
    return [envelope.parse(raw).name for raw in answer.envelopes]


def test_listing_reads_every_page_and_is_whole(fake_store):
    for index in range(5):
        fake_store.put(f"servers/i-{index}", test_wire.SERVER)
    answer = poll(fake_store, 0)
    assert names(answer) == ["configuration", "i-0", "i-1", "i-2", "i-3", "i-4"]
    assert (answer.full_listing, answer.revision) == (True, 10)
    assert fake_store.calls == ["kv-range", "kv-range", "kv-range", "kv-key"]


def test_watch_returns_only_changes(fake_store):
    fake_store.put("servers/i-0", test_wire.SERVER)
    answer = poll(fake_store, 5)
    assert (names(answer), answer.full_listing, answer.revision) == (["i-0"], False, 6)


def test_dropped_history_leads_to_a_listing(fake_store):
    fake_store.put("servers/i-0", test_wire.SERVER)
    fake_store.oldest_revision = 6
    assert poll(fake_store, 5).full_listing


# Large configurations in quick succession made each watch fail until the history was dropped.
def test_changes_too_large_for_one_answer_lead_to_a_listing(fake_store):
    tenant = test_wire.CONFIGURATION["tenants"][0]
    keys = [f"key{index:017}" for index in range(40_000)]
    large = {**test_wire.CONFIGURATION, "tenants": [{**tenant, "api_keys": keys}]}
    for _ in range(9):
        fake_store.put("op/config", large)
    answer = poll(fake_store, 5)
    assert (names(answer), answer.full_listing) == (["configuration"], True)


def test_malformed_entry_withdraws_only_its_own_server(fake_store):
    fake_store.put("servers/i-0", test_wire.SERVER)
    fake_store.put("servers/i-1", {"address": 3})
    answer = poll(fake_store, 0)
    specs = {record.name: record.spec for record in map(envelope.parse, answer.envelopes)}
    assert specs["i-0"] is not None
    assert specs["i-1"] is None


@pytest.mark.parametrize("call", ["kv_key", "kv_range"])
def test_configuration_written_during_a_listing_is_not_missed(fake_store, call):
    configuration = fake_store.rows.pop("op/config")[1]
    answer_call = getattr(fake_store, call)

    def answer_and_write(query):
        answered = answer_call(query)
        fake_store.put("op/config", configuration)
        return answered

    setattr(fake_store, call, answer_and_write)
    listed = poll(fake_store, 0)
    setattr(fake_store, call, answer_call)
    watched = poll(fake_store, listed.revision)
    assert "configuration" in names(listed) + names(watched)


def test_missing_configuration_is_not_an_error(fake_store):
    fake_store.rows.clear()
    assert names(poll(fake_store, 0)) == []


class PausingStore:
    """Store on one socket that waits before each answer; ``pauses_s`` are its waits, in order."""

    def __init__(self, pauses_s):
        self.pauses_s = list(pauses_s)
        self.connections = 0
        self.listener = sockets.listen("127.0.0.1:0")
        self.url = f"http://127.0.0.1:{self.listener.getsockname()[1]}"
        self.server = server.StreamServer(self.listener, self.handle)
        self.server.start()

    def handle(self, sock, address):
        self.connections += 1
        body = b'{"events": [], "current_rev": 9}'
        while sock.recv(65_536):
            gevent.sleep(self.pauses_s.pop(0))
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


@pytest.mark.parametrize("waits_ms", [(0.0, 2_000.0), (2_000.0, 0.0)])
def test_call_on_a_reused_connection_has_its_own_time_and_not_that_of_an_earlier_one(waits_ms):
    pausing = PausingStore([0.0, 0.6])
    source = store.StoreSource(
        options=sources.SourceOptions(
            host="h1", urls=(pausing.url,), connect_timeout_s=0.2, read_timeout_s=0.3
        )
    )
    first, second = (duty.PollOrder(after=9, wait_ms=wait_ms, delay_ms=0.0) for wait_ms in waits_ms)
    source.poll(pausing.url, duty.Stream.RECORDS, first)
    if second.wait_ms:
        assert source.poll(pausing.url, duty.Stream.RECORDS, second).revision == 9
    else:
        with pytest.raises((exceptions.TimeoutError, gevent.Timeout)):
            source.poll(pausing.url, duty.Stream.RECORDS, second)
    assert pausing.connections == 1


def test_error_status_raises_source_error(fake_store):
    fake_store.kv_key = lambda query: (429, {})
    with pytest.raises(sources.SourceError):
        poll(fake_store, 0)
