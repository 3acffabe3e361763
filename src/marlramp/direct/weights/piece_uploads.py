"""Sends fragments of pieces to other agents at the paced rate."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp.core import manifest
from marlramp.core import pacing
from marlramp.protocol import fleet_messages

FRAGMENT_BYTES = 4_096
"""8.6 ms of a link of 3.8 Mbit/s."""

UPLOADS_MAX = 64
"""Fragments waiting to be sent; beyond that a neighbour asks elsewhere."""

TRANSFER_IDLE_MS = 400.0
"""A receiver that asks for nothing more this long has given a piece up."""


class _Transfer(msgspec.Struct):
    """A piece on its way to one agent.

    Attributes:
      requests: fragments asked for and not sent yet.
      asked_ms: when the last of them was asked for.
    """

    requests: collections.deque[fleet_messages.FragmentRequest]
    asked_ms: float


_Key: TypeAlias = tuple[str, str, int]
"""Receiver, name of the version, index of the piece."""


class PieceUploads:
    """Pieces that other processes ask for, fragment by fragment.

    The piece that was begun first goes first, since it can be passed on as
    soon as it is whole: sixteen that share a link would all be whole only when
    the last one is.
    """

    def __init__(
        self,
        wholes: Mapping[str, manifest.ChunkSet],
        send: Callable[[str, msgspec.Struct], bool],
        bytes_per_s: float,
        time: clock.Clock,
    ) -> None:
        """Sends from `wholes`, by name of the version, through `send`."""
        self._wholes = wholes
        self._send = send
        self._pacer = pacing.Pacer(bytes_per_s)
        self._clock = time
        self._transfers: dict[_Key, _Transfer] = {}
        self._ready = asyncio.Event()

    def request(
        self, name: str, request: fleet_messages.FragmentRequest
    ) -> None:
        """Queues a fragment, or refuses what can't be sent soon."""
        transfer = self._transfer(name, request)
        if transfer is None:
            self._send(name, _reply(request, None))
            return
        transfer.requests.append(request)
        transfer.asked_ms = self._clock.now_ms()
        self._ready.set()

    async def run(self) -> None:
        """Sends for ever."""
        while True:
            key = self._next_key()
            if key is None:
                self._ready.clear()
                await self._ready.wait()
                continue
            request = self._transfers[key].requests.popleft()
            data = self._fragment(request)
            size = 0 if data is None else len(data)
            wait_ms = self._pacer.reserve(size, self._clock.now_ms())
            await asyncio.sleep(wait_ms / clock.MILLIS_PER_SECOND)
            self._send(key[0], _reply(request, data))
            if data is None or self._is_last(request):
                self._transfers.pop(key, None)

    def _transfer(
        self, name: str, request: fleet_messages.FragmentRequest
    ) -> _Transfer | None:
        """Returns the transfer of a piece, None if it can't go on soon."""
        key = (name, request.manifest, request.index)
        transfer = self._transfers.get(key)
        if transfer is not None:
            return transfer
        if self._fragment(request) is None:
            return None
        self._drop_idle()
        queued = sum(len(t.requests) for t in self._transfers.values())
        if queued >= UPLOADS_MAX:
            return None
        transfer = _Transfer(collections.deque(), self._clock.now_ms())
        self._transfers[key] = transfer
        return transfer

    def _drop_idle(self) -> None:
        """Forgets pieces that their receivers have given up."""
        horizon_ms = self._clock.now_ms() - TRANSFER_IDLE_MS
        for key, transfer in list(self._transfers.items()):
            if not transfer.requests and transfer.asked_ms < horizon_ms:
                del self._transfers[key]

    def _next_key(self) -> _Key | None:
        """Returns the piece begun first of those that something is due of."""
        for key, transfer in self._transfers.items():
            if transfer.requests:
                return key
        return None

    def _is_last(self, request: fleet_messages.FragmentRequest) -> bool:
        whole = self._wholes.get(request.manifest)
        if whole is None:
            return True
        size = whole.manifest.chunk_size(request.index)
        return request.offset + FRAGMENT_BYTES >= size

    def _fragment(
        self, request: fleet_messages.FragmentRequest
    ) -> bytes | None:
        whole = self._wholes.get(request.manifest)
        data = None if whole is None else whole.get(request.index)
        if data is None:
            return None
        return data[request.offset : request.offset + FRAGMENT_BYTES]


def _reply(
    request: fleet_messages.FragmentRequest, data: bytes | None
) -> fleet_messages.FragmentReply:
    return fleet_messages.FragmentReply(
        manifest=request.manifest,
        index=request.index,
        offset=request.offset,
        data=data,
    )
