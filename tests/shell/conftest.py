"""A caller server with small limits and conversations of its callers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import TypeAlias

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp.core.configuration import fleet
from marlramp.settings import node
from marlramp.shell import caller_bounds
from marlramp.shell import http1_server

LIMITS = fleet.CallerLimits(
    header_bytes_max=400,
    body_bytes_max=1_000,
    header_timeout_ms=150.0,
    idle_timeout_ms=300.0,
)
DEFAULT_VM = node.VmLimits()
GET = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"


class FakeGate:
    """Provides test limits and records rejected requests."""

    def __init__(self) -> None:
        self.closing = False
        self.limits_in_force = LIMITS
        self.refusals: list[errors.ErrorKind] = []
        self.unanswered_reasons: list[http1_server.UnansweredReason] = []

    def limits(self) -> fleet.CallerLimits:
        return self.limits_in_force

    def refused(
        self, error: errors.CallError, headers: list[tuple[bytes, bytes]]
    ) -> None:
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


def bounds_of(limits: node.VmLimits) -> caller_bounds.CallerBounds:
    """Returns bounds on the connections of a server on a VM."""
    return caller_bounds.CallerBounds(
        limits, counters.Counters(), clock.SystemClock()
    )


@contextlib.asynccontextmanager
async def serving(
    handler: http1_server.Handler,
    gate: FakeGate,
    limits: node.VmLimits = DEFAULT_VM,
) -> AsyncIterator[tuple[http1_server.CallerServer, int]]:
    """Runs a server and yields it with its port."""
    server = http1_server.CallerServer(
        handler, gate, clock.SystemClock(), bounds_of(limits)
    )
    await server.start("127.0.0.1", 0)
    assert server._server is not None
    port = server._server.sockets[0].getsockname()[1]
    try:
        yield server, port
    finally:
        server.stop_listening()


def run_conversation(
    conversation: Conversation,
    handler: http1_server.Handler = echo,
    gate: FakeGate | None = None,
    limits: node.VmLimits = DEFAULT_VM,
) -> bytes:
    async def run() -> bytes:
        async with serving(handler, gate or FakeGate(), limits) as (_, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            async with asyncio.timeout(3):
                result = await conversation(reader, writer)
            writer.close()
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
