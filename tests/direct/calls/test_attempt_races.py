"""Races between two attempts at one request, and what attempts leave behind."""

from __future__ import annotations

import asyncio
import time

import msgspec
import pytest

from marlramp import counters
from marlramp.core.configuration import route_table
from marlramp.shell import address_probe
from standins import raw_http
from tests.direct import conftest
from tests.direct.calls import test_silent_replicas as silent_replicas

RunEntry = conftest.RunEntry
SilentReplica = silent_replicas.SilentReplica
events = silent_replicas.events
READ_MAX = 10_000_000  # More than the buffers of two local sockets take.
HEAD = silent_replicas.OPEN_HEAD.replace(
    b"200 OK\r\n", b"200 OK\r\ntransfer-encoding: chunked\r\n"
)
END = b"0\r\n\r\n"
SERVICE_ID = conftest.CONFIG.services[0].service_id


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def answers(status: int, body: bytes = b"own") -> raw_http.Script:
    async def script(peer: raw_http.Peer) -> None:
        while (request := await peer.read()) is not None:
            await peer.answer(request, status, body, x_replica_signature="s")

    return script


def resets(data: bytes) -> raw_http.Script:
    async def script(peer: raw_http.Peer) -> None:
        if await peer.read() is not None:
            await peer.write(HEAD + chunk(data))
            await asyncio.sleep(0.1)
            peer.reset()

    return script


async def assert_nothing_left(entry: conftest.Entry) -> None:
    async with asyncio.timeout(0.5):
        while entry.forwarder.active:
            await asyncio.sleep(0.01)
    assert not any(view.in_flight for view in entry.table)
    tasks = map(str, asyncio.all_tasks())
    assert not [task for task in tasks if "Sender.send" in task]


async def assert_whole(entry: conftest.Entry) -> None:
    silent_replicas.allow_time(entry)
    answer = await silent_replicas.stream(entry)
    assert answer.count(b"HTTP/1.1 ") == 1
    silent_replicas.assert_whole(answer)
    assert answer.count(END) == 1
    await assert_nothing_left(entry)


@pytest.mark.parametrize(
    "other",
    [
        answers(200),
        answers(404),
        silent_replicas.writes((silent_replicas.OPEN_HEAD, 0.05)),
        resets(b": comment\n\n"),
    ],
    ids=["plain", "not-found", "closed-before-events", "comment"],
)
def test_answer_without_events_does_not_end_the_stream_of_a_silent_replica(
    other: raw_http.Script, run_entry: RunEntry
) -> None:
    """Guards against a cut, a second head, and an early end."""
    run_entry(assert_whole, SilentReplica(3).serve, other)


def test_request_is_sent_to_no_more_replicas_than_its_route_allows(
    run_entry: RunEntry,
) -> None:
    """A replica that was cut off, or that fell silent, counts as well."""
    taker, third = resets(events(4, 4)), SilentReplica()

    async def use(entry: conftest.Entry) -> None:
        silent_replicas.allow_time(entry)
        answer = await silent_replicas.stream(entry)
        assert silent_replicas.numbers_of(answer) == [1, 2, 3, 4]
        assert not answer.endswith(END)
        assert not third.seen
        await assert_nothing_left(entry)

    run_entry(use, SilentReplica(3, 3.0).serve, taker, third.serve)


@pytest.mark.parametrize("budget", ["left", "spent"])
def test_silent_request_spends_no_retry_or_limit_without_a_send(
    budget: str, run_entry: RunEntry
) -> None:
    """Guards against silent requests that use up what others need."""
    silent, other = SilentReplica(0, 2.0), SilentReplica()
    reserved: list[object] = []

    async def use(entry: conftest.Entry) -> None:
        if budget == "spent":
            silent_replicas.spend_retries(entry)
        selector = entry.forwarder._selector
        reserve, may_write = selector._wait_for_limit, selector.may_write

        async def count(call: object, choice: object) -> bool:
            reserved.append(choice)
            return await reserve(call, choice)

        selector._wait_for_limit = count
        selector.may_write = lambda call, view: (
            len(reserved) in (1, 4) and may_write(call, view)
        )
        share = entry.forwarder.retry_budgets.share_of(SERVICE_ID)
        spent = share.spent
        await assert_whole(entry)
        assert share.spent - spent == len(other.seen)
        assert len(reserved) == (4 if other.seen else 1)

    run_entry(use, silent.serve, other.serve)


def test_two_streams_that_end_at_once_have_one_end(
    run_entry: RunEntry,
) -> None:
    both = asyncio.Event()

    async def serve(peer: raw_http.Peer) -> None:
        if (request := await peer.read()) is None:
            return
        if "last-event-id" in request.headers:
            await peer.write(HEAD)
            await asyncio.sleep(0.1)
            both.set()
        else:
            await peer.write(HEAD + chunk(events(1, 6)))
        await both.wait()
        await peer.write(END)

    run_entry(assert_whole, serve, serve)


@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\nx-attempt-id: other\r\n\r\n",
        silent_replicas.OPEN_HEAD,
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200 OK\r\nx-name: ",
    ],
    ids=["other-id", "event", "reason", "header"],
)
def test_bytes_without_an_end_are_not_read(
    start: bytes, run_entry: RunEntry
) -> None:
    sent: list[bytes] = []

    async def flood(peer: raw_http.Peer) -> None:
        if await peer.read() is not None:
            await peer.write(start)
            while not peer._writer.is_closing() and len(sent) < 400:
                sent.append(b"x" * 65_536)
                await peer.write(sent[-1])
                await asyncio.sleep(0.001)

    async def use(entry: conftest.Entry) -> None:
        await assert_whole(entry)
        await asyncio.sleep(0.3)
        assert sum(map(len, sent)) < READ_MAX

    run_entry(use, flood, SilentReplica().serve)


async def connect(entry: conftest.Entry, *lines: bytes) -> asyncio.StreamWriter:
    silent_replicas.allow_time(entry)
    assert entry.server._server is not None
    port = entry.server._server.sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    for line in lines:
        writer.write(
            b"%s HTTP/1.1\r\nhost: a.example\r\nx-attempt-id: id-1\r\n"
            b"x-deadline-ms: 4000\r\ncontent-length: 0\r\n\r\n" % line
        )
    return writer


def writes_much(sent: list[int]) -> raw_http.Script:
    async def script(peer: raw_http.Peer) -> None:
        request = await peer.read()
        if request is not None and request.path.startswith("/safe"):
            body = b"x" * 8_000_000
            await peer.answer(request, 200, body, x_replica_signature="s")
        elif request is not None:
            await peer.write(HEAD)
            for number in range(1, 400):
                event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 60_000)
                await peer.write(chunk(event))
                sent.append(len(event))

    return script


def test_caller_that_reads_nothing_holds_back_its_next_stream(
    run_entry: RunEntry,
) -> None:
    """Guards against pressure that is not seen if it began before."""
    sent: list[int] = []

    async def use(entry: conftest.Entry) -> None:
        writer = await connect(entry, b"GET /safe/x", b"POST /stream/x")
        await asyncio.sleep(1.0)
        assert 0 < sum(sent) < READ_MAX
        writer.transport.abort()

    run_entry(use, writes_much(sent))


@pytest.mark.parametrize("case", ["half-closed", "unreadable", "aborted"])
def test_attempts_end_when_a_caller_leaves_whose_bytes_are_not_read(
    case: str, run_entry: RunEntry
) -> None:
    silent = SilentReplica(0, 3.0)

    async def use(entry: conftest.Entry) -> None:
        writer = await connect(entry, b"POST /stream/x")
        if case == "unreadable":
            writer.write(b"\x00\r\n\r\n")
        await asyncio.sleep(0.4)
        assert entry.forwarder.active == 1
        if case == "half-closed":
            writer.write_eof()
        else:
            writer.transport.abort()
        await assert_nothing_left(entry)

    serve = silent.serve if case == "unreadable" else writes_much([])
    run_entry(use, serve)


def test_probe_during_a_pause_of_the_loop_finds_its_replica() -> None:
    """Guards against whole answers that are taken as broken off."""

    async def main() -> None:
        async with raw_http.ScriptedServer(answers(200)) as server:
            probing = asyncio.create_task(address_probe.probe(server.address))
            await asyncio.sleep(0)
            time.sleep(1.5 * address_probe.CONNECT_TIMEOUT_MS / 1_000.0)
            assert await probing is address_probe.Presence.THERE

    asyncio.run(main())


def test_replica_that_was_overtaken_counts_as_one_that_ran(
    run_entry: RunEntry,
) -> None:
    """Guards against a third replica after a silence that comes twice."""
    late, third = SilentReplica(0, 3.0), SilentReplica()

    async def use(entry: conftest.Entry) -> None:
        await assert_whole(entry)
        assert len(late.seen) == 1
        assert not third.seen

    first = silent_replicas.writes(
        (silent_replicas.OPEN_HEAD + events(1, 2), 1.1),
        (events(3, 4), 1.1),
        (events(5, 6), 0.01),
    )
    run_entry(use, first, late.serve, third.serve)


@pytest.mark.parametrize("attempts_max", [2, 3])
def test_stream_resumes_when_the_attempt_that_overtook_another_is_lost(
    attempts_max: int, run_entry: RunEntry
) -> None:
    """Guards against an internal error once both attempts have ended."""
    other, third = SilentReplica(0, 3.0), SilentReplica()

    async def goes_on_and_is_lost(peer: raw_http.Peer) -> None:
        if await peer.read() is not None:
            await peer.write(HEAD + chunk(events(1, 2)))
            await asyncio.sleep(silent_replicas.SILENCE_S)
            await peer.write(chunk(events(3, 3)) + b"no chunk\r\n")

    async def use(entry: conftest.Entry) -> None:
        routes = [
            msgspec.structs.replace(
                route,
                timeout_ms=silent_replicas.TIMEOUT_MS,
                attempts_max=attempts_max,
            )
            for route in conftest.CONFIG.routes
        ]
        config = msgspec.structs.replace(conftest.CONFIG, routes=routes)
        entry.routes = route_table.RouteTable(config)
        answer = await silent_replicas.stream(entry)
        assert len(other.seen) == 1
        if attempts_max > 2:
            silent_replicas.assert_whole(answer)
            assert third.seen[0].headers["last-event-id"] == "3"
        else:
            assert silent_replicas.numbers_of(answer) == [1, 2, 3]
            assert not answer.endswith(END)
            assert not third.seen
        name = counters.CounterName.INTERNAL_ERRORS
        assert not entry.totals.total(name, "forwarder")
        await assert_nothing_left(entry)

    run_entry(use, goes_on_and_is_lost, other.serve, third.serve)
