"""Makes a TCP socket silent: what arrives is dropped and never acknowledged.

To the other end it looks like a connection whose path has vanished without a reset. Connections
that are opened later are not affected. A listening socket looks like a machine that is powered off.
"""

import ctypes
import socket
import struct

__all__ = ["accept_incoming", "drop_incoming"]

# Not exported by the module `socket`.
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
# The BPF instruction "return 0", which accepts no byte of a packet.
_DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)


def drop_incoming(sock: socket.socket) -> None:
    """Drop every packet that arrives at a socket from now on (Linux)."""
    instruction = ctypes.create_string_buffer(_DROP_ALL)
    program = struct.pack("HP", 1, ctypes.addressof(instruction))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


def accept_incoming(sock: socket.socket) -> None:
    """Accept again what arrives at a socket."""
    sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
