"""Stand-in for the platform's store that runs as a process and can come back from an older copy.

A reader's base URL ends with ``/as/NAME``, so that its calls can be refused and counted by name.

The control paths, on a port of their own that is announced, take and return JSON. A POST to
``/control/put`` (a `Write`), to ``/control/delete`` (a `Removal`), to ``/control/leave`` (an
`Absence`) or to ``/control/faults`` (the `Faults`) changes the store; so does a GET of
``/control/copy``, ``/control/drop_history`` and ``/control/heal``. A GET of ``/control/state``
returns the `State`, and of ``/control/calls`` the number of calls by reader, path and status.
"""

if __name__ == "__main__":
    # Bottle keeps the request and the response in thread-local variables. They become local to a
    # greenlet only if threading is patched before Bottle is imported.
    from gevent import monkey

    monkey.patch_all()

import base64
import collections
import copy
import http.server
import socket
import struct
import time
import urllib.parse

import bottle
import gevent
import msgspec
from absl import app, flags
from gevent import event, server

from standins import serving

__all__ = ["Absence", "Faults", "Removal", "State", "Store", "Write"]

_PORT = flags.DEFINE_integer("store_port", 0, "Port for readers; 0 for any free port.")
_FIRST_REVISION = 10
_MAX_WAIT_S = 30.0
# With a linger time of 0, a closed connection is reset.
_LINGER_RESET = struct.pack("ii", 1, 0)
_ERA_HEADERS = {"number": "{era}", "text": "era-{era}", "none": ""}
# Statuses of `Faults.refused` that are no answer.
_RESET = 0
_SILENCE = -1
_EVERYBODY = "*"


class Write(msgspec.Struct, frozen=True, kw_only=True):
    """Value to write under a key, encoded as JSON."""

    key: str
    value: object


class Removal(msgspec.Struct, frozen=True, kw_only=True):
    """Key to remove."""

    key: str


class Absence(msgspec.Struct, frozen=True, kw_only=True):
    """Time in seconds during which the store refuses connections.

    With ``from_copy`` it comes back with the content and the counter of its copy, without a
    history, and its era is greater by one. With ``cut`` open connections are reset at once,
    otherwise waiting watches are answered after the return.
    """

    seconds: float = 0.0
    from_copy: bool = False
    cut: bool = True


class Faults(msgspec.Struct, frozen=True, kw_only=True):
    """Faults of the answers, all of which a later `Faults` replaces.

    Attributes
    ----------
    era_header : str
        ``number``, ``text`` (not a whole number) or ``none``.
    silent : bool
        Whether watches, also those that wait already, are never answered.
    hollow : bool
        Whether watches are answered without their events.
    refused : dict of str to int
        Status of each answer to a reader, ``*`` for all: 0 resets, -1 leaves the call unanswered.
    page_size : int
        Largest number of items on a page of a listing.
    page_delay_s : float
        Delay of each page in seconds.
    refused_pages : bool
        Whether every second page of a listing is answered with status 429.
    reads_per_s : float
        Calls of all readers a second beyond which calls get status 429; 0 for no limit.
    """

    era_header: str = "number"
    silent: bool = False
    hollow: bool = False
    refused: dict[str, int] = {}
    page_size: int = 500
    page_delay_s: float = 0.0
    refused_pages: bool = False
    reads_per_s: float = 0.0


class State(msgspec.Struct, frozen=True, kw_only=True):
    """Counter and era of the store, the port for readers, and whether it is away."""

    revision: int
    era: int
    port: int
    away: bool


class _Content(msgspec.Struct, kw_only=True):
    revision: int = _FIRST_REVISION
    items: dict[str, dict] = {}


class NotServedError(Exception):
    """The store is away."""


class Store:
    """Content, history and faults of the store.

    Attributes
    ----------
    faults : Faults
        Faults in force.
    calls : collections.Counter of str
        Number of answers by reader, path and status.
    """

    def __init__(self) -> None:
        self._content = _Content()
        self._copied = _Content()
        self._events: list[dict] = []
        self._oldest = _FIRST_REVISION
        self._era = 1
        self._changed = event.Event()
        self._pages = 0
        self._second = (0, 0)
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def revision(self) -> int:
        """Revision of the newest change."""
        return self._content.revision

    @property
    def era(self) -> int:
        """Number of returns from a copy, counted from 1."""
        return self._era

    def put(self, key: str, value: object) -> int:
        """Write a value, and return the store's revision."""
        self._content.revision += 1
        before = self._content.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(msgspec.json.encode(value)).decode(),
            "mod_revision": self.revision,
            "created_rev": self.revision if before is None else before["created_rev"],
            "lease": 0,
        }
        self._content.items[key] = item
        return self._add_event(item)

    def delete(self, key: str) -> int:
        """Remove a key if it exists, and return the store's revision."""
        if self._content.items.pop(key, None) is None:
            return self.revision
        self._content.revision += 1
        return self._add_event({"key": key, "mod_revision": self.revision, "deleted": True})

    def copy(self) -> int:
        """Keep the present content for a later return; return the store's revision."""
        self._copied = copy.deepcopy(self._content)
        return self.revision

    def come_back(self) -> int:
        """Replace the content by the copy, and begin a new era."""
        self._content = copy.deepcopy(self._copied)
        self._era += 1
        return self.drop_history()

    def drop_history(self) -> int:
        """Forget all events; watches from before now get status 410."""
        self._events = []
        self._oldest = self.revision
        return self._wake()

    def set_faults(self, faults: Faults) -> int:
        """Replace all faults."""
        self.faults = faults
        return self._wake()

    def era_header(self) -> str:
        """Return the value of the header that states the era; empty for none."""
        return _ERA_HEADERS[self.faults.era_header].format(era=self._era)

    def answer(self, caller: str, path: str, query: dict[str, str]) -> tuple[int, dict]:
        """Return status and body of the answer to a reader's call."""
        refused = self.faults.refused.get(caller, self.faults.refused.get(_EVERYBODY))
        if refused is not None:
            return refused, {}
        if self._is_over_rate():
            return 429, {}
        calls = {"kv-key": self._key, "kv-range": self._range, "kv-watch": self._watch}
        prefix, _, name = path.rpartition("/")
        if prefix != "/verbenadrum" or name not in calls:
            return 404, {}
        return calls[name](query)

    def _is_over_rate(self) -> bool:
        second, count = self._second
        now = int(time.monotonic())
        self._second = (now, count + 1 if now == second else 1)
        return 0 < self.faults.reads_per_s < self._second[1]

    def _key(self, query: dict[str, str]) -> tuple[int, dict]:
        item = self._content.items.get(query["key"])
        return (404, {}) if item is None else (200, {**item, "current_rev": self.revision})

    def _range(self, query: dict[str, str]) -> tuple[int, dict]:
        gevent.sleep(self.faults.page_delay_s)
        self._pages += 1
        if self.faults.refused_pages and self._pages % 2 == 0:
            return 429, {}
        keys = sorted(key for key in self._content.items if key.startswith(query["prefix"]))
        keys = [key for key in keys if key > query.get("after", "")]
        size = self.faults.page_size
        return 200, {
            "items": [self._content.items[key] for key in keys[:size]],
            "more_pages": len(keys) > size,
            "current_rev": self.revision,
        }

    def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query["after"])
        end = time.monotonic() + min(_MAX_WAIT_S, float(query["wait_ms"]) / 1000.0)
        while True:
            if not self._oldest <= after <= self.revision:
                return 410, {}
            found = [
                each
                for each in self._events
                if each["mod_revision"] > after and each["key"].startswith(query["prefix"])
            ]
            left_s = end - time.monotonic()
            if self.faults.silent:
                return _SILENCE, {}
            if found or left_s <= 0:
                events = [] if self.faults.hollow else found
                return 200, {"events": events, "current_rev": self.revision}
            self._changed.wait(left_s)

    def _add_event(self, item: dict) -> int:
        self._events.append(item)
        return self._wake()

    def _wake(self) -> int:
        self._changed.set()
        self._changed = event.Event()
        return self.revision


class _Call(http.server.BaseHTTPRequestHandler):
    """Connection of a reader; the attribute ``server`` is the `Listener`."""

    protocol_version = "HTTP/1.1"
    wbufsize = -1
    disable_nagle_algorithm = True

    def do_GET(self) -> None:  # noqa: N802 (name set by http.server)
        """Answer one call."""
        parts = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        caller, _, rest = parts.path.removeprefix("/as/").partition("/")
        status, body = self.server.store.answer(caller, f"/{rest}", query)
        if self.server.away:
            status = _RESET
        name = rest.rpartition("/")[2]
        self.server.store.calls[f"{caller} {name} {status}"] += 1
        if status == _SILENCE:
            gevent.sleep(_MAX_WAIT_S)
        if status <= _RESET:
            raise ConnectionResetError
        data = msgspec.json.encode(body)
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        if era := self.server.store.era_header():
            self.send_header("Store-Era", era)
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()

    def log_message(self, *args: object) -> None:
        """Suppress the access log of the base class."""


class Listener:
    """Serves a store to readers, at the same port after each absence.

    Parameters
    ----------
    store : Store
        The store.
    port : int
        Port for readers; 0 for any free port.
    """

    def __init__(self, *, store: Store, port: int) -> None:
        self.store = store
        self.port = port
        self.away = False
        self._connections: set[socket.socket] = set()
        self._server: server.StreamServer | None = None

    def start(self) -> None:
        """Accept connections."""
        self._server = server.StreamServer((serving.LOOPBACK, self.port), self._serve)
        self._server.reuse_addr = 1
        self._server.start()
        self.port = self._server.server_port
        self.away = False

    def leave(self, absence: Absence) -> int:
        """Be away for a while; return the store's revision after the return."""
        self._server.close()
        if absence.cut:
            self.away = True
            for connection in list(self._connections):
                _reset(connection)
        gevent.sleep(absence.seconds)
        if absence.from_copy:
            self.store.come_back()
        self.start()
        return self.store.revision

    def _serve(self, connection: socket.socket, address: tuple) -> None:
        self._connections.add(connection)
        try:
            _Call(connection, address, self)
        except (OSError, ValueError):
            _reset(connection)
        finally:
            self._connections.discard(connection)
            connection.close()


def _reset(connection: socket.socket) -> None:
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def make_app(store: Store, listener: Listener) -> bottle.Bottle:
    """Return the WSGI application that serves the control paths."""
    web = bottle.Bottle()

    def respond(answer: object) -> bytes:
        bottle.response.content_type = "application/json"
        return msgspec.json.encode(answer)

    def state() -> State:
        return State(revision=store.revision, era=store.era, port=listener.port, away=listener.away)

    def change(path: str, kind: type, action, *, while_away: bool = False) -> None:
        def run() -> bytes:
            if listener.away and not while_away:
                raise bottle.HTTPResponse(status=503)
            action(msgspec.json.decode(bottle.request.body.read(), type=kind))
            return respond(state())

        web.post(path)(run)

    def order(path: str, action) -> None:
        def run() -> bytes:
            action()
            return respond(state())

        web.get(path)(run)

    change("/control/put", Write, lambda each: store.put(each.key, each.value))
    change("/control/delete", Removal, lambda each: store.delete(each.key))
    change("/control/leave", Absence, listener.leave)
    change("/control/faults", Faults, store.set_faults, while_away=True)
    order("/control/copy", store.copy)
    order("/control/drop_history", store.drop_history)
    order("/control/heal", lambda: store.set_faults(Faults()))
    order("/control/state", lambda: None)
    web.get("/control/calls")(lambda: respond(store.calls))
    return web


def main(argv: list[str]) -> None:
    """Serve until the process is terminated."""
    del argv
    store = Store()
    listener = Listener(store=store, port=_PORT.value)
    listener.start()
    control = serving.make_server(make_app(store, listener))
    serving.announce(control.server_port)
    gevent.get_hub().join()


if __name__ == "__main__":
    app.run(main)
