"""Links between processes, on real sockets."""

from __future__ import annotations

import asyncio
import socket

import pytest
import zmq

from marlramp import counters
from marlramp.shell import links


def test_message_over_the_limit_does_not_reach_a_connector(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only listeners had a limit: a connector kept a message of any size."""
    monkeypatch.setattr(links, "CONNECTOR_BYTES_MAX", 1_000, raising=False)
    server_public, server_secret = zmq.curve_keypair()
    client_public, client_secret = zmq.curve_keypair()
    keys = links.Keys(
        server_public, server_secret, client_public, client_secret
    )
    with socket.create_server(("127.0.0.1", 0)) as unused:
        port = unused.getsockname()[1]
    received: list[bytes] = []

    async def main() -> None:
        context = links.LinkContext(keys, counters.Counters())
        listener = links.Listener(context, "127.0.0.1", port, 1_000)
        identity = links.LinkId("vm-1", 1)
        connector = links.Connector(context, identity, "127.0.0.1", port)
        connector.send(b"hello")
        (hello,) = await listener.receive()
        assert listener.send(hello.routing_id, b"small")
        received.extend(await connector.receive())
        listener.send(hello.routing_id, b"x" * 100_000)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                received.extend(await connector.receive())
        context.close()

    asyncio.run(main())
    assert received == [b"small"]
