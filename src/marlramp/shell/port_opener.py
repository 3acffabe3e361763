"""Opens the ports of a process and retries those that are in use.

A process that exited because of one port would not serve its other ports
either, and would fail at each restart while the port is in use.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import logs

RETRY_MS = 250.0
"""Interval between attempts. Callers cache addresses for seconds, so a port
that becomes free is open before they resolve the address again."""


class Opening(msgspec.Struct, frozen=True):
    """A port to open.

    Attributes:
      name: purpose of the port; also the label of its failure counter.
      host: IP address.
      port: port number.
      start: binds host and port and listens; raises OSError on failure.
    """

    name: str
    host: str
    port: int
    start: Callable[[str, int], Awaitable[None]]


class PortOpener:
    """Opens the ports of one process."""

    def __init__(
        self, openings: list[Opening], totals: counters.Counters
    ) -> None:
        """Opens no ports until `open_free` is called."""
        self._remaining = openings
        self._totals = totals
        self._reported: set[str] = set()

    async def open_free(self) -> None:
        """Tries to open the remaining ports, in the order given."""
        self._remaining = [
            opening
            for opening in self._remaining
            if not await self._open(opening)
        ]

    async def run(self) -> None:
        """Retries the remaining ports until all are open."""
        while self._remaining:
            await asyncio.sleep(RETRY_MS / clock.MILLIS_PER_SECOND)
            await self.open_free()

    async def _open(self, opening: Opening) -> bool:
        address = f"{opening.host}:{opening.port}"
        try:
            await opening.start(opening.host, opening.port)
        except OSError as error:
            self._totals.add(
                counters.CounterName.PORTS_UNAVAILABLE, opening.name
            )
            if opening.name not in self._reported:
                self._reported.add(opening.name)
                logs.log(
                    "port_unavailable",
                    name=opening.name,
                    address=address,
                    error=error,
                )
            return False
        if opening.name in self._reported:
            logs.log("port_opened", name=opening.name, address=address)
        return True
