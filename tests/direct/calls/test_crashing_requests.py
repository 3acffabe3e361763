"""Tests of how an entry handles requests that crash replicas."""

from __future__ import annotations

import asyncio

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core.crashes import crash_reports
from marlramp.core.requests import request_fingerprint
from standins import raw_http
from tests.direct import conftest

TIME = clock.SystemClock()


def fingerprint(path: str) -> ids.Fingerprint:
    return request_fingerprint.fingerprint(
        "GET", "a.example", path.encode(), None, b""
    )


def add_crashes(entry: conftest.Entry, path: str, count: int) -> None:
    for number in range(count):
        entry.crashes.add_suspect(
            crash_reports.crash_id(f"x-{number}", 1),
            fingerprint(path),
            begun=False,
            now_ms=TIME.now_ms(),
        )


async def answer(peer: raw_http.Peer) -> None:
    while (request := await peer.read()) is not None:
        await peer.answer(request, 200, b"good", x_replica_signature="s")


async def reset(peer: raw_http.Peer) -> None:
    await peer.read()
    peer.reset()


def test_blocked_request_is_refused_as_not_run(
    run_entry: conftest.RunEntry,
) -> None:
    async def use(entry: conftest.Entry) -> None:
        add_crashes(entry, "/safe/x", 3)
        response = await entry.call("/safe/x")
        assert response.startswith(b"HTTP/1.1 503")
        assert b'"ran":"no"' in response
        assert b"crashes_upstreams" in response
        assert b"retry-after" not in response
        # Another request of the same route is not blocked.
        assert (await entry.call("/safe/y")).startswith(b"HTTP/1.1 200")

    run_entry(use, answer)


def test_waiting_request_is_withdrawn_when_it_becomes_blocked(
    run_entry: conftest.RunEntry,
) -> None:
    closed = asyncio.Event()

    async def hold(peer: raw_http.Peer) -> None:
        await peer.read()
        assert await peer.read() is None
        closed.set()

    async def use(entry: conftest.Entry) -> None:
        add_crashes(entry, "/safe/x", 1)
        call = asyncio.create_task(entry.call("/safe/x", wait_ms=3_000))
        await asyncio.sleep(0.1)
        add_crashes(entry, "/safe/x", 3)
        async with asyncio.timeout(0.5):
            response = await call
            await closed.wait()
        assert response.startswith(b"HTTP/1.1 502")
        assert b'"ran":"unknown"' in response
        # The withdrawal does not count as a failure of the replica.
        (view,) = list(entry.table)
        assert view.breaker.allows(TIME.now_ms())

    run_entry(use, hold)


def test_reset_by_a_live_replica_adds_no_strike(
    run_entry: conftest.RunEntry,
) -> None:
    async def use(entry: conftest.Entry) -> None:
        for _ in range(3):
            await entry.call("/once/x")
        await asyncio.sleep(0.2)
        assert entry.crashes.ledger.suspects() == {}
        name = counters.CounterName.CRASHES
        assert entry.totals.total(name, "no_crash") == 3

    run_entry(use, reset)


def test_suspected_request_is_not_sent_to_a_second_replica(
    run_entry: conftest.RunEntry,
) -> None:
    async def use(entry: conftest.Entry) -> None:
        add_crashes(entry, "/safe/x", 2)
        response = await entry.call("/safe/x")
        assert response.startswith(b"HTTP/1.1 502")
        name = counters.CounterName.REFUSALS
        assert entry.totals.total(name, "suspected") == 1

    run_entry(use, reset, reset)


def test_error_answer_of_a_replica_clears_its_request(
    run_entry: conftest.RunEntry,
) -> None:
    async def fail(peer: raw_http.Peer) -> None:
        while (request := await peer.read()) is not None:
            await peer.answer(request, 500, b"bad", x_replica_signature="s")

    async def use(entry: conftest.Entry) -> None:
        add_crashes(entry, "/once/x", 2)
        await entry.call("/once/x")
        assert entry.crashes.ledger.strikes(fingerprint("/once/x")) == 1.0

    run_entry(use, fail)
