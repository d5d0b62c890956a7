"""``verbenadrum check``: validates record files and settings files."""

import enum
import pathlib
import tomllib
from collections.abc import Iterable, Iterator, Sequence
from typing import TextIO

import msgspec

from verbenadrum.cli import options, output, registry
from verbenadrum.records import envelope, types
from verbenadrum.settings import load

__all__ = ["Finding", "Severity", "check_paths"]

_SUFFIXES = (".json", ".toml")
_PLACEHOLDER_REVISION = 1


class Severity(enum.Enum):
    """Severity of a finding; a file with an error cannot be used."""

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """A fault in a file; ``fault`` names the key path and what is wrong."""

    file: str
    severity: Severity
    fault: str


class _ParsedRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A valid record and the file that contains it."""

    file: str
    record: types.Record


@registry.command(
    "check",
    usage="check PATH...",
    summary="check settings files, record files, or directories of record files",
    example="verbenadrum check records/ host.toml",
)
def run(arguments: Sequence[str], flag_values: options.Options, out: TextIO) -> options.ExitCode:
    """Print all findings, and return `ExitCode.FOUND` if any of them is an error."""
    if not arguments:
        raise registry.UsageError("check needs at least one path")
    findings = check_paths(map(pathlib.Path, arguments))
    errors = [finding for finding in findings if finding.severity is Severity.ERROR]
    if flag_values.format is options.Format.JSON:
        output.print_json(findings, out)
    else:
        for finding in findings:
            out.write(f"{finding.severity.value}: {finding.file}: {finding.fault}\n")
        out.write(f"{len(errors)} errors, {len(findings) - len(errors)} warnings\n")
    return options.ExitCode.FOUND if errors else options.ExitCode.OK


def check_paths(paths: Iterable[pathlib.Path]) -> list[Finding]:
    """Check files and directories, each file by itself and all records against each other.

    Returns
    -------
    list of Finding
        Empty if there is no fault.
    """
    findings: list[Finding] = []
    parsed: list[_ParsedRecord] = []
    for path in paths:
        files = _files(path)
        if not files:
            findings.append(_error(path, "no *.json or *.toml file found"))
        for file in files:
            findings.extend(_check_file(file, parsed))
    findings.extend(_check_across_files(parsed))
    return findings


def _files(path: pathlib.Path) -> list[pathlib.Path]:
    if not path.is_dir():
        return [path]
    return sorted(file for file in path.rglob("*") if file.suffix in _SUFFIXES)


def _check_file(file: pathlib.Path, parsed: list[_ParsedRecord]) -> Iterator[Finding]:
    try:
        document = _read(file)
    except (OSError, ValueError) as error:
        yield _error(file, str(error))
        return
    if file.suffix == ".toml" and isinstance(document, dict) and "kind" not in document:
        yield from _check_settings(file)
        return
    if not isinstance(document, dict):
        yield _error(file, "a record file must contain one object with kind, name, schema and spec")
        return
    # The revision may be missing in a file, as the platform assigns it.
    document.setdefault("revision", _PLACEHOLDER_REVISION)
    yield from _check_record(file, document, parsed)


def _read(file: pathlib.Path) -> object:
    data = file.read_bytes()
    if file.suffix == ".toml":
        return tomllib.loads(data.decode())
    return msgspec.json.decode(data)


def _check_settings(file: pathlib.Path) -> Iterator[Finding]:
    try:
        load.load_settings(file)
    except load.SettingsError as error:
        for line in error.message.splitlines():
            yield _error(file, line.removeprefix(f"{file}: "))


def _check_record(
    file: pathlib.Path, document: dict, parsed: list[_ParsedRecord]
) -> Iterator[Finding]:
    try:
        record = envelope.parse(msgspec.json.encode(document))
    except envelope.BadRecordError as error:
        for fault in error.faults:
            yield _error(file, fault)
    except (envelope.UnreadableEnvelopeError, TypeError) as error:
        yield _error(file, str(error))
    else:
        parsed.append(_ParsedRecord(file=str(file), record=record))


def _check_across_files(parsed: list[_ParsedRecord]) -> Iterator[Finding]:
    yield from _check_duplicates(parsed)
    yield from _check_references(parsed)


def _check_duplicates(parsed: list[_ParsedRecord]) -> Iterator[Finding]:
    first: dict[tuple[types.RecordKind, str], _ParsedRecord] = {}
    for each in parsed:
        key = (each.record.kind, each.record.name)
        other = first.setdefault(key, each)
        if other is not each:
            fault = f"name: {key[0].value} {key[1]!r} is also in {other.file}"
            yield Finding(file=each.file, severity=Severity.ERROR, fault=fault)


def _check_references(parsed: list[_ParsedRecord]) -> Iterator[Finding]:
    """Warn of references to records that are not in the files; they may exist on the platform."""
    names = {(each.record.kind, each.record.name) for each in parsed if each.record.spec}
    for each in parsed:
        spec = each.record.spec
        if isinstance(spec, types.RouteSpec):
            target_kind, key_path, name = types.RecordKind.POOL, "spec.service", spec.service
        elif isinstance(spec, types.KeySpec):
            target_kind, key_path, name = (
                types.RecordKind.WORKSPACE,
                "spec.workspace",
                spec.workspace,
            )
        else:
            continue
        if (target_kind, name) not in names:
            fault = f"{key_path}: no {target_kind.value} {name!r} among the checked records"
            yield Finding(file=each.file, severity=Severity.WARNING, fault=fault)


def _error(file: pathlib.Path, fault: str) -> Finding:
    return Finding(file=str(file), severity=Severity.ERROR, fault=fault)
