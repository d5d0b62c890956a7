"""Stand-in for the platform: records and host list over HTTP, with faults per reader.

Control paths take and give JSON: ``/control/publish`` (a `Publication`), ``/control/hosts``
(a list of `Host`), ``/control/fault`` (a `ReaderFault`), ``/control/heal``, ``/control/calls`` and
``/control/state``.
"""

if __name__ == "__main__":
    # Bottle keeps its request and response apart by thread, and so by greenlet once patched.
    from gevent import monkey

    monkey.patch_all()

import collections

import bottle
import gevent
import msgspec
from absl import app, flags
from gevent import event

from standins import serving

__all__ = ["Envelope", "Host", "Platform", "Publication", "ReaderFault", "State", "make_app"]

_MAX_ANSWER_BYTES = 1_000_000
_MAX_WAIT_MS = 60_000.0
_EVERY_READER = "*"
_PORT = flags.DEFINE_integer("platform_port", 0, "Port to listen on; 0 for any free one.")


class Publication(msgspec.Struct, frozen=True, kw_only=True):
    """A record to publish; ``spec`` is None to withdraw it."""

    kind: str
    name: str
    spec: dict | None
    schema: int = 2


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """A published record as readers get it."""

    kind: str
    name: str
    revision: int
    schema: int
    spec: dict | None


class Host(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the host list."""

    host: str
    address: str
    data_centre: str
    region: str
    state: str = "live"


class HostList(msgspec.Struct, frozen=True, kw_only=True):
    """The host list at one revision."""

    revision: int
    hosts: tuple[Host, ...]


class RecordPage(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a read of records."""

    revision: int
    complete: bool
    records: list[Envelope]


class ReaderFault(msgspec.Struct, frozen=True, kw_only=True):
    """Fault that one reader sees, or every reader for ``*``.

    ``outage`` answers 503; ``lag_ms`` delays each answer; ``stale`` freezes the answers at the
    revisions of the time when the fault is set.
    """

    reader: str = _EVERY_READER
    outage: bool = False
    lag_ms: float = 0.0
    stale: bool = False


class State(msgspec.Struct, frozen=True, kw_only=True):
    """Newest revisions."""

    records: int
    hosts: int


class _Frozen(msgspec.Struct, frozen=True, kw_only=True):
    fault: ReaderFault
    records: int
    hosts: int


class Platform:
    """Every revision of the records and of the host list."""

    def __init__(self) -> None:
        self._records: list[Envelope] = []
        self._hosts: list[HostList] = [HostList(revision=0, hosts=())]
        self._faults: dict[str, _Frozen] = {}
        self._changed = event.Event()
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def state(self) -> State:
        """Newest revisions."""
        return State(records=len(self._records), hosts=self._hosts[-1].revision)

    def publish(self, publication: Publication) -> State:
        """Append a revision of a record."""
        self._records.append(
            Envelope(
                kind=publication.kind,
                name=publication.name,
                revision=len(self._records) + 1,
                schema=publication.schema,
                spec=publication.spec,
            )
        )
        return self._wake()

    def list_hosts(self, hosts: list[Host]) -> State:
        """Put a new host list in force."""
        self._hosts.append(HostList(revision=self.state.hosts + 1, hosts=tuple(hosts)))
        return self._wake()

    def set_fault(self, fault: ReaderFault) -> None:
        """Set the fault of a reader, in place of an earlier one."""
        state = self.state
        self._faults[fault.reader] = _Frozen(fault=fault, records=state.records, hosts=state.hosts)
        self._wake()

    def heal(self) -> None:
        """Remove every fault."""
        self._faults.clear()
        self._wake()

    def read_records(self, reader: str, after: int, wait_ms: float) -> RecordPage:
        """Return the records changed after a revision, at most a megabyte of them."""
        self._await(reader, lambda: self._visible(reader).records > after, wait_ms)
        limit = self._visible(reader).records
        newest: dict[tuple[str, str], Envelope] = {}
        for envelope in self._records[:limit]:
            newest[envelope.kind, envelope.name] = envelope
        due = sorted(
            (each for each in newest.values() if each.revision > after),
            key=lambda each: each.revision,
        )
        return _page(due, limit)

    def read_hosts(self, reader: str, after: int, wait_ms: float) -> HostList:
        """Return the host list if it is newer than a revision, else an empty one."""
        self._await(reader, lambda: self._visible(reader).hosts > after, wait_ms)
        newest = self._hosts[self._visible(reader).hosts]
        return newest if newest.revision > after else HostList(revision=newest.revision, hosts=())

    def _visible(self, reader: str) -> State:
        frozen = self._faults.get(reader) or self._faults.get(_EVERY_READER)
        if frozen is None or not frozen.fault.stale:
            return self.state
        return State(records=frozen.records, hosts=frozen.hosts)

    def _await(self, reader: str, ready, wait_ms: float) -> None:
        self.calls[reader] += 1
        self._fail_or_lag(reader)
        with gevent.Timeout(min(wait_ms, _MAX_WAIT_MS) / 1000.0, False):
            while not ready():
                self._changed.wait()
                self._fail_or_lag(reader)

    def _fail_or_lag(self, reader: str) -> None:
        frozen = self._faults.get(reader) or self._faults.get(_EVERY_READER)
        if frozen is None:
            return
        if frozen.fault.outage:
            raise bottle.HTTPResponse(status=503)
        gevent.sleep(frozen.fault.lag_ms / 1000.0)

    def _wake(self) -> State:
        self._changed.set()
        self._changed = event.Event()
        return self.state


def _page(due: list[Envelope], revision: int) -> RecordPage:
    size = 0
    for index, envelope in enumerate(due):
        size += len(msgspec.json.encode(envelope)) + 1
        if size > _MAX_ANSWER_BYTES - 100 and index:
            page = due[:index]
            return RecordPage(revision=page[-1].revision, complete=False, records=page)
    return RecordPage(revision=revision, complete=True, records=due)


def make_app(platform: Platform) -> bottle.Bottle:
    """Return the WSGI application of a platform."""
    web = bottle.Bottle()

    def query() -> tuple[str, int, float]:
        values = bottle.request.query
        reader = bottle.request.get_header("X-Reader", "")
        return reader, int(values.get("after", 0)), float(values.get("wait_ms", 0))

    def respond(answer: object) -> bytes:
        bottle.response.content_type = "application/json"
        return msgspec.json.encode(answer)

    def posted(kind: type):
        return msgspec.json.decode(bottle.request.body.read(), type=kind)

    web.get("/v1/records")(lambda: respond(platform.read_records(*query())))
    web.get("/v1/hosts")(lambda: respond(platform.read_hosts(*query())))
    web.post("/control/publish")(lambda: respond(platform.publish(posted(Publication))))
    web.post("/control/hosts")(lambda: respond(platform.list_hosts(posted(list[Host]))))
    web.post("/control/fault")(lambda: respond(platform.set_fault(posted(ReaderFault))))
    web.get("/control/heal")(lambda: respond(platform.heal()))
    web.get("/control/calls")(lambda: respond(platform.calls))
    web.get("/control/state")(lambda: respond(platform.state))
    return web


def main(argv: list[str]) -> None:
    """Serve until the process is ended."""
    del argv
    server = serving.make_server(make_app(Platform()), port=_PORT.value)
    serving.announce(server.server_port)
    gevent.get_hub().join()


if __name__ == "__main__":
    app.run(main)
