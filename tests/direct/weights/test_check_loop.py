from __future__ import annotations

import asyncio
import hashlib

import pytest

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core.membership import members
from marlramp.core.weights import chunk_bitmap
from marlramp.core.weights import manifest
from marlramp.direct.weights import piece_exchange
from marlramp.direct.weights import version_digests
from marlramp.protocol import messages

PIECES = [b"0", b"1"]
WANTED = version_digests.ModelVersion("m", 2)
FOUND = manifest.Manifest(
    model="m",
    version="2",
    chunk_bytes=1,
    total_bytes=2,
    chunks=[hashlib.sha256(piece).hexdigest() for piece in PIECES],
    whole="",
)


class Origin:
    """Returns the digests at once."""

    async def manifest(self, model: str, version: int) -> manifest.Manifest:
        return FOUND

    async def piece(
        self, model: str, version: int, index: int, bytes_max: int
    ) -> bytes:
        return PIECES[index]


def agent(name: str) -> members.Member:
    return members.Member(
        vm_id=ids.VmId(name),
        kind=members.MemberKind.AGENT,
        data_centre=ids.DataCentreId("dc-1"),
        host="127.0.0.1",
        port=1,
    )


@pytest.fixture
def exchange(time: clock.ManualClock) -> piece_exchange.PieceExchange:
    """An agent that wants a version of two pieces and holds none."""
    found = piece_exchange.PieceExchange(
        agent("vm-1"), 1e6, counters.Counters(), time
    )
    found.set_origin(Origin())
    asyncio.run(found.find_manifest(WANTED, lambda: True))
    found.start_fetch(WANTED, is_new=False)
    return found


def test_agent_fetches_a_piece_that_never_matches_seldom() -> None:
    """Guards against a wrong digest that keeps the origin's link busy."""
    fetched: list[int] = []

    class CorruptOrigin(Origin):
        async def piece(
            self, model: str, version: int, index: int, bytes_max: int
        ) -> bytes:
            fetched.append(index)
            return b"x"

    async def main() -> None:
        agent_exchange = piece_exchange.PieceExchange(
            agent("vm-1"), 1e6, counters.Counters(), clock.SystemClock()
        )
        agent_exchange.set_origin(CorruptOrigin())
        await agent_exchange.find_manifest(WANTED, lambda: True)
        agent_exchange.start_fetch(WANTED, is_new=True)
        running = asyncio.create_task(agent_exchange.run())
        await asyncio.sleep(1.5)
        running.cancel()

    asyncio.run(main())
    # Two without delay, then after 0.1, 0.2, 0.4 and 0.8 s.
    assert len(PIECES) <= len(fetched) <= 6 * len(PIECES)


def test_idle_agent_checks_seldom(
    time: clock.ManualClock,
) -> None:
    idle = piece_exchange.PieceExchange(
        agent("vm-1"), 1e6, counters.Counters(), time
    )
    assert idle._wait_ms == piece_exchange.IDLE_TICK_MS


def test_agent_checks_often_until_it_holds_all_pieces(
    exchange: piece_exchange.PieceExchange,
) -> None:
    assert exchange._wait_ms == piece_exchange.TICK_MS
    for index, piece in enumerate(PIECES):
        assert exchange._wait_ms == piece_exchange.TICK_MS
        exchange.add(WANTED, index, piece)
    assert exchange._wait_ms == piece_exchange.IDLE_TICK_MS


def test_neighbour_that_lacks_pieces_ends_the_wait(
    exchange: piece_exchange.PieceExchange,
) -> None:
    for index, piece in enumerate(PIECES):
        exchange.add(WANTED, index, piece)
    exchange.set_peers({"vm-2": agent("vm-2")}, {"vm-2"})
    exchange._wake.clear()
    hello = messages.PeerHello(
        vm_id=ids.VmId("vm-2"),
        manifest=WANTED.name,
        held=chunk_bitmap.to_bitmap({0}),
        seen=chunk_bitmap.to_bitmap({0}),
        reply=False,
    )
    exchange.on_message("vm-2", hello)
    assert exchange._wake.is_set()
    assert exchange._wait_ms == piece_exchange.TICK_MS
