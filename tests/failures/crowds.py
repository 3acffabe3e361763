"""Callers that send at a steady rate through several entries."""

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


class Sent(NamedTuple):
    """A request and its answer.

    Attributes:
      at_s: time of the event loop at which it was sent.
      taken_s: time until its answer was whole.
      answer: the answer, b"" if there was none.
    """

    at_s: float
    taken_s: float
    answer: bytes

    @property
    def served(self) -> bool:
        """Whether the answer is good."""
        return b" 200 " in self.answer[:16]

    @property
    def retry_after_s(self) -> float | None:
        """When the answer says to come back, None if it does not."""
        for line in self.answer.split(b"\r\n"):
            if line.startswith(b"retry-after: "):
                return float(line.partition(b": ")[2])
        return None


class Crowd:
    """Sends requests evenly through some entries."""

    def __init__(
        self, fleet: direct_fleet.Fleet, path: str, per_s: float
    ) -> None:
        self._fleet = fleet
        self._path = path
        self._pause_s = 1.0 / per_s
        self._numbers = itertools.count()
        self.sent: list[Sent] = []

    async def send_for(self, entries: Sequence[int], seconds: float) -> None:
        """Sends at a steady rate for some time; waits for the answers."""
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
        self.sent.append(Sent(start_s, loop.time() - start_s, answer))

    def since(self, start_s: float) -> list[Sent]:
        """Returns what was sent since a time of the event loop."""
        return [sent for sent in self.sent if sent.at_s >= start_s]

    def served_share(self, since_s: float = float("-inf")) -> float:
        """Returns the share of answers that are good."""
        found = self.since(since_s)
        return sum(sent.served for sent in found) / len(found)

    def not_served(self, since_s: float = float("-inf")) -> list[Sent]:
        """Returns what was sent since a time and did not get a good answer."""
        return [sent for sent in self.since(since_s) if not sent.served]
