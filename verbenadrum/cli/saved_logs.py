"""Extraction of decisions from saved log files."""

import pathlib
from collections.abc import Callable, Iterator, Sequence

import msgspec

from verbenadrum.decisions import ring
from verbenadrum.utils import errors

__all__ = ["LogFileError", "LoggedDecision", "find_decisions"]

# Log collectors may prefix the JSON of a line, for example with a time or a host.
_LINE_START = '{"'


class LogFileError(errors.VerbenadrumError):
    """A log file cannot be read."""

    code = "log-file"


class LoggedDecision(ring.Decision, frozen=True, kw_only=True, omit_defaults=True):
    """A decision as written in a log line, with the host that made it."""

    host: str = ""


class _Line(msgspec.Struct):
    decision: LoggedDecision | None = None


_decoder = msgspec.json.Decoder(_Line)


def find_decisions(paths: Sequence[str], name: str) -> list[LoggedDecision]:
    """Return the decisions about a name and, if it identifies requests, all of theirs.

    Parameters
    ----------
    paths : sequence of str
        Log files of any number of hosts.
    name : str
        Identifier of a request, either the fleet's or the caller's own, or the name of a server,
        workspace, service or record.

    Raises
    ------
    LogFileError
        If a file cannot be read.
    """
    requests = {each.request for each in _scan(paths, lambda decision: _is_request(decision, name))}
    matching = list(
        _scan(paths, lambda decision: _mentions(decision, name) or decision.request in requests)
    )
    # A pool home logs the entry host and the number of its placement request (``ask``), but not the
    # request identifier.
    asks = {
        (each.host, each.detail["ask"])
        for each in matching
        if each.request in requests and "ask" in each.detail
    }
    home_decisions = _scan(
        paths, lambda decision: (decision.detail.get("entry"), decision.detail.get("ask")) in asks
    )
    return [*matching, *(each for each in home_decisions if each not in matching)]


def _is_request(decision: LoggedDecision, name: str) -> bool:
    """Return whether a decision is about the request with a given identifier."""
    return bool(decision.request) and name in (
        decision.request,
        decision.detail.get("caller_request"),
    )


def _mentions(decision: LoggedDecision, name: str) -> bool:
    return name in (decision.subject, decision.choice) or decision.detail.get("workspace") == name


def _scan(
    paths: Sequence[str], predicate: Callable[[LoggedDecision], bool]
) -> Iterator[LoggedDecision]:
    for path in paths:
        try:
            with pathlib.Path(path).open(encoding="utf-8", errors="replace") as lines:
                for line in lines:
                    decision = _decode(line)
                    if decision is not None and predicate(decision):
                        yield decision
        except OSError as error:
            raise LogFileError(f"{path}: {error}") from error


def _decode(line: str) -> LoggedDecision | None:
    """Return the decision in a log line.

    None is returned for a log event, a truncated line or a line of another program.
    """
    start = line.find(_LINE_START)
    if start < 0 or '"decision"' not in line:
        return None
    try:
        return _decoder.decode(line[start:]).decision
    except (msgspec.DecodeError, RecursionError):
        return None
