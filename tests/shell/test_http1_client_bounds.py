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


@pytest.fixture
def cold_view() -> replica_view.ReplicaView:
    return conftest.ColdFleet(clock.ManualClock(0.0)).list_replica(
        "i-1", "dc-1", 0.0
    )
