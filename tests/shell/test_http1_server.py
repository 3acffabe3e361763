from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeAlias

import pytest

from marlramp import clock
from marlramp import errors
from marlramp.core.configuration import fleet
from marlramp.shell import http1_server

LIMITS = fleet.CallerLimits(
    header_bytes_max=400,
    body_bytes_max=1_000,
    header_timeout_ms=150.0,
    idle_timeout_ms=300.0,
)
GET = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"


class FakeGate:
    """Provides test limits and records rejected requests."""

    def __init__(self) -> None:
        self.closing = False
        self.refusals: list[errors.ErrorKind] = []
        self.unanswered_reasons: list[http1_server.UnansweredReason] = []

    def limits(self) -> fleet.CallerLimits:
        return LIMITS

    def refused(self, error: errors.CallError) -> None:
        self.refusals.append(error.kind)

    def unanswered(
        self,
        request: http1_server.Request,
        reason: http1_server.UnansweredReason,
    ) -> None:
        self.unanswered_reasons.append(reason)


async def echo(
    request: http1_server.Request, responder: http1_server.Responder
) -> None:
    responder.answer(200, [], request.target + b" " + request.body)


Conversation: TypeAlias = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bytes]
]


def run_conversation(
    conversation: Conversation,
    handler: http1_server.Handler = echo,
    gate: FakeGate | None = None,
) -> bytes:
    async def run() -> bytes:
        server = http1_server.CallerServer(
            handler, gate or FakeGate(), clock.SystemClock()
        )
        await server.start("127.0.0.1", 0)
        assert server._server is not None
        port = server._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        async with asyncio.timeout(3):
            result = await conversation(reader, writer)
        writer.close()
        server.stop_listening()
        return result

    return asyncio.run(run())


def sends(*parts: bytes) -> Conversation:
    async def conversation(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.02)
        return await reader.read()

    return conversation


def test_pipelined_requests_are_answered_in_order() -> None:
    answer = run_conversation(sends(GET + GET.replace(b"/a", b"/b")))
    first, second = answer.index(b"/a "), answer.index(b"/b ")
    assert first < second
    assert answer.count(b"200 OK") == 2


def test_chunked_body_is_reassembled() -> None:
    answer = run_conversation(
        sends(
            b"POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n",
            b"2\r\nde\r\n0\r\n\r\n",
        )
    )
    assert answer.endswith(b"/a abcde")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (
            b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (
            b"POST /a HTTP/1.1\r\ncontent-length: 3\r\n"
            b"content-length: 4\r\n\r\nabcd",
            b"400",
        ),
        (b"GET /a HTTP/1.1\r\nx: " + b"y" * 500 + b"\r\n\r\n", b"431"),
        (b"POST /a HTTP/1.1\r\ncontent-length: 1001\r\n\r\n", b"413"),
        (
            b"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n400\r\n"
            + b"z" * 1_024,
            b"413",
        ),
        (b"GET /a HTT", b"408"),
    ],
)
def test_unacceptable_requests_are_answered_and_closed(
    data: bytes, status: bytes
) -> None:
    gate = FakeGate()
    answer = run_conversation(sends(data), gate=gate)
    assert answer.split(b" ")[1] == status
    assert b"connection: close" in answer
    assert len(gate.refusals) == 1


def test_idle_connection_is_closed_after_the_idle_timeout() -> None:
    async def conversation(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(GET)
        await reader.readuntil(b"/a ")
        await asyncio.sleep(0.2)
        writer.write(GET)
        await reader.readuntil(b"/a ")
        started = asyncio.get_running_loop().time()
        assert await reader.read() == b""
        waited_ms = 1_000 * (asyncio.get_running_loop().time() - started)
        assert waited_ms > 0.8 * LIMITS.idle_timeout_ms
        return b""

    run_conversation(conversation)


def test_closing_entry_closes_after_the_response() -> None:
    gate = FakeGate()
    gate.closing = True
    answer = run_conversation(sends(GET), gate=gate)
    assert b"connection: close" in answer
    assert answer.endswith(b"/a ")


def test_unfinished_response_does_not_look_complete() -> None:
    """Guards against a last chunk after a handler that returned early."""

    async def half(
        _: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        responder.start(200, [], None)
        responder.write(b"part")

    async def conversation(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(GET)
        try:
            return await reader.read()
        except ConnectionError:
            return b"reset"

    answer = run_conversation(conversation, half)
    assert not answer.endswith(b"0\r\n\r\n")


def test_handler_is_cancelled_when_the_caller_disconnects() -> None:
    cancelled = asyncio.Event()

    async def slow(_: http1_server.Request, __: http1_server.Responder) -> None:
        try:
            await asyncio.sleep(5)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async def conversation(
        _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(GET)
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.wait_for(cancelled.wait(), 0.5)
        return b""

    run_conversation(conversation, slow)


async def answer_half(
    _: http1_server.Request, responder: http1_server.Responder
) -> None:
    """Ends before its response is complete."""
    responder.start(200, [], None)


async def answer_late(
    _: http1_server.Request, responder: http1_server.Responder
) -> None:
    """Answers after the caller has left."""
    await asyncio.sleep(0.3)
    responder.answer(200, [], b"")


@pytest.mark.parametrize(
    ("handler", "reasons"),
    [
        (echo, []),
        (
            answer_half,
            [
                http1_server.UnansweredReason.HANDLER_FAILED,
                http1_server.UnansweredReason.CLOSED,
            ],
        ),
        (answer_late, [http1_server.UnansweredReason.CALLER_LEFT] * 2),
    ],
)
def test_request_without_an_answer_is_reported_with_its_reason(
    handler: http1_server.Handler,
    reasons: list[http1_server.UnansweredReason],
) -> None:
    gate = FakeGate()

    async def conversation(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(GET + GET)
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)
        return b""

    run_conversation(conversation, handler, gate)
    assert gate.unanswered_reasons == reasons
