"""Stand-in for a server whose answer never ends: it sends until the peer closes the connection.

A connection is answered with ``--first`` and then with ``--piece`` repeatedly. Each request, and
each connection that the peer has closed, is printed to standard output as one JSON line.
"""

import socketserver
import threading
import time

import msgspec
from absl import app, flags

from standins import serving

__all__ = ["Event"]

_FIRST = flags.DEFINE_string("first", "", "Start of an answer.")
_PIECE = flags.DEFINE_string("piece", "x", "Text that is repeated after the start.")
_REPEATS = flags.DEFINE_integer("repeats", 1, "Number of pieces in one send.")
_PAUSE_S = flags.DEFINE_float("pause_s", 0.0, "Pause between two sends in seconds.")

_BLOCK_BYTES = 65_536
_output_lock = threading.Lock()


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """Event of a connection: ``requested`` or ``closed``, with the bytes sent on it so far."""

    name: str
    sent: int


class _Connection(socketserver.BaseRequestHandler):
    """Handler of one connection; it does not read again once its answer has started."""

    def handle(self) -> None:
        """Answer one request until sending fails."""
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
    """Server that handles each connection in a thread."""

    daemon_threads = True
    disable_nagle_algorithm = True


def _print(event: Event) -> None:
    # Each connection has its own thread, and `print` writes the line and its end separately.
    with _output_lock:
        print(msgspec.json.encode(event).decode(), flush=True)


def main(argv: list[str]) -> None:
    """Serve until the process is terminated."""
    del argv
    with _Server((serving.LOOPBACK, 0), _Connection) as server:
        serving.announce(server.server_address[1])
        server.serve_forever()


if __name__ == "__main__":
    app.run(main)
