"""What an entry of the grants path answers when callers hold too much."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from marlramp import clock
from marlramp import errors
from marlramp.entry import caller_protocol
from marlramp.entry import http_server
from marlramp.entry import unanswered
from marlramp.protocol import messages
from marlramp.settings import node
from marlramp.shell import caller_bounds
from tests.entry import conftest
from tests.entry import test_unanswered_calls as calls

PATH = f"/v1/services/{conftest.STOCK}/slots"
BODY_BYTES = 1_048_576
CALLERS = 12
"""Callers whose bodies do not fit together."""


def give(entry: calls.Entry, run: messages.Run) -> None:
    entry.give(run, b"done")


def run_callers(
    scenario: Callable[[int], Awaitable[None]],
    limits: node.VmLimits | None = None,
) -> calls.Entry:
    """Runs callers of an entry with the least memory, unless it is given."""

    async def main() -> calls.Entry:
        entry = calls.Entry(give)
        bounds = caller_bounds.CallerBounds(
            limits or node.VmLimits(memory_bytes=1),
            entry.totals,
            clock.SystemClock(),
        )
        server = http_server.build(
            entry.app,
            "127.0.0.1",
            0,
            caller_protocol.Limits(),
            unanswered.UnansweredCalls(entry.totals),
            1,
            bounds,
        )
        task = asyncio.create_task(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)
        async with asyncio.timeout(10):
            await scenario(server.servers[0].sockets[0].getsockname()[1])
        server.should_exit = True
        await task
        return entry

    return asyncio.run(main())


async def send(
    port: int, data: bytes
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    await writer.drain()
    return reader, writer


async def answer_to(port: int, data: bytes) -> bytes:
    reader, writer = await send(port, data)
    answer = await reader.read()
    writer.close()
    return answer


SMALL = calls.post(PATH, b"x", "connection: close")


def test_unfinished_bodies_beyond_the_memory_are_refused() -> None:
    """Guards against bodies of many callers that fill the memory."""

    async def scenario(port: int) -> None:
        data = calls.post(PATH, bytes(BODY_BYTES))[:-1]
        crowd = [await send(port, data) for _ in range(CALLERS)]
        await asyncio.sleep(0.2)
        first = crowd[0][0]
        head = await first.read(65_536)
        assert head.startswith(b"HTTP/1.1 503 ")
        assert errors.ErrorKind.ENTRY_OVERLOADED.value.encode() in head
        assert (await answer_to(port, SMALL)).startswith(b"HTTP/1.1 200 ")
        for _, writer in crowd:
            writer.transport.abort()

    assert not run_callers(scenario).unanswered(
        unanswered.UnansweredReason.HANDLER_FAILED
    )


@pytest.mark.parametrize("memory_mb", [100, 160])
def test_body_of_the_largest_size_is_served_in_calm(memory_mb: int) -> None:
    async def scenario(port: int) -> None:
        body = bytes(messages.BODY_BYTES_MAX)
        for _ in range(3):
            data = calls.post(PATH, body, "connection: close")
            assert (await answer_to(port, data)).startswith(b"HTTP/1.1 200 ")

    limits = node.VmLimits(memory_bytes=memory_mb * 1_000_000)
    run_callers(scenario, limits)


def test_long_pipeline_is_answered_whole_and_in_order() -> None:
    """Guards against requests that are lost while the queue is full."""
    count = 40

    async def scenario(port: int) -> None:
        requests = [
            calls.post(PATH, b"x", f"marlramp-request-id: id-{number}")
            for number in range(count)
        ]
        answers = await answer_to(port, b"".join(requests) + SMALL)
        assert answers.count(b"HTTP/1.1 200 ") == count + 1

    run_callers(scenario)


def test_idle_connections_beyond_the_sockets_are_closed() -> None:
    async def scenario(port: int) -> None:
        idle = [await send(port, b"") for _ in range(40)]
        assert (await answer_to(port, SMALL)).startswith(b"HTTP/1.1 200 ")
        assert sum(reader.at_eof() for reader, _ in idle) >= 30
        for _, writer in idle:
            writer.transport.abort()

    run_callers(scenario, node.VmLimits(sockets_max=20))
