"""Property-based tests that an odd entry among the servers costs at most itself."""

import base64
import json
import string

import hypothesis
import pytest
from hypothesis import strategies

from verbenadrum.platform import wire
from verbenadrum.platform.tests import test_wire
from verbenadrum.records import envelope, types

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None, max_examples=400)
PATHS = (
    "address",
    "born",
    "info",
    "info.capacity",
    "info.service",
    "info.zone",
    "status",
    "status.sequence",
    "status.state",
    "status.warmup_left",
)
HUGE_NUMBER = 10**400
ODD_VALUES = strategies.one_of(
    strategies.sampled_from(
        [HUGE_NUMBER, -HUGE_NUMBER, 2**63, 2**64, 1e308, -1, 0, True, "", "9" * 5_000]
    ),
    strategies.sampled_from(
        ["10.1.0.9:0", "10.1.0.9:70000", "10.1.0.9:-1", "10.1.0.999:80", "10.1:80", ":80", "a:80"]
    ),
    strategies.sampled_from(["9e999ms", "1e400s", "-1ms", "nans", "infs", "9" * 400 + "s"]),
    strategies.recursive(
        strategies.none() | strategies.booleans() | strategies.integers() | strategies.text(),
        lambda inner: strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3),
        max_leaves=8,
    ),
)
NAMES = strategies.one_of(
    strategies.text(max_size=8),
    strategies.sampled_from(["", "i-1\r\nX-Other: 1", "i 1", "n" * 201, "ä", "\x00"]),
    strategies.text(alphabet=string.ascii_lowercase + "-0123456789", min_size=1, max_size=12),
)


def decode_or_skip(key, raw):
    """Return the decoded record, or None for an entry that is skipped with a message."""
    item = wire.Item(key=key, mod_revision=7, value=base64.b64encode(raw).decode())
    try:
        decoded = wire.decode_item(item, data_centres=test_wire.ZONES, floor=0.5)
    except wire.MalformedValueError as error:
        assert error.message
        wire.withdrawal(item)
        return None
    return envelope.parse(decoded)


@SETTINGS
@hypothesis.given(path=strategies.sampled_from(PATHS), value=ODD_VALUES, name=NAMES)
def test_odd_entry_is_usable_or_skipped(path, value, name):
    document = test_wire.with_field(test_wire.SERVER, path, value)
    record = decode_or_skip(f"servers/{name}", json.dumps(document).encode())
    if record is None:
        return
    assert record.name.isascii() and record.name.isprintable() and " " not in record.name
    assert isinstance(record.spec, types.ServerSpec)
    assert 1 <= int(record.spec.address.rpartition(":")[2]) <= 65_535
    assert 1 <= record.spec.slots <= 1_000_000


@SETTINGS
@hypothesis.given(raw=strategies.binary(max_size=300))
def test_any_bytes_are_skipped(raw):
    assert decode_or_skip("servers/i-1", raw) is None


@pytest.mark.parametrize("opening", [b"[", b'{"a":'])
def test_deeply_nested_entry_is_skipped(opening):
    assert decode_or_skip("servers/i-1", opening * 100_000) is None


@SETTINGS
@hypothesis.given(
    path=strategies.sampled_from(
        ["config_version", "routes", "routes.0.priority", "routes.0.timeout", "services", "tenants"]
        + ["limits.max_header_bytes", "tenants.0.burst", "tenants.0.rate_per_s"]
    ),
    value=ODD_VALUES,
)
def test_odd_configuration_is_usable_or_skipped(path, value):
    document = test_wire.with_field(test_wire.CONFIGURATION, path, value)
    record = decode_or_skip(wire.CONFIGURATION_KEY, json.dumps(document).encode())
    assert record is None or isinstance(record.spec, types.ConfigurationSpec)
