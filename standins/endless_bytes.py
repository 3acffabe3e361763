"""Answers of replicas whose bytes come without end."""

from __future__ import annotations

import asyncio
import enum
import zlib

from standins import raw_http

ENDLESS_S = 3.0
"""Time after which the stand-in closes the connection itself."""

_BLOCK_BYTES = 262_144


class Style(enum.Enum):
    """Which part of an answer has no end."""

    HEADER_VALUE = "header_value"
    HEADERS = "headers"
    BODY = "body"
    CHUNKS = "chunks"


class Endless:
    """Answers some requests of a replica with bytes without end.

    Attributes:
      periods: number of periods in progress in which it does so.
      sent_bytes: bytes that were written, in all.
    """

    def __init__(self) -> None:
        """Starts with a replica that ends its answers."""
        self.periods = 0
        self.sent_bytes = 0

    def takes(self, name: str) -> bool:
        """Returns whether a request gets such an answer: half of them do."""
        return self.periods > 0 and zlib.crc32(name.encode()) % 2 == 0

    async def write(
        self, peer: raw_http.Peer, name: str, headers: str = ""
    ) -> None:
        """Writes bytes until the connection is closed or time is up.

        Args:
          peer: the connection, which is reset at the end.
          name: id of the request, which determines the style.
          headers: further header lines, each ending in CRLF.
        """
        styles = list(Style)
        style = styles[zlib.crc32(name.encode()) // 2 % len(styles)]
        block = b"x" * _BLOCK_BYTES
        head = f"HTTP/1.1 200 OK\r\nx-attempt-id: {name}\r\n{headers}"
        if style is Style.HEADER_VALUE:
            head += "x-more: "
        elif style is Style.HEADERS:
            block = b"x-more: 1\r\n" * (_BLOCK_BYTES // 11)
        elif style is Style.BODY:
            head += f"content-length: {10**15}\r\n\r\n"
        else:
            head += "transfer-encoding: chunked\r\n\r\n"
            block = b"%x\r\n%s\r\n" % (len(block), block)
        now_s = asyncio.get_running_loop().time
        until_s = now_s() + ENDLESS_S
        await peer.write(head.encode())
        while not peer.closed and now_s() < until_s:
            await peer.write(block)
            self.sent_bytes += len(block)
            # Lets the other stand-ins run.
            await asyncio.sleep(0)
        peer.reset()
