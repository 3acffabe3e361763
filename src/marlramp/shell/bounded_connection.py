"""Connection of the HTTP client with bounds on what a server sends.

aiosonic limits a line, but neither the number of lines nor the size of a chunk.
It takes the end of the connection for the end of a header, and a length that it
cannot read for an empty body. It also keeps a connection open whose call
failed, whose response has no length, or after whose response more bytes came,
and so gives a call the response to another one.
"""

from __future__ import annotations

import asyncio
import contextvars
import re
from urllib import parse

from aiosonic import connection
from aiosonic import exceptions

from marlramp import clock

HEADER_BYTES_MAX = 64 * 1024
"""Most bytes of a status line and header."""

CHUNK_LINE_BYTES_MAX = 1024
"""Most bytes of a line between two chunks."""

FRAMING_BYTES_MAX = 64 * 1024
"""Most bytes of lines between chunks beyond the number of bytes in the chunks.
A body in chunks of one byte would cost seconds of processor time for each
megabyte; chunks of three bytes and more stay below it."""

_CHUNK_END_BYTES = 2

chunk_bytes_max: contextvars.ContextVar[int] = contextvars.ContextVar(
    "chunk_bytes_max"
)
"""Most bytes of one chunk of the response to the request that is sent."""

_BLANK_LINES = frozenset({b"\r\n", b"\n"})
_FIELD_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")


class _HeaderLines:
    """Checks the lines of one response header and how they frame the body."""

    def __init__(self) -> None:
        self._length: bytes | None = None
        self._chunked = False

    @property
    def has_length(self) -> bool:
        """Whether the header tells where the body ends."""
        return self._chunked or self._length is not None

    def check(self, line: bytes) -> None:
        """Checks the next line, which includes its line break.

        Raises:
          exceptions.HttpParsingError: if a field is malformed or contradicts
            another one.
        """
        if line in _BLANK_LINES:
            return
        name, colon, value = line.partition(b":")
        if not colon or _FIELD_NAME.fullmatch(name) is None:
            raise exceptions.HttpParsingError("malformed header line")
        match name.lower():
            case b"content-length":
                self._set_length(value.strip(b" \t\r\n"))
            case b"transfer-encoding":
                self._set_coding(value.strip(b" \t\r\n"))

    def _set_length(self, value: bytes) -> None:
        repeated = self._length is not None and self._length != value
        if not value.isdigit() or repeated or self._chunked:
            raise exceptions.HttpParsingError("malformed content-length")
        self._length = value

    def _set_coding(self, value: bytes) -> None:
        if value.lower() != b"chunked" or self.has_length:
            raise exceptions.HttpParsingError("malformed transfer-encoding")
        self._chunked = True


class BoundedConnection(connection.Connection):  # type: ignore[misc]
    """Connection that is closed as soon as it is of no more use."""

    def __init__(self, pool: object) -> None:
        """Creates a connection of a pool, not open yet."""
        super().__init__(pool)
        self._line_bytes_left = HEADER_BYTES_MAX
        self._framing_bytes_left = FRAMING_BYTES_MAX
        self._in_header = True
        self._header_lines = _HeaderLines()
        self._chunk_bytes_max = 0
        self._idle_timer: asyncio.TimerHandle | None = None

    def write(self, data: bytes) -> None:
        """Writes bytes of a request, whose response is then expected."""
        self._in_header = True
        self._header_lines = _HeaderLines()
        self._line_bytes_left = HEADER_BYTES_MAX
        self._framing_bytes_left = FRAMING_BYTES_MAX
        self._chunk_bytes_max = chunk_bytes_max.get()
        super().write(data)

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Reads a status line.

        Raises:
          exceptions.HttpParsingError: if the header is too large.
        """
        return self._counted(await super().readuntil(separator))

    async def readline(self) -> bytes:
        """Reads a line of the header, or one between two chunks.

        Raises:
          exceptions.HttpParsingError: if the header or the line is too large,
            if the connection ended within it, if the header is malformed, or
            if the lines between chunks are too large for what they frame.
        """
        if not self._in_header:
            self._line_bytes_left = CHUNK_LINE_BYTES_MAX
        line = self._counted(await super().readline())
        _check_ended(line)
        if self._in_header:
            self._header_lines.check(line)
            return line
        self._framing_bytes_left -= len(line)
        if self._framing_bytes_left < 0:
            raise exceptions.HttpParsingError("chunks are too small")
        return line

    async def readexactly(self, size: int) -> bytes:
        """Reads a chunk.

        Raises:
          exceptions.HttpParsingError: if the chunk is too large.
        """
        if size > self._chunk_bytes_max:
            raise exceptions.HttpParsingError("chunk exceeds the size limit")
        data: bytes = await super().readexactly(size)
        self._framing_bytes_left += max(0, size - _CHUNK_END_BYTES)
        return data

    def block_until_read_chunks(self) -> None:
        """Notes that the header is complete and a body follows."""
        self._in_header = False
        super().block_until_read_chunks()

    def keep_alive(self) -> None:
        """Keeps the connection if the response tells where it ends."""
        self.keep = self._header_lines.has_length

    def reuse(self, urlparsed: parse.ParseResult, verify: bool) -> bool:
        """Returns whether the connection is open and nothing is unread."""
        self._cancel_idle_timer()
        if self.reader is not None and _has_unread(self.reader):
            self.close()
        return bool(super().reuse(urlparsed, verify))

    def release(self) -> None:
        """Returns the connection to its pool, closed if it stays unused."""
        super().release()
        self._cancel_idle_timer()
        if self.reader is not None:
            self._idle_timer = asyncio.get_running_loop().call_later(
                self.pool.conf.max_conn_idle_ms / clock.MILLIS_PER_SECOND,
                self.close,
            )

    def close(self) -> None:
        """Closes the connection if it is open."""
        self._cancel_idle_timer()
        super().close()

    async def __aexit__(
        self, exc_type: object, exc: object, tb: object
    ) -> None:
        """Closes the connection if its call failed."""
        if exc_type is not None:
            self.keep = False
        await super().__aexit__(exc_type, exc, tb)

    def _counted(self, line: bytes) -> bytes:
        self._line_bytes_left -= len(line)
        if self._line_bytes_left < 0:
            raise exceptions.HttpParsingError("header exceeds the size limit")
        return line

    def _cancel_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None


def _check_ended(line: bytes) -> None:
    """Checks that a line was received to its end.

    Raises:
      exceptions.HttpParsingError: if the connection ended before the line did.
    """
    if not line.endswith(b"\n"):
        raise exceptions.HttpParsingError("connection ended within a line")


def _has_unread(reader: asyncio.StreamReader) -> bool:
    """Returns whether bytes wait, which asyncio tells only in private."""
    return bool(getattr(reader, "_buffer", b"")) or reader.at_eof()
