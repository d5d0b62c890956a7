"""Expects the tests that KNOWN-RED.txt lists to fail, and no others."""

import pathlib

import pytest

_LIST = pathlib.Path(__file__).parent / "KNOWN-RED.txt"
_FLAKY = "flaky:"


def _listed() -> dict[str, bool]:
    """Return the identifiers that begin the list's entries, and whether each always fails."""
    lines = _LIST.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split()[0]: _FLAKY not in line for line in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests; one that is not flaky fails the run if it passes."""
    listed = _listed()
    for item in items:
        if item.nodeid in listed:
            strict = listed[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=strict))
