"""Checks whether a process still accepts connections at an address."""

from __future__ import annotations

import asyncio
import enum

from marlramp import clock
from marlramp.shell import deadline

CONNECT_TIMEOUT_MS = 400.0
"""Longest time that a connection may take to open."""

STAYS_OPEN_MS = 30.0
"""A connection that stays open this long was accepted by a running process. A
process that exits resets the connections in its accept queue sooner."""

_MS = clock.MILLIS_PER_SECOND


class Presence(enum.Enum):
    """Result of a probe."""

    THERE = "there"
    GONE = "gone"
    UNKNOWN = "unknown"


async def probe(address: str) -> Presence:
    """Opens a connection to "host:port" and closes it again.

    Returns:
      THERE if a process accepts connections, GONE if they are refused, UNKNOWN
      if neither can be established: the network may be down, or the accept
      queue full.
    """
    host, _, port = address.rpartition(":")
    try:
        async with deadline.timeout(CONNECT_TIMEOUT_MS / _MS):
            reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return Presence.GONE
    except OSError:
        return Presence.UNKNOWN
    try:
        async with deadline.timeout(STAYS_OPEN_MS / _MS):
            await reader.read(1)
    except TimeoutError:
        return Presence.THERE
    except OSError:
        return Presence.UNKNOWN
    finally:
        writer.transport.abort()
    return Presence.UNKNOWN
