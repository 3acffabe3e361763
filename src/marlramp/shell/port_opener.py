"""Opens the ports of a process; one that is taken is tried again.

A process that ended because of one port would serve nothing on its others, and
fail again at each restart for as long as the port is taken.
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
"""Between two tries: short beside the seconds for which callers keep addresses,
so that a port that comes free is used before they ask anew."""


class Opening(msgspec.Struct, frozen=True):
    """A port to open.

    Attributes:
      name: what it is for; also the reason under which failures are counted.
      host: IP address.
      port: the port.
      start: binds host and port and listens; raises OSError if it can't.
    """

    name: str
    host: str
    port: int
    start: Callable[[str, int], Awaitable[None]]


class PortOpener:
    """The ports of one process."""

    def __init__(
        self, openings: list[Opening], totals: counters.Counters
    ) -> None:
        """Opens nothing before `open_free`."""
        self._closed = openings
        self._totals = totals
        self._told: set[str] = set()

    async def open_free(self) -> None:
        """Opens the ports that are free, in their order."""
        self._closed = [
            opening for opening in self._closed if not await self._open(opening)
        ]

    async def run(self) -> None:
        """Tries the others until all are open."""
        while self._closed:
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
            if opening.name not in self._told:
                self._told.add(opening.name)
                logs.log(
                    "port_unavailable",
                    name=opening.name,
                    address=address,
                    error=error,
                )
            return False
        if opening.name in self._told:
            logs.log("port_opened", name=opening.name, address=address)
        return True
