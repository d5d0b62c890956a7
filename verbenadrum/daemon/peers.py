"""Msgpack streams between hosts: framed, size-capped and one way per connection."""

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
from verbenadrum.daemon import sockets
from verbenadrum.messages import base, codec

__all__ = ["PeerCounters", "PeerStreams"]

_LENGTH = struct.Struct(">I")
_READ_BYTES = 65_536
_MAX_QUEUED_BYTES = 4_194_304
_CONNECT_TIMEOUT_S = 1.0
_SEND_TIMEOUT_S = 5.0
_IDLE_TIMEOUT_S = 120.0
# A message leaves its sender in one piece, so the rest of a frame follows at once.
_FRAME_TIMEOUT_S = 5.0
_FIRST_RETRY_S = 0.05
_LAST_RETRY_S = 2.0
# Types of messages of other versions that are logged, against a peer that sends junk types.
_MAX_SKIPPED_LOGGED = 100

_log = logging.getLogger(__name__)


class PeerCounters(msgspec.Struct):
    """Counts of peer traffic since the start."""

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    messages_dropped: int = 0
    malformed: int = 0
    unknown: int = 0


class PeerStreams:
    """Sends messages to other hosts and receives theirs.

    Each host opens one connection to every host that it sends to, and reads from those that
    others open to it. A message that cannot be sent soon is dropped: senders of the core expect
    loss.

    Parameters
    ----------
    host : HostId
        This host's identifier, put into every frame.
    listener : socket
        Listening socket of the peer port.
    server_tls, client_tls : ssl.SSLContext or None
        Mutual TLS; then a sender's identifier must be its certificate's common name.
    find_address : callable
        Returns the ``ip:port`` of a host or of an address, or None if it is unknown.
    deliver : callable
        Takes each received envelope.
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
        self._links: dict[str, _Link] = {}
        self.counters = PeerCounters()
        # Faults of messages of other versions that have been logged.
        self._skipped: set[str] = set()
        tls = {} if server_tls is None else {"ssl_context": server_tls}
        self._server = server.StreamServer(listener, self._receive, **tls)

    def start(self) -> None:
        """Accept connections of other hosts."""
        self._server.start()

    def stop(self) -> None:
        """Close every connection."""
        self._server.stop(timeout=0)
        for link in list(self._links.values()):
            link.close()

    def send(self, to: ids.HostId, message: base.Message) -> None:
        """Send a message, best effort; a message to this host is delivered soon as well."""
        if to == self._host:
            # A greenlet of its own, so that the sender's system is never entered twice.
            gevent.spawn(self._deliver, codec.Envelope(self._host, message))
            return
        self._link(to, to).send(codec.encode(self._host, message))

    def send_to_address(self, address: str, message: base.Message) -> None:
        """Send a message to a peer port whose host is not known yet."""
        self._link(address, "").send(codec.encode(self._host, message))

    def _link(self, name: str, expected_name: str) -> "_Link":
        link = self._links.get(name)
        if link is None:
            link = _Link(
                find_address=lambda: self._find_address(ids.HostId(name)),
                tls=self._client_tls,
                expected_name=expected_name,
                counters=self.counters,
                on_close=lambda: self._links.pop(name, None),
            )
            self._links[name] = link
        return link

    def _receive(self, sock: socket.socket, address: tuple) -> None:
        sockets.disable_nagle(sock)
        certified = _common_name(sock)
        try:
            for data in self._frames(sock):
                try:
                    envelope = codec.decode(data)
                except codec.UnknownMessageError as error:
                    # Hosts of two versions run beside each other during an upgrade.
                    self._skip(address[0], error)
                    continue
                if certified is not None and envelope.sender != certified:
                    raise codec.MalformedMessageError(
                        f"sender {envelope.sender!r} shows the certificate of {certified!r}"
                    )
                self.counters.messages_received += 1
                self._deliver(envelope)
        except codec.MalformedMessageError as error:
            self.counters.malformed += 1
            _log.warning("peer stream closed", extra={"peer": address[0], "fault": str(error)})
        except OSError as error:
            _log.debug("peer stream ended", extra={"peer": address[0], "fault": str(error)})
        finally:
            sock.close()

    def _skip(self, peer: str, error: codec.UnknownMessageError) -> None:
        """Count a message of another version, and log the first of each type."""
        self.counters.unknown += 1
        if error.message not in self._skipped and len(self._skipped) < _MAX_SKIPPED_LOGGED:
            self._skipped.add(error.message)
            _log.info("peer message skipped", extra={"peer": peer, "fault": error.message})

    def _frames(self, sock: socket.socket):
        buffer = bytearray()
        while True:
            sock.settimeout(_FRAME_TIMEOUT_S if buffer else 2.0 * _IDLE_TIMEOUT_S)
            data = sock.recv(_READ_BYTES)
            if not data:
                return
            self.counters.bytes_received += len(data)
            buffer += data
            start = 0
            while len(buffer) - start >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(buffer, start)
                if length > codec.MAX_MESSAGE_BYTES:
                    raise codec.MalformedMessageError(f"a frame of {length} bytes is too large")
                end = start + _LENGTH.size + length
                if len(buffer) < end:
                    break
                yield bytes(buffer[start + _LENGTH.size : end])
                start = end
            del buffer[:start]


class _Link:
    """Outgoing connection to one host, with a bounded queue."""

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
        self._runner = gevent.spawn(self._run)

    def send(self, data: bytes) -> None:
        """Queue one message; the oldest are dropped where too much waits."""
        self._queue.append(_LENGTH.pack(len(data)) + data)
        self._queued_bytes += len(data) + _LENGTH.size
        while self._queued_bytes > _MAX_QUEUED_BYTES:
            self._queued_bytes -= len(self._queue.popleft())
            self._counters.messages_dropped += 1
        self._wake.set()

    def close(self) -> None:
        """Close the connection and drop what waits."""
        self._runner.kill(block=False)
        self._disconnect()

    def _run(self) -> None:
        retry_s = _FIRST_RETRY_S
        try:
            while self._wake.wait(timeout=_IDLE_TIMEOUT_S):
                if self._sock is not None and sockets.ended(self._sock):
                    self._disconnect()
                if self._sock is None and not self._connect():
                    self._drop_queue()
                    gevent.sleep(retry_s)
                    retry_s = min(retry_s * 2, _LAST_RETRY_S)
                    continue
                retry_s = _FIRST_RETRY_S
                self._flush()
        finally:
            self._disconnect()
            self._on_close()

    def _connect(self) -> bool:
        address = self._find_address()
        if address is None:
            return False
        try:
            sock = socket.create_connection(
                sockets.split_address(address), timeout=_CONNECT_TIMEOUT_S
            )
            sockets.disable_nagle(sock)
            if self._tls is not None:
                sock = self._tls.wrap_socket(sock)
                if self._expected_name and _common_name(sock) != self._expected_name:
                    sock.close()
                    return False
            sock.settimeout(_SEND_TIMEOUT_S)
        except (OSError, ValueError):
            return False
        self._sock = sock
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
    if not isinstance(sock, ssl.SSLSocket):
        return None
    certificate = sock.getpeercert() or {}
    for relative_name in certificate.get("subject", ()):
        for field, value in relative_name:
            if field == "commonName":
                return value
    return ""
