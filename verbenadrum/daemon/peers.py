"""Sends and receives messages between hosts, over TCP or mutual TLS.

Each connection carries messages in one direction, from the host that opened it. A frame is a
length (4 bytes, big-endian) and a message with its sender, encoded by `codec`.
"""

import collections
import logging
import socket
import ssl
import struct
from collections.abc import Callable

import gevent
import msgspec
from gevent import event, server

from verbenadrum import ids
from verbenadrum.daemon import log_limits, sockets
from verbenadrum.messages import base, codec

__all__ = ["PeerCounters", "PeerStreams"]

_LENGTH_PREFIX = struct.Struct(">I")
_READ_SIZE_BYTES = 65_536
_MAX_QUEUED_BYTES = 4_194_304
_CONNECT_TIMEOUT_S = 1.0
# A machine that is still starting drops the first packet, which is sent again only after 1 s. The
# first attempts are given up earlier, so that a new one meets it once it has started.
_SHORT_CONNECT_TIMEOUT_S = 0.4
_SHORT_ATTEMPTS = 3
_SEND_TIMEOUT_S = 5.0
# A connection whose messages are not acknowledged for this long is replaced. A live peer behind a
# lossy link acknowledges after a few retransmissions, the third of which is sent within 1 s.
_UNACKNOWLEDGED_TIMEOUT_MS = 1_500
# A sender closes its connection after this time without messages. The receiver waits twice as long,
# so that the sender closes first.
_IDLE_TIMEOUT_S = 120.0
# A sender writes whole frames, so the rest of an incomplete one follows at once.
_FRAME_TIMEOUT_S = 5.0
_BACKOFF_BASE_S = 0.05
_BACKOFF_CAP_S = 2.0
# Unknown message types that are logged once each; bounds the log if a peer sends random types.
_MAX_LOGGED_UNKNOWN_TYPES = 100

_log = logging.getLogger(__name__)


class PeerCounters(msgspec.Struct):
    """Counts of messages and bytes since the start of the host.

    ``malformed`` counts streams that were closed because of an invalid frame or sender, ``unknown``
    the skipped messages of unregistered types, ``unhandled`` the messages whose handling failed.
    ``messages_dropped`` counts outgoing messages.
    """

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    messages_dropped: int = 0
    malformed: int = 0
    unknown: int = 0
    unhandled: int = 0


class PeerStreams:
    """Sends messages to other hosts and receives theirs.

    Each host opens one connection to every host that it sends to, and reads from those that
    others open to it. Delivery is best effort: while a peer cannot be reached, messages to it are
    dropped, and the core tolerates the loss.

    Parameters
    ----------
    host : HostId
        This host's identifier, the sender of every message.
    listener : socket
        Listening socket of the peer port.
    server_tls, client_tls : ssl.SSLContext or None
        TLS contexts of the two sides of a connection, or None for plain TCP. With TLS, the
        sender's identifier must be the common name of its certificate.
    find_address : callable
        Returns the ``ip:port`` of a host, or None if it is unknown. An argument that already is
        the address of a seed peer is returned unchanged.
    deliver : callable
        Called with each received `codec.Envelope`.

    Attributes
    ----------
    counters : PeerCounters
        Traffic of all connections.
    """

    def __init__(
        self,
        *,
        host: ids.HostId,
        listener: socket.socket,
        server_tls: ssl.SSLContext | None,
        client_tls: ssl.SSLContext | None,
        find_address: Callable[[ids.HostId], str | None],
        deliver: Callable[[codec.Envelope], None],
    ) -> None:
        self._host = host
        self._client_tls = client_tls
        self._find_address = find_address
        self._deliver = deliver
        self._connections: dict[str, _PeerConnection] = {}
        self.counters = PeerCounters()
        # Error texts of unknown message types that have been logged.
        self._logged_unknown: set[str] = set()
        self._unhandled_limit = log_limits.LogLimit()
        tls = {} if server_tls is None else {"ssl_context": server_tls}
        self._server = server.StreamServer(listener, self._receive, **tls)

    def start(self) -> None:
        """Start to accept connections of other hosts, in the background."""
        self._server.start()

    def stop(self) -> None:
        """Close the listener and the outgoing connections; queued messages are dropped."""
        self._server.stop(timeout=0)
        for connection in list(self._connections.values()):
            connection.close()

    def send(self, receiver: ids.HostId, message: base.Message) -> None:
        """Queue a message to a host; one to this host is delivered after this call returns.

        Raises
        ------
        MalformedMessageError
            If the encoded message is too large.
        """
        if receiver == self._host:
            # In a new greenlet, so that the system that sends is not re-entered during its call.
            gevent.spawn(self._handle, codec.Envelope(self._host, message))
            return
        self._connection(receiver, receiver).send(codec.encode(self._host, message))

    def send_to_address(self, address: str, message: base.Message) -> None:
        """Queue a message to the peer port of a host whose identifier is not known.

        With TLS, the certificate's name is not compared with an identifier.

        Raises
        ------
        MalformedMessageError
            If the encoded message is too large.
        """
        self._connection(address, "").send(codec.encode(self._host, message))

    def _connection(self, name: str, expected_name: str) -> "_PeerConnection":
        """Return the connection to a host or to an address, created if there is none."""
        connection = self._connections.get(name)
        if connection is None:
            connection = _PeerConnection(
                find_address=lambda: self._find_address(ids.HostId(name)),
                tls=self._client_tls,
                expected_name=expected_name,
                counters=self.counters,
                on_close=lambda: self._connections.pop(name, None),
            )
            self._connections[name] = connection
        return connection

    def _receive(self, sock: socket.socket, address: tuple) -> None:
        """Deliver the messages of one incoming connection until it ends or is malformed."""
        sockets.disable_nagle(sock)
        certified_name = _common_name(sock)
        try:
            for data in self._frames(sock):
                try:
                    envelope = codec.decode(data)
                except codec.UnknownMessageError as error:
                    # During an upgrade, peers of another version send types unknown here.
                    self._count_unknown(address[0], error)
                    continue
                if certified_name is not None and envelope.sender != certified_name:
                    raise codec.MalformedMessageError(
                        f"sender {envelope.sender!r} has the certificate of {certified_name!r}"
                    )
                self.counters.messages_received += 1
                self._handle(envelope)
        except codec.MalformedMessageError as error:
            self.counters.malformed += 1
            _log.warning("peer stream closed", extra={"peer": address[0], "fault": str(error)})
        except OSError as error:
            _log.debug("peer stream ended", extra={"peer": address[0], "fault": str(error)})
        finally:
            sock.close()

    def _handle(self, envelope: codec.Envelope) -> None:
        """Deliver a message; an error of its handler is logged and stops no other message."""
        try:
            self._deliver(envelope)
        except Exception as error:
            self.counters.unhandled += 1
            message_type = type(envelope.message).__name__
            if self._unhandled_limit.is_due((message_type, type(error))):
                _log.exception(
                    "peer message not handled",
                    extra={"peer": envelope.sender, "type": message_type},
                )

    def _count_unknown(self, peer: str, error: codec.UnknownMessageError) -> None:
        """Count a message of an unknown type, and log the first of each type."""
        self.counters.unknown += 1
        if (
            error.message not in self._logged_unknown
            and len(self._logged_unknown) < _MAX_LOGGED_UNKNOWN_TYPES
        ):
            self._logged_unknown.add(error.message)
            _log.info("peer message skipped", extra={"peer": peer, "fault": error.message})

    def _frames(self, sock: socket.socket):
        """Yield the content of each frame until the connection ends; drop an incomplete last frame.

        Raises
        ------
        MalformedMessageError
            If a frame is too large.
        OSError
            If reading fails, or if no data arrives for `_FRAME_TIMEOUT_S` inside a frame, or for
            twice `_IDLE_TIMEOUT_S` between frames.
        """
        buffer = bytearray()
        while True:
            sock.settimeout(_FRAME_TIMEOUT_S if buffer else 2.0 * _IDLE_TIMEOUT_S)
            data = sock.recv(_READ_SIZE_BYTES)
            if not data:
                return
            self.counters.bytes_received += len(data)
            buffer += data
            start = 0
            while len(buffer) - start >= _LENGTH_PREFIX.size:
                (length,) = _LENGTH_PREFIX.unpack_from(buffer, start)
                if length > codec.MAX_MESSAGE_BYTES:
                    raise codec.MalformedMessageError(f"frame of {length} bytes is too large")
                end = start + _LENGTH_PREFIX.size + length
                if len(buffer) < end:
                    break
                yield bytes(buffer[start + _LENGTH_PREFIX.size : end])
                start = end
            del buffer[:start]


class _PeerConnection:
    """Outgoing connection to one host, with a bounded queue of encoded messages.

    It connects when the first message is queued, reconnects with exponential backoff and closes
    after `_IDLE_TIMEOUT_S` without messages. A connection that has gone silent is replaced after
    `_UNACKNOWLEDGED_TIMEOUT_MS`; the messages sent on it until then are lost.

    Parameters
    ----------
    find_address : callable
        Returns the ``ip:port`` to connect to, or None if it is unknown.
    tls : ssl.SSLContext or None
        TLS context; None for plain TCP.
    expected_name : str
        Common name that the peer's certificate must have; empty to accept any.
    counters : PeerCounters
        Shared counters to update.
    on_close : callable
        Called once when the connection has closed for good.
    """

    def __init__(
        self,
        *,
        find_address: Callable[[], str | None],
        tls: ssl.SSLContext | None,
        expected_name: str,
        counters: PeerCounters,
        on_close: Callable[[], None],
    ) -> None:
        self._find_address = find_address
        self._tls = tls
        self._expected_name = expected_name
        self._counters = counters
        self._on_close = on_close
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._wake = event.Event()
        self._sock: socket.socket | None = None
        self._peer_address = ""
        self._failed_attempts = 0
        self._greenlet = gevent.spawn(self._run)

    def send(self, data: bytes) -> None:
        """Queue one encoded message; drop the oldest beyond `_MAX_QUEUED_BYTES`."""
        self._queue.append(_LENGTH_PREFIX.pack(len(data)) + data)
        self._queued_bytes += len(data) + _LENGTH_PREFIX.size
        while self._queued_bytes > _MAX_QUEUED_BYTES:
            self._queued_bytes -= len(self._queue.popleft())
            self._counters.messages_dropped += 1
        self._wake.set()

    def close(self) -> None:
        """Close the connection and drop the queued messages."""
        self._greenlet.kill(block=False)
        self._disconnect()

    def _run(self) -> None:
        """Send queued messages until none was queued for `_IDLE_TIMEOUT_S`, then close."""
        delay_s = _BACKOFF_BASE_S
        try:
            while self._wake.wait(timeout=_IDLE_TIMEOUT_S):
                if self._sock is not None and sockets.is_unusable(self._sock):
                    _log.info("peer connection lost", extra={"peer": self._peer_address})
                    self._disconnect()
                if self._sock is None and not self._connect():
                    self._drop_queue()
                    gevent.sleep(delay_s)
                    delay_s = min(delay_s * 2, _BACKOFF_CAP_S)
                    continue
                delay_s = _BACKOFF_BASE_S
                self._flush()
        finally:
            self._disconnect()
            self._on_close()

    def _connect(self) -> bool:
        """Return whether a connection was opened to a peer with the expected name."""
        address = self._find_address()
        if address is None:
            return False
        is_short = self._failed_attempts < _SHORT_ATTEMPTS
        timeout_s = _SHORT_CONNECT_TIMEOUT_S if is_short else _CONNECT_TIMEOUT_S
        self._failed_attempts += 1
        try:
            sock = socket.create_connection(sockets.split_address(address), timeout=timeout_s)
            sock.settimeout(_CONNECT_TIMEOUT_S)
            sockets.disable_nagle(sock)
            sockets.limit_unacknowledged(sock, _UNACKNOWLEDGED_TIMEOUT_MS)
            if self._tls is not None:
                sock = self._tls.wrap_socket(sock)
                if self._expected_name and _common_name(sock) != self._expected_name:
                    sock.close()
                    return False
            sock.settimeout(_SEND_TIMEOUT_S)
        except (OSError, ValueError):
            return False
        self._sock = sock
        self._failed_attempts = 0
        self._peer_address = address
        return True

    def _flush(self) -> None:
        data = b"".join(self._queue)
        count = len(self._queue)
        self._queue.clear()
        self._queued_bytes = 0
        self._wake.clear()
        if not data:
            return
        try:
            self._sock.sendall(data)
        except OSError:
            self._counters.messages_dropped += count
            self._disconnect()
            return
        self._counters.messages_sent += count
        self._counters.bytes_sent += len(data)

    def _drop_queue(self) -> None:
        self._counters.messages_dropped += len(self._queue)
        self._queue.clear()
        self._queued_bytes = 0
        self._wake.clear()

    def _disconnect(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def _common_name(sock: socket.socket) -> str | None:
    """Return the common name of the peer's certificate.

    It is None without TLS, and empty if the certificate has none.
    """
    if not isinstance(sock, ssl.SSLSocket):
        return None
    certificate = sock.getpeercert() or {}
    for relative_name in certificate.get("subject", ()):
        for field, value in relative_name:
            if field == "commonName":
                return value
    return ""
