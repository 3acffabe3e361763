"""Sends fragments of pieces to other processes at a limited rate."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp.core.weights import manifest
from marlramp.core.weights import pacing
from marlramp.protocol import fleet_messages

FRAGMENT_BYTES = 4_096
"""Maximum size of a fragment. A link of 3.8 Mbit/s carries one in 8.6 ms."""

UPLOADS_MAX = 64
"""Maximum number of queued fragments. Requests for further pieces are refused,
and the receiver requests them from another process."""

TRANSFER_REQUESTS_MAX = 64
"""Maximum number of queued fragments of one transfer; further requests are
dropped. Receivers request one fragment after the other."""

TRANSFER_IDLE_MS = 400.0
"""Time without a request after which the receiver is assumed to have given up
the piece."""


class _Transfer(msgspec.Struct):
    """The transfer of one piece to one receiver.

    Attributes:
      requests: fragments that were requested and not sent yet.
      last_request_ms: time of the last request.
    """

    requests: collections.deque[fleet_messages.FragmentRequest]
    last_request_ms: float


_Key: TypeAlias = tuple[str, str, int]
"""Name of the receiver, name of the version, index of the piece."""


class PieceUploads:
    """Queue of the fragments that other processes request.

    The transfer that started first is served first, because its receiver can
    pass the piece on as soon as it is complete. If sixteen transfers shared the
    link, all of them would complete only when the last one does.
    """

    def __init__(
        self,
        chunk_sets: Mapping[str, manifest.ChunkSet],
        send: Callable[[str, msgspec.Struct], bool],
        bytes_per_s: float,
        time: clock.Clock,
    ) -> None:
        """Starts with an empty queue.

        Args:
          chunk_sets: pieces held, by name of the version.
          send: sends a message to a process; returns whether a link took it.
          bytes_per_s: maximum rate at which data is sent.
          time: the clock.
        """
        self._chunk_sets = chunk_sets
        self._send = send
        self._pacer = pacing.Pacer(bytes_per_s)
        self._clock = time
        self._transfers: dict[_Key, _Transfer] = {}
        self._ready = asyncio.Event()

    def handle_request(
        self, name: str, request: fleet_messages.FragmentRequest
    ) -> None:
        """Queues a requested fragment, or refuses it.

        A request for a piece that is not held, or for a further piece while
        the queue is full, is refused with a reply without data.
        """
        transfer = self._transfer(name, request)
        if transfer is None:
            self._send(name, _reply(request, None))
            return
        if len(transfer.requests) >= TRANSFER_REQUESTS_MAX:
            return
        transfer.requests.append(request)
        transfer.last_request_ms = self._clock.now_ms()
        self._ready.set()

    async def run(self) -> None:
        """Sends queued fragments until cancelled."""
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
        """Returns the transfer of a piece, None if the request is refused."""
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
        """Removes the transfers that their receivers have given up."""
        horizon_ms = self._clock.now_ms() - TRANSFER_IDLE_MS
        for key, transfer in list(self._transfers.items()):
            if not transfer.requests and transfer.last_request_ms < horizon_ms:
                del self._transfers[key]

    def _next_key(self) -> _Key | None:
        """Returns the key of the oldest transfer that has queued fragments."""
        for key, transfer in self._transfers.items():
            if transfer.requests:
                return key
        return None

    def _is_last(self, request: fleet_messages.FragmentRequest) -> bool:
        chunk_set = self._chunk_sets.get(request.manifest)
        if chunk_set is None:
            return True
        size = chunk_set.manifest.chunk_size(request.index)
        return request.offset + FRAGMENT_BYTES >= size

    def _fragment(
        self, request: fleet_messages.FragmentRequest
    ) -> bytes | None:
        chunk_set = self._chunk_sets.get(request.manifest)
        data = None if chunk_set is None else chunk_set.get(request.index)
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
