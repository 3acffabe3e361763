"""Downloads pieces from other processes, one fragment at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from marlramp import clock
from marlramp.core.weights import pacing
from marlramp.direct.weights import piece_uploads
from marlramp.protocol import fleet_messages

_MS = clock.MILLIS_PER_SECOND


class Version(msgspec.Struct, frozen=True):
    """The version whose pieces are downloaded.

    Attributes:
      name: name of the manifest, as in `ModelVersion.name`.
      piece_bytes: function that returns the size of the piece at an index.
    """

    name: str
    piece_bytes: Callable[[int], int]


class _Download(msgspec.Struct):
    """A piece that is being downloaded.

    Attributes:
      peer: name of the process that sends it.
      data: the bytes received so far.
    """

    peer: str
    data: bytearray


class PieceDownloads:
    """Requests fragments at a limited rate and joins them to pieces."""

    def __init__(
        self,
        send: Callable[[str, msgspec.Struct], bool],
        bytes_per_s: float,
        time: clock.Clock,
    ) -> None:
        """Starts without a version.

        Args:
          send: sends a message to a process; returns whether a link took it.
          bytes_per_s: maximum rate at which fragments are requested.
          time: the clock.
        """
        self._send = send
        self._pacer = pacing.Pacer(bytes_per_s)
        self._clock = time
        self._version: Version | None = None
        self._downloads: dict[int, _Download] = {}

    def set_version(self, version: Version) -> None:
        """Sets the version to download and drops all downloads in progress."""
        self._version = version
        self._downloads.clear()

    def start(self, index: int, peer: str) -> None:
        """Starts to download a piece from a process."""
        self._downloads[index] = _Download(peer, bytearray())
        self._request_fragment(index)

    def cancel(self, index: int) -> None:
        """Cancels the download of a piece."""
        self._downloads.pop(index, None)

    def drop_peer(self, peer: str) -> None:
        """Cancels all downloads from a process."""
        for index, download in list(self._downloads.items()):
            if download.peer == peer:
                del self._downloads[index]

    def expects(self, name: str, reply: fleet_messages.FragmentReply) -> bool:
        """Returns whether a fragment belongs to a download in progress.

        Args:
          name: process that sent the fragment.
          reply: the fragment.
        """
        download = self._downloads.get(reply.index)
        return (
            download is not None
            and download.peer == name
            and self._version is not None
            and self._version.name == reply.manifest
        )

    def add_fragment(self, reply: fleet_messages.FragmentReply) -> bytes | None:
        """Adds an expected fragment and requests the next one.

        Returns:
          The piece if the fragment completes it, else None. A fragment at
          another offset than the next one is ignored.
        """
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
        """Requests the next fragment once the rate limit permits it."""
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
