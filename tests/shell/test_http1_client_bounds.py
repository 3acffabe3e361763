"""Bounds on what is read from a replica, and the end of its connections."""

from __future__ import annotations

import asyncio

import pytest

from marlramp import clock
from marlramp.core.replicas import replica_view
from marlramp.direct.calls import latency_probes
from marlramp.shell import http1_client
from standins import raw_http
from tests.direct import conftest
from tests.shell import test_http1_client

HEAD = test_http1_client.HEAD
# Bytes on the way when the connection is closed, in the buffers of both ends.
UNREAD_BYTES_MAX = 16_777_216


def pool_of(server: raw_http.ScriptedServer) -> http1_client.ConnectionPool:
    return http1_client.ConnectionPool(
        "127.0.0.1", server.port, clock.SystemClock()
    )


async def stay(peer: raw_http.Peer) -> None:
    """Keeps a connection open until the client closes it."""
    while await peer.read() is not None:
        pass


@pytest.mark.parametrize("retired", [False, True])
@pytest.mark.parametrize("sent", [False, True])
def test_connection_that_is_of_no_more_use_is_closed(
    sent: bool, retired: bool
) -> None:
    """Guards against connections that no pool holds and nobody closes."""

    async def run() -> bool:
        async with raw_http.ScriptedServer(stay) as server:
            pool = pool_of(server)
            connection = await pool.open()
            if sent:
                recorder = test_http1_client.Recorder()
                connection.send("GET", HEAD, b"", recorder)
            if retired:
                pool.retire()
            pool.give_back(connection)
            return connection.closed

    assert asyncio.run(run()) is (sent or retired)


def test_latency_probe_of_a_forgotten_replica_is_closed(
    cold_view: replica_view.ReplicaView,
) -> None:
    async def run() -> None:
        left = asyncio.Event()

        async def script(peer: raw_http.Peer) -> None:
            await stay(peer)
            left.set()

        async with raw_http.ScriptedServer(script) as server:
            pool = pool_of(server)
            probes = latency_probes.LatencyProbes(clock.SystemClock())
            probes.check(cold_view, pool)
            pool.retire()
            async with asyncio.timeout(2.0):
                await left.wait()

    asyncio.run(run())


def test_connection_that_its_replica_has_closed_is_not_reusable() -> None:
    """Guards against a request written after the end was received."""

    async def run() -> bool:
        async with raw_http.ScriptedServer(stay) as server:
            connection = await pool_of(server).open()
            connection.eof_received()
            return connection.reusable

    assert not asyncio.run(run())


CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
PART = b"x" * 65_536


@pytest.mark.parametrize(
    ("begin", "part"),
    [
        (b"HTTP/1.1 200 OK\r\nname: ", PART),
        (b"HTTP/1.1 200 OK\r\n", PART),
        (b"HTTP/1.1 200 ", PART),
        (b"HTTP/1.1 ", b"2" * 65_536),
        (b"", b"\r\n" * 32_768),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
        (CHUNKED + b"2;", PART),
        (CHUNKED + b"2\r\nok\r\n0\r\n", b"x-a: b\r\n" * 8_000),
        (CHUNKED + b"2\r\nok\r\n0\r\nx-a: ", PART),
    ],
    ids=[
        "header value",
        "header name",
        "reason phrase",
        "status line",
        "blank lines",
        "informational responses",
        "chunk extension",
        "trailers",
        "trailer value",
    ],
)
def test_response_that_is_no_body_is_bounded(begin: bytes, part: bytes) -> None:
    """Guards against bytes that are read until the attempt times out."""
    peers: list[raw_http.Peer] = []

    async def script(peer: raw_http.Peer) -> None:
        peers.append(peer)
        await peer.read()
        await peer.write(begin)
        await peer.flood(part)

    recorder, connection = test_http1_client.exchange(script)
    assert recorder.lost is http1_client.LossKind.MALFORMED
    assert connection.closed
    assert peers[0].flooded_bytes <= UNREAD_BYTES_MAX


@pytest.mark.parametrize("head_bytes", [60_000, 70_000])
@pytest.mark.parametrize("part_bytes", [1_000, 100_000])
def test_head_is_bounded_however_it_is_divided(
    head_bytes: int, part_bytes: int
) -> None:
    end = b"\r\ncontent-length: 300000\r\n\r\n" + b"y" * 300_000
    data = b"HTTP/1.1 200 OK\r\nname: " + b"x" * head_bytes + end

    async def script(peer: raw_http.Peer) -> None:
        await peer.read()
        for start in range(0, len(data), part_bytes):
            await peer.write(data[start : start + part_bytes])
            await asyncio.sleep(0)
        await asyncio.sleep(1)

    recorder, _ = test_http1_client.exchange(script)
    fits = head_bytes < http1_client.HEAD_BYTES_MAX
    assert recorder.complete is fits
    assert len(recorder.body) == (300_000 if fits else 0)


def test_stream_of_short_chunks_is_read_whole() -> None:
    """Guards against a bound on what divides a body into chunks."""
    data = CHUNKED + b"00000001;a=b\r\nx\r\n" * 50_000 + b"0\r\n\r\n"
    recorder, connection = test_http1_client.exchange(
        test_http1_client.writes(data)
    )
    assert len(recorder.body) == 50_000
    assert recorder.parts <= 500
    assert connection.reusable


def test_switch_of_protocols_ends_the_connection() -> None:
    data = b"HTTP/1.1 101 X\r\nconnection: upgrade\r\nupgrade: x\r\n\r\njunk"
    recorder, _ = test_http1_client.exchange(test_http1_client.writes(data))
    assert recorder.lost is http1_client.LossKind.MALFORMED


@pytest.fixture
def cold_view() -> replica_view.ReplicaView:
    return conftest.ColdFleet(clock.ManualClock(0.0)).list_replica(
        "i-1", "dc-1", 0.0
    )
