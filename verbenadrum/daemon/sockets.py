"""Helpers for TCP and TLS sockets, used by the daemon's servers and clients."""

import select
import socket
import ssl
import struct

from gevent import monkey

from verbenadrum.settings import types

__all__ = [
    "disable_nagle",
    "is_closed_by_peer",
    "is_readable",
    "is_reset_by_peer",
    "is_tls",
    "is_unusable",
    "limit_unacknowledged",
    "listen",
    "peer_client_context",
    "peer_server_context",
    "refuses_connections",
    "reset",
    "reset_on_close",
    "server_context",
    "split_address",
]

_LISTEN_BACKLOG = 1024
# gevent's poll would let other greenlets run between the check of a socket and the action that
# depends on it.
_poll = monkey.get_original("select", "poll")
# gevent's close waits until no greenlet waits for the descriptor.
_close_descriptor = monkey.get_original("os", "close")
# Value of SO_LINGER: enabled, with a linger time of 0 seconds.
_ZERO_LINGER = struct.pack("ii", 1, 0)


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port number of an ``ip:port`` address.

    Examples
    --------
    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def disable_nagle(sock: socket.socket) -> None:
    """Send small writes at once; otherwise a response waits for a delayed acknowledgement."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def limit_unacknowledged(sock: socket.socket, timeout_ms: int) -> None:
    """Break a connection whose peer has not acknowledged sent bytes for ``timeout_ms``.

    A path that vanishes without a reset is noticed by this alone while the send buffer has room.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def reset_on_close(sock: socket.socket) -> None:
    """Make closing a socket reset its connection, even if it was shut down before."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)


def reset(sock: socket.socket) -> None:
    """Reset a connection at once, although files or greenlets still refer to its socket."""
    reset_on_close(sock)
    _close_descriptor(sock.detach())


def refuses_connections(address: str, *, connect_timeout_s: float, hold_s: float) -> bool:
    """Return whether a server refuses a new connection or closes it before any data is sent.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    connect_timeout_s : float
        Maximum time to connect, in seconds; a longer one does not count as refused.
    hold_s : float
        Time in seconds for which the connection must stay open.
    """
    try:
        with socket.create_connection(split_address(address), connect_timeout_s) as sock:
            sock.settimeout(hold_s)
            # A server that sends data before any request is running.
            return not sock.recv(1)
    except TimeoutError:
        # Either the connection stayed open without data, as with any running server, or it was
        # not established in time, which does not prove a crash.
        return False
    except OSError:
        return True


def is_tls(sock: socket.socket) -> bool:
    """Return whether a socket is a TLS socket."""
    return isinstance(sock, ssl.SSLSocket)


def listen(address: str) -> socket.socket:
    """Return a listening IPv4 TCP socket that is bound to ``ip:port``.

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
    sock.listen(_LISTEN_BACKLOG)
    return sock


def is_readable(sock: socket.socket) -> bool:
    """Return whether data, or the end of the stream, can be read from a socket without waiting.

    It is True if that cannot be determined, since a socket that is not readable may be closed.
    """
    poll = _poll()
    try:
        if is_tls(sock) and sock.pending():
            return True
        poll.register(sock, select.POLLIN)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer has closed its side of a connection, or has reset it.

    Data that was received before and is still unread makes no difference, unlike for a read.
    """
    return bool(_poll_end(sock))


def is_reset_by_peer(sock: socket.socket) -> bool:
    """Return whether the peer has reset a connection, or both sides are closed."""
    return bool(_poll_end(sock) & (select.POLLERR | select.POLLHUP | select.POLLNVAL))


def _poll_end(sock: socket.socket) -> int:
    """Return the poll events that tell of the end of a connection; 0 while it is open."""
    poll = _poll()
    try:
        poll.register(sock, select.POLLRDHUP)
        return sum(events for _, events in poll.poll(0))
    except (OSError, ValueError):
        return select.POLLNVAL


def is_unusable(sock: socket.socket) -> bool:
    """Return whether an idle socket was closed by the peer or has unexpected data.

    The check consumes a byte of such data, so the socket must then be closed.
    """
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
    """Return a server's TLS context, or None if ``cert`` is empty.

    Parameters
    ----------
    cert : str
        PEM file of the certificate chain.
    key : str
        PEM file of the private key; empty if ``cert`` contains it.
    """
    if not cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(cert, key or None)
    return context


def peer_server_context(peers: types.PeersTable) -> ssl.SSLContext | None:
    """Return the peer port's TLS context, or None if no certificate is configured.

    Clients must present a certificate that is signed by the configured CA.
    """
    context = server_context(peers.tls_cert, peers.tls_key)
    if context is not None:
        context.load_verify_locations(peers.tls_ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_client_context(peers: types.PeersTable) -> ssl.SSLContext | None:
    """Return the TLS context for connections to peers, or None if no certificate is configured."""
    if not peers.tls_cert:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Hosts are identified by the host identifier in their certificate; DNS could be forged.
    context.check_hostname = False
    context.load_cert_chain(peers.tls_cert, peers.tls_key or None)
    context.load_verify_locations(peers.tls_ca)
    return context
