"""Runs the stand-in whose responses never end, for tests of every HTTP client of the daemon."""

import itertools
import time

import gevent
import msgspec
import pytest

from standins import child, endless, serving
from verbenadrum.daemon.tests import test_upstream

HEAD = test_upstream.HEAD.decode()
CHUNKED = f"{HEAD}Transfer-Encoding: chunked\r\n\r\n"
# Endless data that is not a valid response: its beginning, then the part that is repeated and how
# often it is repeated in one send.
INVALID_RESPONSES = {
    "status-line": ("HTTP/1.1 200 ", "x", 8_192),
    "one-line": ("", "x", 8_192),
    "junk-lines": ("", "junk\r\n", 1_000),
    "header-lines": (HEAD, "X-More: 1\r\n", 1_000),
    "long-headers": (HEAD, f"X-More: {'x' * 60_000}\r\n", 1),
    "interim-heads": ("", "HTTP/1.1 100 Continue\r\n\r\n", 1_000),
    "chunk-extension": (f"{CHUNKED}5;", "x", 8_192),
    "negative-chunk": (f"{CHUNKED}-1\r\n", "x", 65_536),
    "trailers": (f"{CHUNKED}0\r\n", "X-More: 1\r\n", 1_000),
}
# Endless or very long bodies, as above.
BODIES = {
    "chunks": (CHUNKED, f"2710\r\n{'x' * 10_000}\r\n", 8),
    "small-chunks": (CHUNKED, "1\r\nx\r\n", 8_192),
    "unframed": (f"{HEAD}\r\n", "x", 65_536),
    "length": (f"{HEAD}Content-Length: 999999999999\r\n\r\n", "x", 65_536),
}
# Responses that are sent slowly: their beginning, then the part that is repeated after each pause.
SLOW_RESPONSES = {
    "status-line": ("HTTP/1.1 200 ", "x"),
    "one-line": ("", "x"),
    "header-line": (f"{HEAD}X-More: ", "x"),
    "interim-heads": ("", "HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk-extension": (f"{CHUNKED}5;", "x"),
    "trailers": (f"{CHUNKED}0\r\n", "X-More: 1\r\n"),
    "chunks": (CHUNKED, "1\r\nx\r\n"),
    "unframed": (f"{HEAD}\r\n", "x"),
    "short-length": (f"{HEAD}Content-Length: 5000\r\n\r\n", "x"),
    "long-length": (f"{HEAD}Content-Length: 5000000\r\n\r\n", "x"),
}
# More than the socket buffers of both sides of a connection hold.
BUFFER_LIMIT_BYTES = 48_000_000
_CLOSE_TIMEOUT_S = 2.0
_name_numbers = itertools.count()


class EndlessServer:
    """Stand-in process that sends ``first``, then ``piece`` repeatedly until the client closes."""

    def __init__(self, directory, first, piece, repeats=1, *, pause_s=0.0):
        options = (f"--first={first}", f"--piece={piece}")
        numbers = (f"--repeats={repeats}", f"--pause_s={pause_s}")
        self.process = child.Child(
            name=f"endless{next(_name_numbers)}",
            arguments=("-m", "standins.endless", *options, *numbers),
            directory=directory,
        )
        self.address = f"{serving.LOOPBACK}:{self.process.read_port()}"

    def events(self, name):
        json_lines = self.process.stdout.read_bytes().splitlines()[1:]
        events = [msgspec.json.decode(line, type=endless.Event) for line in json_lines]
        return [event for event in events if event.name == name]

    def await_closed(self, count=1):
        """Wait until the client has closed ``count`` connections; return the bytes sent on each."""
        with gevent.Timeout(_CLOSE_TIMEOUT_S):
            while len(self.events("closed")) < count:
                gevent.sleep(0.01)
        return [event.sent for event in self.events("closed")]


class Ticker:
    """Measures the longest time for which other greenlets were blocked, in processor seconds."""

    def __init__(self):
        self.longest_s = 0.0
        self._greenlet = gevent.spawn(self._run)

    def _run(self):
        while True:
            # Wall time would include the time that the machine spends on other processes.
            started_s = time.process_time()
            gevent.sleep(0.005)
            self.longest_s = max(self.longest_s, time.process_time() - started_s)

    def stop(self):
        self._greenlet.kill()
        return self.longest_s


@pytest.fixture
def serve(tmp_path):
    running = []

    def start(*args, **options):
        running.append(EndlessServer(tmp_path, *args, **options))
        return running[-1]

    yield start
    for server in running:
        server.process.kill()
