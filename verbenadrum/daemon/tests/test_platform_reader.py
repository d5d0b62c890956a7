"""Tests of the platform reader, with an HTTP server that returns fixed answers."""

import socket

import msgspec
import pytest

from standins import canned, spreading
from verbenadrum.core import ports
from verbenadrum.daemon import platform_reader, sources
from verbenadrum.dissemination import duty

_HOSTS_BODY = {
    "revision": 4,
    "hosts": [{"host": "h1", "address": "127.0.0.1:1", "data_centre": "d", "region": "r"}],
}


class FakeEngine:
    """Always orders a poll of each stream, and records the answers and failures."""

    def __init__(self):
        self.answers = []
        self.failures = []

    def platform_read_plan(self):
        order = duty.PollOrder(after=3, wait_ms=100.0, delay_ms=0.0)
        return duty.ReadPlan(reason=duty.ReadReason.READER, records=order, hosts=order)

    def on_platform_records(self, answer):
        self.answers.append(answer)
        return answer.revision >= answer.after

    on_platform_hosts = on_platform_records

    def on_platform_failure(self, stream):
        self.failures.append(stream)


def serving(body, status=200):
    return canned.serve(lambda path: canned.Answer(body, status))


def make_reader(*urls):
    fake_engine = FakeEngine()
    source = platform_reader.HttpSource(options=sources.SourceOptions(host="h1", urls=urls))
    reader = platform_reader.PlatformReader(engine=fake_engine, urls=urls, source=source)
    return reader, fake_engine


def test_records_come_as_raw_envelopes():
    raw_envelope = spreading.envelope_of("key", "k", 5, None)
    body = msgspec.json.encode(
        {"revision": 5, "complete": False, "records": [msgspec.Raw(raw_envelope)]}
    )
    with serving(body) as server:
        reader, fake_engine = make_reader(server.url)
        assert reader.poll_once(duty.Stream.RECORDS) == 0.0
    assert fake_engine.answers == [
        duty.RecordsAnswer(after=3, revision=5, final=False, envelopes=(raw_envelope,))
    ]
    assert server.requests == [("/v1/records?after=3&wait_ms=100", "h1")]


def test_host_list_is_typed():
    with serving(msgspec.json.encode(_HOSTS_BODY)) as server:
        reader, fake_engine = make_reader(server.url)
        reader.poll_once(duty.Stream.HOSTS)
    assert fake_engine.answers[0].rows[0].state is ports.HostState.LIVE


@pytest.mark.parametrize(
    ("body", "status"), [(b"{}", 200), (b"not json", 200), (b"[" * 100_000, 200), (b"", 503)]
)
def test_unusable_answers_count_as_failures(body, status):
    with serving(body, status) as server:
        reader, fake_engine = make_reader(server.url)
        reader.poll_once(duty.Stream.RECORDS)
    assert (fake_engine.answers, fake_engine.failures) == ([], [duty.Stream.RECORDS])


def test_listing_older_than_what_is_held_is_logged_once(caplog):
    class Listings:
        revisions = iter([9, 4, 4, 9, 3])

        def poll(self, base_url, stream, order):
            revision = next(self.revisions)
            return duty.RecordsAnswer(
                after=0, revision=revision, final=True, envelopes=(), full_listing=True
            )

    order = duty.PollOrder(after=0, wait_ms=0.0, delay_ms=0.0, known_revision=7)
    fake_engine = FakeEngine()
    fake_engine.platform_read_plan = lambda: duty.ReadPlan(
        reason=duty.ReadReason.READER, records=order
    )
    reader = platform_reader.PlatformReader(engine=fake_engine, urls=("",), source=Listings())
    for _ in range(5):
        reader.poll_once(duty.Stream.RECORDS)
    logged = [row for row in caplog.records if row.message == "the platform lists an older state"]
    assert [(row.revision, row.known) for row in logged] == [(4, 7), (3, 7)]


def test_refused_and_stale_urls_are_passed_over():
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        refused = f"http://127.0.0.1:{closed.getsockname()[1]}"
        stale = msgspec.json.encode({"revision": 1, "records": []})
        fresh = msgspec.json.encode({"revision": 9, "records": []})
        with serving(stale) as old, serving(fresh) as new:
            reader, fake_engine = make_reader(refused, old.url, new.url)
            for _ in range(4):
                reader.poll_once(duty.Stream.RECORDS)
    assert [answer.revision for answer in fake_engine.answers] == [1, 9, 9]
    assert (len(fake_engine.failures), len(new.requests)) == (1, 2)
