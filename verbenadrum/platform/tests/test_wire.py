"""Tests of decoding valid and malformed values of the platform's store."""

import base64
import json

import pytest

from verbenadrum.platform import wire
from verbenadrum.records import envelope, revisions, types

ZONES = frozenset({"z1", "z2"})
SERVER = {
    "address": "10.1.0.9:8080",
    "info": {"service": "svc", "config_version": "v1", "zone": "z1", "capacity": 3},
    "status": {"state": "ready", "sequence": 4, "warmup_left": "1.5s"},
    "born": 1_784_100_338_843,
}
ROUTE = {
    "name": "r1",
    "hostname": "A.example",
    "prefix": "/a/",
    "type": "unsafe",
    "timeout": "1500ms",
    "target_latency": "1.2s",
    "priority": 1,
    "service": "svc",
    "max_attempts": 2,
}
CONFIGURATION = {
    "config_version": "0000000c",
    "routes": [ROUTE],
    "services": [{"name": "svc", "health_path": "/h", "max_connections": 390, "tls": False}],
    "limits": {"max_header_bytes": 16384},
    "tenants": [{"name": "t1", "api_keys": ["key"], "rate_per_s": 46, "burst": 46}],
}


def item(key, value, **fields):
    text = value if isinstance(value, str) else json.dumps(value)
    raw = base64.b64encode(text.encode()).decode()
    return wire.Item(key=key, mod_revision=7, value=raw, **fields)


def decode(key, value, **fields):
    raw = wire.decode_item(item(key, value, **fields), data_centres=ZONES, floor=0.5)
    return envelope.parse(raw)


def with_field(document, path, value):
    copy = json.loads(json.dumps(document))
    *parents, last = path.split(".")
    parent = copy
    for name in parents:
        parent = parent[int(name)] if isinstance(parent, list) else parent[name]
    if value is None:
        del parent[last]
    else:
        parent[int(last) if isinstance(parent, list) else last] = value
    return copy


def test_caller_limits_are_decoded_and_missing_ones_have_defaults():
    limits = {"max_body_bytes": 500, "header_timeout": "3000ms", "idle_timeout": "15s"}
    record = decode("op/config", with_field(CONFIGURATION, "limits", limits))
    assert record.spec.callers == types.CallerLimits(
        max_body_bytes=500, head_timeout_ms=3000.0, idle_timeout_ms=15_000.0
    )
    unlimited = decode("op/config", with_field(CONFIGURATION, "limits", None))
    assert unlimited.spec.callers == types.CallerLimits()


def test_server_entry_becomes_a_server_record():
    record = decode("servers/i-1", SERVER)
    assert (record.kind, record.name, record.revision) == (types.RecordKind.SERVER, "i-1", 7)
    assert record.spec == types.ServerSpec(
        service="svc",
        address="10.1.0.9:8080",
        data_centre="z1",
        slots=3,
        started_wall_ms=1_784_100_338_843.0,
        warm_after_ms=1500.0,
    )


def test_draining_and_deleted_servers():
    draining = decode("servers/i-1", with_field(SERVER, "status.state", "draining"))
    assert draining.spec.state is types.ServerState.LEAVING
    assert decode("servers/i-1", "", deleted=True).spec is None


def test_records_have_the_revision_of_their_generation():
    deleted = wire.Item(key="servers/i-1", mod_revision=7, deleted=True)
    configuration = item(wire.CONFIGURATION_KEY, CONFIGURATION)
    raws = [
        wire.decode_item(each, generation=3, data_centres=ZONES, floor=0.5)
        for each in (item("servers/i-1", SERVER), deleted, configuration)
    ]
    raws.append(wire.refusal(configuration, "no number", generation=3))
    assert {envelope.read_header(raw).revision for raw in raws} == {revisions.join(3, 7)}


def test_configuration_and_server_have_the_order_of_their_writer():
    assert decode(wire.CONFIGURATION_KEY, CONFIGURATION).order == (12, 0)
    assert decode("servers/i-1", SERVER).order == (1_784_100_338_843, 4)


@pytest.mark.parametrize("born", [None, 0])
def test_server_without_a_start_has_no_order(born):
    assert decode("servers/i-1", with_field(SERVER, "born", born)).order == types.UNKNOWN_ORDER


def test_withdrawals_and_refusals_have_no_order():
    raws = [
        wire.decode_item(
            wire.Item(key="servers/i-1", mod_revision=7, deleted=True),
            data_centres=ZONES,
            floor=0.5,
        ),
        wire.refusal(item("servers/i-1", {"born": 5}), "no address"),
        wire.refusal(item(wire.CONFIGURATION_KEY, CONFIGURATION), "no number"),
    ]
    assert {envelope.read_header(raw).order for raw in raws} == {types.UNKNOWN_ORDER}


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("address", None),
        ("address", 7),
        ("info", None),
        ("info.service", ["svc"]),
        ("info.zone", "elsewhere"),
        ("info.capacity", "3"),
        ("info.capacity", 0),
        ("status.state", "sleeping"),
        ("status.sequence", None),
        ("status.warmup_left", "soon"),
        ("born", 1.5),
        ("born", "yesterday"),
    ],
)
def test_invalid_server_entries_are_malformed(path, value):
    with pytest.raises(wire.MalformedValueError):
        decode("servers/i-1", with_field(SERVER, path, value))


@pytest.mark.parametrize("raw", ["", "not base64!", base64.b64encode(b"\xff\x00").decode()])
def test_undecodable_values_are_malformed(raw):
    malformed = wire.Item(key="servers/i-1", mod_revision=7, value=raw)
    with pytest.raises(wire.MalformedValueError):
        wire.decode_item(malformed, data_centres=ZONES, floor=0.5)
    assert envelope.parse(wire.withdrawal(malformed)).spec is None


def test_configuration_becomes_one_record():
    spec = decode(wire.CONFIGURATION_KEY, CONFIGURATION).spec
    assert spec.version == 12
    (route,) = spec.routes
    assert (route.spec.host, route.spec.path_prefix) == ("a.example", "/a/")
    assert (route.spec.idempotent_methods, route.spec.public) == ((), False)
    assert (route.spec.timeout_ms, route.spec.target_latency_ms) == (1500.0, 1200.0)
    assert spec.workspaces[0].spec.limited
    assert spec.keys[0].spec.workspace == "t1"
    assert spec.pools[0].spec.probe_path == "/h"


@pytest.mark.parametrize("kind", ["safe", "download"])
def test_all_methods_of_idempotent_route_types_are_idempotent(kind):
    spec = decode(wire.CONFIGURATION_KEY, with_field(CONFIGURATION, "routes.0.type", kind)).spec
    assert "DELETE" in spec.routes[0].spec.idempotent_methods


def test_without_tenants_no_route_needs_a_key():
    spec = decode(wire.CONFIGURATION_KEY, with_field(CONFIGURATION, "tenants", None)).spec
    assert spec.routes[0].spec.public


# A configuration whose tenants were an empty list opened every route to callers without a key.
@pytest.mark.parametrize(
    "tenants",
    [
        [],
        None,
        [None],
        [{}],
        ["t1"],
        [{"name": "t1"}],
        [{"name": "", "api_keys": ["key"]}],
        [{"name": "t1", "api_keys": None}],
        [{"name": "t1", "api_keys": []}],
        [{"name": "t1", "api_keys": "key"}],
        [{"name": "t1", "api_keys": ["key"], "rate_per_s": None}],
    ],
)
def test_routes_stay_closed_if_tenants_hold_no_key(tenants):
    document = {**CONFIGURATION, "tenants": tenants}
    document["routes"] = [ROUTE, {**ROUTE, "name": "r2", "prefix": "/b/", "public": True}]
    spec = decode(wire.CONFIGURATION_KEY, document).spec
    assert [route.spec.public for route in spec.routes] == [False, True]
    assert spec.keys == ()


# The last configuration stays in force, which opens nothing.
@pytest.mark.parametrize("tenants", ["", "t1", 0, False, {}, {"name": "t1"}])
def test_configuration_whose_tenants_are_no_list_is_malformed(tenants):
    with pytest.raises(wire.MalformedValueError):
        decode(wire.CONFIGURATION_KEY, {**CONFIGURATION, "tenants": tenants})


# A route is public only if its configuration says so.
@pytest.mark.parametrize("public", [None, "true", "", 1, 0, [], {}])
def test_route_with_an_odd_public_field_is_left_out(public):
    document = {**CONFIGURATION, "routes": [{**ROUTE, "public": public}]}
    spec = decode(wire.CONFIGURATION_KEY, document).spec
    assert spec.routes == ()
    assert len(spec.faults) == 1


def test_weighted_backends_and_missing_rate_limit():
    split = [{"service": "svc", "weight": 90}, {"service": "other", "weight": 10}]
    document = with_field(
        with_field(CONFIGURATION, "routes.0.service", None), "routes.0.backends", split
    )
    spec = decode(wire.CONFIGURATION_KEY, with_field(document, "tenants.0.rate_per_s", None)).spec
    assert [share.weight for share in spec.routes[0].spec.backends] == [90, 10]
    assert not spec.workspaces[0].spec.limited


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("config_version", "twelve"),
        ("routes", None),
        ("routes", 7),
        ("services", None),
    ],
)
def test_invalid_configurations_are_malformed(path, value):
    with pytest.raises(wire.MalformedValueError):
        decode(wire.CONFIGURATION_KEY, with_field(CONFIGURATION, path, value))


SECOND = {
    **CONFIGURATION,
    "routes": [{**ROUTE, "name": "r2", "prefix": "/b/"}, *CONFIGURATION["routes"]],
    "services": [{"name": "svc2"}, *CONFIGURATION["services"]],
    "tenants": [{"name": "t2", "api_keys": ["key2"]}, *CONFIGURATION["tenants"]],
}


# One entry that could not be taken kept the whole configuration from coming into force.
@pytest.mark.parametrize(
    ("path", "value", "left_out"),
    [
        ("routes.1.type", "sometimes", "routes.1: type 'sometimes'"),
        ("routes.1.timeout", "1500", "routes.1: '1500'"),
        ("routes.1.timeout", "9" * 400 + "s", "routes.1:"),
        ("routes.1.service", None, "routes.1: route 'r1'"),
        ("routes.1.prefix", "no-slash", "routes.r1: spec.path_prefix"),
        ("routes.1.prefix", "/a b/", "routes.r1: spec.path_prefix"),
        ("routes.1.priority", -1, "routes.1:"),
        ("routes.1.name", "r2", "routes.r2: the name is listed before"),
        ("services.1.health_path", "h", "pools.svc: spec.probe_path"),
        ("services.1.max_connections", 0, "services.1:"),
        ("tenants.1.rate_per_s", -1, "tenants.1:"),
        ("tenants.1.api_keys", [7], "tenants.1:"),
        ("tenants.1.api_keys", ["key2"], "keys."),
        ("limits", {"idle_timeout": "soon"}, "limits.0: 'soon'"),
        ("limits", {"header_timeout": ""}, "limits.0: ''"),
        ("limits", {"idle_timeout": "0s"}, "callers: "),
        ("routes.1.timeout", "0ms", "routes.r1: "),
        ("routes.1.timeout", "0s", "routes.r1: "),
    ],
)
def test_faulty_entry_is_left_out_alone_and_named(path, value, left_out):
    spec = decode(wire.CONFIGURATION_KEY, with_field(SECOND, path, value)).spec
    (fault,) = spec.faults
    assert fault.startswith(left_out)
    assert spec.routes[0].name == "r2"
    assert spec.pools[0].name == "svc2"
    assert spec.keys[0].spec.workspace == "t2"
    entries = (*spec.routes, *spec.pools, *spec.workspaces, *spec.keys)
    assert len(entries) == (
        8
        if path == "limits"
        else 6 if path.startswith("tenants") and "keys." not in left_out else 7
    )


ODD_VALUES = (
    *("", "0ms", "-1s", "1e400s", "nans", "infs", "0.0001ms", "x" * 5_000, "/", "/a?b", "/\x00"),
    *("\ud7ff", "*", "a.example:80", 0, -1, 1, 0.5, 1e308, 10**30, 2**53 + 1, 2**63, 2**64),
    *(True, False, [], {}, [None], [""], [{}], ["a"]),
)
FULL = {
    **CONFIGURATION,
    "routes": [
        {**ROUTE, "public": False, "backends": [{"service": "svc", "weight": 90}]},
        {**ROUTE, "name": "r2", "prefix": "/b/"},
    ],
    "services": [*CONFIGURATION["services"], {"name": "svc2"}],
    "tenants": [
        {**CONFIGURATION["tenants"][0], "priority": 1},
        {"name": "t2", "api_keys": ["key2"]},
    ],
}


def field_paths(value, path):
    yield path
    pairs = value.items() if isinstance(value, dict) else ()
    pairs = enumerate(value) if isinstance(value, list) else pairs
    for name, inner in pairs:
        yield from field_paths(inner, f"{path}.{name}")


# A timeout of 0 kept the whole configuration from coming into force.
@pytest.mark.parametrize(
    "path",
    [
        *(
            path
            for group in ("routes", "services", "tenants")
            for path in field_paths(FULL[group][0], f"{group}.0")
        ),
        *(
            f"limits.{name}"
            for name in ("max_header_bytes", "max_body_bytes", "header_timeout", "idle_timeout")
        ),
    ],
)
def test_odd_value_of_a_field_costs_its_own_entry_at_most(path):
    for value in ODD_VALUES:
        spec = decode(wire.CONFIGURATION_KEY, with_field(FULL, path, value)).spec
        group = path.partition(".")[0]
        assert spec.routes[-1].name == "r2"
        assert spec.pools[-1].name == "svc2"
        assert spec.keys[-1].spec.workspace == "t2"
        assert len(spec.routes) == 2 or group == "routes"
        assert len(spec.pools) == 2 or group == "services"
        assert len(spec.workspaces) == 2 or group == "tenants"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("routes.0.prefix", f"/{'x' * 5_000}/"),
        ("routes.0.name", "n" * 300),
        ("routes.0.hostname", "a_b.example"),
        ("routes.0.hostname", "[::1]"),
        ("routes.0.timeout", "7200s"),
        ("routes.0.timeout", "2000000s"),
        ("routes.0.target_latency", "86400s"),
        ("services.0.max_connections", 1),
        ("services.0.max_connections", 2),
        ("services.0.max_connections", 10**6),
        ("services.0.name", "s" * 300),
        ("services.0.health_path", "/h?deep=1"),
        ("tenants.0.rate_per_s", 1e9),
        ("tenants.0.burst", 1e9),
        ("tenants.0.name", "t" * 300),
        ("tenants.0.api_keys", ["key", "key"]),
        ("tenants.0.api_keys", [""]),
        ("tenants.0.api_keys", ["k" * 5_000]),
        ("tenants.0.api_keys", []),
        ("limits", {"max_header_bytes": 10**9, "idle_timeout": "7200s"}),
    ],
)
def test_unusual_value_is_taken(path, value):
    spec = decode(wire.CONFIGURATION_KEY, with_field(CONFIGURATION, path, value)).spec
    assert spec.faults == ()
    assert len(spec.routes) == len(spec.pools) == len(spec.workspaces) == 1


def test_configuration_that_cannot_be_taken_is_refused_with_its_reason_on_every_host():
    raw = wire.refusal(item(wire.CONFIGURATION_KEY, "{"), "cannot decode value")
    with pytest.raises(envelope.BadRecordError, match="cannot decode value"):
        envelope.parse(raw)
    assert envelope.read_header(raw).revision == 7


def test_other_keys_are_ignored():
    assert wire.decode_item(item("else", {}), data_centres=ZONES, floor=0.5) is None
