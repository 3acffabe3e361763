"""Finds out whether a process still listens at an address."""

from __future__ import annotations

import asyncio
import enum

from marlramp import clock

TIMEOUT_MS = 400.0
"""How long a connection may take to open."""

STAYS_MS = 30.0
"""A connection that stays open this long was taken by a process that lives; one
that a process which is ending had in its queue is reset sooner."""

_MS = clock.MILLIS_PER_SECOND


class Presence(enum.Enum):
    """What is found at an address."""

    THERE = "there"
    GONE = "gone"
    UNKNOWN = "unknown"


async def probe(address: str) -> Presence:
    """Opens a connection to "host:port" and closes it again.

    Returns:
      Whether a process takes connections there, refuses them, or can't be told
      to do either: the way there may be cut, or its queue full.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(TIMEOUT_MS / _MS):
            reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return Presence.GONE
    except OSError:
        return Presence.UNKNOWN
    try:
        async with asyncio.timeout(STAYS_MS / _MS):
            await reader.read(1)
    except TimeoutError:
        return Presence.THERE
    except OSError:
        return Presence.UNKNOWN
    finally:
        writer.transport.abort()
    return Presence.UNKNOWN
