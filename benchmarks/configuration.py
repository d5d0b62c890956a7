"""Measures what a configuration of the stated size costs: bytes, time and memory of a change.

``python -m benchmarks.configuration`` prints a table for each size. Bytes are those of the encoded
messages between the hosts of a stepped fleet; times and memory are of one process.
"""

import base64
import gc
import hashlib
import json
import random
import time
import tracemalloc
from collections.abc import Callable

import msgspec
from absl import app, flags

from standins import spreading
from verbenadrum.core import context
from verbenadrum.decisions import ring
from verbenadrum.dissemination import packing
from verbenadrum.platform import wire
from verbenadrum.records import envelope, store, table
from verbenadrum.utils import clock

__all__ = ["CHANGES", "SIZES", "Size", "main"]

_HOSTS = flags.DEFINE_list("configuration_hosts", ["2", "44"], "Sizes of the stepped fleets.")
_NAMES = flags.DEFINE_list("configuration_sizes", [], "Names of the sizes; all by default.")

_MS_PER_S = 1_000.0
_US_PER_S = 1e6
_MB = 1e6
_LOOKUPS = 20_000
# Kind, name, revision and schema around the spec of a record of its own.
_ENVELOPE_BYTES = 60
# A tree of parts: children of a node, bytes of the digest of each, and records of a leaf.
_FANOUT = 32
_DIGEST_BYTES = 16
_LEAF_RECORDS = 32


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of tenants, keys of each and routes of a configuration."""

    tenants: int
    keys_each: int
    routes: int


SIZES = {
    "keys-80": Size(tenants=8, keys_each=10, routes=10),
    "keys-8000": Size(tenants=8, keys_each=1_000, routes=10),
    "keys-40000": Size(tenants=8, keys_each=5_000, routes=10),
    "workspaces-15000": Size(tenants=15_000, keys_each=1, routes=3_800),
}


def _document(size: Size) -> dict:
    """Return the platform's document of a configuration."""
    return {
        "config_version": "00000001",
        "routes": [
            {
                "name": f"r{index}",
                "hostname": "a",
                "prefix": f"/p{index}/",
                "type": "safe",
                "timeout": "2s",
                "service": "s",
            }
            for index in range(size.routes)
        ],
        "services": [{"name": "s"}],
        "tenants": [
            {"name": f"t{tenant}", "api_keys": _keys(tenant, size.keys_each), "rate_per_s": 5}
            for tenant in range(size.tenants)
        ],
    }


def _keys(tenant: int, count: int) -> list[str]:
    return [f"k{tenant:05}x{index:09}abcd" for index in range(count)]


def _change_key(document: dict, number: int) -> None:
    document["tenants"][0]["api_keys"][0] = f"changed-key-{number:08}"


def _change_route(document: dict, number: int) -> None:
    document["routes"][0]["timeout"] = f"{2_000 + number}ms"


def _change_workspace(document: dict, number: int) -> None:
    document["tenants"][1]["rate_per_s"] = 6 + number


def _change_all(document: dict, number: int) -> None:
    for tenant, entry in enumerate(document["tenants"]):
        entry["api_keys"] = [f"{key[:6]}{number:05}{key[11:]}" for key in entry["api_keys"]]
        entry["rate_per_s"] = 6 + (number + tenant) % 7
    for route in document["routes"]:
        route["timeout"] = f"{2_000 + number}ms"


CHANGES: dict[str, Callable[[dict, int], None]] = {
    "one key": _change_key,
    "one route": _change_route,
    "one workspace": _change_workspace,
    "everything": _change_all,
}


def _item(document: dict, revision: int) -> wire.Item:
    document["config_version"] = f"{revision:08x}"
    value = base64.b64encode(json.dumps(document, separators=(",", ":")).encode()).decode()
    return wire.Item(key=wire.CONFIGURATION_KEY, mod_revision=revision, value=value)


def _decode(item: wire.Item) -> bytes:
    return wire.decode_item(item, data_centres=frozenset(), floor=0.5)


def _timed_ms(action: Callable[[], object]) -> tuple[float, object]:
    started_s = time.process_time()
    result = action()
    return (time.process_time() - started_s) * _MS_PER_S, result


def _new_store() -> tuple[store.RecordStore, table.RecordTable]:
    time_source = clock.SteppedClock()
    records = table.RecordTable()
    made = context.Context(
        host="h",
        data_centre="d",
        region="r",
        incarnation=1,
        clock=time_source,
        rng=random.Random(1),
        send=lambda to, message: None,
        decisions=ring.DecisionRing(wall_ms=time_source.wall_ms),
    )
    return store.RecordStore(context=made, records=records), records


def _print_process_costs(size: Size) -> None:
    """Print what reading, packing and taking a version cost one process, and its look-ups."""
    document = _document(size)
    item = _item(document, 1)
    decode_ms, raw = _timed_ms(lambda: _decode(item))
    pack_ms, packed = _timed_ms(lambda: packing.pack((raw,)))
    unpack_ms, _ = _timed_ms(lambda: packing.unpack(packed))
    print(f"value {len(item.value) * 3 // 4} B, envelope {len(raw)} B, packed {len(packed)} B")
    print(f"stretches: decode {decode_ms:.1f} ms, pack {pack_ms:.1f} ms, unpack {unpack_ms:.1f} ms")
    record_store, records = _new_store()
    gc.collect()
    tracemalloc.start()
    record_store.offer(raw)
    gc.collect()
    rest, _ = tracemalloc.get_traced_memory()
    _change_key(document, 2)
    second = _decode(_item(document, 2))
    tracemalloc.reset_peak()
    before, _ = tracemalloc.get_traced_memory()
    record_store.offer(second)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"memory: tables {rest / _MB:.1f} MB, {(peak - before) / _MB:.1f} MB more while taking")
    _change_key(document, 3)
    third = _decode(_item(document, 3))
    take_ms, _ = _timed_ms(lambda: record_store.offer(third))
    print(f"stretches: take a version with one key changed {take_ms:.1f} ms")
    key = hashlib.sha256(document["tenants"][-1]["api_keys"][-1].encode()).hexdigest()
    path = f"/p{size.routes - 1}/x"
    for name, look_up in (
        ("key", lambda: records.key_workspace(key)),
        ("route", lambda: records.route("a", path)),
    ):
        assert look_up() is not None
        elapsed_ms, _ = _timed_ms(lambda look_up=look_up: [look_up() for _ in range(_LOOKUPS)])
        print(f"look-up of a {name}: {elapsed_ms / _MS_PER_S * _US_PER_S / _LOOKUPS:.2f} us")


def _print_encodings(size: Size) -> None:
    """Print the bytes of a version, and of one changed key, in the encodings that are weighed."""
    document = _document(size)
    spec = envelope.parse(_decode(_item(document, 1))).spec
    keys = [(bytes.fromhex(each.spec.sha256), each.spec.workspace) for each in spec.keys]
    rest = msgspec.structs.replace(spec, keys=())
    workspaces: dict[str, bytes] = {}
    for digest, workspace in keys:
        workspaces[workspace] = workspaces.get(workspace, b"") + digest
    raw = msgspec.msgpack.encode((rest, workspaces))
    print(f"raw digests by workspace: {len(raw)} B, packed {len(packing.pack((raw,)))} B")
    records = [*spec.routes, *spec.workspaces, *spec.keys, *spec.pools]
    separate = [len(msgspec.json.encode(each)) + _ENVELOPE_BYTES for each in records]
    print(f"an envelope each: {sum(separate)} B in {len(records)} records")
    change = msgspec.msgpack.encode((2, 1, bytes(16), [keys[0]], [keys[1][0]]))
    print(f"difference of one key: {len(change)} B")
    levels, leaves = 1, max(1, len(records) // _LEAF_RECORDS)
    while leaves > _FANOUT:
        levels, leaves = levels + 1, leaves / _FANOUT
    tree = levels * _FANOUT * _DIGEST_BYTES + _LEAF_RECORDS * len(raw) / len(records)
    print(f"tree of parts, one key: {tree:.0f} B in {levels + 1} round trips")


def _publish(fleet: spreading.Fleet, document: dict) -> int:
    fleet.platform.revision += 1
    raw = _decode(_item(document, fleet.platform.revision))
    fleet.platform.publish_envelope("configuration", "configuration", raw)
    return fleet.platform.revision


def _spread(fleet: spreading.Fleet, revision: int) -> str:
    """Run until every host holds a revision; return the time and the bytes sent by a host."""
    channel = fleet.channel
    near, far = channel.intra_region_bytes, channel.inter_region_bytes
    elapsed_ms = fleet.run_until(lambda: fleet.all_have(revision), 60_000)
    near, far = channel.intra_region_bytes - near, channel.inter_region_bytes - far
    hosts = len(fleet.hosts)
    sent = f"a host sends {near / hosts:.0f} B near, {far / hosts:.0f} B far"
    return f"in force after {elapsed_ms:.0f} ms; {sent}"


def _print_fleet_costs(size: Size, hosts: int) -> None:
    """Print bytes and times of each change, of a host that starts and of one that was cut off."""
    layout = (1, 1, hosts) if hosts < 4 else (2, 2, hosts // 4)
    regions, data_centres, each = layout
    fleet = spreading.Fleet(seed=1, regions=regions, data_centres=data_centres, hosts=each)
    document = _document(size)
    print(f"{len(fleet.hosts)} hosts, first version: {_spread(fleet, _publish(fleet, document))}")
    for number, (name, change) in enumerate(CHANGES.items()):
        fleet.run(3_000)
        change(document, number)
        print(f"{len(fleet.hosts)} hosts, {name}: {_spread(fleet, _publish(fleet, document))}")
    name = sorted(fleet.hosts)[-1]
    fleet.run(3_000)
    fleet.stop(name)
    fleet.start(name)
    print(f"{len(fleet.hosts)} hosts, one starts: {_spread(fleet, fleet.platform.revision)}")


def main(argv: list[str]) -> None:
    """Print the costs of each size."""
    del argv
    for name in _NAMES.value or SIZES:
        print(f"== {name}")
        _print_encodings(SIZES[name])
        _print_process_costs(SIZES[name])
        for hosts in _HOSTS.value:
            _print_fleet_costs(SIZES[name], int(hosts))


if __name__ == "__main__":
    app.run(main)
