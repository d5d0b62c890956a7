"""Socket helpers shared by the daemon's ports."""

import select
import socket
import ssl
import struct

from gevent import monkey

from verbenadrum.settings import types

__all__ = [
    "disable_nagle",
    "ended",
    "has_bytes",
    "has_gone",
    "is_tls",
    "listen",
    "peer_client_context",
    "peer_server_context",
    "reset_on_close",
    "server_context",
    "split_address",
]

_BACKLOG = 1024
# The cooperative poll would let other greenlets run between a look and what follows from it.
_poll = monkey.get_original("select", "poll")
# On, and no seconds to wait for what was sent.
_NO_LINGER = struct.pack("ii", 1, 0)


def split_address(address: str) -> tuple[str, int]:
    """Return IP and port of an ``ip:port`` address.

    Examples
    --------
    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def disable_nagle(sock: socket.socket) -> None:
    """Send small writes at once; without this a response waits for a delayed acknowledgement."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset_on_close(sock: socket.socket) -> None:
    """Have closing a socket reset its connection, whatever has been shut down before."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


def has_gone(address: str, *, connect_timeout_s: float, hold_s: float) -> bool:
    """Return whether a server takes no new connection, or ends it before anything is sent.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    connect_timeout_s : float
        Seconds to wait for the connection.
    hold_s : float
        Seconds for which the connection must stay open.
    """
    try:
        with socket.create_connection(split_address(address), connect_timeout_s) as sock:
            sock.settimeout(hold_s)
            # A server that sends before it is asked is there.
            return not sock.recv(1)
    except TimeoutError:
        # Nothing came and nothing closed, as at any idle server; a connection that takes too
        # long is no proof of a crash either.
        return False
    except OSError:
        return True


def is_tls(sock: socket.socket) -> bool:
    """Return whether a socket is encrypted."""
    return isinstance(sock, ssl.SSLSocket)


def listen(address: str) -> socket.socket:
    """Return a listening TCP socket on ``ip:port``.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(split_address(address))
    except OSError:
        sock.close()
        raise
    sock.listen(_BACKLOG)
    return sock


def has_bytes(sock: socket.socket) -> bool:
    """Return whether bytes, or the other side's end, wait to be read from a socket.

    Where that cannot be told, the answer is True, since a socket without bytes may be closed.
    """
    poll = _poll()
    try:
        if is_tls(sock) and sock.pending():
            return True
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True


def ended(sock: socket.socket) -> bool:
    """Return whether an idle socket was closed by the other side or holds unexpected bytes."""
    timeout_s = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        sock.recv(1)
    except (BlockingIOError, ssl.SSLWantReadError):
        sock.settimeout(timeout_s)
        return False
    except OSError:
        return True
    return True


def server_context(cert: str, key: str) -> ssl.SSLContext | None:
    """Return a TLS context that shows a certificate, or None where none is set."""
    if not cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(cert, key or None)
    return context


def peer_server_context(peers: types.PeersTable) -> ssl.SSLContext | None:
    """Return the TLS context of the peer port: callers must show a certificate of the CA."""
    context = server_context(peers.tls_cert, peers.tls_key)
    if context is not None:
        context.load_verify_locations(peers.tls_ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_client_context(peers: types.PeersTable) -> ssl.SSLContext | None:
    """Return the TLS context for connections to peers, whose names are their certificates'."""
    if not peers.tls_cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Hosts are known by their identifiers, not by names that a resolver could answer for.
    context.check_hostname = False
    context.load_cert_chain(peers.tls_cert, peers.tls_key or None)
    context.load_verify_locations(peers.tls_ca)
    return context
