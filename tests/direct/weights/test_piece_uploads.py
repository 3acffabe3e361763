from __future__ import annotations

import asyncio
import collections
import hashlib

import msgspec
import pytest

from marlramp import clock
from marlramp.core.weights import manifest
from marlramp.direct.weights import piece_uploads
from marlramp.protocol import fleet_messages

FRAGMENT = piece_uploads.FRAGMENT_BYTES
PIECE = bytes(4 * FRAGMENT)
NAME = "m@2"


class Sent:
    """Records the replies."""

    def __init__(self) -> None:
        self.replies: list[tuple[str, fleet_messages.FragmentReply]] = []

    def send(self, name: str, message: msgspec.Struct) -> bool:
        assert isinstance(message, fleet_messages.FragmentReply)
        self.replies.append((name, message))
        return True


@pytest.fixture
def chunk_set() -> manifest.ChunkSet:
    found = manifest.Manifest(
        model="m",
        version="2",
        chunk_bytes=len(PIECE),
        total_bytes=2 * len(PIECE),
        chunks=[hashlib.sha256(PIECE).hexdigest()] * 2,
        whole="",
    )
    made = manifest.ChunkSet(found, manifest.sha256_of)
    made.add(0, PIECE)
    return made


def request(index: int, number: int) -> fleet_messages.FragmentRequest:
    return fleet_messages.FragmentRequest(
        manifest=NAME, index=index, offset=number * FRAGMENT
    )


async def serve(
    chunk_set: manifest.ChunkSet,
    requests: list[tuple[str, fleet_messages.FragmentRequest]],
) -> Sent:
    sent = Sent()
    uploads = piece_uploads.PieceUploads(
        {NAME: chunk_set}, sent.send, 1e9, clock.SystemClock()
    )
    for name, each in requests:
        uploads.handle_request(name, each)
    task = asyncio.create_task(uploads.run())
    await asyncio.sleep(0.05)
    task.cancel()
    return sent


def test_oldest_transfer_is_served_first(chunk_set: manifest.ChunkSet) -> None:
    """If transfers shared the link, all receivers would complete last."""
    receivers = [f"vm-{n}" for n in range(4)]
    submitted = [(r, request(0, n)) for n in range(4) for r in receivers]
    sent = asyncio.run(serve(chunk_set, submitted))
    assert [name for name, _ in sent.replies] == [
        name for name in receivers for _ in range(4)
    ]


def test_piece_that_is_not_held_is_refused_at_once(
    chunk_set: manifest.ChunkSet,
) -> None:
    sent = asyncio.run(serve(chunk_set, [("vm-1", request(1, 0))]))
    assert [reply.data for _, reply in sent.replies] == [None]


def test_requests_beyond_the_queue_are_refused(
    chunk_set: manifest.ChunkSet,
) -> None:
    many = piece_uploads.UPLOADS_MAX + 5
    submitted = [(f"vm-{n}", request(0, 0)) for n in range(many)]
    sent = asyncio.run(serve(chunk_set, submitted))
    refused = collections.Counter(
        reply.data is None for _, reply in sent.replies
    )
    assert refused == {True: 5, False: piece_uploads.UPLOADS_MAX}
