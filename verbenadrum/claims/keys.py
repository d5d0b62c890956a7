"""Age and witnesses of an idempotency key, and the home data centre of a workspace."""

import random
import uuid

from verbenadrum import ids
from verbenadrum.core import ports
from verbenadrum.utils import hashing

__all__ = [
    "LIFETIME_MS",
    "MAX_LENGTH",
    "WITNESS_COUNT",
    "created_ms",
    "home_data_centre",
    "majority",
    "new_key",
    "witnesses",
]

LIFETIME_MS = 15 * 60_000.0
WITNESS_COUNT = 3
# A register holds tens of thousands of keys.
MAX_LENGTH = 200
_UUID_LENGTH = 36
_UUID_TIME_SHIFT = 80
_UUID_VERSION = 7
_UUID_TIME_MASK = (1 << 48) - 1


def created_ms(key: str) -> float | None:
    """Return the wall time in a UUIDv7 key, in milliseconds, or None for any other key.

    Examples
    --------
    >>> created_ms("018bcfe5-6800-7000-8000-000000000000")
    1700000000000.0
    >>> created_ms("refund-17") is None
    True
    """
    if len(key) != _UUID_LENGTH:
        return None
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != _UUID_VERSION:
        return None
    return float(parsed.int >> _UUID_TIME_SHIFT)


def new_key(wall_ms: float, rng: random.Random) -> ids.IdempotencyKey:
    """Return a UUIDv7 key for a wall time in milliseconds.

    Examples
    --------
    >>> created_ms(new_key(1_700_000_000_000.0, random.Random(1)))
    1700000000000.0
    """
    value = (int(wall_ms) & _UUID_TIME_MASK) << _UUID_TIME_SHIFT | rng.getrandbits(_UUID_TIME_SHIFT)
    value = value & ~(0xF << 76) | _UUID_VERSION << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return ids.IdempotencyKey(str(uuid.UUID(int=value)))


def witnesses(
    workspace: ids.WorkspaceId, key: ids.IdempotencyKey, members: tuple[ids.HostId, ...]
) -> tuple[ids.HostId, ...]:
    """Return the witnesses of a key, in rendezvous order, out of the members of an epoch."""
    return tuple(hashing.rank(f"{workspace}\x00{key}", members)[:WITNESS_COUNT])


def majority(hosts: tuple[ids.HostId, ...]) -> int:
    """Return how many of the witnesses must accept a claim."""
    return len(hosts) // 2 + 1


def home_data_centre(
    records: ports.RecordsPort, workspace: ids.WorkspaceId
) -> ids.DataCentreId | None:
    """Return the data centre of a workspace's witnesses.

    It is None if the workspace names none and there is no fleet record.
    """
    spec = records.workspace(workspace)
    if spec is not None and spec.home_data_centre:
        return ids.DataCentreId(spec.home_data_centre)
    fleet = records.fleet()
    if fleet is None:
        return None
    names = [share.data_centre for share in fleet.data_centres if share.weight > 0]
    return hashing.top(workspace, [ids.DataCentreId(name) for name in names])
