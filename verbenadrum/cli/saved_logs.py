"""Reads decisions from saved log files."""

import pathlib
from collections.abc import Callable, Iterator, Sequence

import msgspec

from verbenadrum.decisions import ring
from verbenadrum.utils import errors

__all__ = ["LogFileError", "Logged", "find_decisions"]

# Whatever collects the lines may write a time or a host before them.
_LINE_START = '{"'


class LogFileError(errors.VerbenadrumError):
    """A log file that cannot be read."""

    code = "log-file"


class Logged(ring.Decision, frozen=True, kw_only=True, omit_defaults=True):
    """A decision as a log line holds it, with the host that took it."""

    host: str = ""


class _Line(msgspec.Struct):
    decision: Logged | None = None


_decoder = msgspec.json.Decoder(_Line)


def find_decisions(paths: Sequence[str], name: str) -> list[Logged]:
    """Return the decisions about a name, and about the requests that it stands for.

    Parameters
    ----------
    paths : sequence of str
        Log files of any number of hosts.
    name : str
        A request, by the fleet's identifier or the caller's own, or a server, workspace, service
        or record.

    Raises
    ------
    LogFileError
        If a file cannot be read.
    """
    requests = {each.request for each in _scan(paths, lambda it: _is_request(it, name))}
    about = list(_scan(paths, lambda it: _concerns(it, name) or it.request in requests))
    asks = {
        (each.host, each.detail["ask"])
        for each in about
        if each.request in requests and "ask" in each.detail
    }
    homes = _scan(paths, lambda it: (it.detail.get("entry"), it.detail.get("ask")) in asks)
    return [*about, *(each for each in homes if each not in about)]


def _is_request(decision: Logged, name: str) -> bool:
    return bool(decision.request) and name in (
        decision.request,
        decision.detail.get("caller_request"),
    )


def _concerns(decision: Logged, name: str) -> bool:
    return name in (decision.subject, decision.choice) or decision.detail.get("workspace") == name


def _scan(paths: Sequence[str], wanted: Callable[[Logged], bool]) -> Iterator[Logged]:
    for path in paths:
        try:
            with pathlib.Path(path).open(encoding="utf-8", errors="replace") as lines:
                for line in lines:
                    decision = _decode(line)
                    if decision is not None and wanted(decision):
                        yield decision
        except OSError as error:
            raise LogFileError(f"{path}: {error}") from error


def _decode(line: str) -> Logged | None:
    """Return the decision of a line; None for an event, a cut line or another program's."""
    start = line.find(_LINE_START)
    if start < 0 or '"decision"' not in line:
        return None
    try:
        return _decoder.decode(line[start:]).decision
    except (msgspec.DecodeError, RecursionError):
        return None
