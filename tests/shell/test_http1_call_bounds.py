"""Bounds on the responses to calls, in bytes and in time."""

from __future__ import annotations

import asyncio
import time
import tracemalloc

import pytest

from marlramp import clock
from marlramp.shell import http1_call
from standins import raw_http

BODY_BYTES_MAX = 1_000_000
# Bytes on the way when the connection is closed, in the buffers of both ends.
UNREAD_BYTES_MAX = 16_777_216
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
PART = b"x" * 65_536
ARRIVAL = http1_call.Arrival(
    silence_ms=500.0, least_per_s=1_000.0, longest_ms=800.0
)


def failure_of(
    script: raw_http.Script,
    arrival: http1_call.Arrival | None,
    calls: int = 1,
) -> tuple[list[BaseException | http1_call.WholeAnswer], float]:
    """Makes calls at the same time.

    Returns:
      Their outcomes, and how long they took in seconds.
    """

    async def run() -> list[BaseException | http1_call.WholeAnswer]:
        async with raw_http.ScriptedServer(script) as server:
            caller = http1_call.HttpCaller(clock.SystemClock())
            return await asyncio.gather(
                *(
                    caller.call(
                        "GET",
                        f"http://{server.address}/x",
                        b"",
                        {},
                        1_000.0,
                        arrival=arrival,
                        body_bytes_max=BODY_BYTES_MAX,
                    )
                    for _ in range(calls)
                ),
                return_exceptions=True,
            )

    started_s = time.monotonic()
    return asyncio.run(run()), time.monotonic() - started_s


@pytest.mark.parametrize("arrival", [None, ARRIVAL])
@pytest.mark.parametrize(
    ("begin", "part"),
    [
        (HEAD + b"content-length: 99999999999\r\n\r\n", PART),
        (CHUNKED, b"10000\r\n" + PART + b"\r\n"),
        (CHUNKED, b"1\r\nx\r\n" * 10_000),
        (HEAD + b"\r\n", PART),
    ],
    ids=["length", "chunks", "short chunks", "until the close"],
)
def test_response_without_an_end_is_bounded(
    begin: bytes, part: bytes, arrival: http1_call.Arrival | None
) -> None:
    """Guards against a process that dies of what a server writes."""
    calls = 4
    peers: list[raw_http.Peer] = []

    async def script(peer: raw_http.Peer) -> None:
        peers.append(peer)
        await peer.read()
        await peer.write(begin)
        await peer.flood(part)

    tracemalloc.start()
    outcomes, duration_s = failure_of(script, arrival, calls)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    for outcome in outcomes:
        assert isinstance(outcome, http1_call.CallError)
        assert outcome.answering
    assert duration_s < 2.0
    assert peak_bytes < 4 * calls * BODY_BYTES_MAX
    for peer in peers:
        assert peer.flooded_bytes <= UNREAD_BYTES_MAX


def test_length_over_the_limit_is_refused_at_once() -> None:
    async def script(peer: raw_http.Peer) -> None:
        await peer.read()
        length = BODY_BYTES_MAX + 1
        await peer.write(HEAD + f"content-length: {length}\r\n\r\n".encode())
        await asyncio.sleep(3)

    (outcome,), duration_s = failure_of(script, ARRIVAL)
    assert "too large" in str(outcome)
    assert duration_s < 0.4


def test_largest_body_is_whole() -> None:
    async def script(peer: raw_http.Peer) -> None:
        while (request := await peer.read()) is not None:
            await peer.answer(request, 200, b"x" * BODY_BYTES_MAX)

    (outcome,), _ = failure_of(script, ARRIVAL)
    assert isinstance(outcome, http1_call.WholeAnswer)
    assert len(outcome.body) == BODY_BYTES_MAX


def test_call_whose_response_goes_on_has_a_longest_time() -> None:
    """Guards against a call that is extended without an end."""

    async def script(peer: raw_http.Peer) -> None:
        await peer.read()
        await peer.write(HEAD + b"\r\n")
        for _ in range(60):
            await peer.write(b"x" * 1_000)
            await asyncio.sleep(0.05)

    (outcome,), duration_s = failure_of(script, ARRIVAL)
    assert isinstance(outcome, http1_call.CallError)
    assert duration_s < 1.5
