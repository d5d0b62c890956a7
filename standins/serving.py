"""Serving of a stand-in on a loopback port, and the calls to its control paths."""

import socket
import sys

import msgspec
import urllib3
from gevent import pywsgi

__all__ = ["Announcement", "CallError", "LOOPBACK", "announce", "call", "make_server"]

LOOPBACK = "127.0.0.1"
_CALL_TIMEOUT_S = 5.0
_http = urllib3.PoolManager(num_pools=256, maxsize=4, retries=False)


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """First line that a stand-in prints: the port it listens on."""

    port: int


class CallError(Exception):
    """A control call that got no good answer."""


class _NoDelayServer(pywsgi.WSGIServer):
    """WSGI server without Nagle's algorithm, which would delay each answer's body."""

    def do_read(self):
        accepted = super().do_read()
        if accepted is not None:
            accepted[0].setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return accepted


def make_server(app: object, *, port: int = 0) -> pywsgi.WSGIServer:
    """Return a started server of a WSGI application on loopback."""
    server = _NoDelayServer((LOOPBACK, port), app, log=None, error_log=sys.stderr)
    server.start()
    return server


def announce(port: int) -> None:
    """Print the bound port as one JSON line."""
    print(msgspec.json.encode(Announcement(port=port)).decode(), flush=True)


def call(port: int, path: str, message: object = None, *, timeout_s: float = _CALL_TIMEOUT_S):
    """Call a path of a process on loopback, and return its decoded JSON answer.

    Parameters
    ----------
    port : int
        Where it listens.
    path : str
        Path and query.
    message : object
        Body to post as JSON; None for a GET.
    timeout_s : float
        Seconds to wait.

    Raises
    ------
    CallError
        If there is no answer, or a status of 400 or more.
    """
    body = None if message is None else msgspec.json.encode(message)
    method = "GET" if body is None else "POST"
    url = f"http://{LOOPBACK}:{port}{path}"
    try:
        answer = _http.request(method, url, body=body, timeout=timeout_s)
    except urllib3.exceptions.HTTPError as error:
        raise CallError(f"{method} {url}: {error}") from error
    if answer.status >= 400:
        raise CallError(f"{method} {url}: status {answer.status}")
    return msgspec.json.decode(answer.data) if answer.data else None
