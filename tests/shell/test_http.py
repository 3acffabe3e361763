from __future__ import annotations

import asyncio

import pytest

from marlramp.shell import http
from standins import raw_http


class DroppingServer:
    """Responds to the first request of a connection, closes at the second."""

    def __init__(self) -> None:
        self.requests = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
        except asyncio.IncompleteReadError:
            pass
        writer.close()


@pytest.mark.parametrize("method", ["PUT", "POST", "DELETE"])
def test_at_most_once_call_is_not_repeated_by_the_client(method: str) -> None:
    """Guards against aiosonic's retries on a reused closed connection."""

    async def check() -> int:
        server = DroppingServer()
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        client = http.HttpClient()
        for _ in range(2):
            stream = await client.stream(
                method,
                f"http://127.0.0.1:{port}/",
                body=b"x",
                timeout_ms=2_000.0,
                at_most_once=True,
            )
            await stream.body()
            await stream.close()
        listener.close()
        return server.requests

    # One request per call; a repeated call would send a third.
    assert asyncio.run(check()) == 2


def test_late_response_is_not_matched_to_the_next_request() -> None:
    """Guards against reuse of a connection whose call timed out."""

    async def script(peer: raw_http.Peer) -> None:
        request = await peer.read()
        while request is not None:
            if request.target == "/slow":
                await asyncio.sleep(0.3)
            await peer.answer(request, 200, request.target.encode())
            request = await peer.read()

    async def main() -> bytes:
        async with raw_http.ScriptedServer(script) as server:
            client = http.HttpClient()
            url = f"http://{server.address}"
            with pytest.raises(http.HttpError):
                await client.request("GET", f"{url}/slow", timeout_ms=100.0)
            await asyncio.sleep(0.3)
            reply = await client.request(
                "GET", f"{url}/next", timeout_ms=1_000.0
            )
            return reply.body

    assert asyncio.run(main()) == b"/next"


def test_response_without_a_length_is_not_taken_as_empty() -> None:
    """Guards against aiosonic's empty body for an undelimited response."""

    async def script(peer: raw_http.Peer) -> None:
        await peer.read()
        await peer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf of the")
        peer.close()

    async def main() -> None:
        async with raw_http.ScriptedServer(script) as server:
            client = http.HttpClient()
            url = f"http://{server.address}/"
            with pytest.raises(http.HttpError, match="no content-length"):
                await client.request("GET", url, timeout_ms=1_000.0)
            stream = await client.stream("GET", url, timeout_ms=1_000.0)
            with pytest.raises(http.HttpError, match="no content-length"):
                await stream.body()

    asyncio.run(main())


def test_response_without_a_body_is_complete() -> None:
    async def script(peer: raw_http.Peer) -> None:
        await peer.read()
        await peer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        # The connection stays open: only the status shows that the body is
        # empty.
        await asyncio.sleep(0.5)

    async def main() -> http.Reply:
        async with raw_http.ScriptedServer(script) as server:
            client = http.HttpClient()
            url = f"http://{server.address}/"
            return await client.request("GET", url, timeout_ms=1_000.0)

    reply = asyncio.run(main())
    assert (reply.status, reply.body) == (204, b"")
