"""HTTP server with prepared answers, in a thread, for tests without sockets patched by gevent."""

import contextlib
import http.server
import threading
from collections.abc import Callable, Iterator

import msgspec

__all__ = ["Answer", "CannedServer", "serve"]

_SHUTDOWN_POLL_S = 0.01


class Answer(msgspec.Struct, frozen=True):
    """Prepared answer: body, status code, and names and values of further headers."""

    body: bytes
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()


class CannedServer(msgspec.Struct, kw_only=True):
    """Running server.

    Attributes
    ----------
    address : str
        ``ip:port`` of its listener.
    requests : list of (str, str or None)
        Path with query, and ``X-Reader`` header, of each request so far.
    """

    address: str
    requests: list[tuple[str, str | None]] = msgspec.field(default_factory=list)

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self.address}"


@contextlib.contextmanager
def serve(answer: Callable[[str], Answer]) -> Iterator[CannedServer]:
    """Serve on a free loopback port until the context is left.

    Parameters
    ----------
    answer : callable
        Returns the answer to a GET of a path with its query.

    Yields
    ------
    CannedServer
        Address of the server, and the requests that it has received.
    """

    class Handler(http.server.BaseHTTPRequestHandler):
        """Handler that answers every GET."""

        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:  # noqa: N802 (name set by http.server)
            """Record the request and send the prepared answer."""
            canned.requests.append((self.path, self.headers["X-Reader"]))
            prepared = answer(self.path)
            self.send_response(prepared.status)
            self.send_header("Content-Length", str(len(prepared.body)))
            for name, value in prepared.headers:
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(prepared.body)

        def log_message(self, *args: object) -> None:
            """Suppress the access log of the base class."""

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    canned = CannedServer(address=f"127.0.0.1:{server.server_port}")
    thread = threading.Thread(target=server.serve_forever, args=(_SHUTDOWN_POLL_S,), daemon=True)
    thread.start()
    try:
        yield canned
    finally:
        server.shutdown()
        server.server_close()
        thread.join()
