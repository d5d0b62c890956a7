"""Makes an open TCP connection silent: what arrives is dropped and never acknowledged.

To the other end it looks like a connection whose path has vanished without a reset. Connections
that are opened later are not affected.
"""

import ctypes
import socket
import struct

__all__ = ["drop_incoming"]

# Not exported by the module `socket`.
_SO_ATTACH_FILTER = 26
# The BPF instruction "return 0", which accepts no byte of a packet.
_DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)


def drop_incoming(sock: socket.socket) -> None:
    """Drop every packet that arrives on a connection from now on (Linux)."""
    instruction = ctypes.create_string_buffer(_DROP_ALL)
    program = struct.pack("HP", 1, ctypes.addressof(instruction))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
