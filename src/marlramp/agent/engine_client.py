"""Talks to the model engine or plain service on this VM."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

import msgspec

from marlramp import ids
from marlramp.core import guard
from marlramp.core import manifest
from marlramp.shell import http

READ_TIMEOUT_MS = 1_000.0
STAGE_TIMEOUT_MS = 30_000.0
STAGE_PIECE_BYTES = 16 * 1024 * 1024
ORDER_TIMEOUT_MS = 120_000.0
_OK = 200
_CONFLICT = 409


class EngineError(Exception):
    """The engine did not do what it was asked."""


class FencingRefusedError(EngineError):
    """The engine has taken an order with a higher fencing number."""


class LoadReport(msgspec.Struct, frozen=True):
    """Load as the engine reports it, with a lag.

    Attributes:
      running: requests in the batch.
      waiting: requests queued in the engine.
      prefixes: digests of cached prompt prefixes.
    """

    running: int
    waiting: int
    prefixes: list[str] = []


class Engine(Protocol):
    """Orders and reports of one engine; other kinds are other modules."""

    async def state(self) -> guard.EngineState:
        """Returns what the engine holds and serves."""
        ...

    async def load_report(self) -> LoadReport:
        """Returns the engine's load."""
        ...

    async def stage(
        self, version: ids.VersionId, whole: manifest.ChunkSet
    ) -> None:
        """Hands verified weights to the engine without loading them."""
        ...

    async def load(self, version: ids.VersionId, fencing: int) -> None:
        """Orders the engine to load staged weights."""
        ...

    async def serve(self, version: ids.VersionId, fencing: int) -> None:
        """Orders the engine to serve a loaded version."""
        ...


def _pieces(whole: manifest.ChunkSet) -> Iterator[bytes]:
    """Yields the weights in pieces of several chunks, to save calls."""
    piece = bytearray()
    for index in range(len(whole.manifest.chunks)):
        data = whole.get(index)
        if data is None:
            raise EngineError(f"chunk {index} is missing")
        piece += data
        if len(piece) >= STAGE_PIECE_BYTES:
            yield bytes(piece)
            piece.clear()
    if piece:
        yield bytes(piece)


class HttpEngine:
    """Engine over HTTP; every call raises `EngineError` when it fails."""

    def __init__(self, client: http.HttpClient, url: str) -> None:
        """Uses the engine at `url`."""
        self._client = client
        self._url = url.rstrip("/")

    async def state(self) -> guard.EngineState:
        """Returns what the engine holds and serves."""
        reply = await self._call("GET", "/admin/state", b"", READ_TIMEOUT_MS)
        try:
            return msgspec.json.decode(reply.body, type=guard.EngineState)
        except msgspec.DecodeError as error:
            raise EngineError(f"malformed state: {error}") from error

    async def load_report(self) -> LoadReport:
        """Returns the engine's load."""
        reply = await self._call(
            "GET", "/admin/load-report", b"", READ_TIMEOUT_MS
        )
        try:
            return msgspec.json.decode(reply.body, type=LoadReport)
        except msgspec.DecodeError as error:
            raise EngineError(f"malformed load report: {error}") from error

    async def stage(
        self, version: ids.VersionId, whole: manifest.ChunkSet
    ) -> None:
        """Hands verified weights to the engine without loading them."""
        for number, piece in enumerate(_pieces(whole)):
            path = f"/admin/weights/{version}/{number}"
            await self._call("PUT", path, piece, STAGE_TIMEOUT_MS)

    async def load(self, version: ids.VersionId, fencing: int) -> None:
        """Orders the engine to load staged weights."""
        await self._order("/admin/load", version, fencing)

    async def serve(self, version: ids.VersionId, fencing: int) -> None:
        """Orders the engine to serve a loaded version."""
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
