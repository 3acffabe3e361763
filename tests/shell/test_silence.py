from __future__ import annotations

import asyncio
import contextlib
import socket
import time

import pytest

from marlramp import clock
from marlramp.shell import address_probe
from marlramp.shell import http1_call
from marlramp.shell import http1_client
from marlramp.shell import silence
from standins import raw_http


def test_dead_idle_connections_are_closed_by_keepalive() -> None:
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
                * silence.KEEPALIVE_PROBES_MAX
            )
            # Undisturbed machines are evaluated from 3 s after a disruption.
            assert ended_after_s <= 3
            connection.abort()

    asyncio.run(main())


def test_timeout_drops_other_idle_connections_to_the_server() -> None:
    """Guards against reuse of a dead connection after another timed out.

    Two open connections stop responding, while new ones work.
    """
    dead_count = 2

    async def main() -> None:
        answered = 0

        async def script(peer: raw_http.Peer) -> None:
            nonlocal answered
            connection_number = server.connections
            while (request := await peer.read()) is not None:
                if connection_number <= dead_count and answered >= dead_count:
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
            # The other idle connection is dead too and must not be reused.
            assert await call() == b"ok"

    asyncio.run(main())


PARTS = 40
PART_S = 0.05


def slow_response(part: bytes, parts: int = PARTS) -> raw_http.Script:
    """Returns a script that sends `parts` of `PARTS` parts, then stalls."""

    async def script(peer: raw_http.Peer) -> None:
        while await peer.read() is not None:
            length = PARTS * len(part)
            head = f"HTTP/1.1 200 X\r\ncontent-length: {length}\r\n\r\n"
            await peer.write(head.encode())
            for _ in range(parts):
                await asyncio.sleep(PART_S)
                await peer.write(part)
            await asyncio.sleep(60)

    return script


ARRIVAL = http1_call.Arrival(
    silence_ms=200.0, least_per_s=10_000.0, longest_ms=9_000.0
)


def call_slowly(
    script: raw_http.Script,
    arrival: http1_call.Arrival | None = ARRIVAL,
    timeout_ms: float = 300.0,
) -> tuple[int, float]:
    """Makes a call whose deadline may move while its response arrives.

    Returns:
      Size of the body, 0 if only a part arrived, and duration in seconds.
    """

    async def main() -> int:
        async with raw_http.ScriptedServer(script) as server:
            caller = http1_call.HttpCaller(clock.SystemClock())
            url = f"http://{server.address}/x"
            try:
                answer = await caller.call(
                    "GET", url, b"", {}, timeout_ms, arrival=arrival
                )
            except http1_call.CallError as error:
                assert error.answering
                return 0
            return len(answer.body)

    started_s = time.monotonic()
    return asyncio.run(main()), time.monotonic() - started_s


def test_response_that_makes_progress_extends_the_deadline() -> None:
    # The response takes 2 s, the time limit of the call is 0.3 s.
    received, _ = call_slowly(slow_response(b"x" * 2_000))
    assert received == 2_000 * PARTS


def test_stalled_response_ends_the_call() -> None:
    # At the minimum rate the call would end only after 2.3 s.
    received, duration_s = call_slowly(slow_response(b"x" * 2_000, parts=10))
    assert received == 0
    assert 0.5 <= duration_s < 2.0


def test_response_below_the_minimum_rate_ends_the_call() -> None:
    received, duration_s = call_slowly(slow_response(b"x"))
    assert received == 0
    assert duration_s < 1.5


HOLD_S = 0.4


@pytest.mark.parametrize("begun", [False, True])
@pytest.mark.parametrize("written_before", [False, True])
@pytest.mark.parametrize("arrival", [None, ARRIVAL])
def test_pause_of_the_own_event_loop_is_no_silence_of_the_server(
    begun: bool, written_before: bool, arrival: http1_call.Arrival | None
) -> None:
    """Guards against a call that ends although its response has arrived.

    The event loop is held up for longer than the response may take.
    """
    body = b"x" * 100_000

    async def script(peer: raw_http.Peer) -> None:
        await peer.read()
        data = b"HTTP/1.1 200 X\r\ncontent-length: 100000\r\n\r\n" + body
        if begun:
            await peer.write(data[:1_000])
            data = data[1_000:]
            await asyncio.sleep(PART_S)
        if written_before:
            await peer.write(data)
        time.sleep(HOLD_S)
        if not written_before:
            await asyncio.sleep(PART_S)
            await peer.write(data)
        await asyncio.sleep(60)

    received, _ = call_slowly(script, arrival, timeout_ms=200.0)
    assert received == len(body)


def test_pause_of_the_own_event_loop_does_not_fail_a_connection() -> None:
    async def main() -> None:
        async with raw_http.ScriptedServer(slow_response(b"x")) as server:
            opening = asyncio.create_task(
                http1_client.connect(
                    "127.0.0.1", server.port, clock.SystemClock()
                )
            )
            await asyncio.sleep(0)
            time.sleep(0.1 + http1_client.CONNECT_TIMEOUT_MS / 1_000)
            (await opening).abort()

    asyncio.run(main())


@pytest.mark.parametrize("resets", [False, True])
def test_pause_of_the_own_event_loop_does_not_change_what_a_probe_finds(
    resets: bool,
) -> None:
    """Guards against an answer cut short by a crash that is taken as whole."""

    async def script(peer: raw_http.Peer) -> None:
        if resets:
            await asyncio.sleep(address_probe.STAYS_OPEN_MS / 2_000)
            peer.reset()
            await asyncio.sleep(0)
            time.sleep(HOLD_S)
        await peer.read()

    async def main() -> address_probe.Presence:
        async with raw_http.ScriptedServer(script) as server:
            probing = asyncio.create_task(address_probe.probe(server.address))
            if not resets:
                await asyncio.sleep(0)
                time.sleep(HOLD_S + address_probe.CONNECT_TIMEOUT_MS / 1_000)
            return await probing

    expected = address_probe.Presence.THERE
    if resets:
        expected = address_probe.Presence.UNKNOWN
    assert asyncio.run(main()) is expected
