"""Sends fragments of pieces to other agents at the paced rate."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Mapping

import msgspec

from marlramp import clock
from marlramp.core import manifest
from marlramp.core import pacing
from marlramp.protocol import fleet_messages

FRAGMENT_BYTES = 4_096
"""8.6 ms of a link of 3.8 Mbit/s."""

UPLOADS_MAX = 64
"""Fragments waiting to be sent; beyond that a neighbour asks elsewhere."""


class _Upload(msgspec.Struct, frozen=True):
    peer: str
    request: fleet_messages.FragmentRequest


class PieceUploads:
    """Queue of fragments that other agents asked for."""

    def __init__(
        self,
        wholes: Mapping[str, manifest.Whole],
        send: Callable[[str, msgspec.Struct], bool],
        bytes_per_s: float,
        time: clock.Clock,
    ) -> None:
        """Sends from `wholes`, by name of the version, through `send`."""
        self._wholes = wholes
        self._send = send
        self._pacer = pacing.Pacer(bytes_per_s)
        self._clock = time
        self._uploads: collections.deque[_Upload] = collections.deque()
        self._upload_ready = asyncio.Event()

    def request(
        self, name: str, request: fleet_messages.FragmentRequest
    ) -> None:
        """Queues a fragment, or refuses what can't be sent soon."""
        held = self._fragment(request) is not None
        if held and len(self._uploads) < UPLOADS_MAX:
            self._uploads.append(_Upload(name, request))
            self._upload_ready.set()
            return
        self._send(name, _reply(request, None))

    async def run(self) -> None:
        """Sends for ever."""
        while True:
            while not self._uploads:
                self._upload_ready.clear()
                await self._upload_ready.wait()
            upload = self._uploads.popleft()
            data = self._fragment(upload.request)
            size = 0 if data is None else len(data)
            wait_ms = self._pacer.reserve(size, self._clock.now_ms())
            await asyncio.sleep(wait_ms / clock.MILLIS_PER_SECOND)
            self._send(upload.peer, _reply(upload.request, data))

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
