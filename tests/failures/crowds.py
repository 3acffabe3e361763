"""Load of requests at a constant rate through several entries."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import itertools
from typing import NamedTuple
from typing import TypeAlias

from standins import direct_fleet
from standins import direct_replicas

Replicas: TypeAlias = Sequence[
    direct_replicas.Engine | direct_replicas.PlainReplica
]
Pick: TypeAlias = Callable[[direct_fleet.Fleet], tuple[str, Replicas]]


def on_desks(fleet: direct_fleet.Fleet) -> tuple[str, Replicas]:
    return "/stock/x", fleet.desks


def on_engines(fleet: direct_fleet.Fleet) -> tuple[str, Replicas]:
    return "/chat/x", fleet.engines


class Exchange(NamedTuple):
    """A request and its response.

    Attributes:
      at_s: event loop time at which the request was sent.
      duration_s: time until the response was complete.
      answer: the raw response, b"" if the connection failed.
    """

    at_s: float
    duration_s: float
    answer: bytes

    @property
    def served(self) -> bool:
        """Whether the response has status 200."""
        return b" 200 " in self.answer[:16]

    @property
    def retry_after_s(self) -> float | None:
        """Value of the `Retry-After` header, None if it is missing."""
        for line in self.answer.split(b"\r\n"):
            if line.startswith(b"retry-after: "):
                return float(line.partition(b": ")[2])
        return None


class RequestLoad:
    """Sends requests at a constant rate, to the entries in turn.

    Attributes:
      sent: completed exchanges, in the order of completion.
    """

    def __init__(
        self, fleet: direct_fleet.Fleet, path: str, per_s: float
    ) -> None:
        self._fleet = fleet
        self._path = path
        self._pause_s = 1.0 / per_s
        self._numbers = itertools.count()
        self.sent: list[Exchange] = []

    async def send_for(self, entries: Sequence[int], seconds: float) -> None:
        """Sends for some time, then waits for the outstanding responses."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            for entry in itertools.cycle(entries):
                if loop.time() >= end_s:
                    break
                group.create_task(self._send(entry))
                await asyncio.sleep(self._pause_s)

    async def _send(self, entry: int) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        host = self._fleet.entry_hosts[entry]
        name = f"entry-{entry}/{next(self._numbers)}"
        try:
            answer = await self._fleet.call(host, self._path, name)
        except ConnectionError:
            answer = b""
        self.sent.append(Exchange(start_s, loop.time() - start_s, answer))

    def since(self, start_s: float) -> list[Exchange]:
        """Returns the exchanges begun since an event loop time."""
        return [sent for sent in self.sent if sent.at_s >= start_s]

    def served_share(self, since_s: float = float("-inf")) -> float:
        """Returns the share of exchanges with a status of 200."""
        found = self.since(since_s)
        return sum(sent.served for sent in found) / len(found)

    def not_served(self, since_s: float = float("-inf")) -> list[Exchange]:
        """Returns the exchanges begun since a time without a status of 200."""
        return [sent for sent in self.since(since_s) if not sent.served]
