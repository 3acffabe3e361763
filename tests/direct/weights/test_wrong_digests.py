"""A manifest that reaches a process with a wrong digest."""

from __future__ import annotations

import asyncio
import hashlib

import msgspec
import pytest

from marlramp import clock
from marlramp.core.weights import manifest
from marlramp.direct.weights import version_digests
from marlramp.platform import clients
from marlramp.protocol import messages

WANTED = version_digests.ModelVersion("m", 2)
PIECES = [b"a" * 8, b"b" * 8]
RIGHT = manifest.Manifest(
    model="m",
    version="2",
    chunk_bytes=8,
    total_bytes=16,
    chunks=[hashlib.sha256(piece).hexdigest() for piece in PIECES],
    whole="",
)
WRONG = msgspec.structs.replace(RIGHT, chunks=[RIGHT.chunks[0], "0" * 64])


class Origin:
    """Returns a wrong digest once, then the right ones.

    Attributes:
      reads: number of manifests that were read.
    """

    def __init__(self) -> None:
        self.reads = 0

    async def manifest(self, model: str, version: int) -> manifest.Manifest:
        self.reads += 1
        return WRONG if self.reads == 1 else RIGHT

    async def piece(
        self, model: str, version: int, index: int, bytes_max: int
    ) -> bytes:
        raise clients.PlatformError("the test requests no pieces")


class Process:
    """A process that has learnt the digests, one of them wrong."""

    def __init__(self, chunk_set: manifest.ChunkSet) -> None:
        self.chunk_set = chunk_set
        self.time = clock.ManualClock()
        self.origin = Origin()
        self.origin.reads = 1
        self.sent: list[tuple[str, msgspec.Struct]] = []
        self.digests = version_digests.VersionDigests(
            "own", lambda: ["peer"], self._send, self.time
        )
        self.digests.origin = self.origin
        self.digests.chunk_sets[WANTED.name] = chunk_set

    def _send(self, name: str, message: msgspec.Struct) -> bool:
        self.sent.append((name, message))
        return True

    def replies(self) -> list[str]:
        return [
            name
            for name, message in self.sent
            if isinstance(message, messages.ManifestReply)
        ]

    async def pass_time(self) -> None:
        self.digests.check_doubted(WANTED)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.time.advance(version_digests.RECHECK_MS)


@pytest.fixture
def chunk_set() -> manifest.ChunkSet:
    found = manifest.ChunkSet(WRONG, manifest.sha256_of)
    assert found.add(0, PIECES[0])
    for _ in range(manifest.DOUBTED_MISMATCHES):
        assert not found.add(1, PIECES[1])
    return found


def test_wrong_digest_is_read_again_and_not_passed_on(
    chunk_set: manifest.ChunkSet,
) -> None:
    """Guards against a version that no process can ever complete."""

    async def main() -> None:
        process = Process(chunk_set)
        request = messages.ManifestRequest(manifest=WANTED.name)
        process.digests.on_request("asks", request)
        assert not process.replies()
        await process.pass_time()
        await process.pass_time()
        assert chunk_set.add(1, PIECES[1])
        assert process.replies() == ["asks"]
        assert process.origin.reads == 2

    asyncio.run(main())


def test_wrong_digest_is_replaced_by_that_of_another_process(
    chunk_set: manifest.ChunkSet,
) -> None:
    """The origin may be away, and other processes may know the right one."""

    async def main() -> None:
        process = Process(chunk_set)
        await process.pass_time()
        reply = messages.ManifestReply(
            manifest=WANTED.name, data=manifest.encode(RIGHT)
        )
        process.digests.on_reply(reply)
        assert chunk_set.add(1, PIECES[1])
        assert process.origin.reads == 1

    asyncio.run(main())


def test_verified_digests_and_other_sizes_replace_nothing(
    chunk_set: manifest.ChunkSet,
) -> None:
    """Guards against a copy that is wrong elsewhere."""
    other = msgspec.structs.replace(RIGHT, chunks=["1" * 64, RIGHT.chunks[1]])
    shorter = msgspec.structs.replace(RIGHT, total_bytes=8, chunks=["2" * 64])
    assert chunk_set.replace_doubted(shorter, confirms=True) == set()
    assert chunk_set.doubted == {1}
    assert chunk_set.replace_doubted(other, confirms=True) == {1}
    assert chunk_set.manifest == RIGHT


def test_digests_that_the_origin_confirms_are_passed_on_again(
    chunk_set: manifest.ChunkSet,
) -> None:
    """Bytes that arrive corrupt twice must not hold the digests back."""
    assert chunk_set.replace_doubted(WRONG, confirms=False) == set()
    assert chunk_set.doubted == {1}
    assert chunk_set.replace_doubted(WRONG, confirms=True) == set()
    assert not chunk_set.doubted
