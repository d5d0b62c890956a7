"""Reading and validation of a settings file; one error reports all faults."""

import contextlib
import os
import pathlib
import tomllib
from collections.abc import Mapping

import msgspec

from verbenadrum.settings import types
from verbenadrum.utils import durations, errors, schema

__all__ = ["SettingsError", "load_settings", "parse_settings"]


_VARIABLE_PREFIX = "VERBENADRUM"


class SettingsError(errors.VerbenadrumError):
    """The settings file is unreadable or invalid."""

    code = "bad-settings"


def load_settings(path: pathlib.Path) -> types.Settings:
    """Read and validate a TOML settings file.

    Raises
    ------
    SettingsError
        If the file is unreadable or invalid; the message lists every fault.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return parse_settings(text, source=str(path), variables=os.environ)


def parse_settings(
    text: str, *, source: str, variables: Mapping[str, str] | None = None
) -> types.Settings:
    """Parse and validate settings given as TOML text.

    Parameters
    ----------
    text : str
        The TOML document.
    source : str
        Name of the origin, used in error messages.
    variables : mapping of str to str, optional
        Environment variables. One such as ``VERBENADRUM_LIMITS_SLACK`` that is not empty replaces
        the key ``slack`` of the table ``limits``.

    Raises
    ------
    SettingsError
        If the text is invalid, with one line for each fault: source, key path and allowed values.

    Examples
    --------
    >>> parse_settings("[host]", source="example.toml")
    Traceback (most recent call last):
        ...
    verbenadrum.settings.load.SettingsError: bad-settings: example.toml: ...
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{source}: {error}") from error
    _apply_variables(document, variables or {})
    document = _parse_durations(document)
    try:
        return msgspec.convert(document, types.Settings)
    except msgspec.ValidationError as error:
        faults = list(schema.faults(document, types.Settings)) or [str(error)]
        raise SettingsError("\n".join(f"{source}: {fault}" for fault in faults)) from error


def _apply_variables(document: dict, variables: Mapping[str, str]) -> None:
    """Replace the values of the document for which there is an environment variable."""
    for table in msgspec.structs.fields(types.Settings):
        if not isinstance(table.type, type) or not issubclass(table.type, types.Table):
            continue
        for key in msgspec.structs.fields(table.type):
            text = variables.get(f"{_VARIABLE_PREFIX}_{table.name}_{key.name}".upper(), "")
            if text:
                document.setdefault(table.name, {})[key.name] = _parse_value(text)


def _parse_value(text: str) -> object:
    """Return a TOML value, or the text itself if it is none."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def _parse_durations(table: dict) -> dict:
    """Return the table with durations such as ``"6s"`` under ``_ms`` keys as milliseconds.

    A string that is not a duration is kept, so that validation reports it under its key.
    """
    return {key: _parse_duration(key, value) for key, value in table.items()}


def _parse_duration(key: str, value: object) -> object:
    if isinstance(value, dict):
        return _parse_durations(value)
    if key.endswith("_ms") and isinstance(value, str):
        with contextlib.suppress(ValueError):
            return durations.parse_ms(value)
    return value
