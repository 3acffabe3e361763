"""Servers that accept no more connections at once than they can close."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import socket

LISTEN_BACKLOG = 1_024
"""Connections that the kernel queues until they are accepted."""

RECEIVE_BUFFER_BYTES = 65_536
"""Bytes that the kernel keeps of a connection from which it is not read; it
takes twice as much memory. By default it may keep megabytes."""

ACCEPTED_AT_ONCE = 16
"""Connections that are accepted before others are handled, and closed if they
are too many."""


def bind(host: str, port: int) -> socket.socket:
    """Returns a socket that is bound to an address.

    Args:
      host: IP address.
      port: port number, 0 for any.

    Raises:
      OSError: if the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit it.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.bind((host, port))
    except BaseException:
        sock.close()
        raise
    return sock


async def serve(
    new_connection: Callable[[], asyncio.Protocol], host: str, port: int
) -> asyncio.Server:
    """Returns a server that listens on an address.

    Args:
      new_connection: returns the protocol of a new connection.
      host: IP address.
      port: port number, 0 for any.

    Raises:
      OSError: if the address can't be bound.
    """
    sock = bind(host, port)
    try:
        server = await asyncio.get_running_loop().create_server(
            new_connection, sock=sock, backlog=ACCEPTED_AT_ONCE
        )
        queue_more(sock)
    except BaseException:
        sock.close()
        raise
    return server


def queue_more(sock: socket.socket) -> None:
    """Lets the kernel queue more than are accepted at once.

    The event loop takes one number for both.

    Args:
      sock: a socket that listens.
    """
    sock.listen(LISTEN_BACKLOG)
