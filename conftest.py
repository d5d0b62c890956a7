"""Expects the tests that KNOWN-RED.txt lists to fail, and no others."""

import pathlib

import pytest

_LIST = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def _listed() -> set[str]:
    """Return the identifiers that begin the list's entries."""
    lines = _LIST.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.strip() and not line.startswith("#")}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests; one that passes fails the run until its entry is removed."""
    listed = _listed()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True))
