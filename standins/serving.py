"""HTTP server of a stand-in on a loopback port, and the client for its control paths."""

import socket
import sys

import msgspec
import urllib3
from gevent import pywsgi

__all__ = ["Announcement", "CallError", "LOOPBACK", "announce", "call", "make_server"]

LOOPBACK = "127.0.0.1"
_DEFAULT_TIMEOUT_S = 5.0
_http_pool = urllib3.PoolManager(num_pools=256, maxsize=4, retries=False)


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """First line that a stand-in prints to standard output, as JSON: its port."""

    port: int


class CallError(Exception):
    """Raised if a call to a process on loopback fails or is answered with an error status."""


class _NoDelayServer(pywsgi.WSGIServer):
    """WSGI server without Nagle's algorithm, which would delay the body of each answer."""

    def do_read(self):
        accepted = super().do_read()
        if accepted is not None:
            accepted[0].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return accepted


def make_server(app: object, *, port: int = 0) -> pywsgi.WSGIServer:
    """Start a server of a WSGI application on loopback, and return it.

    Parameters
    ----------
    app : object
        WSGI application.
    port : int
        Port to listen on; 0 for any free port.
    """
    server = _NoDelayServer((LOOPBACK, port), app, log=None, error_log=sys.stderr)
    server.start()
    return server


def announce(port: int) -> None:
    """Print the `Announcement` of a port to standard output as one JSON line."""
    print(msgspec.json.encode(Announcement(port=port)).decode(), flush=True)


def call(port: int, path: str, message: object = None, *, timeout_s: float = _DEFAULT_TIMEOUT_S):
    """Call a path of a process on loopback, and return its decoded JSON answer.

    Parameters
    ----------
    port : int
        Port on which the process listens.
    path : str
        Path and query.
    message : object
        Body to post as JSON; None for a GET.
    timeout_s : float
        Timeout in seconds for the connection and for each read.

    Returns
    -------
    object
        Decoded body, or None if the body is empty.

    Raises
    ------
    CallError
        If there is no answer in time, or its status is 400 or more.
    """
    body = None if message is None else msgspec.json.encode(message)
    method = "GET" if body is None else "POST"
    url = f"http://{LOOPBACK}:{port}{path}"
    try:
        answer = _http_pool.request(method, url, body=body, timeout=timeout_s)
    except urllib3.exceptions.HTTPError as error:
        raise CallError(f"{method} {url}: {error}") from error
    if answer.status >= 400:
        raise CallError(f"{method} {url}: status {answer.status}")
    return msgspec.json.decode(answer.data) if answer.data else None
