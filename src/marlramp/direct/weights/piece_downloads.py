"""Pieces on their way from other agents, asked for fragment by fragment."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from marlramp import clock
from marlramp.core import pacing
from marlramp.direct.weights import piece_uploads
from marlramp.protocol import fleet_messages

_MS = clock.MILLIS_PER_SECOND


class Version(msgspec.Struct, frozen=True):
    """The version that is fetched.

    Attributes:
      name: name of its manifest.
      piece_bytes: gives the size of the piece at an index.
    """

    name: str
    piece_bytes: Callable[[int], int]


class _Download(msgspec.Struct):
    """A piece on its way.

    Attributes:
      peer: who sends it.
      data: what has come.
    """

    peer: str
    data: bytearray


class PieceDownloads:
    """Asks for fragments at the paced rate and joins them to pieces."""

    def __init__(
        self,
        send: Callable[[str, msgspec.Struct], bool],
        bytes_per_s: float,
        time: clock.Clock,
    ) -> None:
        """Asks through `send`, for no more than `bytes_per_s`."""
        self._send = send
        self._pacer = pacing.Pacer(bytes_per_s)
        self._clock = time
        self._version: Version | None = None
        self._downloads: dict[int, _Download] = {}

    def fetch(self, version: Version) -> None:
        """Turns to a version; pieces of another are dropped."""
        self._version = version
        self._downloads.clear()

    def start(self, index: int, peer: str) -> None:
        """Starts to fetch a piece from an agent."""
        self._downloads[index] = _Download(peer, bytearray())
        self._request_fragment(index)

    def cancel(self, index: int) -> None:
        """Stops fetching a piece."""
        self._downloads.pop(index, None)

    def drop_peer(self, peer: str) -> None:
        """Stops fetching from an agent."""
        for index, download in list(self._downloads.items()):
            if download.peer == peer:
                del self._downloads[index]

    def awaits(self, name: str, reply: fleet_messages.FragmentReply) -> bool:
        """Returns whether a fragment belongs to a piece under way."""
        download = self._downloads.get(reply.index)
        return (
            download is not None
            and download.peer == name
            and self._version is not None
            and self._version.name == reply.manifest
        )

    def take(self, reply: fleet_messages.FragmentReply) -> bytes | None:
        """Takes a fragment that is awaited; returns the piece it completes."""
        download = self._downloads[reply.index]
        if reply.data is None or reply.offset != len(download.data):
            return None
        download.data += reply.data
        if len(download.data) < self._piece_bytes(reply.index):
            self._request_fragment(reply.index)
            return None
        del self._downloads[reply.index]
        return bytes(download.data)

    def _piece_bytes(self, index: int) -> int:
        return 0 if self._version is None else self._version.piece_bytes(index)

    def _request_fragment(self, index: int) -> None:
        """Asks for the next fragment when the link has room for it."""
        wait_ms = self._pacer.reserve(
            piece_uploads.FRAGMENT_BYTES, self._clock.now_ms()
        )
        asyncio.get_running_loop().call_later(
            wait_ms / _MS, self._send_request, index
        )

    def _send_request(self, index: int) -> None:
        download = self._downloads.get(index)
        if download is None or self._version is None:
            return
        request = fleet_messages.FragmentRequest(
            manifest=self._version.name,
            index=index,
            offset=len(download.data),
        )
        self._send(download.peer, request)
