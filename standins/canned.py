"""HTTP server in a thread that gives prepared answers, for tests without cooperative sockets."""

import contextlib
import http.server
import threading
from collections.abc import Callable, Iterator

import msgspec

__all__ = ["Answer", "Canned", "serving"]

_POLL_S = 0.01


class Answer(msgspec.Struct, frozen=True):
    """A prepared answer."""

    body: bytes
    status: int = 200


class Canned(msgspec.Struct, kw_only=True):
    """A running server: its address and the (path, reader) of each request seen."""

    address: str
    seen: list[tuple[str, str | None]] = msgspec.field(default_factory=list)

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self.address}"


@contextlib.contextmanager
def serving(answer: Callable[[str], Answer]) -> Iterator[Canned]:
    """Serve on a free loopback port; ``answer`` takes the path with its query."""

    class Handler(http.server.BaseHTTPRequestHandler):
        """Answers every GET."""

        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:  # noqa: N802 (the library's name)
            """Record the request and give the prepared answer."""
            running.seen.append((self.path, self.headers["X-Reader"]))
            prepared = answer(self.path)
            self.send_response(prepared.status)
            self.send_header("Content-Length", str(len(prepared.body)))
            self.end_headers()
            self.wfile.write(prepared.body)

        def log_message(self, *args: object) -> None:
            """Print nothing."""

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    running = Canned(address=f"127.0.0.1:{server.server_port}")
    thread = threading.Thread(target=server.serve_forever, args=(_POLL_S,), daemon=True)
    thread.start()
    try:
        yield running
    finally:
        server.shutdown()
        server.server_close()
        thread.join()
