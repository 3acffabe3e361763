"""Agents must close each connection to the weight origin after the call.

An origin that accepts 48 connections resets all others. When 51 agents kept
theirs open, three were reset on each attempt while the others downloaded
nothing. After a loss of all power, the origin still held the connections of the
lost machines, so that no engine could load its weights.
"""

from __future__ import annotations

import asyncio
import hashlib

from marlramp import clock
from marlramp.platform import replica_api
from marlramp.shell import http1_call
from standins import raw_http

DATA = b"piece"


async def answer(peer: raw_http.Peer, request: raw_http.SeenRequest) -> None:
    if request.target.startswith("/v1/manifest/"):
        digest = hashlib.sha256(DATA).hexdigest()
        # The platform calls a piece a block.
        body = f'{{"version":2,"block_bytes":5,"hashes":["{digest}"]}}'
        await peer.answer(request, 200, body.encode())
    else:
        await peer.answer(request, 200, DATA)


def test_connections_to_the_origin_are_closed_after_each_call() -> None:
    open_peers: set[raw_http.Peer] = set()

    async def script(peer: raw_http.Peer) -> None:
        open_peers.add(peer)
        while (request := await peer.read()) is not None:
            await answer(peer, request)
        open_peers.discard(peer)

    async def main() -> None:
        async with raw_http.ScriptedServer(script) as server:
            caller = http1_call.HttpCaller(clock.SystemClock())
            origin = replica_api.OriginApi(caller, server.address)
            await origin.manifest("m", 2)
            assert await origin.piece("m", 2, 0) == DATA
            async with asyncio.timeout(2):
                while open_peers:
                    await asyncio.sleep(0.01)

    asyncio.run(main())
