"""What a server answers when callers hold too much together."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import TypeAlias

import msgspec
import pytest

from marlramp import errors
from marlramp.settings import node
from marlramp.shell import caller_bounds
from marlramp.shell import http1_server
from tests.shell import conftest

BODY_BYTES = 524_288
SMALL_VM = node.VmLimits(memory_bytes=1)
"""A VM on which callers have the least memory."""

FIT = int(
    caller_bounds.CALLERS_BYTES_MIN * caller_bounds.LARGE_SHARE / BODY_BYTES
)
"""Number of bodies that fit at most."""


class Callers:
    """Connections to a server."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._writers: list[asyncio.StreamWriter] = []

    async def send(self, data: bytes) -> asyncio.StreamReader:
        """Sends data on a new connection, which stays open."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        self._writers.append(writer)
        writer.write(data)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        return reader

    def send_on(self, data: bytes) -> None:
        """Sends more on the last connection."""
        self._writers[-1].write(data)

    async def send_at_once(
        self, requests: list[bytes]
    ) -> list[asyncio.StreamReader]:
        """Opens a connection for each request, then sends them together."""
        readers = [await self.send(b"") for _ in requests]
        writers = self._writers[-len(requests) :]
        for writer, data in zip(writers, requests, strict=True):
            writer.write(data)
        return readers

    def close(self) -> None:
        for writer in self._writers:
            writer.transport.abort()


Conversation: TypeAlias = Callable[[Callers], Awaitable[None]]
RunCallers: TypeAlias = Callable[..., None]


@pytest.fixture
def gate() -> conftest.FakeGate:
    """Provides a limit on bodies of which few fit on the VM."""
    gate = conftest.FakeGate()
    gate.limits_in_force = msgspec.structs.replace(
        conftest.LIMITS, body_bytes_max=BODY_BYTES, header_timeout_ms=5_000.0
    )
    return gate


@pytest.fixture
def run_callers(gate: conftest.FakeGate) -> RunCallers:
    """Returns a function that runs callers of a server on a small VM."""

    def run(
        conversation: Conversation,
        handler: http1_server.Handler = conftest.echo,
    ) -> None:
        async def main() -> None:
            async with (
                asyncio.timeout(10),
                conftest.serving(handler, gate, SMALL_VM) as (_, port),
            ):
                callers = Callers(port)
                await conversation(callers)
                callers.close()

        asyncio.run(main())

    return run


async def hold_large(
    request: http1_server.Request, responder: http1_server.Responder
) -> None:
    """Answers small requests at once and never answers large ones."""
    if len(request.body) == BODY_BYTES:
        await asyncio.sleep(30)
    responder.answer(200, [], b"")


def post(size: int, *headers: bytes) -> bytes:
    lines = [b"POST /a HTTP/1.1", b"content-length: %d" % size, *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


UNFINISHED = post(BODY_BYTES) + bytes(BODY_BYTES - 1)
SMALL = post(5, b"connection: close") + b"small"
OVERLOADED = errors.ErrorKind.ENTRY_OVERLOADED


def assert_refused(head: bytes) -> None:
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"connection: close" in head
    assert b"retry-after: 0.500" in head


def test_bodies_beyond_the_memory_are_refused_with_the_promise(
    run_callers: RunCallers, gate: conftest.FakeGate
) -> None:
    """Guards against a status 413 for a body that the limits allow."""

    async def conversation(callers: Callers) -> None:
        first = await callers.send(UNFINISHED)
        for _ in range(FIT + 2):
            await callers.send(UNFINISHED)
        assert_refused(await first.readuntil(b"\r\n\r\n"))
        reader = await callers.send(SMALL)
        assert (await reader.read()).endswith(b"/a small")

    run_callers(conversation)
    assert set(gate.refusals) == {OVERLOADED}


def test_body_that_can_not_fit_is_refused_before_it_is_sent(
    run_callers: RunCallers, gate: conftest.FakeGate
) -> None:
    """Guards against a caller that is asked for a body to no purpose."""

    async def conversation(callers: Callers) -> None:
        # One after the other, so that all that fit are handled.
        for _ in range(FIT):
            await callers.send(post(BODY_BYTES) + bytes(BODY_BYTES))
            await asyncio.sleep(0.05)
        reader = await callers.send(post(BODY_BYTES, b"expect: 100-continue"))
        assert_refused(await reader.readuntil(b"\r\n\r\n"))
        reader = await callers.send(SMALL)
        assert (await reader.read()).startswith(b"HTTP/1.1 200 ")

    run_callers(conversation, hold_large)
    assert set(gate.refusals) == {OVERLOADED}
    assert not gate.unanswered_reasons


def test_requests_behind_one_that_runs_are_refused_once_it_is_answered(
    run_callers: RunCallers, gate: conftest.FakeGate
) -> None:
    """Guards against an answer that is lost with the requests behind it."""
    finish = asyncio.Event()

    async def answer(
        request: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        if request.target == b"/first":
            await finish.wait()
        responder.answer(200, [], request.target)

    async def conversation(callers: Callers) -> None:
        first = post(0).replace(b"/a", b"/first")
        queued = (post(BODY_BYTES) + bytes(BODY_BYTES)) * 2
        reader = await callers.send(first + queued)
        for _ in range(FIT + 2):
            await callers.send(UNFINISHED)
        finish.set()
        answers = await reader.read()
        assert answers.startswith(b"HTTP/1.1 200 ")
        assert_refused(answers.partition(b"/first")[2])
        assert answers.count(b"HTTP/1.1 ") == 2

    run_callers(conversation, answer)


def test_connections_beyond_the_sockets_are_closed(
    gate: conftest.FakeGate,
) -> None:
    """Guards against callers that take all descriptors of the process."""
    limits = node.VmLimits(sockets_max=20)

    async def main() -> None:
        async with (
            asyncio.timeout(10),
            conftest.serving(conftest.echo, gate, limits) as (_, port),
        ):
            callers = Callers(port)
            idle = [await callers.send(b"") for _ in range(40)]
            reader = await callers.send(SMALL)
            assert (await reader.read()).endswith(b"/a small")
            assert sum(each.at_eof() for each in idle) >= 30
            callers.close()

    asyncio.run(main())


def test_short_request_is_answered_before_a_long_one_is_parsed(
    run_callers: RunCallers, gate: conftest.FakeGate
) -> None:
    """Guards against chunks of one byte that take up the event loop."""
    del gate
    answered: list[int] = []

    async def answer(
        request: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        answered.append(len(request.body))
        responder.answer(200, [], b"")

    async def conversation(callers: Callers) -> None:
        chunked = post(0).replace(
            b"content-length: 0", b"transfer-encoding: chunked"
        )
        chunks = b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n"
        readers = await callers.send_at_once([chunked + chunks] * 10 + [SMALL])
        for reader in readers:
            await reader.readuntil(b"\r\n\r\n")

    run_callers(conversation, answer)
    assert answered == [5, *[10_000] * 10]


def test_requests_wait_while_their_caller_reads_no_answers(
    run_callers: RunCallers,
) -> None:
    """Guards against answers to small requests that pile up."""
    answer = bytes(100_000)
    count = 60
    handled: list[bytes] = []

    async def respond(
        request: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        handled.append(request.target)
        responder.answer(200, [], answer)

    async def conversation(callers: Callers) -> None:
        await callers.send(conftest.GET * count)
        await asyncio.sleep(0.2)
        assert len(handled) < count
        reader = await callers.send(conftest.GET * (count - 1) + SMALL)
        assert (await reader.read()).count(answer) == count

    run_callers(conversation, respond)


LONG = 20_000
"""Size of a body that is parsed in turns."""


def test_caller_that_leaves_after_a_long_body_is_noticed(
    run_callers: RunCallers, gate: conftest.FakeGate
) -> None:
    """Guards against work that goes on for a caller that is gone."""
    cancelled = asyncio.Event()

    async def wait(
        request: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        del request, responder
        try:
            await asyncio.sleep(30)
        finally:
            cancelled.set()

    async def conversation(callers: Callers) -> None:
        await callers.send(post(LONG, b"connection: close") + bytes(LONG))
        await asyncio.sleep(0.1)
        callers.close()
        await asyncio.wait_for(cancelled.wait(), 1)

    run_callers(conversation, wait)
    assert [reason.value for reason in gate.unanswered_reasons] == [
        "caller_left"
    ]


def test_body_in_many_parts_has_no_more_time_than_another(
    run_callers: RunCallers, gate: conftest.FakeGate
) -> None:
    """Guards against a timeout that each part starts again."""
    gate.limits_in_force = msgspec.structs.replace(
        gate.limits_in_force, header_timeout_ms=200.0
    )

    async def conversation(callers: Callers) -> None:
        reader = await callers.send(post(BODY_BYTES))
        for _ in range(16):
            callers.send_on(bytes(LONG))
            await asyncio.sleep(0.05)
            if gate.refusals:
                break
        assert gate.refusals == [errors.ErrorKind.HEADER_TIMEOUT]
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 408 ")

    run_callers(conversation)


def test_answer_that_is_being_read_is_not_cut_for_memory(
    run_callers: RunCallers,
) -> None:
    """Guards against a crowd whose victims are callers that are served."""
    finish = asyncio.Event()

    async def answer(
        request: http1_server.Request, responder: http1_server.Responder
    ) -> None:
        if request.target == b"/first":
            responder.start(200, [], None)
            while not finish.is_set():
                responder.write(bytes(1_000))
                await asyncio.sleep(0.005)
            responder.end()
            return
        responder.answer(200, [], b"")

    async def conversation(callers: Callers) -> None:
        reader = await callers.send(
            post(0, b"connection: close").replace(b"/a", b"/first")
        )
        for _ in range(2 * FIT):
            await callers.send(UNFINISHED)
        finish.set()
        assert (await reader.read()).startswith(b"HTTP/1.1 200 ")

    run_callers(conversation, answer)
