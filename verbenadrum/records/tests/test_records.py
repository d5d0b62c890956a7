"""Tests of parsing, upgrading, validating and storing records."""

import random

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.records import checks, envelope, store, table, types, upgrades
from verbenadrum.utils import clock

_HASH = "a" * 64
_SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None, max_examples=60)


def raw(kind, name, revision, spec, schema=types.SCHEMA_VERSION):
    document = {"kind": kind, "name": name, "revision": revision, "schema": schema, "spec": spec}
    return msgspec.json.encode(document)


def workspace(revision, rate=2, name="w"):
    return raw("workspace", name, revision, {"rate_per_s": rate, "burst": 4})


def make_store():
    time = clock.SteppedClock()
    ctx = context.Context(
        host="h1",
        data_centre="dc1",
        region="r1",
        incarnation=1,
        clock=time,
        rng=random.Random(1),
        send=lambda to, message: None,
        decisions=ring.DecisionRing(wall_ms=time.wall_ms),
    )
    records = table.RecordTable()
    return store.RecordStore(context=ctx, records=records), records, ctx


def faults_of(data):
    with pytest.raises(envelope.BadRecordError) as caught:
        envelope.parse(data)
    return caught.value.faults


@pytest.mark.parametrize(
    ("kind", "old", "new"),
    [
        ("workspace", {"rate": 2, "burst_size": 4}, {"rate_per_s": 2, "burst": 4}),
        ("key", {"workspace": "w", "hash": _HASH}, {"workspace": "w", "sha256": _HASH}),
        (
            "route",
            {"path": "/a", "service": "s", "timeout_s": 2},
            {"path_prefix": "/a", "service": "s", "timeout_ms": 2000.0},
        ),
        (
            "pool",
            {"servers": ["127.0.0.1:80"]},
            {"servers": [{"server": "127.0.0.1:80", "address": "127.0.0.1:80"}]},
        ),
    ],
)
def test_version_1_is_upgraded_to_the_current_version(kind, old, new):
    upgraded = envelope.parse(raw(kind, "n", 1, old, schema=1))
    assert upgraded == envelope.parse(raw(kind, "n", 1, new))


def test_every_upgrade_step_accepts_invalid_values():
    for kind in types.RecordKind:
        for spec in ({}, {"servers": 3}, {"servers": [1, None]}, {"timeout_s": "x"}):
            assert isinstance(upgrades.upgrade(kind, 1, spec), dict)


def test_newer_schema_is_read_without_its_unknown_fields():
    spec = {"rate_per_s": 2, "burst": 4, "colour": "green"}
    assert envelope.parse(raw("workspace", "w", 1, spec, schema=9)).spec.burst == 4


def test_every_fault_is_named_with_its_key_path():
    spec = {"rate_per_s": -1, "weight": "much"}
    found = faults_of(raw("workspace", "w", 1, spec))
    assert len(found) == 3
    assert any("'burst' is a required property" in fault for fault in found)
    assert any(fault.startswith("spec.rate_per_s: ") for fault in found)
    assert any(fault.startswith("spec.weight: ") for fault in found)


@pytest.mark.parametrize(
    ("kind", "spec", "fault"),
    [
        ("route", {"path_prefix": "a", "service": "s"}, "spec.path_prefix"),
        ("route", {"path_prefix": "/a?b", "service": "s"}, "spec.path_prefix"),
        ("route", {"path_prefix": "/", "service": "s", "host": "A:1"}, "spec.host"),
        ("workspace", {"rate_per_s": 1e300, "burst": 4}, "spec.rate_per_s"),
        ("pool", {"servers": [], "floor": 1.5}, "spec.floor"),
        ("pool", {"servers": [], "slots": 0}, "spec.slots"),
        ("pool", {"servers": [], "slots": 4, "max_connections": 3}, "spec.max_connections"),
        ("pool", {"servers": [{"server": "a", "address": "1.2.3.999:1"}]}, "spec.servers.0"),
        ("fleet", {"data_centres": [{"data_centre": "d", "region": "r"}] * 2}, "spec.data_centres"),
        ("fleet", {"data_centres": []}, "spec.data_centres"),
        ("fleet", None, "spec"),
        ("key", {"workspace": "w", "sha256": "zz"}, "spec.sha256"),
        ("planet", {}, "kind"),
    ],
)
def test_invalid_records_are_rejected_with_the_key_path(kind, spec, fault):
    found = faults_of(raw(kind, checks.FLEET_RECORD_NAME, 1, spec))
    assert any(each.startswith(f"{fault}") for each in found), found


def test_last_accepted_revision_stays_in_force_until_a_newer_valid_one():
    record_store, records, ctx = make_store()
    assert record_store.offer(workspace(1)) is store.Verdict.ACCEPTED
    assert record_store.offer(raw("workspace", "w", 2, {"rate_per_s": 0})) is store.Verdict.REJECTED
    assert records.workspace("w").rate_per_s == 2
    (rejection,) = record_store.rejections()
    assert (rejection.revision, rejection.accepted_revision) == (2, 1)
    assert [revision for revision, _ in record_store.envelopes_after(0)] == [1, 2]
    assert record_store.offer(workspace(3, rate=5)) is store.Verdict.ACCEPTED
    assert records.workspace("w").rate_per_s == 5
    assert not record_store.rejections()
    assert [decision.choice for decision in ctx.decisions.find("w")][1] == "rejected"


def test_invalid_record_does_not_block_others():
    record_store, records, _ = make_store()
    offered = [b"junk", raw("pool", "p", 1, 3), raw("planet", "x", 2, {}), workspace(3)]
    assert [record_store.offer(data).value for data in offered] == [
        "unreadable",
        "rejected",
        "rejected",
        "accepted",
    ]
    assert records.workspace("w") is not None


@_SETTINGS
@hypothesis.given(strategies.permutations(range(1, 9)), strategies.sets(strategies.integers(1, 8)))
def test_any_order_ends_with_the_newest_good_revision(order, bad):
    """A withdrawal is revision 4: what is older than it never comes back."""
    kept, records, _ = make_store()
    newest_good = 0
    for revision in order:
        good = revision not in bad
        if revision == 4:
            data = raw("workspace", "w", 4, None)
            good = True
        else:
            data = workspace(revision, rate=revision if good else -1)
        kept.offer(data)
        kept.offer(data)
        newest_good = max(newest_good, revision if good else 0)
        spec = records.workspace("w")
        assert (0 if spec is None else spec.rate_per_s) == (0 if newest_good == 4 else newest_good)


@_SETTINGS
@hypothesis.given(strategies.binary(max_size=80) | strategies.text(max_size=80).map(str.encode))
def test_junk_is_never_taken_and_never_raises(data):
    kept, records, _ = make_store()
    assert kept.offer(data) in (store.Verdict.UNREADABLE, store.Verdict.REJECTED)
    assert records.revision == 0


def test_outdated_entries_are_compacted_and_the_rest_stays_in_order():
    record_store, _, _ = make_store()
    for revision in range(1, 3_000):
        record_store.offer(workspace(revision, rate=revision, name=f"w{revision % 3}"))
    assert [revision for revision, _ in record_store.envelopes_after(0)] == [2997, 2998, 2999]
    assert len(record_store._revisions) < 1_100


@pytest.mark.parametrize(
    "change",
    [
        {},
        {"weight": 1.0},
        {"newer_field": "kept"},
        {"rate_per_s": 2},
    ],
)
def test_envelope_sent_to_peers_equals_the_received_one(change):
    record_store, _, _ = make_store()
    data = raw("workspace", "w", 1, {"rate_per_s": 2.0, "burst": 4.0, **change})
    assert record_store.offer(data) is store.Verdict.ACCEPTED
    ((_, sent),) = record_store.envelopes_after(0)
    assert msgspec.json.decode(sent) == msgspec.json.decode(data)
