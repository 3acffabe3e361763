"""HTTP server that writes raw bytes, to simulate misbehaving replicas.

A replica may send bytes that no HTTP library would produce: a second response,
a body cut off by a reset, a response before the request was read. A script is a
coroutine that reads requests and writes arbitrary bytes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import socket
import struct
from typing import TypeAlias
import urllib.parse

import msgspec

FLOOD_S_MAX = 3.0
"""Longest time of a flood that is not ended by its reader."""

FLOOD_BYTES_MAX = 2_147_483_648
"""Largest number of bytes of a flood."""


class SeenRequest(msgspec.Struct, frozen=True):
    """A received request, with header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return urllib.parse.urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Query parameters of the target."""
        parts = urllib.parse.urlsplit(self.target)
        return dict(urllib.parse.parse_qsl(parts.query))


class Peer:
    """A client connection with the operations that a script uses.

    Attributes:
      flooded_bytes: number of bytes that `flood` has written.
      flood_ended: set when the flood has ended.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wraps an open connection."""
        self._reader = reader
        self._writer = writer
        self.flooded_bytes = 0
        self.flood_ended = asyncio.Event()

    async def read(self) -> SeenRequest | None:
        """Returns the next request, None if the connection ended."""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = b""
        length = int(headers.get("content-length", "0"))
        if length:
            body = await self._reader.readexactly(length)
        return SeenRequest(method, target, headers, body)

    async def write(self, data: bytes) -> None:
        """Writes raw bytes; a lost connection is ignored."""
        self._writer.write(data)
        with contextlib.suppress(ConnectionError):
            await self._writer.drain()

    async def answer(
        self,
        request: SeenRequest,
        status: int,
        body: bytes = b"",
        **headers: str,
    ) -> None:
        """Writes a complete response that echoes the request's id."""
        lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
        attempt_id = request.headers.get("x-attempt-id")
        if attempt_id:
            lines.append(f"x-attempt-id: {attempt_id}")
        lines.extend(
            f"{name.replace('_', '-')}: {value}"
            for name, value in headers.items()
        )
        head = "\r\n".join(lines) + "\r\n\r\n"
        await self.write(head.encode("latin-1") + body)

    async def answer_json(self, request: SeenRequest, value: object) -> None:
        """Writes a complete response with a JSON body."""
        await self.answer(request, 200, json.dumps(value).encode())

    async def flood(self, data: bytes) -> None:
        """Writes the same bytes until the reader closes, or up to a limit."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLOOD_S_MAX):
                while (
                    self.flooded_bytes < FLOOD_BYTES_MAX
                    and not self._writer.transport.is_closing()
                ):
                    await self.write(data)
                    self.flooded_bytes += len(data)
                    await asyncio.sleep(0)
        self.flood_ended.set()

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._writer.is_closing()

    def reset(self) -> None:
        """Resets the connection if it is open."""
        sock = self._writer.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self._writer.transport.abort()

    def close(self) -> None:
        """Closes the connection cleanly."""
        self._writer.close()


Script: TypeAlias = Callable[[Peer], Awaitable[None]]


class ScriptedServer:
    """Runs a script on each connection; use as a context manager.

    Attributes:
      port: listening port.
      connections: number of accepted connections.
    """

    def __init__(
        self, script: Script, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        """Initializes the server; port 0 selects a free port."""
        self._script = script
        self._host = host
        self.port = port
        self._server: asyncio.Server | None = None
        self._peers: list[Peer] = []
        self.connections = 0

    async def __aenter__(self) -> ScriptedServer:
        """Starts listening."""
        await self.listen()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for peer in self._peers:
            peer.close()

    async def listen(self) -> None:
        """Starts listening; may be called again after `crash`."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self, *, resets: bool = True) -> None:
        """Ends all connections and refuses new ones, like a process crash.

        `listen` makes the server available again.

        Args:
          resets: whether connections are reset rather than closed cleanly.
        """
        if self._server is not None:
            self._server.close()
        peers, self._peers = self._peers, []
        for peer in peers:
            if resets:
                peer.reset()
            else:
                peer.close()

    @property
    def address(self) -> str:
        """Listening address as "host:port"."""
        return f"{self._host}:{self.port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        peer = Peer(reader, writer)
        self._peers.append(peer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await self._script(peer)
        writer.close()
