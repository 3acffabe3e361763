"""What a faulty process sends about weights is kept with a bound."""

from __future__ import annotations

import asyncio

from marlramp.core.weights import manifest
from marlramp.direct.weights import piece_uploads
from tests.direct.weights import test_piece_uploads

chunk_set = test_piece_uploads.chunk_set


def test_requests_for_one_piece_are_bounded(
    chunk_set: manifest.ChunkSet,
) -> None:
    request = test_piece_uploads.request(0, 0)
    sent = asyncio.run(
        test_piece_uploads.serve(chunk_set, [("vm-1", request)] * 500)
    )
    assert len(sent.replies) <= piece_uploads.UPLOADS_MAX
