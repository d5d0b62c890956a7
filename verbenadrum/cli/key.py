"""``verbenadrum key``: makes a caller's key and the record that publishes its hash."""

import secrets
from collections.abc import Sequence
from typing import TextIO

import msgspec

from verbenadrum.cli import options, output, registry
from verbenadrum.entry import keys
from verbenadrum.records import types

__all__ = ["NewKey"]

_KEY_BYTES = 32
_NAME_BYTES = 4
_MAX_ARGUMENTS = 2


class NewKey(msgspec.Struct, frozen=True, kw_only=True):
    """A key, its hash, and the content of its record without the revision."""

    key: str
    sha256: str
    record: dict


@registry.command(
    "key",
    usage="key WORKSPACE [NAME]",
    summary="make a random key and the record that publishes its hash",
    example="verbenadrum key board > new-key.txt",
)
def run(arguments: Sequence[str], chosen: options.Options, out: TextIO) -> options.ExitCode:
    """Print a new key; it is kept nowhere else."""
    if not 1 <= len(arguments) <= _MAX_ARGUMENTS:
        raise registry.UsageError("key needs a workspace and, if wanted, the record's name")
    workspace = arguments[0]
    default_name = f"{workspace}-{secrets.token_hex(_NAME_BYTES)}"
    name = arguments[1] if len(arguments) > 1 else default_name
    made = _make(workspace, name)
    if chosen.format is options.Format.JSON:
        output.print_json(made, out)
        return options.ExitCode.OK
    out.write(f"key     {made.key}\nsha256  {made.sha256}\nrecord  ")
    output.print_json(made.record, out)
    return options.ExitCode.OK


def _make(workspace: str, name: str) -> NewKey:
    key = secrets.token_urlsafe(_KEY_BYTES)
    spec = types.KeySpec(workspace=workspace, sha256=keys.hash_key(key))
    record = {
        "kind": types.RecordKind.KEY.value,
        "name": name,
        "schema": types.SCHEMA_VERSION,
        "spec": msgspec.to_builtins(spec),
    }
    return NewKey(key=key, sha256=spec.sha256, record=record)
