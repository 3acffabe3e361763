"""Tests that a fleet learns the digests of a version without a thundering herd.

After a total loss of power, no engine ever loaded its weights again. Each of 51
agents requested the digests from the origin five times a second, on a
connection of its own, and the origin reset the connections beyond its limit.
Links between agents were opened only once the digests were known, so that no
agent could receive them from another. "manifest_unavailable detail=reset" was
logged 250 times in the first two seconds and 490 times in every two seconds
after that.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core.membership import members
from marlramp.core.weights import manifest
from marlramp.direct.weights import piece_exchange
from marlramp.direct.weights import version_digests
from marlramp.platform import clients

AGENTS = 51
REQUESTS_PER_S_MAX = 40
"""Requests a second that the origin answers. It resets further ones, each at
the same cost."""

WANTED = version_digests.ModelVersion("m", 2)
FOUND = manifest.Manifest(
    model="m",
    version="2",
    chunk_bytes=1,
    total_bytes=2,
    chunks=["a" * 64, "b" * 64],
    whole="",
)


class BoundedOrigin:
    """Resets each request while more than the limit came in the last second."""

    def __init__(self, down_s: float = 0.0) -> None:
        """Is unavailable for the first `down_s` seconds."""
        loop = asyncio.get_running_loop()
        self._time = loop.time
        self._up_s = loop.time() + down_s
        self._request_times: collections.deque[float] = collections.deque()
        self.most_in_a_second = 0

    async def manifest(self, model: str, version: int) -> manifest.Manifest:
        now_s = self._time()
        self._request_times.append(now_s)
        while now_s - self._request_times[0] > 1.0:
            self._request_times.popleft()
        if now_s > self._up_s - 1.0:
            self.most_in_a_second = max(
                self.most_in_a_second, len(self._request_times)
            )
        await asyncio.sleep(0.01)
        if now_s < self._up_s or len(self._request_times) > REQUESTS_PER_S_MAX:
            raise clients.PlatformError("reset")
        return FOUND

    async def piece(
        self, model: str, version: int, index: int, bytes_max: int
    ) -> bytes:
        raise clients.PlatformError("the test requests no pieces")


class Links:
    """Links in memory; only open ones carry messages."""

    def __init__(self, name: str, all_links: dict[str, Links]) -> None:
        self._name = name
        self._all = all_links
        self._open: set[str] = set()
        self.deliver: Callable[[str, msgspec.Struct], None] | None = None
        all_links[name] = self

    def open(self, name: str, host: str, port: int) -> bool:
        is_new = name not in self._open
        self._open.add(name)
        self._all[name]._open.add(self._name)
        return is_new

    def close(self, name: str) -> None:
        self._open.discard(name)

    def send(self, name: str, message: msgspec.Struct) -> bool:
        if name not in self._open:
            return False
        deliver = self._all[name].deliver
        assert deliver is not None
        asyncio.get_running_loop().call_later(
            0.002, deliver, self._name, message
        )
        return True


def make_agents() -> list[piece_exchange.PieceExchange]:
    own = [
        members.Member(
            vm_id=ids.VmId(f"vm-{n}"),
            kind=members.MemberKind.AGENT,
            data_centre=ids.DataCentreId("dc-1"),
            host="127.0.0.1",
            port=n + 1,
        )
        for n in range(AGENTS)
    ]
    all_links: dict[str, Links] = {}
    agents = []
    for member in own:
        agent = piece_exchange.PieceExchange(
            member, 1e6, counters.Counters(), clock.SystemClock()
        )
        links = Links(member.vm_id, all_links)
        links.deliver = agent.on_message  # type: ignore[assignment]
        agent.attach(links)  # type: ignore[arg-type]
        peers = {m.vm_id: m for m in own if m is not member}
        agent.set_peers(peers, set(peers))
        agents.append(agent)
    return agents


async def learn_all(origin: BoundedOrigin, agents_s: float) -> None:
    agents = make_agents()
    for agent in agents:
        agent.set_origin(origin)
    async with asyncio.timeout(agents_s):
        await asyncio.gather(
            *[a.find_manifest(WANTED, lambda: True) for a in agents]
        )


def test_all_learn_the_digests_without_overloading_the_origin() -> None:
    async def main() -> None:
        origin = BoundedOrigin()
        await learn_all(origin, 3.0)
        assert origin.most_in_a_second <= REQUESTS_PER_S_MAX

    asyncio.run(main())


def test_all_learn_the_digests_soon_after_the_origin_recovers() -> None:
    async def main() -> None:
        origin = BoundedOrigin(down_s=4.0)
        await learn_all(origin, 6.0)
        assert origin.most_in_a_second <= REQUESTS_PER_S_MAX

    asyncio.run(main())
