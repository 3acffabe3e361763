"""Listening sockets and what their connections inherit."""

from __future__ import annotations

import asyncio
import socket

import pytest

from marlramp.shell import listening


class Protocol(asyncio.Protocol):
    """Records its connections and counts what they receive."""

    sockets: list[socket.socket]
    received_bytes: int

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.sockets.append(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        type(self).received_bytes += len(data)


@pytest.fixture(autouse=True)
def no_connections() -> None:
    Protocol.sockets = []
    Protocol.received_bytes = 0


def test_kernel_keeps_little_of_a_connection() -> None:
    """Guards against a receive buffer that grows while much is received."""
    sent_bytes = 33_554_432

    async def main() -> int:
        server = await listening.serve(Protocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(bytes(sent_bytes))
        while Protocol.received_bytes < sent_bytes:
            await asyncio.sleep(0.01)
        (sock,) = Protocol.sockets
        size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        writer.close()
        server.close()
        return size

    size = asyncio.run(asyncio.wait_for(main(), 10))
    assert size == 2 * listening.RECEIVE_BUFFER_BYTES


def test_more_connections_than_are_accepted_at_once_are_queued() -> None:
    count = 4 * listening.ACCEPTED_AT_ONCE

    async def main() -> None:
        server = await listening.serve(Protocol, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        # The event loop accepts none until it runs again.
        callers = [socket.create_connection(address, 1) for _ in range(count)]
        while len(Protocol.sockets) < count:
            await asyncio.sleep(0.01)
        for caller in callers:
            caller.close()
        server.close()

    asyncio.run(asyncio.wait_for(main(), 5))
