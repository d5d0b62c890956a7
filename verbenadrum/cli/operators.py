"""Client of the operators' ports of hosts."""

import concurrent.futures
import urllib.parse
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

import msgspec
import urllib3

from verbenadrum.daemon import answers
from verbenadrum.decisions import ring
from verbenadrum.utils import errors

__all__ = [
    "HostStatus",
    "OperatorsPortError",
    "Reply",
    "query_all",
    "read_decisions",
    "read_status",
]

_MAX_PARALLEL_REQUESTS = 32
_MAX_DECISIONS = 10_000
_MAX_ANSWER_BYTES = 67_108_864

T = TypeVar("T")


class OperatorsPortError(errors.VerbenadrumError):
    """An operators' port did not answer, or not with valid content."""

    code = "operators-port"


class RejectedRecord(msgspec.Struct, kw_only=True):
    """A record revision that a host rejected, and the one used instead (0 for none)."""

    kind: str = ""
    name: str = ""
    revision: int = 0
    faults: tuple[str, ...] = ()
    accepted_revision: int = 0


class SuspectedHost(msgspec.Struct, kw_only=True):
    """A host that another host cannot reach, and the reason."""

    host: str = ""
    reason: str = ""


class ServerSignal(msgspec.Struct, kw_only=True):
    """What a server said that holds back a host's requests; see `ports.ServerSignal`."""

    server: str = ""
    signal: str = ""
    for_ms: float = 0.0
    heard_from: str = ""
    limit_per_s: float = 0.0
    left_ms: float = 0.0


class HostStatus(msgspec.Struct, kw_only=True):
    """Fields of ``/status`` that the tool prints; other fields are ignored."""

    host: str
    data_centre: str = ""
    region: str = ""
    ready: bool = False
    stopping: bool = False
    in_flight: int = 0
    record_revision: int = 0
    complete_revision: int = 0
    host_list_revision: int = 0
    carried_records: int = 0
    platform_reader: str = ""
    configuration_version: int | None = None
    configuration_faults: tuple[str, ...] = ()
    rejected_records: tuple[RejectedRecord, ...] = ()
    suspected_hosts: tuple[SuspectedHost, ...] = ()
    server_signals: tuple[ServerSignal, ...] = ()

    @property
    def held_revision(self) -> int:
        """Newest revision that the host holds, whether accepted or rejected."""
        return max(self.record_revision, self.complete_revision)


class Reply(msgspec.Struct, Generic[T], kw_only=True):
    """Value read from a host, or None and the fault that prevented it."""

    address: str
    value: T | None = None
    fault: str = ""


def query_all(
    addresses: Sequence[str], read: Callable[[str, float], T], timeout_s: float
) -> list[Reply[T]]:
    """Call ``read`` for all addresses in parallel; return the replies in the order of addresses."""

    def read_one(address: str) -> Reply[T]:
        try:
            return Reply(address=address, value=read(address, timeout_s))
        except OperatorsPortError as error:
            return Reply(address=address, fault=error.message)

    workers = max(1, min(_MAX_PARALLEL_REQUESTS, len(addresses)))
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        return list(pool.map(read_one, addresses))


def read_status(address: str, timeout_s: float) -> HostStatus:
    """Return the status of one host.

    Raises
    ------
    OperatorsPortError
        If the host does not answer, or its answer is not valid.
    """
    return _get(address, "/status", timeout_s, HostStatus)


def read_decisions(address: str, timeout_s: float, name: str) -> list[ring.Decision]:
    """Return the decisions of one host about a name, oldest first.

    Raises
    ------
    OperatorsPortError
        If the host does not answer, or its answer is not valid.
    """
    query = urllib.parse.urlencode({"name": name, "newest": _MAX_DECISIONS})
    return _get(address, f"/decisions?{query}", timeout_s, list[ring.Decision])


def _get(address: str, path: str, timeout_s: float, expected: type[T]) -> T:
    base_url = address if "://" in address else f"http://{address}"
    try:
        with (
            answers.make_pool_manager(timeout=timeout_s, retries=False) as pools,
            pools.request(
                "GET", base_url.rstrip("/") + path, redirect=False, preload_content=False
            ) as response,
        ):
            data = answers.read_body(response, max_bytes=_MAX_ANSWER_BYTES)
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise OperatorsPortError(f"no answer: {error}") from error
    if response.status != 200:
        raise OperatorsPortError(f"status {response.status}")
    try:
        return msgspec.json.decode(data, type=expected)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise OperatorsPortError(f"cannot decode answer: {error}") from error
