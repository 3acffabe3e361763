"""Requests that lost their replica while most other replicas fail as well."""

from __future__ import annotations

import asyncio

import pytest

from marlramp.core.replicas import replica_view
from standins import raw_http
from tests.direct import conftest
from tests.direct.calls import test_silent_replicas

RunEntry = conftest.RunEntry

BACK_S = 0.7
FAILURES = 5
EVENTS_BEFORE_LOSS = 3


async def break_off(peer: raw_http.Peer) -> None:
    """Resets the connection after a few events of a stream."""
    if await peer.read() is not None:
        await peer.write(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
            b"content-type: text/event-stream\r\n"
            b"x-replica-signature: s\r\nx-attempt-id: id-1\r\n\r\n"
        )
        for number in range(1, EVENTS_BEFORE_LOSS + 1):
            event = f"id: {number}\ndata: e{number}\n\n".encode()
            await peer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await asyncio.sleep(0.05)
        peer.reset()


class ReturningReplica:
    """Closes each connection without an answer until it is back.

    Attributes:
      lost: number of requests that got no answer.
    """

    def __init__(self) -> None:
        self._sound = test_silent_replicas.SilentReplica()
        self.is_back = False
        self.lost = 0

    async def serve(self, peer: raw_http.Peer) -> None:
        if self.is_back:
            await self._sound.serve(peer)
        elif await peer.read() is not None:
            self.lost += 1
            peer.reset()


def report(entry: conftest.Entry, address: str) -> None:
    """Reports an idle engine that holds version 1."""
    entry.table.handle_report(
        replica_view.LoadReport(
            address=address,
            weights=1,
            running=0,
            waiting=0,
            pace=1.0,
            opens=True,
        ),
        entry.time.now_ms(),
    )


def fail_repeatedly(entry: conftest.Entry, replica_id: str) -> None:
    """Records failed requests that open a replica's breaker."""
    view = entry.table.get(replica_id)
    assert view is not None
    for _ in range(FAILURES):
        view.record_incomplete(entry.time.now_ms())


@pytest.mark.parametrize("shows_return", [True, False])
def test_begun_stream_outlasts_the_loss_of_most_replicas(
    run_entry: RunEntry, shows_return: bool
) -> None:
    others = [ReturningReplica(), ReturningReplica()]

    async def test(entry: conftest.Entry) -> None:
        test_silent_replicas.allow_time(entry)
        for replica_id in ("i-1", "i-2"):
            fail_repeatedly(entry, replica_id)
        answer = asyncio.create_task(test_silent_replicas.stream(entry))
        await asyncio.sleep(BACK_S)
        assert [replica.lost for replica in others] == [0, 0]
        for replica in others:
            replica.is_back = True
        if shows_return:
            view = entry.table.get("i-2")
            assert view is not None
            view.record_success(entry.time.now_ms())
            async with asyncio.timeout(BACK_S):
                await answer
        test_silent_replicas.assert_whole(await answer)

    run_entry(test, break_off, *(replica.serve for replica in others))


def test_first_attempt_tries_a_failing_replica_at_once(
    run_entry: RunEntry,
) -> None:
    only = ReturningReplica()

    async def test(entry: conftest.Entry) -> None:
        only.is_back = True
        fail_repeatedly(entry, "i-0")
        started_ms = entry.time.now_ms()
        test_silent_replicas.assert_whole(
            await test_silent_replicas.stream(entry)
        )
        assert entry.time.now_ms() - started_ms < 1_000.0

    run_entry(test, only.serve)


def test_request_is_refused_as_not_run_while_all_engines_are_lost(
    run_entry: RunEntry,
) -> None:
    """Guards against 502 and spent attempts while no engine listens."""
    replicas = [ReturningReplica(), ReturningReplica()]

    async def test(entry: conftest.Entry) -> None:
        entry.serve_engines()
        entry.name_version(1, 60_000.0)
        views = list(entry.table)
        for view in views:
            report(entry, view.replica.address)
        for _ in range(2):
            for view in views:
                fail_repeatedly(entry, view.replica.replica_id)
            entry.time.suspended_ms += 800.0
        answer = await test_silent_replicas.stream(entry)
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"retry-after" in answer.lower()
        assert [replica.lost for replica in replicas] == [0, 0]
        replicas[1].is_back = True
        report(entry, views[1].replica.address)
        test_silent_replicas.assert_whole(
            await test_silent_replicas.stream(entry)
        )

    run_entry(test, *(replica.serve for replica in replicas))
