"""Pauses of the own event loop are not taken for the silence of a peer."""

from __future__ import annotations

import asyncio
import time

from marlramp import clock
from marlramp.shell import http1_client
from standins import raw_http


async def _accept(peer: raw_http.Peer) -> None:
    await peer.read()


def test_connection_that_opens_during_a_pause_of_the_loop_is_used() -> None:
    async def main() -> None:
        async with raw_http.ScriptedServer(_accept) as server:
            opening = asyncio.create_task(
                http1_client.connect(
                    "127.0.0.1", server.port, clock.SystemClock()
                )
            )
            await asyncio.sleep(0)
            # The kernel completes the connection meanwhile.
            time.sleep(1.5 * http1_client.CONNECT_TIMEOUT_MS / 1_000.0)
            connection = await opening
            assert connection.reusable
            connection.abort()

    asyncio.run(main())
