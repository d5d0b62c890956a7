"""Stand-in for a server whose answer never ends: it sends until the other side closes.

Each request on a connection gets ``--first`` and then ``--piece`` over and over. One JSON line on
standard output tells of each request and of each connection that the other side closed.
"""

import socketserver
import time

import msgspec
from absl import app, flags

from standins import serving

__all__ = ["Event"]

_FIRST = flags.DEFINE_string("first", "", "What an answer begins with.")
_PIECE = flags.DEFINE_string("piece", "x", "What follows, over and over.")
_REPEATS = flags.DEFINE_integer("repeats", 1, "Pieces sent at a time.")
_PAUSE_S = flags.DEFINE_float("pause_s", 0.0, "Seconds between two sends.")

_BLOCK_BYTES = 65_536


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """What a connection has come to: ``requested`` or ``closed``, and the bytes sent on it."""

    name: str
    sent: int


class _Connection(socketserver.BaseRequestHandler):
    """One connection; it is not read again once its answer has begun."""

    def handle(self) -> None:
        """Answer one request without end."""
        if not self.request.recv(_BLOCK_BYTES):
            return
        sent = 0
        _print(Event(name="requested", sent=sent))
        data = _FIRST.value.encode()
        piece = _PIECE.value.encode() * _REPEATS.value
        try:
            while True:
                self.request.sendall(data)
                sent += len(data)
                data = piece
                time.sleep(_PAUSE_S.value)
        except OSError:
            _print(Event(name="closed", sent=sent))


class _Server(socketserver.ThreadingTCPServer):
    """Serves each connection in a thread."""

    daemon_threads = True
    disable_nagle_algorithm = True


def _print(event: Event) -> None:
    print(msgspec.json.encode(event).decode(), flush=True)


def main(argv: list[str]) -> None:
    """Serve until the process is ended."""
    del argv
    with _Server((serving.LOOPBACK, 0), _Connection) as server:
        serving.announce(server.server_address[1])
        server.serve_forever()


if __name__ == "__main__":
    app.run(main)
