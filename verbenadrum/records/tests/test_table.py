"""Tests of the table of records in force."""

import hypothesis
from hypothesis import strategies

from verbenadrum.records import table, types

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None, max_examples=200)
PATHS = strategies.lists(strategies.sampled_from(("a", "b", "")), max_size=4).map(
    lambda parts: "/" + "/".join(parts)
)


def put(records, kind, name, revision, spec):
    return records.put(types.Record(kind=kind, name=name, revision=revision, spec=spec))


def covers(prefix, path):
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or len(path) == len(prefix) or path[len(prefix)] == "/"


@hypothesis.given(prefixes=strategies.sets(PATHS, max_size=8), path=PATHS)
@SETTINGS
def test_longest_covering_prefix_wins(prefixes, path):
    records = table.RecordTable()
    for revision, prefix in enumerate(sorted(prefixes), start=1):
        spec = types.RouteSpec(path_prefix=prefix, service=prefix)
        put(records, types.RecordKind.ROUTE, prefix, revision, spec)
    best = max((each for each in prefixes if covers(each, path)), key=len, default=None)
    found = records.route("any", path)
    assert (found[1].service if found else None) == best


def test_route_with_the_host_name_takes_precedence_until_its_prefix_changes():
    records = table.RecordTable()
    kind = types.RecordKind.ROUTE
    put(records, kind, "all", 1, types.RouteSpec(path_prefix="/a/b", service="all"))
    put(records, kind, "own", 2, types.RouteSpec(path_prefix="/a", service="own", host="h"))
    assert records.route("h", "/a/b/c")[0] == "own"
    assert records.route("x", "/a/b/c")[0] == "all"
    put(records, kind, "own", 3, types.RouteSpec(path_prefix="/z", service="own", host="h"))
    assert records.route("h", "/a/b/c")[0] == "all"
    put(records, kind, "all", 4, None)
    assert records.route("h", "/a/b/c") is None


def test_key_hash_in_two_records_is_in_force_until_both_are_withdrawn():
    records = table.RecordTable()
    kind = types.RecordKind.KEY
    for revision, name in enumerate(("k1", "k2"), start=1):
        put(records, kind, name, revision, types.KeySpec(workspace=name, sha256="0" * 64))
    assert records.key_workspace("0" * 64) == "k2"
    put(records, kind, "k2", 3, None)
    assert records.key_workspace("0" * 64) == "k1"
    put(records, kind, "k1", 4, None)
    assert records.key_workspace("0" * 64) is None
    assert not put(records, kind, "k1", 2, types.KeySpec(workspace="k1", sha256="0" * 64))
    assert records.key_workspace("0" * 64) is None
