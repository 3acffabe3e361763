from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import struct

import pytest

from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from marlramp.shell import member_connection
from marlramp.shell import member_links
from tests.shell import test_member_links

wait_until = test_member_links.wait_until
Peer = tuple[asyncio.StreamReader, asyncio.StreamWriter]
PING = codec.encode(test_member_links.ping(1))
FAULTY = test_member_links.ping(-1)


def framed(*frames: bytes) -> bytes:
    return b"".join(struct.pack(">I", len(f)) + f for f in frames)


@contextlib.asynccontextmanager
async def listening() -> AsyncIterator[
    tuple[
        test_member_links.Links,
        test_member_links.Received,
        Callable[[bytes], Awaitable[Peer]],
    ]
]:
    """Yields links that listen, what they receive, and how to connect."""
    links, received = test_member_links.make_links("one")
    await links.listen("127.0.0.1", 0)
    port = test_member_links.port_of(links)
    writers = []

    async def connect(data: bytes) -> Peer:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writers.append(writer)
        writer.write(data)
        return reader, writer

    try:
        yield links, received, connect
    finally:
        links.close_all()
        for writer in writers:
            writer.close()


async def is_closed(reader: asyncio.StreamReader, within_s: float) -> bool:
    try:
        async with asyncio.timeout(within_s):
            with contextlib.suppress(ConnectionError):
                await reader.read()
    except TimeoutError:
        return False
    return True


@pytest.fixture(autouse=True)
def short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(member_connection, "NAME_TIMEOUT_MS", 200.0, False)
    monkeypatch.setattr(member_connection, "FRAME_TIMEOUT_MS", 300.0, False)


@pytest.mark.parametrize(
    "start",
    [
        b"",
        struct.pack(">I", 3),
        framed(b"")[:2],
        framed(b""),
        struct.pack(">I", member_connection.NAME_BYTES_MAX + 1),
        framed(b"two") + b"\0",
        framed(b"two") + struct.pack(">I", 9),
        framed(b"two", PING) + framed(PING)[:-1],
    ],
)
def test_unfinished_frame_is_not_waited_for_without_end(start: bytes) -> None:
    async def test() -> None:
        async with listening() as (_, _, connect):
            reader, _ = await connect(start)
            assert await is_closed(reader, 1.0)

    asyncio.run(test())


def test_byte_now_and_then_does_not_keep_a_link_open() -> None:
    async def test() -> None:
        async with listening() as (_, _, connect):
            reader, writer = await connect(
                framed(b"two") + struct.pack(">I", 99)
            )
            closed = asyncio.create_task(is_closed(reader, 1.0))
            while not closed.done():
                writer.write(b"\0")
                await asyncio.sleep(0.05)
            assert closed.result()

    asyncio.run(test())


def test_silence_between_and_within_frames_loses_no_message(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(member_connection, "FRAME_TIMEOUT_MS", 5_000.0)

    async def test() -> None:
        async with listening() as (_, received, connect):
            _, writer = await connect(framed(b"two", PING) + framed(PING)[:9])
            await asyncio.sleep(1.3)
            writer.write(framed(PING)[9:])
            await asyncio.sleep(1.3)
            writer.write(framed(PING))
            await wait_until(lambda: len(received) == 3)

    asyncio.run(test())


def test_sum_of_unfinished_frames_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(member_connection, "PARTIAL_BYTES_MAX", 300_000, False)
    monkeypatch.setattr(member_connection, "FRAME_TIMEOUT_MS", 9_000.0, False)

    async def test() -> None:
        async with listening() as (_, received, connect):
            start = struct.pack(">I", 200_000)
            small, _ = await connect(framed(b"small") + start + bytes(90_000))
            large, _ = await connect(framed(b"large") + start + bytes(190_000))
            await asyncio.sleep(0.1)
            await connect(framed(b"next") + start + bytes(90_000))
            assert await is_closed(large, 1.0)
            assert not await is_closed(small, 0.1)
            await connect(framed(b"sound", PING))
            await wait_until(lambda: bool(received))

    asyncio.run(test())


@pytest.mark.parametrize(
    ("limit", "named"), [("UNNAMED_MAX", False), ("INBOUND_MAX", True)]
)
def test_connections_are_bounded_in_number(
    monkeypatch: pytest.MonkeyPatch, limit: str, named: bool
) -> None:
    monkeypatch.setattr(member_links, limit, 4, False)
    monkeypatch.setattr(member_connection, "NAME_TIMEOUT_MS", 9_000.0, False)

    async def test() -> None:
        async with listening() as (_, received, connect):
            peers = []
            for n in range(8):
                name = framed(str(n).encode()) if named else b""
                peers.append(await connect(name))
                await asyncio.sleep(0.02)
            closed = [await is_closed(reader, 0.1) for reader, _ in peers]
            assert closed == [True] * 4 + [False] * 4
            await connect(framed(b"sound", PING))
            await wait_until(lambda: bool(received))

    asyncio.run(test())


def test_older_connections_of_a_member_are_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(member_links, "REPLACED_IDLE_MAX_MS", 400.0, False)
    monkeypatch.setattr(member_links, "REPLACED_CHECK_MS", 50.0, False)

    async def test() -> None:
        async with listening() as (_, received, connect):
            peers = []
            for n in range(1, 4):
                peers.append(await connect(framed(b"two", PING)))
                await wait_until(lambda n=n: len(received) == n)
            closed = [await is_closed(reader, 0.1) for reader, _ in peers]
            assert closed == [True, False, False]
            assert await is_closed(peers[1][0], 1.0)
            assert not await is_closed(peers[2][0], 0.5)

    asyncio.run(test())


def test_older_connection_serves_when_the_newer_one_ends() -> None:
    async def test() -> None:
        async with listening() as (links, received, connect):
            reader, _ = await connect(framed(b"two", PING))
            await wait_until(lambda: len(received) == 1)
            _, writer = await connect(framed(b"two", PING))
            await wait_until(lambda: len(received) == 2)
            writer.close()
            await asyncio.sleep(0.1)
            assert links.send("two", test_member_links.ping(1))
            async with asyncio.timeout(1):
                assert await reader.readexactly(4 + len(PING)) == framed(PING)

    asyncio.run(test())


def test_nothing_is_handled_after_a_link_is_aborted() -> None:
    async def test() -> None:
        handled = []

        def handle(sender: str, message: object) -> None:
            handled.append(message)
            two.close("one")

        two, _ = test_member_links.make_links("two")
        two._on_message = handle
        async with listening() as (one, _, _):
            two.open("one", "127.0.0.1", test_member_links.port_of(one))
            await wait_until(lambda: "two" in one._inbound)
            for n in range(3):
                one.send("two", test_member_links.ping(n))
            await wait_until(lambda: "two" not in one._inbound)
        assert len(handled) == 1

    asyncio.run(test())


@pytest.mark.parametrize("fault", [b"\xff", codec.encode(FAULTY)])
def test_link_that_brings_nothing_usable_is_closed(
    fault: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        "marlramp.logs.log", lambda event, **_: lines.append(event)
    )

    async def test() -> None:
        async with listening() as (links, received, connect):
            handle = links._on_message

            def refuse(sender: str, message: fleet_messages.FromMember) -> None:
                if message == FAULTY:
                    raise ValueError
                handle(sender, message)

            links._on_message = refuse
            unusable = [fault] * 31
            mixed = framed(*[*unusable, PING] * 4)
            reader, writer = await connect(framed(b"two") + mixed)
            await wait_until(lambda: len(received) == 4)
            assert not await is_closed(reader, 0.1)
            writer.write(framed(*[fault] * 99))
            assert await is_closed(reader, 1.0)
            dropped = lines.count("message_dropped")
            assert dropped <= 20

    asyncio.run(test())


def test_peer_that_sends_nothing_usable_is_not_called_without_pause() -> None:
    async def test() -> None:
        calls = 0

        async def answer(_: object, writer: asyncio.StreamWriter) -> None:
            nonlocal calls
            calls += 1
            writer.write(framed(*[b"\xff"] * 99))

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        links, _ = test_member_links.make_links("one")
        links.open("two", "127.0.0.1", server.sockets[0].getsockname()[1])
        await asyncio.sleep(2.0)
        links.close_all()
        server.close()
        assert 2 <= calls <= 6

    asyncio.run(test())
