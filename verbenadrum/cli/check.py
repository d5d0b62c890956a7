"""``verbenadrum check``: finds the faults of record files and of settings files."""

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
_FIRST_REVISION = 1


class Severity(enum.Enum):
    """Whether a finding keeps the file from being used."""

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """One fault: file, and key path with what is wrong."""

    file: str
    severity: Severity
    fault: str


class _Checked(msgspec.Struct, frozen=True, kw_only=True):
    """A record that was read without a fault."""

    file: str
    record: types.Record


@registry.command(
    "check",
    usage="check PATH...",
    summary="check settings files, record files, or directories of record files",
    example="verbenadrum check records/ host.toml",
)
def run(arguments: Sequence[str], chosen: options.Options, out: TextIO) -> options.ExitCode:
    """Print every finding, and return `ExitCode.FOUND` if one is an error."""
    if not arguments:
        raise registry.UsageError("check needs at least one path")
    findings = check_paths(map(pathlib.Path, arguments))
    errors = [finding for finding in findings if finding.severity is Severity.ERROR]
    if chosen.format is options.Format.JSON:
        output.print_json(findings, out)
    else:
        for finding in findings:
            out.write(f"{finding.severity.value}: {finding.file}: {finding.fault}\n")
        out.write(f"{len(errors)} errors, {len(findings) - len(errors)} warnings\n")
    return options.ExitCode.FOUND if errors else options.ExitCode.OK


def check_paths(paths: Iterable[pathlib.Path]) -> list[Finding]:
    """Return the findings of files and directories; records are also checked together."""
    findings: list[Finding] = []
    checked: list[_Checked] = []
    for path in paths:
        files = _files(path)
        if not files:
            findings.append(_error(path, "there is no *.json or *.toml file"))
        for file in files:
            findings.extend(_check_file(file, checked))
    findings.extend(_check_together(checked))
    return findings


def _files(path: pathlib.Path) -> list[pathlib.Path]:
    if not path.is_dir():
        return [path]
    return sorted(file for file in path.rglob("*") if file.suffix in _SUFFIXES)


def _check_file(file: pathlib.Path, checked: list[_Checked]) -> Iterator[Finding]:
    try:
        document = _read(file)
    except (OSError, ValueError) as error:
        yield _error(file, str(error))
        return
    if file.suffix == ".toml" and isinstance(document, dict) and "kind" not in document:
        yield from _check_settings(file)
        return
    if not isinstance(document, dict):
        yield _error(file, "a record file holds one object with kind, name, schema and spec")
        return
    # The platform gives the revision, so that a file may leave it out.
    document.setdefault("revision", _FIRST_REVISION)
    yield from _check_record(file, document, checked)


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


def _check_record(file: pathlib.Path, document: dict, checked: list[_Checked]) -> Iterator[Finding]:
    try:
        record = envelope.parse(msgspec.json.encode(document))
    except envelope.BadRecordError as error:
        for fault in error.faults:
            yield _error(file, fault)
    except (envelope.UnreadableEnvelopeError, TypeError) as error:
        yield _error(file, str(error))
    else:
        checked.append(_Checked(file=str(file), record=record))


def _check_together(checked: list[_Checked]) -> Iterator[Finding]:
    yield from _check_repeated(checked)
    yield from _check_references(checked)


def _check_repeated(checked: list[_Checked]) -> Iterator[Finding]:
    first: dict[tuple[types.RecordKind, str], _Checked] = {}
    for each in checked:
        key = (each.record.kind, each.record.name)
        other = first.setdefault(key, each)
        if other is not each:
            fault = f"name: {key[0].value} {key[1]!r} is also in {other.file}"
            yield Finding(file=each.file, severity=Severity.ERROR, fault=fault)


def _check_references(checked: list[_Checked]) -> Iterator[Finding]:
    """Warn of names that no checked record has; they may be published already."""
    names = {(each.record.kind, each.record.name) for each in checked if each.record.spec}
    for each in checked:
        spec = each.record.spec
        if isinstance(spec, types.RouteSpec):
            needed, where, name = types.RecordKind.POOL, "spec.service", spec.service
        elif isinstance(spec, types.KeySpec):
            needed, where, name = types.RecordKind.WORKSPACE, "spec.workspace", spec.workspace
        else:
            continue
        if (needed, name) not in names:
            fault = f"{where}: no {needed.value} {name!r} among the checked records"
            yield Finding(file=each.file, severity=Severity.WARNING, fault=fault)


def _error(file: pathlib.Path, fault: str) -> Finding:
    return Finding(file=str(file), severity=Severity.ERROR, fault=fault)
