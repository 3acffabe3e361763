"""Simulated links of VMs and regions, each with a rate and a queue."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import itertools

from marlramp import clock

FRAME_BYTES = 66
"""Size of the headers of a message: Ethernet frame, TCP and IP."""

_MS = clock.MILLIS_PER_SECOND


class Link:
    """One direction of a link; bytes leave in order at a fixed rate.

    Attributes:
      busy_ms: time during which the link was in use.
      carried_bytes: bytes that passed through the link.
    """

    def __init__(self, bytes_per_s: float) -> None:
        """Creates an idle link."""
        self.bytes_per_s = bytes_per_s
        self.busy_ms = 0.0
        self.carried_bytes = 0
        self._free_s = 0.0

    def carry(self, size_bytes: int, on_done: Callable[[], object]) -> float:
        """Calls `on_done` once the bytes have left; returns the wait in ms."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        start_s = max(now_s, self._free_s)
        duration_s = size_bytes / self.bytes_per_s
        self._free_s = start_s + duration_s
        self.busy_ms += duration_s * _MS
        self.carried_bytes += size_bytes
        loop.call_at(self._free_s, on_done)
        return (start_s - now_s) * _MS


class Network:
    """Network of VMs in regions.

    A message passes the link of its sender, the link between the two regions
    if they differ, and the link of its receiver.
    """

    def __init__(
        self,
        link_bytes_per_s: float,
        region_bytes_per_s: float,
        near_delay_ms: float,
        far_delay_ms: float,
    ) -> None:
        """Creates a network without VMs."""
        self._link_bytes_per_s = link_bytes_per_s
        self._region_bytes_per_s = region_bytes_per_s
        self._near_delay_ms = near_delay_ms
        self._far_delay_ms = far_delay_ms
        self._regions: dict[str, str] = {}
        self._region_links: dict[tuple[str, str], Link] = {}
        self.up: dict[str, Link] = {}
        self.down: dict[str, Link] = {}

    def add(
        self, name: str, region: str, bytes_per_s: float | None = None
    ) -> None:
        """Adds a VM, with the network's default link rate if none is given."""
        rate = bytes_per_s or self._link_bytes_per_s
        self._regions[name] = region
        self.up[name] = Link(rate)
        self.down[name] = Link(rate)

    def region_bytes(self) -> int:
        """Returns the bytes that crossed between regions."""
        return sum(link.carried_bytes for link in self._region_links.values())

    def deliver(
        self,
        sender: str,
        to: str,
        size_bytes: int,
        on_done: Callable[[], object],
    ) -> None:
        """Calls `on_done` when a message has arrived."""
        size = size_bytes + FRAME_BYTES
        source, target = self._regions[sender], self._regions[to]
        delay_ms = (
            self._near_delay_ms if source == target else self._far_delay_ms
        )
        hops = [self.up[sender], self.down[to]]
        if source != target:
            region_link = self._region_links.setdefault(
                (source, target), Link(self._region_bytes_per_s)
            )
            hops.insert(1, region_link)
        self._forward(hops, size, delay_ms, on_done)

    def _forward(
        self,
        hops: list[Link],
        size: int,
        delay_ms: float,
        on_done: Callable[[], object],
    ) -> None:
        if not hops:
            on_done()
            return
        remaining = hops[1:]
        loop = asyncio.get_running_loop()
        # The propagation delay is added once, after the first link.
        wait_s = delay_ms / _MS
        hops[0].carry(
            size,
            lambda: loop.call_later(
                wait_s, lambda: self._forward(remaining, size, 0.0, on_done)
            ),
        )


class FairSender:
    """Divides a link evenly among concurrent transfers.

    Attributes:
      sent_bytes: total bytes sent.
    """

    QUANTUM_BYTES = 4_096

    def __init__(self, link: Link) -> None:
        """Creates a sender that sends on `link`."""
        self._link = link
        self._waiting: dict[int, tuple[int, asyncio.Future[None]]] = {}
        self._numbers = itertools.count()
        self._sending = False
        self.sent_bytes = 0

    async def send(self, size_bytes: int) -> None:
        """Sends bytes; returns when all of them have left."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[next(self._numbers)] = (size_bytes, done)
        if not self._sending:
            self._next()
        await done

    def _next(self) -> None:
        self._sending = bool(self._waiting)
        if not self._waiting:
            return
        number = next(iter(self._waiting))
        left, done = self._waiting.pop(number)
        size = min(left, self.QUANTUM_BYTES)
        self.sent_bytes += size
        self._link.carry(size, lambda: self._sent(number, left - size, done))

    def _sent(self, number: int, left: int, done: asyncio.Future[None]) -> None:
        if left > 0:
            # Round robin: the rest goes to the end of the queue.
            self._waiting[number] = (left, done)
        elif not done.done():
            done.set_result(None)
        self._next()
