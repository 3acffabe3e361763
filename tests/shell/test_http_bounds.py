"""Responses that are too large, and connections that are of no more use."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import time as system_time

import pytest

from marlramp.shell import http

BODY_BYTES_MAX = 1024 * 1024
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


class Server:
    """Writes the same bytes to each request, the last ones without an end.

    Attributes:
      written: bytes written to all connections.
      open: number of open connections.
    """

    def __init__(self, first: bytes, endless: bytes = b"") -> None:
        self._first = first
        self._endless = endless * (65_536 // len(endless)) if endless else b""
        self.written = 0
        self.open = 0
        self.accepted = 0
        self.url = ""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open += 1
        self.accepted += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(self._first)
                while self._endless:
                    writer.write(self._endless)
                    await writer.drain()
                    self.written += len(self._endless)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.close()

    async def until_closed(self) -> None:
        """Waits until the client has closed all connections."""
        async with asyncio.timeout(2.0):
            while self.open:
                await asyncio.sleep(0.01)


def play(
    server: Server, scenario: Callable[[http.HttpClient], Awaitable[None]]
) -> None:
    async def main() -> None:
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        server.url = f"http://127.0.0.1:{port}/"
        await scenario(http.HttpClient())
        listener.close()

    asyncio.run(main())


def test_closed_client_leaves_no_connection_open() -> None:
    """Guards against tracebacks of connections that outlive the event loop."""
    server = Server(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    async def scenario(client: http.HttpClient) -> None:
        await read_reply(client, server.url)
        await client.close()
        await server.until_closed()

    play(server, scenario)


async def read_reply(client: http.HttpClient, url: str) -> None:
    await client.request(
        "GET", url, timeout_ms=5_000.0, body_bytes_max=BODY_BYTES_MAX
    )


async def read_body(client: http.HttpClient, url: str) -> None:
    stream = await client.stream(
        "GET", url, timeout_ms=5_000.0, body_bytes_max=BODY_BYTES_MAX
    )
    async with contextlib.aclosing(_Closed(stream)):
        await stream.body()


async def read_events(client: http.HttpClient, url: str) -> None:
    stream = await client.stream(
        "PUT", url, timeout_ms=5_000.0, at_most_once=True
    )
    async with contextlib.aclosing(_Closed(stream)):
        async for _ in stream.events():
            pass


class _Closed:
    """A stream whose closing method has the name that `aclosing` calls."""

    def __init__(self, stream: http.EventStream) -> None:
        self.aclose = stream.close


@pytest.mark.parametrize("read", [read_reply, read_body, read_events])
@pytest.mark.parametrize(
    ("first", "endless"),
    [
        (b"HTTP/1.1 200 ", b"a"),
        (HEAD + b"x: ", b"a"),
        (HEAD, b"x: a\r\n"),
        (HEAD + b"content-length: 99999999999\r\n\r\n", b"a"),
        (CHUNKED, b"1\r\na\r\n"),
        (CHUNKED + b"1;", b"a"),
        (CHUNKED + b"fffffffff\r\n", b"a"),
    ],
)
def test_response_without_end_ends_the_call(
    first: bytes,
    endless: bytes,
    read: Callable[[http.HttpClient, str], Awaitable[None]],
) -> None:
    server = Server(first, endless)

    async def scenario(client: http.HttpClient) -> None:
        started_s = system_time.monotonic()
        with pytest.raises(http.HttpError):
            async with asyncio.timeout(5.0):
                await read(client, server.url)
        assert system_time.monotonic() - started_s < 4.0
        await server.until_closed()
        # Sockets and readers hold up to some megabytes beyond the limit.
        assert server.written < 32 * BODY_BYTES_MAX

    play(server, scenario)


def test_chunks_of_two_bytes_are_a_usual_response() -> None:
    size = 20_000
    server = Server(CHUNKED + b"2\r\nab\r\n" * (size // 2) + b"0\r\n\r\n")

    async def scenario(client: http.HttpClient) -> None:
        reply = await client.request(
            "GET", server.url, timeout_ms=5_000.0, body_bytes_max=size
        )
        assert reply.body == b"ab" * (size // 2)

    play(server, scenario)


def test_late_response_is_not_matched_on_a_reused_connection() -> None:
    """Guards against a timeout after which the connection stayed in use."""
    targets = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split(b" ")[1]
                targets.append(target)
                await asyncio.sleep(0.3 if target == b"/b" else 0.0)
                length = b"content-length: 2\r\n\r\n"
                writer.write(HEAD + length + target)
        writer.close()

    async def main() -> None:
        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        client = http.HttpClient()

        async def get(path: str) -> bytes:
            url = f"http://127.0.0.1:{port}{path}"
            return (await client.request("GET", url, timeout_ms=100.0)).body

        assert await get("/a") == b"/a"
        with pytest.raises(http.HttpError):
            await get("/b")
        await asyncio.sleep(0.4)
        assert await get("/c") == b"/c"
        listener.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "surplus",
    [
        HEAD + b"content-length: 2\r\n\r\nok" + b"more",
        HEAD + b"content-length: 0\r\n\r\n" + b"more",
        HEAD + b"\r\nno length",
        CHUNKED + b"0\r\nx: trailer\r\n\r\n",
    ],
)
def test_connection_with_surplus_bytes_is_not_used_again(
    surplus: bytes,
) -> None:
    server = Server(surplus)

    async def scenario(client: http.HttpClient) -> None:
        for _ in range(2):
            with contextlib.suppress(http.HttpError):
                await read_reply(client, server.url)
            await asyncio.sleep(0.05)
        assert server.accepted == 2

    play(server, scenario)


def test_idle_connection_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http, "IDLE_CONNECTION_MS", 200)
    server = Server(HEAD + b"content-length: 2\r\n\r\nok")

    async def scenario(client: http.HttpClient) -> None:
        for _ in range(3):
            await read_reply(client, server.url)
            await asyncio.sleep(0.1)
        assert (server.accepted, server.open) == (1, 1)
        await server.until_closed()

    play(server, scenario)


def test_connection_of_a_call_that_failed_is_closed() -> None:
    server = Server(b"HTTP/1.1 200 OK\r\nx: a\r\n")

    async def scenario(client: http.HttpClient) -> None:
        with pytest.raises(http.HttpError):
            await client.stream(
                "PUT", server.url, timeout_ms=100.0, at_most_once=True
            )
        await server.until_closed()

    play(server, scenario)


def test_many_small_events_in_one_chunk_do_not_hold_the_event_loop() -> None:
    size = 512 * 1024
    chunk = b"%x\r\n" % size + b"\n" * size + b"\r\n0\r\n\r\n"
    server = Server(CHUNKED + chunk)

    async def scenario(client: http.HttpClient) -> None:
        started_s = system_time.monotonic()
        await read_events(client, server.url)
        assert system_time.monotonic() - started_s < 2.0

    play(server, scenario)
