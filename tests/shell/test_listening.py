"""Listening sockets and what their connections inherit."""

from __future__ import annotations

import asyncio
import socket

from marlramp.shell import listening


class Protocol(asyncio.Protocol):
    """Records the receive buffer of its connection."""

    sizes: list[int]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        sock = transport.get_extra_info("socket")
        size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        self.sizes.append(size)


def test_kernel_keeps_little_of_a_connection_that_is_not_read() -> None:
    """Guards against memory of a VM that no bound of the process counts."""

    async def main() -> None:
        Protocol.sizes = []
        server = await listening.serve(Protocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(0.05)
        writer.close()
        server.close()

    asyncio.run(main())
    assert Protocol.sizes == [2 * listening.RECEIVE_BUFFER_BYTES]


def test_more_connections_than_are_accepted_at_once_are_queued() -> None:
    count = 4 * listening.ACCEPTED_AT_ONCE
    Protocol.sizes = []

    async def main() -> None:
        server = await listening.serve(Protocol, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        # The event loop accepts none until it runs again.
        callers = [socket.create_connection(address, 1) for _ in range(count)]
        while len(Protocol.sizes) < count:
            await asyncio.sleep(0.01)
        for caller in callers:
            caller.close()
        server.close()

    asyncio.run(asyncio.wait_for(main(), 5))
