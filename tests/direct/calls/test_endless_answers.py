"""Replicas whose answers never end."""

from __future__ import annotations

import pytest

from marlramp.direct.calls import attempts
from standins import raw_http
from tests.direct import conftest

HEAD = b"HTTP/1.1 200 OK\r\nx-replica-signature: s\r\nx-attempt-id: "
PART = b"x" * 65_536
# Bytes on the way when the connection is closed, in the buffers of both ends.
UNREAD_BYTES_MAX = 16_777_216


@pytest.mark.parametrize(
    ("path", "head"),
    [
        ("/safe/x", HEAD + b"another\r\n\r\n"),
        ("/safe/x", HEAD + b"id-1\r\n\r\n"),
        (
            "/stream/x",
            HEAD + b"id-1\r\ncontent-type: text/event-stream\r\n\r\n",
        ),
    ],
    ids=["another request", "body", "event"],
)
def test_connection_is_closed_when_its_attempt_has_ended(
    path: str, head: bytes, run_entry: conftest.RunEntry
) -> None:
    """Guards against a connection that is read after its answer is refused."""
    peers: list[raw_http.Peer] = []

    async def flood(peer: raw_http.Peer) -> None:
        if await peer.read() is not None:
            peers.append(peer)
            await peer.write(head)
            await peer.flood(PART)

    async def serve(peer: raw_http.Peer) -> None:
        while (request := await peer.read()) is not None:
            await peer.answer(request, 200, b"ok", x_replica_signature="s")

    async def use(entry: conftest.Entry) -> None:
        answer = await entry.call(path, "GET")
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert answer.endswith(b"ok")
        (peer,) = peers
        await peer.flood_ended.wait()
        allowed = attempts.PLAIN_BODY_BYTES_MAX + UNREAD_BYTES_MAX
        assert peer.flooded_bytes <= allowed

    run_entry(use, flood, serve)
