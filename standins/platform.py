"""Stand-in for the platform: serves records and the host list over HTTP, with faults per reader.

Readers call ``/v1/records`` and ``/v1/hosts`` with a revision (``after``), its generation
(``generation``, 0 by default) and the time to wait for a newer one (``wait_ms``); the header
``X-Reader`` holds the name of the reader. A reader of another generation gets everything.

The control paths take and return JSON. A POST to ``/control/publish`` (a `Publication`) publishes
a record, to ``/control/hosts`` (a list of `Host`) a host list, and to ``/control/fault`` (a
`ReaderFault`) sets a fault. A GET of ``/control/heal`` removes all faults, of ``/control/calls``
returns the number of calls by reader, and of ``/control/state`` the `State`. A GET of
``/control/copy`` makes a copy of all that is published, ``/control/away`` lets reads and
publications be answered with status 503, and ``/control/return`` ends that with what the copy
holds, in a new generation. What was published since the copy is lost, and its revisions are given
out again.
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
    """Record to publish; a ``spec`` of None withdraws the record.

    ``order`` is its place among all that its writer has published, or None to state none.
    """

    kind: str
    name: str
    spec: dict | None
    schema: int = 2
    order: tuple[int, int] | None = None


class Envelope(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Published record in the form in which readers receive it."""

    kind: str
    name: str
    revision: int
    schema: int
    spec: dict | None
    order: tuple[int, int] | None = None


class Host(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of the host list."""

    host: str
    address: str
    data_centre: str
    region: str
    state: str = "live"


class HostList(msgspec.Struct, frozen=True, kw_only=True):
    """The host list at one revision of a generation."""

    revision: int
    hosts: tuple[Host, ...]
    generation: int = 0


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
    generation : int
        How often the platform has come back from an older copy.
    """

    revision: int
    complete: bool
    records: list[Envelope]
    generation: int


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
    """Newest revision of the records and of the host list, and the generation of both."""

    records: int
    hosts: int
    generation: int = 0


class _History(msgspec.Struct, frozen=True, kw_only=True):
    """What has been published up to a state; later publications are appended to the same lists."""

    state: State
    records: list[Envelope]
    hosts: list[HostList]


class _ActiveFault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault, and what had been published at the time when it was set."""

    fault: ReaderFault
    seen: _History


class Platform:
    """All revisions of the records and of the host list.

    Attributes
    ----------
    calls : collections.Counter of str
        Number of reads by reader, refused reads included.
    """

    def __init__(self) -> None:
        self._generation = 0
        self._records: list[Envelope] = []
        self._hosts: list[HostList] = [HostList(revision=0, hosts=())]
        self._copy = self._newest()
        self._away = False
        self._faults: dict[str, _ActiveFault] = {}
        self._changed = event.Event()
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def state(self) -> State:
        """Newest revision of the records and of the host list, and the generation of both."""
        return State(
            records=len(self._records),
            hosts=self._hosts[-1].revision,
            generation=self._generation,
        )

    def publish(self, publication: Publication) -> State:
        """Publish a new revision of a record, and return the newest revisions.

        Raises
        ------
        bottle.HTTPResponse
            With status 503 while the platform is away.
        """
        self._check_present()
        self._records.append(
            Envelope(
                kind=publication.kind,
                name=publication.name,
                revision=len(self._records) + 1,
                schema=publication.schema,
                spec=publication.spec,
                order=publication.order,
            )
        )
        return self._notify_readers()

    def publish_hosts(self, hosts: list[Host]) -> State:
        """Publish a new host list, and return the newest revisions.

        Raises
        ------
        bottle.HTTPResponse
            With status 503 while the platform is away.
        """
        self._check_present()
        revision = self.state.hosts + 1
        self._hosts.append(HostList(revision=revision, hosts=tuple(hosts)))
        return self._notify_readers()

    def make_copy(self) -> State:
        """Copy all that is published, in place of an earlier copy, and return the state."""
        self._copy = self._newest()
        return self.state

    def leave(self) -> State:
        """Answer every read and publication with status 503, until the return from the copy."""
        self._away = True
        return self._notify_readers()

    def return_from_copy(self) -> State:
        """Publish what the copy holds and nothing else, in a new generation; return the state."""
        copy = self._copy
        self._records = copy.records[: copy.state.records]
        self._hosts = copy.hosts[: copy.state.hosts + 1]
        self._generation += 1
        self._away = False
        return self._notify_readers()

    def set_fault(self, fault: ReaderFault) -> None:
        """Set the fault of a reader, in place of its earlier fault."""
        self._faults[fault.reader] = _ActiveFault(fault=fault, seen=self._newest())
        self._notify_readers()

    def heal(self) -> None:
        """Remove all faults."""
        self._faults.clear()
        self._notify_readers()

    def read_records(
        self, reader: str, after: int, wait_ms: float, generation: int = 0
    ) -> RecordPage:
        """Return the records that changed after a revision, at most one megabyte of them.

        A reader of another generation gets all records.

        Parameters
        ----------
        reader : str
            Name of the reader.
        after : int
            Newest revision that the reader has.
        wait_ms : float
            Time in milliseconds to wait for a newer revision; then an empty page is returned.
        generation : int
            Generation of ``after``.

        Raises
        ------
        bottle.HTTPResponse
            With status 503 during an outage, and while the platform is away.
        """

        def is_available() -> bool:
            state = self._visible(reader).state
            return state.generation != generation or state.records > after

        self._wait_for_change(reader, is_available, wait_ms)
        visible = self._visible(reader)
        start = after if visible.state.generation == generation else 0
        newest: dict[tuple[str, str], Envelope] = {}
        for envelope in visible.records[: visible.state.records]:
            newest[envelope.kind, envelope.name] = envelope
        changed = sorted(
            (envelope for envelope in newest.values() if envelope.revision > start),
            key=lambda envelope: envelope.revision,
        )
        return _make_page(changed, visible.state)

    def read_hosts(self, reader: str, after: int, wait_ms: float, generation: int = 0) -> HostList:
        """Return the host list if it is newer than a revision, otherwise an empty list.

        A reader of another generation gets the list.

        Parameters
        ----------
        reader : str
            Name of the reader.
        after : int
            Revision of the host list that the reader has.
        wait_ms : float
            Time in milliseconds to wait for a newer revision.
        generation : int
            Generation of ``after``.

        Raises
        ------
        bottle.HTTPResponse
            With status 503 during an outage, and while the platform is away.
        """

        def is_available() -> bool:
            state = self._visible(reader).state
            return state.hosts > (after if state.generation == generation else 0)

        self._wait_for_change(reader, is_available, wait_ms)
        visible = self._visible(reader)
        newest = visible.hosts[visible.state.hosts]
        return HostList(
            revision=newest.revision,
            hosts=newest.hosts if is_available() else (),
            generation=visible.state.generation,
        )

    def _newest(self) -> _History:
        return _History(state=self.state, records=self._records, hosts=self._hosts)

    def _visible(self, reader: str) -> _History:
        """Return what a reader sees."""
        active_fault = self._faults.get(reader) or self._faults.get(_EVERY_READER)
        if active_fault is None or not active_fault.fault.stale:
            return self._newest()
        return active_fault.seen

    def _wait_for_change(self, reader: str, is_available, wait_ms: float) -> None:
        self.calls[reader] += 1
        self._check_present()
        self._apply_fault(reader)
        with gevent.Timeout(min(wait_ms, _MAX_WAIT_MS) / 1000.0, False):
            while not is_available():
                self._changed.wait()
                self._check_present()
                self._apply_fault(reader)

    def _check_present(self) -> None:
        if self._away:
            raise bottle.HTTPResponse(status=503)

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


def _make_page(changed: list[Envelope], state: State) -> RecordPage:
    size = 0
    for index, envelope in enumerate(changed):
        size += len(msgspec.json.encode(envelope)) + 1
        if size > _MAX_ANSWER_BYTES - 100 and index:
            page = changed[:index]
            return RecordPage(
                revision=page[-1].revision,
                complete=False,
                records=page,
                generation=state.generation,
            )
    return RecordPage(
        revision=state.records, complete=True, records=changed, generation=state.generation
    )


def make_app(platform: Platform) -> bottle.Bottle:
    """Return the WSGI application that serves a platform and its control paths."""
    web = bottle.Bottle()

    def read_query() -> tuple[str, int, float, int]:
        values = bottle.request.query
        reader = bottle.request.get_header("X-Reader", "")
        wait_ms = float(values.get("wait_ms", 0))
        return reader, int(values.get("after", 0)), wait_ms, int(values.get("generation", 0))

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
    web.get("/control/copy")(lambda: respond(platform.make_copy()))
    web.get("/control/away")(lambda: respond(platform.leave()))
    web.get("/control/return")(lambda: respond(platform.return_from_copy()))
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
