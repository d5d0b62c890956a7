"""Tests of the platform reader, with an HTTP server that returns fixed answers."""

import contextlib
import socket

import msgspec
import pytest

from standins import canned, spreading
from verbenadrum.core import ports
from verbenadrum.daemon import platform_reader, sources
from verbenadrum.dissemination import duty
from verbenadrum.records import envelope, revisions

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


def make_source(url):
    return platform_reader.HttpSource(options=sources.SourceOptions(host="h1", urls=(url,)))


def order_after(revision, known_revision=0):
    return duty.PollOrder(
        after=revision, wait_ms=100.0, delay_ms=0.0, known_revision=known_revision
    )


def page(revision, *names, complete=True, **fields):
    records = [
        {"kind": "key", "name": name, "revision": revision, "spec": None, "new": [1.50]}
        for name in names
    ]
    return {"revision": revision, "complete": complete, "records": records, **fields}


@contextlib.contextmanager
def answering(*bodies):
    """Serve the bodies one after the other, and the last one again after that."""
    remaining = [msgspec.json.encode(body) for body in bodies]
    last = remaining[-1]
    with canned.serve(lambda path: canned.Answer(remaining.pop(0) if remaining else last)) as each:
        yield each


def test_answer_of_a_newer_generation_is_a_full_listing_of_it():
    with answering(
        page(2, "a", complete=False, generation=3), page(5, "b", generation=3)
    ) as server:
        source = make_source(server.url)
        answer = source.poll(server.url, duty.Stream.RECORDS, order_after(revisions.join(2, 9)))
    assert (answer.after, answer.revision) == (0, revisions.join(3, 5))
    assert (answer.final, answer.full_listing) == (True, True)
    assert [msgspec.json.decode(raw) for raw in answer.envelopes] == [
        {"kind": "key", "name": "a", "revision": revisions.join(3, 2), "spec": None, "new": [1.5]},
        {"kind": "key", "name": "b", "revision": revisions.join(3, 5), "spec": None, "new": [1.5]},
    ]
    assert server.requests == [
        ("/v1/records?after=9&wait_ms=100&generation=2", "h1"),
        ("/v1/records?after=2&wait_ms=0&generation=3", "h1"),
    ]


def test_changes_of_the_same_generation_are_passed_on_page_by_page():
    with answering(page(12, "a", complete=False, generation=2)) as server:
        source = make_source(server.url)
        answer = source.poll(server.url, duty.Stream.RECORDS, order_after(revisions.join(2, 9)))
    assert (answer.after, answer.revision) == (revisions.join(2, 9), revisions.join(2, 12))
    assert (answer.final, answer.full_listing) == (False, False)


def test_listing_that_a_return_interrupts_holds_records_of_one_generation_alone():
    with answering(
        page(8, "a", "lost", complete=False, generation=1),
        page(4, "a", complete=False, generation=2),
        page(6, "b", generation=2),
    ) as server:
        source = make_source(server.url)
        answer = source.poll(server.url, duty.Stream.RECORDS, order_after(0))
    names = [(each.name, each.revision) for each in map(envelope.read_header, answer.envelopes)]
    assert names == [("a", revisions.join(2, 4)), ("b", revisions.join(2, 6))]
    assert answer.revision == revisions.join(2, 6)


@pytest.mark.parametrize(
    ("after", "known_revision", "full_listing"),
    [
        (0, 0, False),
        (0, revisions.join(2, 9), False),
        (0, revisions.join(1, 9), True),
        (revisions.join(1, 9), revisions.join(2, 9), True),
    ],
)
def test_listing_withdraws_what_it_lacks_only_as_a_generation_begins(
    after, known_revision, full_listing
):
    with answering(page(6, "b", generation=2)) as server:
        source = make_source(server.url)
        order = order_after(after, known_revision)
        answer = source.poll(server.url, duty.Stream.RECORDS, order)
    assert (answer.after, answer.final, answer.full_listing) == (0, True, full_listing)


def test_listing_that_makes_no_progress_is_an_error():
    with answering(page(8, "a", complete=False)) as server:
        source = make_source(server.url)
        with pytest.raises(sources.SourceError, match="does not go on"):
            source.poll(server.url, duty.Stream.RECORDS, order_after(0))


def test_unreadable_record_does_not_hold_up_a_listing():
    body = page(8, "a", generation=1)
    body["records"] += [{"kind": "key"}, {"kind": "key", "name": "k", "revision": "x"}, 7]
    with answering(body) as server:
        source = make_source(server.url)
        answer = source.poll(server.url, duty.Stream.RECORDS, order_after(4))
    assert [envelope.read_header(raw).name for raw in answer.envelopes] == ["a"]


def test_answer_without_a_generation_counts_as_the_one_known_so_far():
    with answering(page(12, "a"), page(13, "a", generation=4), page(14, "a")) as server:
        source = make_source(server.url)
        found = [
            source.poll(
                server.url, duty.Stream.RECORDS, order_after(0, known_revision=revisions.join(2, 9))
            )
            for _ in range(3)
        ]
    joined = [revisions.join(2, 12), revisions.join(4, 13), revisions.join(4, 14)]
    assert [answer.revision for answer in found] == joined


@pytest.mark.parametrize("generation", [-1, 1.5, "1", None, True, revisions.MAX_GENERATION + 1])
@pytest.mark.parametrize("stream", list(duty.Stream))
def test_answer_whose_generation_is_no_number_in_range_is_not_used(stream, generation):
    body = page(12) | _HOSTS_BODY | {"generation": generation}
    with answering(body) as server, pytest.raises(sources.SourceError):
        make_source(server.url).poll(server.url, stream, order_after(3))


@pytest.mark.parametrize("stream", list(duty.Stream))
def test_answer_of_an_older_generation_is_not_used(stream):
    body = page(12) | _HOSTS_BODY | {"generation": 1}
    older = pytest.raises(sources.SourceError, match="generation 1 .* is older than 2")
    with answering(body) as server, older:
        make_source(server.url).poll(server.url, stream, order_after(revisions.join(2, 3)))


def test_host_list_of_a_newer_generation_is_newer_whatever_its_revision():
    with answering(_HOSTS_BODY | {"generation": 1}) as server:
        source = make_source(server.url)
        answer = source.poll(server.url, duty.Stream.HOSTS, order_after(9))
    assert (answer.after, answer.revision, len(answer.rows)) == (9, revisions.join(1, 4), 1)
    assert server.requests == [("/v1/hosts?after=9&wait_ms=100", "h1")]
