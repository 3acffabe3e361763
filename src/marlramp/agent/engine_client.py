"""Client of the model engine or plain service on this VM."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

import msgspec

from marlramp import decoding
from marlramp import ids
from marlramp.core.grant_calls import guard
from marlramp.core.weights import manifest
from marlramp.shell import http

READ_TIMEOUT_MS = 1_000.0
STATE_TIMEOUT_MS = 1_500.0
"""Longer than an engine may be silent before its grants are voided."""

STAGE_TIMEOUT_MS = 30_000.0
STAGE_PIECE_BYTES = 16 * 1024 * 1024
"""Least size of a staged piece, except for the last one."""

ORDER_TIMEOUT_MS = 120_000.0
_OK = 200
_CONFLICT = 409


class EngineError(Exception):
    """A call to the engine failed."""


class FencingRefusedError(EngineError):
    """The engine has accepted an order with a higher fencing number."""


class LoadReport(msgspec.Struct, frozen=True):
    """Load of an engine as it reported it; the figures lag behind.

    Attributes:
      running: requests in the batch.
      waiting: requests queued in the engine.
      prefixes: digests of cached prompt prefixes.
    """

    running: int
    waiting: int
    prefixes: list[str] = []


class Engine(Protocol):
    """Orders to one engine and reports from it.

    Each kind of engine has an implementation in a module of its own.
    """

    async def state(self) -> guard.EngineState:
        """Returns the versions that the engine holds and the one it serves."""
        ...

    async def load_report(self) -> LoadReport:
        """Returns the load that the engine reports."""
        ...

    async def stage(
        self, version: ids.VersionId, chunk_set: manifest.ChunkSet
    ) -> None:
        """Uploads verified weights to the engine, which does not load them."""
        ...

    async def load(self, version: ids.VersionId, fencing: int) -> None:
        """Orders the engine to load staged weights.

        Raises:
          FencingRefusedError: if the engine has accepted an order with a higher
            fencing number.
          EngineError: if the call fails otherwise.
        """
        ...

    async def serve(self, version: ids.VersionId, fencing: int) -> None:
        """Orders the engine to serve a loaded version.

        Raises:
          FencingRefusedError: if the engine has accepted an order with a higher
            fencing number.
          EngineError: if the call fails otherwise.
        """
        ...


def _pieces(chunk_set: manifest.ChunkSet) -> Iterator[bytes]:
    """Yields the weights in pieces of several chunks, for fewer calls."""
    piece = bytearray()
    for index in range(len(chunk_set.manifest.chunks)):
        data = chunk_set.get(index)
        if data is None:
            raise EngineError(f"chunk {index} is missing")
        piece += data
        if len(piece) >= STAGE_PIECE_BYTES:
            yield bytes(piece)
            piece.clear()
    if piece:
        yield bytes(piece)


class HttpEngine:
    """Engine with an HTTP interface; a failed call raises `EngineError`."""

    def __init__(self, client: http.HttpClient, url: str) -> None:
        """Creates a client of the engine at `url`."""
        self._client = client
        self._url = url.rstrip("/")

    async def state(self) -> guard.EngineState:
        """Returns the versions that the engine holds and the one it serves."""
        reply = await self._call("GET", "/admin/state", b"", STATE_TIMEOUT_MS)
        try:
            return msgspec.json.decode(reply.body, type=guard.EngineState)
        except decoding.MALFORMED as error:
            raise EngineError(f"malformed state: {error}") from error

    async def load_report(self) -> LoadReport:
        """Returns the load that the engine reports."""
        reply = await self._call(
            "GET", "/admin/load-report", b"", READ_TIMEOUT_MS
        )
        try:
            return msgspec.json.decode(reply.body, type=LoadReport)
        except decoding.MALFORMED as error:
            raise EngineError(f"malformed load report: {error}") from error

    async def stage(
        self, version: ids.VersionId, chunk_set: manifest.ChunkSet
    ) -> None:
        """Uploads verified weights to the engine, which does not load them."""
        for number, piece in enumerate(_pieces(chunk_set)):
            path = f"/admin/weights/{version}/{number}"
            await self._call("PUT", path, piece, STAGE_TIMEOUT_MS)

    async def load(self, version: ids.VersionId, fencing: int) -> None:
        """Orders the engine to load staged weights.

        Raises:
          FencingRefusedError: if the engine has accepted an order with a higher
            fencing number.
          EngineError: if the call fails otherwise.
        """
        await self._order("/admin/load", version, fencing)

    async def serve(self, version: ids.VersionId, fencing: int) -> None:
        """Orders the engine to serve a loaded version.

        Raises:
          FencingRefusedError: if the engine has accepted an order with a higher
            fencing number.
          EngineError: if the call fails otherwise.
        """
        await self._order("/admin/serve", version, fencing)

    async def _order(
        self, path: str, version: ids.VersionId, fencing: int
    ) -> None:
        body = msgspec.json.encode({"version": version, "fencing": fencing})
        await self._call("POST", path, body, ORDER_TIMEOUT_MS)

    async def _call(
        self, method: str, path: str, body: bytes, timeout_ms: float
    ) -> http.Reply:
        try:
            reply = await self._client.request(
                method, self._url + path, body=body, timeout_ms=timeout_ms
            )
        except http.HttpError as error:
            raise EngineError(str(error)) from error
        if reply.status == _CONFLICT:
            raise FencingRefusedError(path)
        if reply.status != _OK:
            raise EngineError(f"{path}: status {reply.status}")
        return reply
