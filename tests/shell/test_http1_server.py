from __future__ import annotations

import asyncio

import pytest

from marlramp.shell import http1_server
from tests.shell import conftest


def test_pipelined_requests_are_answered_in_order() -> None:
    answer = conftest.run_conversation(
        conftest.sends(conftest.GET + conftest.GET.replace(b"/a", b"/b"))
    )
    first, second = answer.index(b"/a "), answer.index(b"/b ")
    assert first < second
    assert answer.count(b"200 OK") == 2


def test_chunked_body_is_reassembled() -> None:
    answer = conftest.run_conversation(
        conftest.sends(
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
    gate = conftest.FakeGate()
    answer = conftest.run_conversation(conftest.sends(data), gate=gate)
    assert answer.split(b" ")[1] == status
    assert b"connection: close" in answer
    assert len(gate.refusals) == 1


def test_idle_connection_is_closed_after_the_idle_timeout() -> None:
    async def conversation(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(conftest.GET)
        await reader.readuntil(b"/a ")
        await asyncio.sleep(0.2)
        writer.write(conftest.GET)
        await reader.readuntil(b"/a ")
        started = asyncio.get_running_loop().time()
        assert await reader.read() == b""
        waited_ms = 1_000 * (asyncio.get_running_loop().time() - started)
        assert waited_ms > 0.8 * conftest.LIMITS.idle_timeout_ms
        return b""

    conftest.run_conversation(conversation)


def test_closing_entry_closes_after_the_response() -> None:
    gate = conftest.FakeGate()
    gate.closing = True
    answer = conftest.run_conversation(conftest.sends(conftest.GET), gate=gate)
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
        writer.write(conftest.GET)
        try:
            return await reader.read()
        except ConnectionError:
            return b"reset"

    answer = conftest.run_conversation(conversation, half)
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
        writer.write(conftest.GET)
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.wait_for(cancelled.wait(), 0.5)
        return b""

    conftest.run_conversation(conversation, slow)


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
        (conftest.echo, []),
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
    gate = conftest.FakeGate()

    async def conversation(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        writer.write(conftest.GET + conftest.GET)
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)
        return b""

    conftest.run_conversation(conversation, handler, gate)
    assert gate.unanswered_reasons == reasons
