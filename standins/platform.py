"""Stand-in for the platform: serves records and the host list over HTTP, with faults per reader.

Readers call ``/v1/records`` and ``/v1/hosts`` with a revision (``after``) and the time to wait for
a newer one (``wait_ms``); the header ``X-Reader`` holds the name of the reader.

The control paths take and return JSON. A POST to ``/control/publish`` (a `Publication`) publishes
a record, to ``/control/hosts`` (a list of `Host`) a host list, and to ``/control/fault`` (a
`ReaderFault`) sets a fault. A GET of ``/control/heal`` removes all faults, of ``/control/calls``
returns the number of calls by reader, and of ``/control/state`` the `State`.
"""

if __name__ == "__main__":
    # Bottle keeps the request and the response in thread-local variables. They become local to a
    # greenlet only if threading is patched before Bottle is imported.
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
_PORT = flags.DEFINE_integer("platform_port", 0, "Port to listen on; 0 for any free port.")


class Publication(msgspec.Struct, frozen=True, kw_only=True):
    """Record to publish; a ``spec`` of None withdraws the record."""

    kind: str
    name: str
    spec: dict | None
    schema: int = 2


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """Published record in the form in which readers receive it."""

    kind: str
    name: str
    revision: int
    schema: int
    spec: dict | None


class Host(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of the host list."""

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
    """Answer to a read of records.

    Attributes
    ----------
    revision : int
        Revision up to which the page holds every change.
    complete : bool
        Whether no further page follows.
    records : list of Envelope
        Newest version of each changed record, in the order of their revisions.
    """

    revision: int
    complete: bool
    records: list[Envelope]


class ReaderFault(msgspec.Struct, frozen=True, kw_only=True):
    """Fault of the answers to one reader.

    Attributes
    ----------
    reader : str
        Name of the reader, or ``*`` for every reader without a fault of its own.
    outage : bool
        Whether each call is answered with status 503.
    lag_ms : float
        Delay of each answer in milliseconds.
    stale : bool
        Whether the reader sees nothing that was published after the fault was set.
    """

    reader: str = _EVERY_READER
    outage: bool = False
    lag_ms: float = 0.0
    stale: bool = False


class State(msgspec.Struct, frozen=True, kw_only=True):
    """Newest revision of the records and of the host list."""

    records: int
    hosts: int


# A fault, and the newest revisions at the time when it was set.
class _ActiveFault(msgspec.Struct, frozen=True, kw_only=True):
    fault: ReaderFault
    records: int
    hosts: int


class Platform:
    """All revisions of the records and of the host list.

    Attributes
    ----------
    calls : collections.Counter of str
        Number of reads by reader, refused reads included.
    """

    def __init__(self) -> None:
        self._records: list[Envelope] = []
        self._hosts: list[HostList] = [HostList(revision=0, hosts=())]
        self._faults: dict[str, _ActiveFault] = {}
        self._changed = event.Event()
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def state(self) -> State:
        """Newest revision of the records and of the host list."""
        return State(records=len(self._records), hosts=self._hosts[-1].revision)

    def publish(self, publication: Publication) -> State:
        """Publish a new revision of a record, and return the newest revisions."""
        self._records.append(
            Envelope(
                kind=publication.kind,
                name=publication.name,
                revision=len(self._records) + 1,
                schema=publication.schema,
                spec=publication.spec,
            )
        )
        return self._notify_readers()

    def publish_hosts(self, hosts: list[Host]) -> State:
        """Publish a new host list, and return the newest revisions."""
        self._hosts.append(HostList(revision=self.state.hosts + 1, hosts=tuple(hosts)))
        return self._notify_readers()

    def set_fault(self, fault: ReaderFault) -> None:
        """Set the fault of a reader, in place of its earlier fault."""
        state = self.state
        self._faults[fault.reader] = _ActiveFault(
            fault=fault, records=state.records, hosts=state.hosts
        )
        self._notify_readers()

    def heal(self) -> None:
        """Remove all faults."""
        self._faults.clear()
        self._notify_readers()

    def read_records(self, reader: str, after: int, wait_ms: float) -> RecordPage:
        """Return the records that changed after a revision, at most one megabyte of them.

        Parameters
        ----------
        reader : str
            Name of the reader.
        after : int
            Newest revision that the reader has.
        wait_ms : float
            Time in milliseconds to wait for a newer revision; then an empty page is returned.

        Raises
        ------
        bottle.HTTPResponse
            With status 503 during an outage.
        """
        self._wait_for_change(reader, lambda: self._visible_state(reader).records > after, wait_ms)
        visible_revision = self._visible_state(reader).records
        newest: dict[tuple[str, str], Envelope] = {}
        for envelope in self._records[:visible_revision]:
            newest[envelope.kind, envelope.name] = envelope
        changed = sorted(
            (envelope for envelope in newest.values() if envelope.revision > after),
            key=lambda envelope: envelope.revision,
        )
        return _make_page(changed, visible_revision)

    def read_hosts(self, reader: str, after: int, wait_ms: float) -> HostList:
        """Return the host list if it is newer than a revision, otherwise an empty list.

        Parameters
        ----------
        reader : str
            Name of the reader.
        after : int
            Revision of the host list that the reader has.
        wait_ms : float
            Time in milliseconds to wait for a newer revision.

        Raises
        ------
        bottle.HTTPResponse
            With status 503 during an outage.
        """
        self._wait_for_change(reader, lambda: self._visible_state(reader).hosts > after, wait_ms)
        newest = self._hosts[self._visible_state(reader).hosts]
        return newest if newest.revision > after else HostList(revision=newest.revision, hosts=())

    def _visible_state(self, reader: str) -> State:
        active_fault = self._faults.get(reader) or self._faults.get(_EVERY_READER)
        if active_fault is None or not active_fault.fault.stale:
            return self.state
        return State(records=active_fault.records, hosts=active_fault.hosts)

    def _wait_for_change(self, reader: str, is_available, wait_ms: float) -> None:
        self.calls[reader] += 1
        self._apply_fault(reader)
        with gevent.Timeout(min(wait_ms, _MAX_WAIT_MS) / 1000.0, False):
            while not is_available():
                self._changed.wait()
                self._apply_fault(reader)

    def _apply_fault(self, reader: str) -> None:
        active_fault = self._faults.get(reader) or self._faults.get(_EVERY_READER)
        if active_fault is None:
            return
        if active_fault.fault.outage:
            raise bottle.HTTPResponse(status=503)
        gevent.sleep(active_fault.fault.lag_ms / 1000.0)

    def _notify_readers(self) -> State:
        self._changed.set()
        self._changed = event.Event()
        return self.state


def _make_page(changed: list[Envelope], revision: int) -> RecordPage:
    size = 0
    for index, envelope in enumerate(changed):
        size += len(msgspec.json.encode(envelope)) + 1
        if size > _MAX_ANSWER_BYTES - 100 and index:
            page = changed[:index]
            return RecordPage(revision=page[-1].revision, complete=False, records=page)
    return RecordPage(revision=revision, complete=True, records=changed)


def make_app(platform: Platform) -> bottle.Bottle:
    """Return the WSGI application that serves a platform and its control paths."""
    web = bottle.Bottle()

    def read_query() -> tuple[str, int, float]:
        values = bottle.request.query
        reader = bottle.request.get_header("X-Reader", "")
        return reader, int(values.get("after", 0)), float(values.get("wait_ms", 0))

    def respond(answer: object) -> bytes:
        bottle.response.content_type = "application/json"
        return msgspec.json.encode(answer)

    def decode_body(kind: type):
        return msgspec.json.decode(bottle.request.body.read(), type=kind)

    web.get("/v1/records")(lambda: respond(platform.read_records(*read_query())))
    web.get("/v1/hosts")(lambda: respond(platform.read_hosts(*read_query())))
    web.post("/control/publish")(lambda: respond(platform.publish(decode_body(Publication))))
    web.post("/control/hosts")(lambda: respond(platform.publish_hosts(decode_body(list[Host]))))
    web.post("/control/fault")(lambda: respond(platform.set_fault(decode_body(ReaderFault))))
    web.get("/control/heal")(lambda: respond(platform.heal()))
    web.get("/control/calls")(lambda: respond(platform.calls))
    web.get("/control/state")(lambda: respond(platform.state))
    return web


def main(argv: list[str]) -> None:
    """Serve until the process is terminated."""
    del argv
    server = serving.make_server(make_app(Platform()), port=_PORT.value)
    serving.announce(server.server_port)
    gevent.get_hub().join()


if __name__ == "__main__":
    app.run(main)
