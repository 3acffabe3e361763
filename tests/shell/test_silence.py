from __future__ import annotations

import asyncio
import contextlib
import socket

from marlramp import clock
from marlramp.shell import http1_call
from marlramp.shell import http1_client
from marlramp.shell import silence
from standins import raw_http


def test_idle_connections_are_probed_and_ended_soon() -> None:
    async def script(peer: raw_http.Peer) -> None:
        await peer.read()

    async def main() -> None:
        async with raw_http.ScriptedServer(script) as server:
            connection = await http1_client.connect(
                "127.0.0.1", server.port, clock.SystemClock()
            )
            assert connection._transport is not None
            sock = connection._transport.get_extra_info("socket")
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            ended_after_s = (
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
                + sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
                * silence.PROBES_MAX
            )
            # Calm machines are judged 3 s after a disruption.
            assert ended_after_s <= 3
            connection.abort()

    asyncio.run(main())


def test_connections_beside_a_silent_one_are_not_used_again() -> None:
    # Two connections were open; both go silent, new ones work.
    silent_from = 2

    async def main() -> None:
        answered = 0

        async def script(peer: raw_http.Peer) -> None:
            nonlocal answered
            own = server.connections
            while (request := await peer.read()) is not None:
                if own <= silent_from and answered >= silent_from:
                    await asyncio.sleep(60)
                await asyncio.sleep(0.05)
                answered += 1
                await peer.answer(request, 200, b"ok")

        server = raw_http.ScriptedServer(script)
        async with server:
            caller = http1_call.HttpCaller(clock.SystemClock())
            url = f"http://{server.address}/x"

            async def call() -> bytes:
                answer = await caller.call("GET", url, b"", {}, 300.0)
                return answer.body

            assert await asyncio.gather(call(), call()) == [b"ok", b"ok"]
            with contextlib.suppress(http1_call.CallError):
                await call()
            # The other idle connection is as old as the one that was silent.
            assert await call() == b"ok"

    asyncio.run(main())
