"""Ends connections that have gone silent.

A connection may go silent for good without a reset, while new ones between the
same machines work. TCP notices by itself only when bytes stay unacknowledged,
after minutes; an idle connection never does.
"""

from __future__ import annotations

import asyncio
import socket

PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES_MAX = 2
"""An idle connection is probed each second and ended after two probes without
an answer, so that few requests meet a dead one. A probe is 54 bytes."""


def bound(transport: asyncio.Transport, unacknowledged_max_ms: int) -> None:
    """Bounds how long a peer that acknowledges nothing is trusted.

    Args:
      transport: an open TCP connection.
      unacknowledged_max_ms: bytes that stay unacknowledged for so long end it.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    options = {
        socket.TCP_USER_TIMEOUT: unacknowledged_max_ms,
        socket.TCP_KEEPIDLE: PROBE_AFTER_S,
        socket.TCP_KEEPINTVL: PROBE_EVERY_S,
        socket.TCP_KEEPCNT: PROBES_MAX,
    }
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in options.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
