from __future__ import annotations

import asyncio

import msgspec
import pytest

from marlramp import clock
from marlramp.direct.weights import piece_downloads
from marlramp.direct.weights import piece_uploads
from marlramp.protocol import fleet_messages

PIECE = bytes(range(256)) * 32
"""A piece of two fragments."""


class RecordedRequests:
    """Records the requests."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, fleet_messages.FragmentRequest]] = []

    def send(self, name: str, message: msgspec.Struct) -> bool:
        assert isinstance(message, fleet_messages.FragmentRequest)
        self.requests.append((name, message))
        return True


def fragment(offset: int) -> fleet_messages.FragmentReply:
    end = offset + piece_uploads.FRAGMENT_BYTES
    return fleet_messages.FragmentReply(
        manifest="m@2", index=3, offset=offset, data=PIECE[offset:end]
    )


@pytest.fixture
def recorded() -> RecordedRequests:
    return RecordedRequests()


async def started(recorded: RecordedRequests) -> piece_downloads.PieceDownloads:
    downloads = piece_downloads.PieceDownloads(
        recorded.send, 1e9, clock.SystemClock()
    )
    version = piece_downloads.Version("m@2", lambda _: len(PIECE))
    downloads.set_version(version)
    downloads.start(3, "vm-1")
    await asyncio.sleep(0.02)
    return downloads


def test_fragments_are_joined_in_order(recorded: RecordedRequests) -> None:
    async def main() -> None:
        downloads = await started(recorded)
        second = piece_uploads.FRAGMENT_BYTES
        assert downloads.add_fragment(fragment(0)) is None
        # A duplicate fragment is not added again.
        assert downloads.add_fragment(fragment(0)) is None
        assert downloads.add_fragment(fragment(second)) == PIECE
        assert [r.offset for _, r in recorded.requests] == [0]
        assert not downloads.expects("vm-1", fragment(second))

    asyncio.run(main())


def test_fragments_of_others_are_not_expected(
    recorded: RecordedRequests,
) -> None:
    async def main() -> None:
        downloads = await started(recorded)
        assert downloads.expects("vm-1", fragment(0))
        assert not downloads.expects("vm-2", fragment(0))
        other = msgspec.structs.replace(fragment(0), manifest="m@1")
        assert not downloads.expects("vm-1", other)
        downloads.drop_peer("vm-1")
        assert not downloads.expects("vm-1", fragment(0))

    asyncio.run(main())
