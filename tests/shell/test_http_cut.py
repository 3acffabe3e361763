"""Responses whose connection ends early, or whose length is malformed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from marlramp.shell import http
from standins import raw_http

STATUS = b"HTTP/1.1 200 OK\r\n"
Read = Callable[[http.HttpClient, str], Awaitable[object]]


async def read_reply(client: http.HttpClient, url: str) -> http.Reply:
    return await client.request("POST", url, timeout_ms=1_000.0)


async def read_body(client: http.HttpClient, url: str) -> bytes:
    stream = await client.stream("POST", url, timeout_ms=1_000.0)
    try:
        return await stream.body()
    finally:
        await stream.close()


async def read_events(client: http.HttpClient, url: str) -> list[bytes]:
    stream = await client.stream("POST", url, timeout_ms=1_000.0)
    try:
        return [event async for event in stream.events()]
    finally:
        await stream.close()


def complete(responses: list[bytes], read: Read) -> list[bytes]:
    """Returns the responses that are complete for the client.

    Each is sent on a connection of its own, which ends after it.
    """

    async def script(peer: raw_http.Peer) -> None:
        request = await peer.read()
        if request is not None:
            await peer.write(responses[int(request.path[1:])])
        peer.close()

    async def main() -> list[bytes]:
        found = []
        async with raw_http.ScriptedServer(script) as server:
            client = http.HttpClient()
            for index, response in enumerate(responses):
                try:
                    await read(client, f"http://{server.address}/{index}")
                except http.HttpError:
                    continue
                found.append(response)
        return found

    return asyncio.run(main())


@pytest.fixture(params=[read_reply, read_body, read_events])
def read(request: pytest.FixtureRequest) -> Read:
    """Each way to read a response."""
    found: Read = request.param
    return found


@pytest.mark.parametrize(
    "head",
    [
        b"content-type: text/event-stream\r\ncontent-length: 12\r\n\r\n",
        b"content-type: text/event-stream\r\ncontent-length: 0\r\n\r\n",
        b"Transfer-Encoding: chunked\r\nx: a\r\n\r\n",
        b"connection: close\r\n\r\n",
    ],
)
def test_head_that_is_cut_at_any_byte_is_no_response(
    head: bytes, read: Read
) -> None:
    """Guards against the end of the connection taken for the end of a head."""
    whole = STATUS + head
    cuts = [whole[:size] for size in range(len(whole))]
    assert complete(cuts, read) == []


@pytest.mark.parametrize(
    "fields",
    [
        b"content-length:\r\n",
        b"content-length: +0\r\n",
        b"content-length: 0x0\r\n",
        b"content-length: 0\r\ncontent-length: 1\r\n",
        b"content-length : 0\r\n",
        b"content-length: 0\r\nno field\r\n",
        b"content-length: 0\r\ntransfer-encoding: chunke\r\n",
        b"content-length: 0\r\ntransfer-encoding: gzip\r\n",
    ],
)
def test_malformed_length_is_no_response(fields: bytes, read: Read) -> None:
    """Guards against a body that is taken as empty."""
    assert complete([STATUS + fields + b"\r\n"], read) == []


@pytest.mark.parametrize(
    "response",
    [
        b"content-length: 12\r\n\r\ndata: abcd\n\n",
        b"transfer-encoding: chunked\r\n\r\nc\r\ndata: abcd\n\n\r\n0\r\n\r\n",
    ],
)
def test_body_that_is_cut_at_any_byte_is_no_response(
    response: bytes, read: Read
) -> None:
    """Guards against a part of a body taken for the whole of it."""
    whole = STATUS + response
    begin = whole.index(b"\r\n\r\n") + 4
    cuts = [whole[:size] for size in range(begin, len(whole))]
    assert complete([*cuts, whole], read) == [whole]


def test_events_of_an_empty_response_take_no_bytes_of_the_next_one() -> None:
    """Guards against reading on from a connection that was given back."""

    async def script(peer: raw_http.Peer) -> None:
        request = await peer.read()
        while request is not None:
            await peer.answer(request, 200, request.target[1:].encode())
            request = await peer.read()

    async def main() -> tuple[list[bytes], bytes]:
        async with raw_http.ScriptedServer(script) as server:
            client = http.HttpClient()
            url = f"http://{server.address}/"
            async with asyncio.timeout(2.0), asyncio.TaskGroup() as group:
                events = group.create_task(read_events(client, url))
                await asyncio.sleep(0.1)
                reply = await client.request(
                    "GET", f"{url}next", timeout_ms=1_000.0
                )
            return events.result(), reply.body

    assert asyncio.run(main()) == ([], b"next")
