"""Validation that reports every fault of a document; msgspec itself reports only the first."""

import functools
from collections.abc import Iterator
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    import jsonschema

__all__ = ["faults"]


def faults(document: object, expected: type) -> Iterator[str]:
    """Yield one line for each fault of a document, with its key path, sorted by path.

    Parameters
    ----------
    document : object
        Decoded JSON or TOML.
    expected : type
        The msgspec type to which the document should be convertible.

    Examples
    --------
    >>> class Point(msgspec.Struct):
    ...     x: int
    ...     y: int
    >>> list(faults({"x": "one"}, Point))
    ["(top level): 'y' is a required property", "x: 'one' is not of type 'integer'"]
    """
    errors = _validator(expected).iter_errors(document)
    for error in sorted(errors, key=lambda error: list(map(str, error.path))):
        yield f"{_key_path(error)}: {_describe(error)}"


@functools.cache
def _validator(expected: type) -> "jsonschema.Draft202012Validator":
    # Imported for invalid documents only, since the import takes a fifth of a daemon's start time.
    import jsonschema  # noqa: PLC0415

    return jsonschema.Draft202012Validator(msgspec.json.schema(expected))


def _key_path(error: "jsonschema.ValidationError") -> str:
    return ".".join(map(str, error.absolute_path)) or "(top level)"


def _describe(error: "jsonschema.ValidationError") -> str:
    if error.validator == "additionalProperties":
        known = ", ".join(sorted(error.schema.get("properties", {})))
        return f"{error.message}; allowed: {known}"
    if error.validator == "pattern" and "description" in error.schema:
        return f"{error.instance!r} is not of the form {error.schema['description']}"
    return error.message
