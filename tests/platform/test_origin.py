"""The origin of weights takes few connections, and many agents may ask it.

After a loss of all power no engine of a grown fleet loaded its weights again:
the origin reset each new connection, also the first one. Agents had kept theirs
for calls that might come. 48 were its bound: before the loss exactly three of
51 agents were reset again and again while the others drew nothing, and after it
the origin still held those of the machines that had gone.
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
        body = f'{{"version":2,"block_bytes":5,"hashes":["{digest}"]}}'
        await peer.answer(request, 200, body.encode())
    else:
        await peer.answer(request, 200, DATA)


def test_no_connection_to_the_origin_outlives_its_call() -> None:
    held: set[raw_http.Peer] = set()

    async def script(peer: raw_http.Peer) -> None:
        held.add(peer)
        while (request := await peer.read()) is not None:
            await answer(peer, request)
        held.discard(peer)

    async def main() -> None:
        async with raw_http.ScriptedServer(script) as server:
            caller = http1_call.HttpCaller(clock.SystemClock())
            origin = replica_api.OriginApi(caller, server.address)
            await origin.manifest("m", 2)
            assert await origin.piece("m", 2, 0) == DATA
            async with asyncio.timeout(2):
                while held:
                    await asyncio.sleep(0.01)

    asyncio.run(main())
