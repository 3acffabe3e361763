"""Callers that send more than they should, or never finish what they send.

A crowd opens its connections at once and keeps them open until its context is
left, so that what a server holds for them can be measured meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import socket
from typing import NamedTuple
from typing import Self
from typing import TypeAlias

from standins import direct_documents

BODY_BYTES_MAX = 4_194_304
"""Default limit of a body on the direct path."""

PIECE_BYTES = 65_536
PIECE_PAUSE_S = 0.01

SEND_S_MAX = 20.0
"""Time after which a crowd sends no more."""

STALL_S_MAX = 5.0
"""Time after which a caller stops sending if nothing of it is read."""

SEND_BUFFER_BYTES = 65_536
"""Send buffer of a caller, so that it sends no faster than it is read."""

RECEIVE_BUFFER_BYTES = 4_096
"""Receive buffer of a caller that reads no answer."""

_ids = itertools.count()


DIRECT_HEADERS = (
    f"host: {direct_documents.HOST}",
    "x-deadline-ms: 6050",
    "x-token-usage: 100,30",
    f"authorization: Bearer {direct_documents.KEY}",
)
"""Headers that a caller of the direct path sends with each request."""


class Target(NamedTuple):
    """Where a crowd sends its requests.

    Attributes:
      host: address of the entry.
      port: port of the entry.
      path: path of the requests.
      headers: header lines of all requests.
    """

    host: str
    port: int
    path: str
    headers: tuple[str, ...] = DIRECT_HEADERS


class Caller:
    """One connection of a crowd.

    Attributes:
      target: where the requests go.
    """

    def __init__(
        self,
        target: Target,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Wraps an open connection."""
        self.target = target
        self._reader = reader
        self._writer = writer

    def head(self, *lines: str, method: str = "POST") -> bytes:
        """Returns a request head with a new id and further header lines."""
        return "\r\n".join(
            [
                f"{method} {self.target.path} HTTP/1.1",
                f"x-attempt-id: crowd-{next(_ids)}",
                *self.target.headers,
                *lines,
                "\r\n",
            ]
        ).encode()

    async def write(self, data: bytes) -> None:
        """Writes bytes and waits until most of them are sent."""
        self._writer.write(data)
        async with asyncio.timeout(STALL_S_MAX):
            await self._writer.drain()

    async def read_line(self) -> bytes:
        """Returns the next line that the server sends."""
        return await self._reader.readline()

    async def read_all(self) -> bytes:
        """Returns all that the server sends until it closes."""
        return await self._reader.read()

    def close(self) -> None:
        """Closes the connection with a reset."""
        self._writer.transport.abort()


async def connect(target: Target, *, reads: bool = True) -> Caller:
    """Opens a connection.

    Args:
      target: where its requests go.
      reads: whether its answers will be read.

    Raises:
      OSError: if the server does not accept it.
    """
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    limit = PIECE_BYTES
    if not reads:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        limit = 1
    try:
        await asyncio.get_running_loop().sock_connect(
            sock, (target.host, target.port)
        )
    except BaseException:
        sock.close()
        raise
    reader, writer = await asyncio.open_connection(sock=sock, limit=limit)
    return Caller(target, reader, writer)


Script: TypeAlias = Callable[[Caller], Awaitable[None]]


class Crowd:
    """Callers that run the same script at the same time; a context manager."""

    def __init__(
        self,
        target: Target,
        count: int,
        script: Script,
        *,
        reads: bool = True,
    ) -> None:
        """Opens no connection until the context is entered.

        Args:
          target: where the requests go.
          count: number of connections.
          script: what each of them does.
          reads: whether answers are read.
        """
        self._target = target
        self._count = count
        self._script = script
        self._reads = reads
        self._callers: list[Caller] = []

    async def __aenter__(self) -> Self:
        """Opens the connections, and returns once all scripts have ended."""
        await asyncio.gather(*(self._run() for _ in range(self._count)))
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes all connections."""
        for caller in self._callers:
            caller.close()

    async def _run(self) -> None:
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(SEND_S_MAX):
                caller = await connect(self._target, reads=self._reads)
                self._callers.append(caller)
                await self._script(caller)


def _length(size: int) -> str:
    return f"content-length: {size}"


async def send_unfinished_body(caller: Caller) -> None:
    """Sends a body of the largest size but its last byte."""
    await caller.write(
        caller.head(_length(BODY_BYTES_MAX)) + bytes(BODY_BYTES_MAX - 1)
    )


async def send_unfinished_body_in_pieces(caller: Caller) -> None:
    """Sends a body of the largest size but its last byte, piece by piece."""
    await caller.write(caller.head(_length(BODY_BYTES_MAX)))
    left = BODY_BYTES_MAX - 1
    while left:
        piece = bytes(min(left, PIECE_BYTES))
        left -= len(piece)
        await caller.write(piece)
        await asyncio.sleep(PIECE_PAUSE_S)


async def send_whole_body(caller: Caller) -> None:
    """Sends a body of the largest size and waits for the end of the answer."""
    await caller.write(
        caller.head(_length(BODY_BYTES_MAX), "connection: close")
        + bytes(BODY_BYTES_MAX)
    )
    await caller.read_all()


def send_unfinished_chunks(chunk_bytes: int, body_bytes: int) -> Script:
    """Returns a script that sends a body in chunks, without the last one."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    batch = max(1, PIECE_BYTES // len(chunk))

    async def send(caller: Caller) -> None:
        await caller.write(caller.head("transfer-encoding: chunked"))
        left = body_bytes // chunk_bytes
        while left:
            count = min(left, batch)
            left -= count
            await caller.write(chunk * count)

    return send


async def send_body_after_continue(caller: Caller) -> None:
    """Sends an unfinished body once the server has asked for it."""
    await caller.write(
        caller.head(_length(BODY_BYTES_MAX), "expect: 100-continue")
    )
    if b" 100 " in await caller.read_line():
        await caller.write(bytes(BODY_BYTES_MAX - 1))


async def announce_huge_body(caller: Caller) -> None:
    """Announces a body far over the limit and sends its beginning."""
    await caller.write(caller.head(_length(2**30)) + bytes(PIECE_BYTES))


def send_pipelined(count: int, body_bytes: int) -> Script:
    """Returns a script that sends several requests at once."""

    async def send(caller: Caller) -> None:
        body = bytes(body_bytes)
        await caller.write(
            b"".join(
                caller.head(_length(body_bytes)) + body for _ in range(count)
            )
        )

    return send


def send_many(count: int, id_bytes: int = 0) -> Script:
    """Returns a script that sends many requests without a body.

    Args:
      count: number of requests.
      id_bytes: size of the id that each of them adds, and that a refusal
        repeats.
    """

    async def send(caller: Caller) -> None:
        head = caller.head(method="GET")
        if id_bytes:
            long_id = b"x-attempt-id: " + b"i" * id_bytes
            head = head.replace(b"x-attempt-id: ", long_id)
        batch = max(1, PIECE_BYTES // len(head))
        for _ in range(count // batch):
            await caller.write(head * batch)

    return send


def send_unfinished_head(header: str, head_bytes: int) -> Script:
    """Returns a script that repeats a header and never ends the head."""

    async def send(caller: Caller) -> None:
        head = caller.head().removesuffix(b"\r\n")
        line = header.encode() + b"\r\n"
        repeated = line * ((head_bytes - len(head)) // len(line))
        await caller.write(head + repeated)

    return send


async def send_nothing(caller: Caller) -> None:
    """Keeps the connection open without a request."""
