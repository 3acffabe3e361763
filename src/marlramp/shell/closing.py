"""Aborts connections so that the peer notices as soon as possible.

A FIN is delivered after all bytes written before it, which takes long on a
congested link or to a replica that reads slowly. A reset (RST) discards them.
"""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import sys

_SIOCOUTQNSD = 0x894B
"""SIOCOUTQNSD of Linux: gets the number of unsent bytes in the kernel."""

_INT = struct.Struct("i")
_LINGER_ZERO = struct.pack("ii", 1, 0)


def abort(transport: asyncio.Transport) -> None:
    """Aborts a connection, with a reset if written bytes are still unsent.

    `transport.abort()` sends a FIN, or an RST if SO_LINGER is set to 0 seconds.
    Without unsent bytes it sends a FIN, since a lost FIN is retransmitted and a
    lost RST is not. With unsent bytes a lost RST does no harm: the peer has not
    received the whole request.

    Args:
      transport: an open TCP connection.
    """
    sock = transport.get_extra_info("socket")
    unsent = transport.get_write_buffer_size() > 0
    if sock is not None and (unsent or _unsent_bytes(sock) > 0):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()


def _unsent_bytes(sock: socket.socket) -> int:
    """Returns the number of bytes not sent by the kernel, 0 if unknown."""
    if sys.platform != "linux":
        return 0
    try:
        answer = fcntl.ioctl(sock.fileno(), _SIOCOUTQNSD, _INT.pack(0))
    except (OSError, ValueError):
        return 0
    return int(_INT.unpack(answer)[0])
