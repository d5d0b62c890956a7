"""Tests that a configuration as large as the platform stores comes into force on every host."""

import base64
import hashlib
import json

import pytest

from standins import spreading
from verbenadrum.dissemination import messages, parts
from verbenadrum.platform import wire

# Size of the largest value that the platform stores.
VALUE_BYTES = 1_048_576
TENANTS = 8


def configuration_value(keys, *, version=2):
    """Return the platform's value of a configuration with a number of keys of 20 characters."""
    names = [
        [f"key{tenant:02}n{index:014}" for index in range(keys // TENANTS)]
        for tenant in range(TENANTS)
    ]
    document = {
        "config_version": f"{version:08x}",
        "routes": [
            {
                "name": "r",
                "hostname": "a",
                "prefix": "/",
                "type": "safe",
                "timeout": "1s",
                "service": "s",
            }
        ],
        "services": [{"name": "s"}],
        "tenants": [{"name": f"t{tenant}", "api_keys": each} for tenant, each in enumerate(names)],
    }
    return json.dumps(document).encode()


def publish(fleet, keys):
    """Publish a configuration as the adapter decodes it, and return the new revision."""
    fleet.platform.revision += 1
    value = configuration_value(keys)
    assert len(value) <= VALUE_BYTES
    item = wire.Item(
        key=wire.CONFIGURATION_KEY,
        mod_revision=fleet.platform.revision,
        value=base64.b64encode(value).decode(),
    )
    raw = wire.decode_item(item, data_centres=frozenset(), floor=0.5)
    fleet.platform.publish_envelope("configuration", "configuration", raw)
    return fleet.platform.revision


def in_force(host, key):
    digest = hashlib.sha256(key.encode()).hexdigest()
    return host.engine.records.key_workspace(digest)


# A configuration whose envelope passed 1 MB was refused as a whole, and the earlier one stayed.
@pytest.mark.parametrize("keys", [80, 8_000, 40_000])
def test_configuration_up_to_the_largest_value_is_in_force_on_every_host(keys):
    fleet = spreading.Fleet(seed=keys, data_centres=1, hosts=3)
    revision = publish(fleet, keys)
    assert fleet.run_until(lambda: fleet.all_have(revision), 10_000) < 10_000
    last = f"key07n{keys // TENANTS - 1:014}"
    assert {in_force(host, last) for host in fleet.hosts.values()} == {"t7"}
    fleet.stop("h1001")
    fleet.start("h1001")
    assert fleet.run_until(lambda: fleet.all_have(revision), 10_000) < 10_000
    assert in_force(fleet.hosts["h1001"], last) == "t7"


@pytest.mark.parametrize("loss", [0.1, 0.3])
def test_parts_that_are_lost_or_come_twice_are_pulled_again(loss):
    fleet = spreading.Fleet(seed=5, data_centres=1, hosts=3)
    fleet.channel.conditions.loss = loss
    fleet.channel.conditions.duplication = loss
    revision = publish(fleet, 40_000)
    assert fleet.run_until(lambda: fleet.all_have(revision), 60_000) < 60_000
    assert all(in_force(host, f"key07n{4_999:014}") == "t7" for host in fleet.hosts.values())


def part(index, *, count=3, to=9, data=b"x"):
    return messages.RecordPart(
        after=1, to=to, final=True, known_from=0, index=index, count=count, data=data
    )


def test_parts_of_one_set_are_joined_in_order():
    assembly = parts.PartAssembly()
    assert assembly.add(part(0, data=b"a")) is None
    assert assembly.add(part(0, data=b"b")) is None
    assert assembly.next_index == 1
    assert assembly.add(part(2)) is None
    assert assembly.add(part(1, data=b"c")) is None
    assert assembly.add(part(2, data=b"d")) == b"acd"


def test_first_part_of_a_newer_set_replaces_the_parts_before():
    assembly = parts.PartAssembly()
    assembly.add(part(0, data=b"a"))
    assert assembly.add(part(1, to=10)) is None
    assert assembly.add(part(0, to=10, count=2, data=b"b")) is None
    assert assembly.add(part(1, data=b"old")) is None
    assert assembly.add(part(1, to=10, count=2, data=b"c")) == b"bc"


@pytest.mark.parametrize(
    "odd", [part(0, count=0), part(-1), part(5, count=3), part(0, count=10**9)]
)
def test_odd_parts_are_ignored(odd):
    assembly = parts.PartAssembly()
    assert assembly.add(odd) is None
    assert assembly.next_index == 0


# A version that no host could take was told by one log line on the hosts that read it.
def test_refused_version_is_known_with_its_reason_on_every_host_for_as_long_as_it_lasts():
    fleet = spreading.Fleet(seed=9, data_centres=1, hosts=3)
    first = publish(fleet, 80)
    assert fleet.run_until(lambda: fleet.all_have(first), 10_000) < 10_000
    fleet.platform.revision += 1
    revision = fleet.platform.revision
    item = wire.Item(key=wire.CONFIGURATION_KEY, mod_revision=revision, value="")
    fleet.platform.publish_envelope("configuration", "configuration", wire.refusal(item, "no JSON"))
    assert fleet.run_until(lambda: fleet.all_have(revision), 10_000) < 10_000
    fleet.run(61_000)
    for host in fleet.hosts.values():
        (rejection,) = host.engine.store.rejections()
        assert (rejection.revision, rejection.faults) == (revision, ("no JSON",))
        assert host.engine.records.configuration_version == 2
        reasons = [row.reason for row in host.decisions.newest(512)]
        assert reasons.count("still-rejected") == 1
    last = publish(fleet, 160)
    assert fleet.run_until(lambda: fleet.all_have(last), 10_000) < 10_000
    assert not any(host.engine.store.rejections() for host in fleet.hosts.values())
