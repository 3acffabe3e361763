from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import struct
from typing import TypeAlias

from marlramp import clock
from marlramp import counters
from marlramp.core.membership import members
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from marlramp.shell import member_links

Links: TypeAlias = member_links.MemberLinks[fleet_messages.FromMember]
Received: TypeAlias = list[tuple[str, fleet_messages.FromMember]]


def make_links(name: str) -> tuple[Links, Received]:
    received: Received = []
    links: Links = member_links.MemberLinks(
        name,
        codec.member_decoder(),
        lambda sender, message: received.append((sender, message)),
        counters.Counters(),
        clock.SystemClock(),
    )
    return links, received


def ping(revision: int) -> fleet_messages.Ping:
    return fleet_messages.Ping(
        incarnation=1,
        state=members.MemberState.READY,
        digest=0,
        revision=revision,
    )


def port_of(links: Links) -> int:
    assert links._server is not None
    port: int = links._server.sockets[0].getsockname()[1]
    return port


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(3):
        while not condition():
            await asyncio.sleep(0.01)


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await test()

    asyncio.run(main())


def test_link_carries_messages_both_ways() -> None:
    async def test() -> None:
        one, received_one = make_links("one")
        two, received_two = make_links("two")
        await two.listen("127.0.0.1", 0)
        one.open("two", "127.0.0.1", port_of(two))
        assert one.send("two", ping(1))
        await wait_until(lambda: bool(received_two))
        assert received_two[0][0] == "one"
        assert two.send("one", ping(2))
        await wait_until(lambda: bool(received_one))
        one.close_all()
        two.close_all()

    run(test)


def test_link_reopens_after_its_peer_restarted() -> None:
    async def test() -> None:
        one, _ = make_links("one")
        two, _ = make_links("two")
        await two.listen("127.0.0.1", 0)
        port = port_of(two)
        one.open("two", "127.0.0.1", port)
        await wait_until(lambda: bool(two._inbound))
        two.close_all()
        again, received = make_links("two")
        await again.listen("127.0.0.1", port)
        await wait_until(lambda: one.send("two", ping(1)) and bool(received))
        one.close_all()
        again.close_all()

    run(test)


def test_oversized_and_malformed_frames_do_not_affect_other_links() -> None:
    async def test() -> None:
        two, received = make_links("two")
        await two.listen("127.0.0.1", 0)
        for data in (b"\xff" * 8, struct.pack(">I", 3) + b"abc" * 9):
            _, writer = await asyncio.open_connection("127.0.0.1", port_of(two))
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.close()
        one, _ = make_links("one")
        one.open("two", "127.0.0.1", port_of(two))
        one.send("two", ping(1))
        await wait_until(lambda: bool(received))
        one.close_all()
        two.close_all()

    run(test)


def test_send_to_an_unknown_member_fails() -> None:
    async def test() -> None:
        one, _ = make_links("one")
        assert not one.send("nobody", ping(1))

    run(test)
