"""Ends connections so that the other end hears of it as soon as can be.

A close waits behind the bytes that were written before it; behind a full link
or a replica that reads slowly these take as long as they would have taken
anyway. A reset drops them.
"""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import sys

_UNSENT_REQUEST = 0x894B
"""Linux' SIOCOUTQNSD: asks for the bytes that the kernel has not sent yet."""

_INT = struct.Struct("i")
_RESET_AT_ONCE = struct.pack("ii", 1, 0)


def abort(transport: asyncio.Transport) -> None:
    """Ends a connection, with a reset if bytes written to it have not left.

    Otherwise with a close, which is sent again if it is lost; a reset is not,
    but whoever gets it late got no whole request either.

    Args:
      transport: an open TCP connection.
    """
    sock = transport.get_extra_info("socket")
    unsent = transport.get_write_buffer_size() > 0
    if sock is not None and (unsent or _unsent_bytes(sock) > 0):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_ONCE)
    transport.abort()


def _unsent_bytes(sock: socket.socket) -> int:
    """Returns the bytes that the kernel has not sent, 0 if it does not tell."""
    if sys.platform != "linux":
        return 0
    try:
        answer = fcntl.ioctl(sock.fileno(), _UNSENT_REQUEST, _INT.pack(0))
    except (OSError, ValueError):
        return 0
    return int(_INT.unpack(answer)[0])
