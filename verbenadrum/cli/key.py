"""``verbenadrum key``: generates a caller's key and the record that publishes its hash."""

import secrets
from collections.abc import Sequence
from typing import TextIO

import msgspec

from verbenadrum.cli import options, output, registry
from verbenadrum.entry import keys
from verbenadrum.records import types

__all__ = ["NewKey"]

_KEY_BYTES = 32
_NAME_SUFFIX_BYTES = 4
_MAX_ARGUMENTS = 2


class NewKey(msgspec.Struct, frozen=True, kw_only=True):
    """A key, its hash, and the content of its record without the revision."""

    key: str
    sha256: str
    record: dict


@registry.command(
    "key",
    usage="key WORKSPACE [NAME]",
    summary="generate a random key and the record that publishes its hash",
    example="verbenadrum key board > new-key.txt",
)
def run(arguments: Sequence[str], flag_values: options.Options, out: TextIO) -> options.ExitCode:
    """Print a new key; the key itself is not stored anywhere."""
    if not 1 <= len(arguments) <= _MAX_ARGUMENTS:
        raise registry.UsageError(
            "key requires a workspace and, optionally, the name of the record"
        )
    workspace = arguments[0]
    default_name = f"{workspace}-{secrets.token_hex(_NAME_SUFFIX_BYTES)}"
    name = arguments[1] if len(arguments) > 1 else default_name
    new_key = _generate(workspace, name)
    if flag_values.format is options.Format.JSON:
        output.print_json(new_key, out)
        return options.ExitCode.OK
    out.write(f"key     {new_key.key}\nsha256  {new_key.sha256}\nrecord  ")
    output.print_json(new_key.record, out)
    return options.ExitCode.OK


def _generate(workspace: str, name: str) -> NewKey:
    key = secrets.token_urlsafe(_KEY_BYTES)
    spec = types.KeySpec(workspace=workspace, sha256=keys.hash_key(key))
    record = {
        "kind": types.RecordKind.KEY.value,
        "name": name,
        "schema": types.SCHEMA_VERSION,
        "spec": msgspec.to_builtins(spec),
    }
    return NewKey(key=key, sha256=spec.sha256, record=record)
