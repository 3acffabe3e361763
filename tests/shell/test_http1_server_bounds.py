"""Bounds in bytes and time on callers, and requests that none may lose."""

from __future__ import annotations

import asyncio
import socket
import tracemalloc

import msgspec
import pytest

from marlramp import clock
from marlramp.shell import http1_server
from tests.shell import conftest

CHUNKED = b"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
LAST = conftest.GET.replace(b"host: a", b"connection: close")


def answer_after(wait_s: float) -> http1_server.Handler:
    async def answer(
        request: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        await asyncio.sleep(wait_s)
        await conftest.echo(request, responder)

    return answer


def statuses(answers: bytes) -> list[int]:
    return [int(part[:3]) for part in answers.split(b"HTTP/1.1 ")[1:]]


@pytest.mark.parametrize(("count", "wait_s"), [(24, 0.03), (2_000, 0.0)])
@pytest.mark.parametrize("closing", [False, True])
def test_long_pipeline_is_answered_whole_and_in_order(
    count: int, wait_s: float, *, closing: bool
) -> None:
    """Guards against a connection that closes when its queue is full."""
    gate = conftest.FakeGate()
    gate.closing = closing
    pipeline = b"".join(
        conftest.GET.replace(b"/a", b"/%d" % n) for n in range(count)
    )
    # The last request is half read while the queue is full.
    answers = conftest.run_conversation(
        conftest.sends(pipeline + LAST[:9], LAST[9:]),
        answer_after(wait_s),
        gate,
    )
    targets = [part.split(b" ")[0] for part in answers.split(b"\r\n\r\n/")[1:]]
    assert targets == [*(b"%d" % n for n in range(count)), b"a"]
    assert not gate.refusals
    assert not gate.unanswered_reasons


@pytest.mark.parametrize(
    ("data", "wait_s", "status"),
    [
        (b"nonsense\r\n\r\n", 0.05, 400),
        (b"POST /a HTTP/1.1\r\ncontent-length: 1001\r\n\r\n", 0.05, 413),
        (b"GET /a HTTP/1.1\r\nx: " + b"y" * 500 + b"\r\n\r\n", 0.05, 431),
        (b"GET /a HTT", 0.3, 408),
        # The response ends while the next request is half read.
        (b"GET /a HTT", 0.02, 408),
    ],
)
def test_refusal_follows_the_answers_to_earlier_requests(
    data: bytes, wait_s: float, status: int
) -> None:
    """Guards against a refusal that is dropped, and one that never comes."""
    gate = conftest.FakeGate()
    answers = conftest.run_conversation(
        conftest.sends(conftest.GET * 3 + data), answer_after(wait_s), gate
    )
    assert statuses(answers) == [200, 200, 200, status]
    assert answers.count(b"connection: close") == 1
    assert len(gate.refusals) == 1
    assert not gate.unanswered_reasons


@pytest.mark.parametrize(
    "data",
    [
        LAST + conftest.GET,
        b"GET /a HTTP/1.1\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\nx",
    ],
)
def test_bytes_after_the_last_request_are_no_request(data: bytes) -> None:
    """Guards against a refusal that replaces an answer."""
    gate = conftest.FakeGate()
    answers = conftest.run_conversation(
        conftest.sends(data), answer_after(0.05), gate
    )
    assert statuses(answers) == [200]
    assert not gate.refusals


def test_continue_does_not_interrupt_an_earlier_answer() -> None:
    head = b"POST /b HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 2\r\n"

    async def conversation(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(conftest.GET + head + b"connection: close\r\n\r\n")
        answers = await reader.readuntil(b" 100 Continue\r\n\r\n")
        writer.write(b"ok")
        return answers + await reader.read()

    answers = conftest.run_conversation(conversation, answer_after(0.05))
    assert statuses(answers) == [200, 100, 200]


@pytest.mark.parametrize(
    ("before_ms", "after_ms", "shortest_ms", "longest_ms"),
    [(300.0, 900.0, 800.0, 1_900.0), (20_000.0, 300.0, 200.0, 1_900.0)],
)
def test_idle_connection_lives_by_the_newest_limit(
    before_ms: float, after_ms: float, shortest_ms: float, longest_ms: float
) -> None:
    """Guards against a close while callers may still reuse a connection."""
    gate = conftest.FakeGate()

    def set_limit(idle_timeout_ms: float) -> None:
        gate.limits_in_force = msgspec.structs.replace(
            gate.limits_in_force, idle_timeout_ms=idle_timeout_ms
        )

    async def conversation(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(conftest.GET)
        await reader.readuntil(b"/a ")
        started_s = asyncio.get_running_loop().time()
        set_limit(after_ms)
        assert await reader.read() == b""
        lived_ms = 1_000 * (asyncio.get_running_loop().time() - started_s)
        assert shortest_ms < lived_ms < longest_ms
        return b""

    set_limit(before_ms)
    conftest.run_conversation(conversation, gate=gate)


@pytest.mark.parametrize(
    "start",
    [
        b"",
        b"GET /a HTTP/1.1\r\nx: ",
        b"GET /a HTTP/1.1\r\n",
        b"GET /",
        CHUNKED + b"1;",
        CHUNKED + b"0\r\nx: ",
        CHUNKED + b"1\r\na\r\n0\r\n" + b"x: y\r\n" * 100,
    ],
)
def test_bytes_without_an_end_are_refused_at_once(
    start: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory and time spent on what never becomes a request."""
    gate = conftest.FakeGate()
    received = []
    receive = http1_server.ServerConnection.data_received

    def count(connection: http1_server.ServerConnection, data: bytes) -> None:
        received.append(len(data))
        receive(connection, data)

    monkeypatch.setattr(http1_server.ServerConnection, "data_received", count)

    async def conversation(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        answer = asyncio.create_task(reader.read(1_000))
        writer.write(start)
        while not answer.done():
            writer.write((b"x" if start else b"\r\n") * 1_000)
            await asyncio.sleep(0.001)
        return await answer

    answers = conftest.run_conversation(conversation, gate=gate)
    assert statuses(answers) == [431]
    assert len(gate.refusals) == 1
    assert sum(received) < 20_000


def test_blank_lines_do_not_keep_a_connection_open() -> None:
    async def conversation(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        for _ in range(40):
            writer.write(b"\r\n")
            await asyncio.sleep(0.05)
            if reader.at_eof():
                return b"closed"
        return b"open"

    assert conftest.run_conversation(conversation) == b"closed"


def test_trailers_are_no_headers() -> None:
    async def answer(
        request: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        responder.answer(200, [], repr(request.headers).encode())

    data = CHUNKED + b"0\r\nauthorization: x\r\n\r\n" + LAST
    answers = conftest.run_conversation(conftest.sends(data), answer)
    assert b"authorization" not in answers


@pytest.mark.parametrize("ends", [True, False])
def test_caller_that_never_reads_is_closed(
    *, ends: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a response that is kept until the process ends."""
    gate = conftest.FakeGate()
    monkeypatch.setattr(http1_server, "WRITE_STALL_MAX_MS", 200.0)
    monkeypatch.setattr(http1_server, "CLOSE_FLUSH_MAX_MS", 200.0)

    async def answer(
        _: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        responder.start(200, [], None)
        responder.write(b"x" * 32_000_000)
        if not ends:
            await asyncio.sleep(60)
        responder.end()

    async def conversation(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        port = writer.get_extra_info("peername")[1]
        with socket.create_connection(("127.0.0.1", port)) as caller:
            caller.send(LAST)
            while not gate.unanswered_reasons:
                await asyncio.sleep(0.01)
        return b""

    conftest.run_conversation(conversation, answer, gate)
    assert [reason.value for reason in gate.unanswered_reasons] == [
        "caller_stalled"
    ]


def test_pressure_before_the_handler_registers_pauses_it() -> None:
    """Guards against a response that is read without end from its replica."""
    connection = http1_server.ServerConnection(
        conftest.echo,
        conftest.FakeGate(),
        clock.SystemClock(),
        set(),
        conftest.bounds_of(conftest.DEFAULT_VM),
    )
    calls = []
    connection.pause_writing()
    connection.set_pressure(
        lambda: calls.append("pause"), lambda: calls.append("resume")
    )
    assert calls == ["pause"]
    connection.resume_writing()
    assert calls == ["pause", "resume"]


@pytest.mark.parametrize("started", [False, True])
@pytest.mark.parametrize("error", [ValueError, asyncio.CancelledError, None])
def test_handler_that_fails_leaves_no_connection_open(
    *, started: bool, error: type[BaseException] | None
) -> None:
    """Guards against a caller that waits until its own timeout."""
    gate = conftest.FakeGate()

    async def fail(
        _: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        if started:
            responder.start(200, [], None)
        if error is not None:
            raise error

    answers = conftest.run_conversation(conftest.sends(LAST), fail, gate)
    assert statuses(answers) == [200 if started else 500]
    failed = http1_server.UnansweredReason.HANDLER_FAILED
    assert gate.unanswered_reasons == ([failed] if started else [])


@pytest.mark.parametrize(
    ("started", "reasons"),
    [(False, ["closed"]), (True, ["handler_failed", "closed"])],
)
def test_end_of_the_process_leaves_no_request_without_a_word(
    *, started: bool, reasons: list[str]
) -> None:
    gate = conftest.FakeGate()

    async def stuck(
        _: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        if started:
            responder.start(200, [], 9)
        await asyncio.sleep(60)

    async def main() -> bytes:
        async with conftest.serving(stuck, gate) as (server, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(conftest.GET * 2)
            while not server.busy:
                await asyncio.sleep(0.01)
            await server.finish()
            assert not server.busy
            answers = await reader.read()
            writer.close()
            return answers

    assert statuses(asyncio.run(main())) == [200 if started else 500]
    assert [reason.value for reason in gate.unanswered_reasons] == reasons


@pytest.mark.parametrize("chunked", [False, True])
def test_caller_that_sends_its_whole_body_reads_the_refusal(
    *, chunked: bool
) -> None:
    """Guards against a reset that overtakes the refusal."""
    body = b"x" * 3_000_000
    framing = b"content-length: %d" % len(body)
    if chunked:
        framing = b"transfer-encoding: chunked"
        body = b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"

    async def conversation(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(b"POST /a HTTP/1.1\r\n" + framing + b"\r\n\r\n")
        writer.write(body)
        await writer.drain()
        return await reader.read()

    assert statuses(conftest.run_conversation(conversation)) == [413]


@pytest.mark.parametrize(
    ("bytes_max", "wait_ms"), [(50_000, 60_000.0), (10**9, 200.0)]
)
def test_body_without_an_end_is_not_read_for_ever(
    bytes_max: int, wait_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http1_server, "LINGER_BYTES_MAX", bytes_max)
    monkeypatch.setattr(http1_server, "LINGER_MAX_MS", wait_ms)

    async def conversation(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(b"POST /a HTTP/1.1\r\ncontent-length: 999999999\r\n\r\n")
        try:
            while True:
                writer.write(b"x" * 1_000)
                await writer.drain()
                await asyncio.sleep(0.002)
        except ConnectionError:
            return b"closed"

    assert conftest.run_conversation(conversation) == b"closed"


@pytest.mark.parametrize("length", [5, None])
def test_answer_to_head_has_no_body(length: int | None) -> None:
    """Guards against a body that looks like the start of the next answer."""

    async def answer(
        _: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        responder.start(200, [], length)
        responder.write(b"HELLO")
        responder.end()

    data = conftest.GET.replace(b"GET", b"HEAD") + LAST
    answers = conftest.run_conversation(conftest.sends(data), answer)
    assert statuses(answers) == [200, 200]
    assert answers.count(b"HELLO") == 1
    assert b"\r\n\r\nHTTP/1.1" in answers


def test_idle_connection_keeps_nothing_of_its_last_request() -> None:
    gate = conftest.FakeGate()
    size = 200_000
    gate.limits_in_force = msgspec.structs.replace(
        gate.limits_in_force, body_bytes_max=size
    )
    head = b"POST /a HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % size

    async def answer(
        _: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        responder.answer(200, [], b"done")

    async def conversation(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        tracemalloc.start()
        writer.write(head + b"x" * size)
        await reader.readuntil(b"done")
        kept_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert kept_bytes < size / 4
        return b""

    conftest.run_conversation(conversation, answer, gate)
