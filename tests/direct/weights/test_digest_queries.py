"""Where entries query the digests of a version."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest

from marlramp import clock
from marlramp.core.weights import manifest
from marlramp.direct.weights import version_digests
from marlramp.platform import clients
from marlramp.protocol import messages

ENTRIES = 42
REGIONS = 3
WANTED = version_digests.ModelVersion("m", 2)
FOUND = manifest.Manifest(
    model="m",
    version="2",
    chunk_bytes=1,
    total_bytes=1,
    chunks=["a" * 64],
    whole="",
)


class Origin:
    """An origin that answers after some time."""

    async def manifest(self, model: str, version: int) -> manifest.Manifest:
        await asyncio.sleep(0.02)
        return FOUND

    async def piece(
        self, model: str, version: int, index: int, bytes_max: int
    ) -> bytes:
        raise clients.PlatformError("the test requests no pieces")


def region_of(name: str) -> int:
    return int(name.removeprefix("entry-")) % REGIONS


def test_digests_cross_into_a_region_a_few_times() -> None:
    # Each entry queried two entries of the whole fleet: 56 of 84 replies of
    # 6 kB crossed regions.
    names = [f"entry-{number}" for number in range(ENTRIES)]
    all_digests: dict[str, version_digests.VersionDigests] = {}
    crossings = 0

    def make(own: str) -> version_digests.VersionDigests:
        def send(name: str, message: msgspec.Struct) -> bool:
            nonlocal crossings
            digests = all_digests[name]
            if isinstance(message, messages.ManifestRequest):
                digests.on_request(own, message)
            elif isinstance(message, messages.ManifestReply):
                crossings += region_of(own) != region_of(name)
                digests.on_reply(message)
            return True

        return version_digests.VersionDigests(
            own,
            lambda: [name for name in names if name != own],
            send,
            clock.SystemClock(),
            random.Random(1),
            near=lambda name: region_of(name) == region_of(own),
        )

    async def main() -> None:
        for name in names:
            all_digests[name] = make(name)
            all_digests[name].origin = Origin()
        async with asyncio.timeout(2.0):
            await asyncio.gather(
                *[
                    each.find(WANTED, lambda: True)
                    for each in all_digests.values()
                ]
            )

    asyncio.run(main())
    queried = version_digests.FETCHERS_QUERIED
    assert crossings <= REGIONS * queried * queried


@pytest.mark.parametrize(
    "data",
    [
        b"\xff",
        b"{}",
        manifest.encode(msgspec.structs.replace(FOUND, version="two")),
        manifest.encode(msgspec.structs.replace(FOUND, version="3")),
        manifest.encode(msgspec.structs.replace(FOUND, chunk_bytes=0)),
        manifest.encode(msgspec.structs.replace(FOUND, chunks=[])),
    ],
)
def test_unusable_digests_of_another_process_are_dropped(data: bytes) -> None:
    """Guards against a reply whose bytes raise an error, or are kept."""

    async def main() -> None:
        digests = version_digests.VersionDigests(
            "own", list, lambda *_: True, clock.SystemClock()
        )
        seeking = asyncio.create_task(digests.find(WANTED, lambda: True))
        await asyncio.sleep(0)
        for reply in (data, manifest.encode(FOUND)):
            digests.on_reply(
                messages.ManifestReply(manifest=WANTED.name, data=reply)
            )
        async with asyncio.timeout(2.0):
            found = await seeking
        assert found is not None
        assert found.manifest == FOUND

    asyncio.run(main())
