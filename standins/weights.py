"""Stand-in for the weight origin and the rate-limited weight store.

Weights are generated from a seed, so any process can compute them. PUT /weights
adds a version and returns the digest of its manifest. Faults: `down`, `corrupt`
(fraction of responses), `stall` (responds only after an hour).
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from starlette import requests
from starlette import responses
from starlette import routing

from marlramp import clock
from marlramp.core.grant_calls import limits
from marlramp.core.weights import manifest
from marlramp.core.weights import pacing
from standins import serving

PIECE_BYTES = 16 * 1024


def make_weights(seed: int, total_bytes: int) -> bytes:
    """Returns pseudo-random weights that depend only on the arguments."""
    return random.Random(seed).randbytes(total_bytes)


class Weights:
    """State of the stand-in."""

    def __init__(self, bytes_per_s: float, requests_per_s: float) -> None:
        """Initializes a store without versions."""
        self.clock = clock.SystemClock()
        self.pacer = pacing.Pacer(bytes_per_s)
        self.bucket = limits.TokenBucket(
            requests_per_s, requests_per_s, self.clock.now_ms()
        )
        self.manifests: dict[str, bytes] = {}
        self.chunks: dict[str, bytes] = {}
        self.faults: dict[str, Any] = {}
        self.sent_bytes = 0
        self.requests = 0
        self.refused = 0
        self.by_chunk: dict[str, int] = {}

    async def put_weights(
        self, request: requests.Request
    ) -> responses.Response:
        """Adds a version.

        With `base_seed`, the leading fraction `common` of the content equals
        that of the weights generated from it.
        """
        body = await request.json()
        data = make_weights(body["seed"], body["total_bytes"])
        if "base_seed" in body:
            common = int(body["total_bytes"] * body["common"])
            base = make_weights(body["base_seed"], body["total_bytes"])
            data = base[:common] + data[common:]
        size = body["chunk_bytes"]
        built = manifest.build(body["model"], body["version"], data, size)
        encoded = manifest.encode(built)
        digest = manifest.digest_of(encoded)
        self.manifests[digest] = encoded
        for index, chunk in enumerate(built.chunks):
            self.chunks[chunk] = data[index * size : (index + 1) * size]
        return responses.JSONResponse(
            {"manifest": digest, "whole": built.whole}
        )

    async def put_faults(self, request: requests.Request) -> responses.Response:
        """Replaces the injected faults."""
        self.faults = await request.json()
        return responses.JSONResponse({})

    async def read_stats(self, request: requests.Request) -> responses.Response:
        """Reports transfer counters."""
        return responses.JSONResponse(
            {
                "sent_bytes": self.sent_bytes,
                "requests": self.requests,
                "refused": self.refused,
                "repeated": sum(n - 1 for n in self.by_chunk.values()),
            }
        )

    async def read_manifest(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns a manifest by digest."""
        return await self._send(
            self.manifests.get(request.path_params["digest"])
        )

    async def read_chunk(self, request: requests.Request) -> responses.Response:
        """Returns a chunk by digest, at the paced rate."""
        digest = request.path_params["digest"]
        self.by_chunk[digest] = self.by_chunk.get(digest, 0) + 1
        return await self._send(self.chunks.get(digest))

    async def _send(self, data: bytes | None) -> responses.Response:
        if self.faults.get("down"):
            return responses.Response(status_code=503)
        if self.faults.get("stall"):
            await asyncio.sleep(3600)
        wait_ms = self.bucket.try_consume(1.0, self.clock.now_ms())
        if wait_ms > 0:
            self.refused += 1
            headers = {"retry-after": f"{wait_ms / 1000:.3f}"}
            return responses.Response(status_code=429, headers=headers)
        self.requests += 1
        if data is None:
            return responses.Response(status_code=404)
        for start in range(0, len(data), PIECE_BYTES):
            size = min(PIECE_BYTES, len(data) - start)
            piece_ms = self.pacer.reserve(size, self.clock.now_ms())
            await asyncio.sleep(piece_ms / 1000)
        self.sent_bytes += len(data)
        if random.random() < self.faults.get("corrupt", 0.0):
            data = bytes([data[0] ^ 1]) + data[1:]
        return responses.Response(data)


def main() -> None:
    """Runs the stand-in."""
    parser = serving.parser(__doc__)
    parser.add_argument("--bytes-per-s", type=float, default=1e9)
    parser.add_argument("--requests-per-s", type=float, default=1e6)
    arguments = parser.parse_args()
    state = Weights(arguments.bytes_per_s, arguments.requests_per_s)
    serving.serve(
        [
            routing.Route("/v1/manifests/{digest}", state.read_manifest),
            routing.Route("/v1/chunks/{digest}", state.read_chunk),
            routing.Route("/weights", state.put_weights, methods=["PUT"]),
            routing.Route("/faults", state.put_faults, methods=["PUT"]),
            routing.Route("/stats", state.read_stats),
        ],
        arguments.port,
    )


if __name__ == "__main__":
    main()
