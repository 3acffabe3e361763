from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeAlias

import msgspec
import pytest

from marlramp import clock
from marlramp.shell import http1_call
from marlramp.shell import http1_client
from standins import raw_http

HEAD = b"GET /a HTTP/1.1\r\nhost: a\r\nx-attempt-id: id\r\n\r\n"


class Recorder:
    """A response reader that records its callbacks."""

    def __init__(self) -> None:
        self.heads: list[http1_client.ResponseHead] = []
        self.body = b""
        self.parts = 0
        self.complete = False
        self.lost: http1_client.LossKind | None = None
        self.ended = asyncio.Event()

    def on_head(self, head: http1_client.ResponseHead) -> None:
        self.heads.append(head)

    def on_body(self, data: bytes) -> None:
        self.body += data
        self.parts += 1

    def on_complete(self) -> None:
        self.complete = True
        self.ended.set()

    def on_lost(self, kind: http1_client.LossKind) -> None:
        self.lost = kind
        self.ended.set()


class State(msgspec.Struct):
    """State of a connection right after an exchange."""

    reusable: bool
    closed: bool
    idle_max_ms: float


def state_of(connection: http1_client.ReplicaConnection) -> State:
    return State(connection.reusable, connection.closed, connection.idle_max_ms)


Exchange: TypeAlias = tuple[Recorder, State]


def exchange(script: raw_http.Script, settle_s: float = 0.05) -> Exchange:
    async def run() -> Exchange:
        async with raw_http.ScriptedServer(script) as server:
            connection = await http1_client.connect(
                "127.0.0.1", server.port, clock.SystemClock()
            )
            recorder = Recorder()
            connection.send("GET", HEAD, b"", recorder)
            async with asyncio.timeout(3):
                await recorder.ended.wait()
            await asyncio.sleep(settle_s)
            return recorder, state_of(connection)

    return asyncio.run(run())


def writes(
    data: bytes, end: Callable[[raw_http.Peer], object] | None = None
) -> raw_http.Script:
    async def script(peer: raw_http.Peer) -> None:
        await peer.read()
        await peer.write(data)
        if end is None:
            await asyncio.sleep(1)
            return
        await asyncio.sleep(0.05)
        end(peer)

    return script


COMPLETE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def test_complete_response_leaves_the_connection_reusable() -> None:
    recorder, connection = exchange(writes(COMPLETE))
    assert recorder.complete
    assert recorder.body == b"ok"
    assert connection.reusable


def test_head_tells_whether_the_body_is_delimited() -> None:
    recorder, _ = exchange(writes(COMPLETE))
    assert recorder.heads[0].delimited
    undelimited = b"HTTP/1.1 200 OK\r\n\r\nok"
    recorder, _ = exchange(writes(undelimited, raw_http.Peer.close))
    assert not recorder.heads[0].delimited


def test_bytes_after_a_response_end_the_connection() -> None:
    recorder, connection = exchange(writes(COMPLETE + b"junk"))
    assert recorder.complete
    assert not connection.reusable


def test_second_response_ends_the_connection() -> None:
    recorder, connection = exchange(writes(COMPLETE + COMPLETE))
    assert recorder.complete
    assert recorder.body == b"ok"
    assert len(recorder.heads) == 1
    assert not connection.reusable


def test_late_second_response_ends_an_idle_connection() -> None:
    async def script(peer: raw_http.Peer) -> None:
        await peer.read()
        await peer.write(COMPLETE)
        await asyncio.sleep(0.05)
        await peer.write(COMPLETE)
        await asyncio.sleep(1)

    recorder, connection = exchange(script, settle_s=0.2)
    assert recorder.complete
    assert connection.closed


def test_body_without_length_is_complete_at_a_close() -> None:
    data = b"HTTP/1.1 200 OK\r\n\r\nunframed"
    recorder, connection = exchange(writes(data, raw_http.Peer.close))
    assert recorder.complete
    assert recorder.body == b"unframed"
    assert not connection.reusable


def test_body_without_length_is_not_complete_at_a_reset() -> None:
    data = b"HTTP/1.1 200 OK\r\n\r\nunframed"
    recorder, _ = exchange(writes(data, raw_http.Peer.reset))
    assert not recorder.complete
    assert recorder.lost is http1_client.LossKind.RESET


def test_truncated_body_is_reported_as_lost() -> None:
    data = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort"
    recorder, _ = exchange(writes(data, raw_http.Peer.close))
    assert recorder.lost is http1_client.LossKind.CLOSED


def test_bytes_that_are_no_response_are_malformed() -> None:
    recorder, _ = exchange(writes(b"not http at all\r\n\r\n"))
    assert recorder.lost is http1_client.LossKind.MALFORMED


def test_connection_close_header_is_respected() -> None:
    data = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    recorder, connection = exchange(writes(data))
    assert recorder.complete
    assert not connection.reusable


def test_early_response_to_a_long_body_ends_the_connection() -> None:
    """Guards against reuse while the replica still reads the last body."""

    async def script(peer: raw_http.Peer) -> None:
        await peer.write(COMPLETE)
        await asyncio.sleep(1)

    async def run() -> Exchange:
        async with raw_http.ScriptedServer(script) as server:
            connection = await http1_client.connect(
                "127.0.0.1", server.port, clock.SystemClock()
            )
            recorder = Recorder()
            connection.send("POST", HEAD, b"x" * 20_000_000, recorder)
            async with asyncio.timeout(3):
                await recorder.ended.wait()
            return recorder, state_of(connection)

    recorder, connection = asyncio.run(run())
    assert recorder.complete
    assert not connection.reusable


def test_long_body_is_written_as_its_replica_reads_it() -> None:
    """Guards against a second copy of each body that waits to be sent."""
    body = bytes(range(256)) * 16_384
    head = b"POST /a HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % len(body)
    read_on = asyncio.Event()
    received: list[bytes] = []

    async def script(peer: raw_http.Peer) -> None:
        await read_on.wait()
        request = await peer.read()
        assert request is not None
        received.append(request.body)
        await peer.answer(request, 200)

    async def run() -> None:
        async with raw_http.ScriptedServer(script) as server:
            connection = await http1_client.connect(
                "127.0.0.1", server.port, clock.SystemClock()
            )
            recorder = Recorder()
            connection.send("POST", head, body, recorder)
            transport = connection._transport
            assert transport is not None
            waiting_bytes = transport.get_write_buffer_size()
            assert waiting_bytes <= 131_072
            read_on.set()
            async with asyncio.timeout(5):
                await recorder.ended.wait()
            assert recorder.complete
            assert connection.reusable

    asyncio.run(run())
    assert received == [body]


def test_idle_limit_follows_the_keep_alive_header() -> None:
    data = (
        b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=2\r\ncontent-length: 0\r\n\r\n"
    )
    _, connection = exchange(writes(data))
    announced_ms = 2_000.0 - http1_client.KEEP_ALIVE_MARGIN_MS
    assert connection.idle_max_ms == announced_ms


def test_pool_does_not_hand_out_stale_connections() -> None:
    async def run() -> list[bool]:
        time = clock.ManualClock(0.0)
        async with raw_http.ScriptedServer(writes(COMPLETE)) as server:
            pool = http1_client.ConnectionPool("127.0.0.1", server.port, time)
            connection = await pool.open()
            pool.give_back(connection)
            found = [pool.take_idle(1.0) is connection]
            pool.give_back(connection)
            time.advance(http1_client.IDLE_DEFAULT_MS * 0.6)
            found.append(pool.take_idle(0.5) is None)
            found.append(pool.take_idle(1.0) is connection)
            pool.give_back(connection)
            time.advance(http1_client.IDLE_DEFAULT_MS)
            found.append(pool.take_idle(1.0) is None)
            found.append(connection.closed)
            return found

    assert asyncio.run(run()) == [True] * 5


def test_refused_connection_raises() -> None:
    async def run() -> Awaitable[object] | None:
        try:
            await http1_client.connect("127.0.0.1", 1, clock.SystemClock())
        except OSError:
            return None
        raise AssertionError("connected")

    assert asyncio.run(run()) is None


def test_late_response_is_not_matched_to_the_next_request() -> None:
    """Guards against reuse of a connection whose call timed out."""

    async def script(peer: raw_http.Peer) -> None:
        while (request := await peer.read()) is not None:
            if request.target == "/slow":
                await asyncio.sleep(0.3)
            await peer.answer(request, 200, request.target.encode())

    async def run() -> list[bytes]:
        async with raw_http.ScriptedServer(script) as server:
            caller = http1_call.HttpCaller(clock.SystemClock())
            url = f"http://{server.address}"
            with pytest.raises(http1_call.CallError):
                await caller.call("GET", f"{url}/slow", b"", {}, 100.0)
            answers = []
            for wait_s in (0.0, 0.3):
                await asyncio.sleep(wait_s)
                answer = await caller.call(
                    "GET", f"{url}/next?{wait_s}", b"", {}, 1_000.0
                )
                answers.append(answer.body)
            assert server.connections == 2
            return answers

    assert asyncio.run(run()) == [b"/next?0.0", b"/next?0.3"]
