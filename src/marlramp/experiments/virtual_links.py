"""Links of VMs and regions in virtual time, each with a rate and a queue."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import itertools

from marlramp import clock

FRAME_BYTES = 66
"""Headers of a message on its way: frame, TCP, IP."""

_MS = clock.MILLIS_PER_SECOND


class Link:
    """One direction of a link: bytes leave in order at a rate.

    Attributes:
      busy_ms: time for which it has carried bytes.
      carried_bytes: bytes that it has carried.
    """

    def __init__(self, bytes_per_s: float) -> None:
        """Starts idle."""
        self.bytes_per_s = bytes_per_s
        self.busy_ms = 0.0
        self.carried_bytes = 0
        self._free_s = 0.0

    def carry(self, size_bytes: int, then: Callable[[], object]) -> float:
        """Calls `then` when the bytes have left; returns the wait in ms."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        start_s = max(now_s, self._free_s)
        taken_s = size_bytes / self.bytes_per_s
        self._free_s = start_s + taken_s
        self.busy_ms += taken_s * _MS
        self.carried_bytes += size_bytes
        loop.call_at(self._free_s, then)
        return (start_s - now_s) * _MS


class Network:
    """VMs in regions; what leaves one passes up to three links."""

    def __init__(
        self,
        link_bytes_per_s: float,
        region_bytes_per_s: float,
        near_delay_ms: float,
        far_delay_ms: float,
    ) -> None:
        """Has no VM yet."""
        self._link_bytes_per_s = link_bytes_per_s
        self._region_bytes_per_s = region_bytes_per_s
        self._near_delay_ms = near_delay_ms
        self._far_delay_ms = far_delay_ms
        self._regions: dict[str, str] = {}
        self._between: dict[tuple[str, str], Link] = {}
        self.up: dict[str, Link] = {}
        self.down: dict[str, Link] = {}

    def add(
        self, name: str, region: str, bytes_per_s: float | None = None
    ) -> None:
        """Adds a VM; its rate is the usual one unless told."""
        rate = bytes_per_s or self._link_bytes_per_s
        self._regions[name] = region
        self.up[name] = Link(rate)
        self.down[name] = Link(rate)

    def region_bytes(self) -> int:
        """Returns the bytes that crossed between regions."""
        return sum(link.carried_bytes for link in self._between.values())

    def deliver(
        self, sender: str, to: str, size_bytes: int, then: Callable[[], object]
    ) -> None:
        """Calls `then` when a message has arrived."""
        size = size_bytes + FRAME_BYTES
        own, other = self._regions[sender], self._regions[to]
        delay_ms = self._near_delay_ms if own == other else self._far_delay_ms
        hops = [self.up[sender], self.down[to]]
        if own != other:
            between = self._between.setdefault(
                (own, other), Link(self._region_bytes_per_s)
            )
            hops.insert(1, between)
        self._pass(hops, size, delay_ms, then)

    def _pass(
        self,
        hops: list[Link],
        size: int,
        delay_ms: float,
        then: Callable[[], object],
    ) -> None:
        if not hops:
            then()
            return
        rest = hops[1:]
        loop = asyncio.get_running_loop()
        # The delay lies behind the first link.
        wait_s = delay_ms / _MS
        hops[0].carry(
            size,
            lambda: loop.call_later(
                wait_s, lambda: self._pass(rest, size, 0.0, then)
            ),
        )


class FairSender:
    """A sender that divides its link evenly among what it sends.

    Attributes:
      sent_bytes: bytes that it has sent.
    """

    QUANTUM_BYTES = 4_096

    def __init__(self, link: Link) -> None:
        """Sends on `link`."""
        self._link = link
        self._waiting: dict[int, tuple[int, asyncio.Future[None]]] = {}
        self._numbers = itertools.count()
        self._sending = False
        self.sent_bytes = 0

    async def send(self, size_bytes: int) -> None:
        """Returns when all bytes have left."""
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
            # Back at the end of the round.
            self._waiting[number] = (left, done)
        elif not done.done():
            done.set_result(None)
        self._next()
