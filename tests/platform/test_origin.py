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
from marlramp.settings import node
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


def test_staged_piece_that_is_too_large_counts_as_empty() -> None:
    """Guards against a load that a piece of an older version prevents."""

    async def script(peer: raw_http.Peer) -> None:
        while (request := await peer.read()) is not None:
            await peer.answer(request, 200, DATA)

    async def main() -> list[bytes]:
        async with raw_http.ScriptedServer(script) as server:
            engine = replica_api.ReplicaApi(
                http1_call.HttpCaller(clock.SystemClock()),
                node.Address("127.0.0.1", server.port),
            )
            return [
                await engine.read_staged("m", 0, len(DATA) - less)
                for less in (0, 1)
            ]

    assert asyncio.run(main()) == [DATA, b""]


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
            assert await origin.piece("m", 2, 0, len(DATA)) == DATA
            async with asyncio.timeout(2):
                while open_peers:
                    await asyncio.sleep(0.01)

    asyncio.run(main())
