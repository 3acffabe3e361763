"""Stand-in of the weight origin on the direct path."""

from __future__ import annotations

import hashlib

from standins import direct_documents
from standins import raw_http


def piece(version: int, index: int) -> bytes:
    """Returns the deterministic content of a piece."""
    seed = f"{version}:{index}".encode()
    return (hashlib.sha256(seed).digest() * direct_documents.PIECE_BYTES)[
        : direct_documents.PIECE_BYTES
    ]


def digest(data: bytes) -> str:
    """Returns the digest of `data` as used in the origin's manifest."""
    return hashlib.sha256(data).hexdigest()


class Origin:
    """Weight origin that counts the pieces it sent.

    Attributes:
      sent: number of pieces sent.
    """

    def __init__(self) -> None:
        """Initializes the counter."""
        self.sent = 0

    async def serve(self, peer: raw_http.Peer) -> None:
        """Serves manifests and pieces."""
        while (request := await peer.read()) is not None:
            path, query = request.path, request.query
            version = int(query["version"])
            if path.startswith("/v1/manifest/"):
                hashes = [
                    digest(piece(version, n))
                    for n in range(direct_documents.PIECES)
                ]
                await peer.answer_json(
                    request,
                    {
                        "model_name": direct_documents.MODEL,
                        "version": version,
                        "block_bytes": direct_documents.PIECE_BYTES,
                        "hashes": hashes,
                    },
                )
            else:
                self.sent += 1
                data = piece(version, int(query["index"]))
                await peer.answer(request, 200, data)
