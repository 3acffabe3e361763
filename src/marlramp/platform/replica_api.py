"""Calls to the replica on this VM and to the origin of weights."""

from __future__ import annotations

from typing import TypeVar
import urllib.parse

import msgspec

from marlramp import decoding
from marlramp.core.configuration import fleet
from marlramp.core.replicas import engine_state
from marlramp.core.weights import manifest
from marlramp.platform import calls
from marlramp.platform import clients
from marlramp.platform import documents
from marlramp.platform import headers
from marlramp.settings import node
from marlramp.shell import http1_call

Value = TypeVar("Value")

REPORT_TIMEOUT_MS = 500.0
STAGE_TIMEOUT_MS = 1_000.0
ORDER_TIMEOUT_MS = 1_000.0
MANIFEST_TIMEOUT_MS = 1_500.0
PIECE_TIMEOUT_MS = 2_500.0
"""A piece takes 70 ms on the link of an agent's VM. At the origin it may queue
behind the pieces for all other VMs."""

MANIFEST_BYTES_MAX = 8_388_608
"""Largest manifest: `manifest.CHUNKS_MAX` digests of 64 digits take 4.4 MB."""

_NOT_FOUND = 404
_FIRST_VERSION = fleet.FIRST_VERSION


class _Report(msgspec.Struct):
    busy: bool = False
    # Orders accepted since the start of the replica.
    call_seq: int = 0
    # Start of the replica in Unix milliseconds, which some platforms omit.
    born: int | msgspec.UnsetType = msgspec.UNSET
    queued: int = 0
    active: int = 0
    pace: float = 1.0
    model_list: list[documents.HeldModel] = []
    layers: documents.HeldLayers | None = None


class _StagedPieces(msgspec.Struct):
    # Indexes of staged pieces.
    held: list[int] = []


class _Manifest(msgspec.Struct):
    version: int
    block_bytes: int
    hashes: list[str]


class _Order(msgspec.Struct):
    operation: str
    model_name: str
    version: int
    # "queue" finishes running requests before the load, "truncate" aborts them.
    swap_mode: str
    # Number of orders accepted so far; the replica refuses any other number.
    expect: int
    # Layers to load, from `source` up to, excluding, `target`; all if unset.
    source: int | msgspec.UnsetType = msgspec.UNSET
    target: int | msgspec.UnsetType = msgspec.UNSET


class ReplicaApi:
    """Client of the replica on this VM."""

    def __init__(
        self, caller: http1_call.HttpCaller, address: node.Address
    ) -> None:
        """Uses the replica at `address`."""
        self._calls = calls.PlatformCalls(caller)
        self._url = f"http://{address}"
        self._report_decoder = msgspec.json.Decoder(_Report)
        self._staged_decoder = msgspec.json.Decoder(_StagedPieces)

    async def report(
        self, layers: int | None = None
    ) -> engine_state.EngineReport:
        """Returns the replica's state.

        Args:
          layers: number of layers of the model, None if it is unknown.

        Raises:
          PlatformError: if there is no usable answer.
        """
        answer = await self._calls.make_whole(
            "GET", f"{self._url}/v1/report", REPORT_TIMEOUT_MS
        )
        raw = _decode(self._report_decoder, answer.body)
        held = documents.held_weights(raw.layers, raw.model_list) or 0
        is_whole = documents.is_whole(raw.layers, layers)
        return engine_state.EngineReport(
            weights=held if is_whole else 0,
            partial_weights=0 if is_whole else held,
            running=raw.active,
            waiting=raw.queued,
            pace=raw.pace,
            busy=raw.busy,
            order_number=raw.call_seq,
            born_ms=None if raw.born is msgspec.UNSET else raw.born,
            leaving=headers.says_leaving(answer.head),
        )

    async def staged(self, model: str) -> list[int]:
        """Returns the indexes of the staged pieces."""
        body = await self._calls.make(
            "GET",
            f"{self._url}/v1/stage-get/{model}",
            STAGE_TIMEOUT_MS,
        )
        return _decode(self._staged_decoder, body).held

    async def read_staged(
        self, model: str, index: int, bytes_max: int
    ) -> bytes:
        """Returns a staged piece, not verified.

        Returns:
          The piece, empty if it is missing or larger than `bytes_max`.
        """
        url = f"{self._url}/v1/stage-get/{model}?index={index}"
        try:
            return await self._calls.make(
                "GET", url, STAGE_TIMEOUT_MS, answer_bytes_max=bytes_max
            )
        except clients.AnswerTooLargeError:
            return b""
        except calls.StatusError as error:
            if error.status == _NOT_FOUND:
                return b""
            raise

    async def stage(self, model: str, index: int, data: bytes) -> None:
        """Stages a piece; replaces a staged piece of the same index."""
        url = f"{self._url}/v1/stage-put/{model}?index={index}"
        await self._calls.make("PUT", url, STAGE_TIMEOUT_MS, data)

    async def load(
        self, model: str, version: int, order_number: int, *, cut: bool
    ) -> None:
        """Orders the replica to load the staged weights.

        Args:
          model: the model.
          version: the version that is staged.
          order_number: number of orders that the replica had accepted when this
            one was decided; a replica that has restarted since refuses it.
          cut: whether running requests are aborted instead of finished.

        Raises:
          OrderRefusedError: if the replica refused the order.
          PlatformError: if there was no answer: the replica may have accepted
            the order, or accept it later.
        """
        mode = "truncate" if cut else "queue"
        await self._order(_Order("start", model, version, mode, order_number))

    async def unload(self, model: str, version: int, order_number: int) -> None:
        """Orders the replica to drop the weights that it holds.

        The platform has no such order, and does nothing if the version that an
        order names is in effect. One layer of another version replaces all
        layers that are held; a replica with one layer runs no requests.

        Args:
          model: the model.
          version: the version that is held.
          order_number: as in `load`.

        Raises:
          OrderRefusedError: if the replica refused the order.
          PlatformError: if there was no answer: the replica may have accepted
            the order, or accept it later.
        """
        # Versions only increase: the previous one is never loaded again, so
        # that this layer is not kept by a later load.
        other = version - 1 if version > _FIRST_VERSION else version + 1
        await self._order(
            _Order("start", model, other, "truncate", order_number, 0, 1)
        )

    async def _order(self, order: _Order) -> None:
        try:
            await self._calls.make(
                "POST",
                f"{self._url}/v1/order",
                ORDER_TIMEOUT_MS,
                msgspec.json.encode(order),
            )
        except calls.StatusError as error:
            raise clients.OrderRefusedError(
                str(error), error.asked_ms
            ) from error


class OriginApi:
    """Client of the origin of weights."""

    def __init__(self, caller: http1_call.HttpCaller, address: str) -> None:
        """Uses the origin at "host:port"."""
        # The origin accepts few connections. Idle ones, including those of VMs
        # that have lost power, would block the calls of all other agents.
        self._calls = calls.PlatformCalls(caller, keeps=False)
        self._url = f"http://{address}"
        self._manifest_decoder = msgspec.json.Decoder(_Manifest)

    async def manifest(self, model: str, version: int) -> manifest.Manifest:
        """Returns the digests of a version's pieces.

        Raises:
          PlatformError: if the origin gives no usable answer.
        """
        query = urllib.parse.urlencode({"version": version})
        url = f"{self._url}/v1/manifest/{model}?{query}"
        body = await self._calls.make(
            "GET",
            url,
            MANIFEST_TIMEOUT_MS,
            answer_bytes_max=MANIFEST_BYTES_MAX,
        )
        raw = _decode(self._manifest_decoder, body)
        if raw.version != version:
            raise clients.PlatformError(
                f"the origin returned version {raw.version}"
            )
        return manifest.Manifest(
            model=model,
            version=str(version),
            chunk_bytes=raw.block_bytes,
            total_bytes=raw.block_bytes * len(raw.hashes),
            chunks=raw.hashes,
            whole="",
        )

    async def piece(
        self, model: str, version: int, index: int, bytes_max: int
    ) -> bytes:
        """Returns a piece of at most `bytes_max`, not verified."""
        query = urllib.parse.urlencode({"index": index, "version": version})
        url = f"{self._url}/v1/piece/{model}?{query}"
        return await self._calls.make(
            "GET", url, PIECE_TIMEOUT_MS, answer_bytes_max=bytes_max
        )


def _decode(decoder: msgspec.json.Decoder[Value], body: bytes) -> Value:
    try:
        return decoder.decode(body)
    except decoding.MALFORMED as error:
        raise clients.PlatformError(f"malformed answer: {error}") from error
