"""Sets up the detection of dead TCP connections.

A connection may stop delivering packets without a reset, while new connections
between the same machines work. By default TCP detects this only after minutes
of unacknowledged bytes, and never on an idle connection.
"""

from __future__ import annotations

import asyncio
import socket

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES_MAX = 2
"""Idle connections are probed each second and closed after two unanswered
probes, so that few requests are sent on a dead one. A probe is 54 bytes."""


def bound(transport: asyncio.Transport, unacknowledged_max_ms: int) -> None:
    """Limits how long a peer that acknowledges nothing is considered alive.

    Args:
      transport: an open TCP connection.
      unacknowledged_max_ms: the connection is closed when bytes stay
        unacknowledged for this long.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    bound_unacknowledged(transport, unacknowledged_max_ms)
    options = {
        socket.TCP_KEEPIDLE: KEEPALIVE_IDLE_S,
        socket.TCP_KEEPINTVL: KEEPALIVE_INTERVAL_S,
        socket.TCP_KEEPCNT: KEEPALIVE_PROBES_MAX,
    }
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in options.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def bound_unacknowledged(transport: asyncio.Transport, max_ms: int) -> None:
    """Closes a connection when bytes stay unacknowledged for this long.

    This includes bytes that the peer does not accept. Idle connections are not
    probed.

    Args:
      transport: an open TCP connection.
      max_ms: the limit.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, max_ms)
