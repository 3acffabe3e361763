"""Sends chunks to neighbours one at a time, at a paced rate."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core.weights import manifest
from marlramp.core.weights import pacing
from marlramp.protocol import messages

QUEUED_MAX = 16
"""Most requests queued at once. A neighbour whose request is refused requests
the chunk from another agent."""


class _Upload(msgspec.Struct, frozen=True):
    peer_id: ids.VmId
    manifest: ids.Digest
    index: int


class Uploads:
    """Queue of the chunks that neighbours requested.

    Attributes:
      pacer: limits the rate of uploads.
      sent_bytes: bytes of chunks sent so far.
    """

    def __init__(
        self,
        chunk_set_of: Callable[[ids.Digest], manifest.ChunkSet | None],
        send: Callable[[ids.VmId, messages.FromPeer], bool],
        time: clock.Clock,
        bytes_per_s: float,
    ) -> None:
        """Reads chunks through `chunk_set_of` and sends them through `send`."""
        self._chunk_set_of = chunk_set_of
        self._send = send
        self._clock = time
        self._queue: collections.deque[_Upload] = collections.deque()
        self._ready = asyncio.Event()
        self.pacer = pacing.Pacer(bytes_per_s)
        self.sent_bytes = 0

    def request(
        self, peer_id: ids.VmId, request: messages.ChunkRequest
    ) -> None:
        """Queues a chunk.

        Refuses the request at once if the chunk is not held or the queue is
        full.
        """
        digest = ids.Digest(request.manifest)
        held = self._chunk(digest, request.index) is not None
        if held and len(self._queue) < QUEUED_MAX:
            self._queue.append(_Upload(peer_id, digest, request.index))
            self._ready.set()
            return
        refusal = messages.ChunkReply(
            manifest=digest, index=request.index, data=None
        )
        self._send(peer_id, refusal)

    def cancel(self, peer_id: ids.VmId, cancel: messages.ChunkCancel) -> None:
        """Removes a request that its neighbour withdrew."""
        upload = _Upload(peer_id, ids.Digest(cancel.manifest), cancel.index)
        if upload in self._queue:
            self._queue.remove(upload)

    async def run(self) -> None:
        """Sends queued chunks until cancelled."""
        while True:
            while not self._queue:
                self._ready.clear()
                await self._ready.wait()
            await self._send_one(self._queue.popleft())

    async def _send_one(self, upload: _Upload) -> None:
        data = self._chunk(upload.manifest, upload.index)
        if data is None:
            return
        wait_ms = self.pacer.reserve(len(data), self._clock.now_ms())
        await asyncio.sleep(wait_ms / clock.MILLIS_PER_SECOND)
        reply = messages.ChunkReply(
            manifest=upload.manifest, index=upload.index, data=data
        )
        if self._send(upload.peer_id, reply):
            self.sent_bytes += len(data)

    def _chunk(self, digest: ids.Digest, index: int) -> bytes | None:
        chunk_set = self._chunk_set_of(digest)
        return None if chunk_set is None else chunk_set.get(index)
