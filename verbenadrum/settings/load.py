"""Reads and checks a settings file; every fault is reported in one error."""

import contextlib
import pathlib
import tomllib

import msgspec

from verbenadrum.settings import types
from verbenadrum.utils import durations, errors, schema

__all__ = ["SettingsError", "load_settings", "parse_settings"]


class SettingsError(errors.VerbenadrumError):
    """A settings file that cannot be used."""

    code = "bad-settings"


def load_settings(path: pathlib.Path) -> types.Settings:
    """Return the settings in a TOML file.

    Raises
    ------
    SettingsError
        If the file cannot be read, or with every fault found in it.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return parse_settings(text, source=str(path))


def parse_settings(text: str, *, source: str) -> types.Settings:
    """Return the settings in a TOML text.

    Parameters
    ----------
    text : str
        The TOML document.
    source : str
        Where it came from, for error messages.

    Raises
    ------
    SettingsError
        With one line for each fault: source, key path and what is allowed.

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
    document = _read_durations(document)
    try:
        return msgspec.convert(document, types.Settings)
    except msgspec.ValidationError as error:
        faults = list(schema.faults(document, types.Settings)) or [str(error)]
        raise SettingsError("\n".join(f"{source}: {fault}" for fault in faults)) from error


def _read_durations(table: dict) -> dict:
    """Return a table in which times that are written with their unit are milliseconds.

    A text that is no time stays, and is named as a fault of its key.
    """
    return {key: _read_duration(key, value) for key, value in table.items()}


def _read_duration(key: str, value: object) -> object:
    if isinstance(value, dict):
        return _read_durations(value)
    if key.endswith("_ms") and isinstance(value, str):
        with contextlib.suppress(ValueError):
            return durations.parse_ms(value)
    return value
