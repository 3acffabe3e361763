"""Tests that the proxy injects each fault into its connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeAlias

import pytest

from standins import fault_proxy

HOST = "127.0.0.1"
WAIT_S = 0.2

Streams: TypeAlias = tuple[asyncio.StreamReader, asyncio.StreamWriter]
ProxyTest: TypeAlias = Callable[[fault_proxy.FaultProxy, int], Awaitable[None]]


async def echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def send_byte(streams: Streams) -> bytes:
    """Sends one byte; returns the reply within `WAIT_S`, else b"nothing"."""
    reader, writer = streams
    writer.write(b"x")
    try:
        async with asyncio.timeout(WAIT_S):
            return await reader.read(100)
    except TimeoutError:
        return b"nothing"


def run_with_proxy(use: ProxyTest) -> None:
    async def main() -> None:
        server = await asyncio.start_server(echo, HOST, 0)
        target = server.sockets[0].getsockname()[1]
        placeholder = await asyncio.start_server(echo, HOST, 0)
        port = placeholder.sockets[0].getsockname()[1]
        placeholder.close()
        await placeholder.wait_closed()
        async with fault_proxy.FaultProxy(HOST, port, HOST, target) as proxy:
            await use(proxy, port)
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "fault",
    [
        fault_proxy.Fault.CUT,
        fault_proxy.Fault.CUT_TO_CLIENT,
        fault_proxy.Fault.CUT_TO_SERVER,
    ],
)
def test_cut_holds_bytes_back_until_it_heals(fault: fault_proxy.Fault) -> None:
    async def use(proxy: fault_proxy.FaultProxy, port: int) -> None:
        streams = await asyncio.open_connection(HOST, port)
        assert await send_byte(streams) == b"x"
        proxy.set_fault(fault)
        assert await send_byte(streams) == b"nothing"
        proxy.set_fault(fault_proxy.Fault.NONE)
        assert await streams[0].read(100) == b"x"
        streams[1].close()

    run_with_proxy(use)


def test_silenced_connection_stays_silent_while_new_ones_work() -> None:
    async def use(proxy: fault_proxy.FaultProxy, port: int) -> None:
        old = await asyncio.open_connection(HOST, port)
        assert await send_byte(old) == b"x"
        proxy.set_fault(fault_proxy.Fault.SILENCE)
        proxy.set_fault(fault_proxy.Fault.NONE)
        assert await send_byte(old) == b"nothing"
        new = await asyncio.open_connection(HOST, port)
        assert await send_byte(new) == b"x"
        old[1].close()
        new[1].close()

    run_with_proxy(use)


def test_reset_ends_open_connections() -> None:
    async def use(proxy: fault_proxy.FaultProxy, port: int) -> None:
        streams = await asyncio.open_connection(HOST, port)
        assert await send_byte(streams) == b"x"
        proxy.set_fault(fault_proxy.Fault.RESET)
        with pytest.raises(ConnectionResetError):
            await streams[0].read(100)

    run_with_proxy(use)


def test_narrow_fault_limits_the_rate() -> None:
    async def use(proxy: fault_proxy.FaultProxy, port: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, port)
        proxy.narrow(bytes_per_s=1_000.0)
        start_s = asyncio.get_running_loop().time()
        writer.write(bytes(100))
        assert await reader.readexactly(100) == bytes(100)
        # 100 bytes at 1,000 bytes/s take 0.1 s in each direction.
        assert asyncio.get_running_loop().time() - start_s >= 0.2
        proxy.set_fault(fault_proxy.Fault.NONE)
        assert await send_byte((reader, writer)) == b"x"
        writer.close()

    run_with_proxy(use)
