"""Reads HTTP/1.1 requests from received bytes, on llhttp's parser."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import httptools
import msgspec

from marlramp import clock
from marlramp import errors
from marlramp.core.configuration import fleet

PIECE_BYTES = 2_048
"""Largest number of bytes that are parsed at once, since the parser can't be
stopped within them."""

HEADER_BYTES = 160
"""Memory of a header beside its name and value."""

BODY_GROWTH = 8
"""A body that grows takes up to one part in so many beyond its size."""

_CHUNK_HEAD = b"%x\r\n"
_CHUNK_END = b"\r\n"


class Request(msgspec.Struct, frozen=True):
    """A complete request.

    Attributes:
      method: HTTP method.
      target: path and query as sent.
      headers: names in lower case and values, in order.
      body: the complete body.
      first_byte_ms: when its first byte was read and the caller's wait began.
      received_ms: when its last byte was read.
      keep_alive: whether the caller keeps the connection open.
    """

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    first_byte_ms: clock.Millis
    received_ms: clock.Millis
    keep_alive: bool

    def header(self, name: bytes) -> str:
        """Returns the first header with a lower-case name, else ""."""
        return header_value(self.headers, name)

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes."""
        head_bytes = sum(len(name) + len(value) for name, value in self.headers)
        return (
            len(self.target)
            + head_bytes
            + len(self.headers) * HEADER_BYTES
            + len(self.body)
        )


def header_value(headers: list[tuple[bytes, bytes]], name: bytes) -> str:
    """Returns the first header with a lower-case name, else ""."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return ""


def _cause_of(error: httptools.HttpParserCallbackError) -> errors.CallError:
    """Returns the error that a callback of the parser has raised."""
    cause = error.__context__
    if isinstance(cause, errors.CallError):
        return cause.without_traceback()
    return errors.CallError(errors.ErrorKind.INTERNAL)


class ReaderEvents(Protocol):
    """Is notified of what is read from a connection."""

    def on_request_begin(self) -> None:
        """Handles the first byte of a request."""
        ...

    def on_request_head(self) -> None:
        """Handles the end of a head, before its body is read.

        Raises:
          CallError: if the request is refused.
        """
        ...

    def on_request(self, request: Request) -> None:
        """Handles a complete request."""
        ...


class RequestReader:
    """Reads the requests of one connection, one after the other.

    Attributes:
      reading: whether a request has begun that is not complete.
      first_byte_ms: clock reading when its first byte was read.
      headers: its headers so far.
      announced_bytes: the length of its body, 0 if it is not announced.
      ended: whether a request was read after which the caller sends no other.
      wants_continue: whether the caller holds its body back until it is asked
        for it.
    """

    def __init__(
        self,
        events: ReaderEvents,
        limits: Callable[[], fleet.CallerLimits],
        now_ms: clock.Millis,
    ) -> None:
        """Creates a reader that has read nothing.

        Args:
          events: is notified of what is read.
          limits: returns the limits in force.
          now_ms: the clock reading.
        """
        self._events = events
        self._limits = limits
        # None once released, since the two refer to each other.
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._read_ms = now_ms
        # Bytes beyond the body since the last message, by whole pieces.
        self._framing_bytes = 0
        self.reading = False
        self.ended = False
        self._reset()

    @property
    def held_bytes(self) -> int:
        """Memory that the unfinished request takes."""
        return (
            self._head_bytes
            + len(self.headers) * HEADER_BYTES
            + self._body.__alloc__()
        )

    def feed(
        self, piece: memoryview, read_ms: clock.Millis
    ) -> errors.CallError | None:
        """Reads received bytes, at most `PIECE_BYTES`.

        Bytes after the last request of the connection are dropped.

        Args:
          piece: the bytes.
          read_ms: the clock reading when they were received.

        Returns:
          Why the connection can't be read any more, None if it can. The error
          is not raised: the frames of its traceback would keep all that was
          read.
        """
        if self._parser is None:
            return None
        self._read_ms = read_ms
        self._framing_bytes += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            # The request is answered as one without an upgrade.
            return None
        except httptools.HttpParserCallbackError as error:
            return _cause_of(error)
        except httptools.HttpParserError as error:
            if self.ended:
                return None
            kind = errors.ErrorKind.INVALID_REQUEST
            return errors.CallError(kind, str(error))
        return self._framing_error()

    def drop_request(self) -> None:
        """Drops an unfinished request, which is not read any further."""
        self.reading = False
        self._reset()

    def release(self) -> None:
        """Ends reading. What was read is freed with its last use."""
        self._parser = None
        del self._events
        self.drop_request()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._reset()
        self.reading = True
        self._events.on_request_begin()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._target += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; trailers are dropped."""
        if not self._in_body:
            self.headers.append((name.lower(), value))
        self._add_head_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Checks the announced body size before the body is read."""
        self._in_body = True
        limit = self._limits().body_bytes_max
        for name, value in self.headers:
            if name == b"content-length":
                self.announced_bytes = int(value)
                if self.announced_bytes > limit:
                    raise errors.CallError(errors.ErrorKind.BODY_TOO_LARGE)
            if name == b"expect" and value.lower() == b"100-continue":
                self.wants_continue = True
        self._events.on_request_head()

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body."""
        self._body_bytes += len(body)
        self._framing_bytes -= len(body)
        if self._body_bytes > self._limits().body_bytes_max:
            raise errors.CallError(errors.ErrorKind.BODY_TOO_LARGE)
        self._body += body

    def on_chunk_header(self) -> None:
        """Starts to measure a chunk."""
        self._chunk_start_bytes = self._body_bytes

    def on_chunk_complete(self) -> None:
        """Leaves out the shortest framing that the chunk could have."""
        size = self._body_bytes - self._chunk_start_bytes
        self._framing_bytes -= len(_CHUNK_HEAD % size) + len(_CHUNK_END)

    def on_message_complete(self) -> None:
        """Passes on the complete request."""
        parser = self._parser
        if parser is None:
            return
        self._framing_bytes = 0
        self.reading = False
        keep_alive = parser.should_keep_alive() and not parser.should_upgrade()
        self.ended = not keep_alive
        request = Request(
            method=parser.get_method().decode("latin-1"),
            target=self._target,
            headers=self.headers,
            body=bytes(self._body),
            first_byte_ms=self.first_byte_ms,
            received_ms=self._read_ms,
            keep_alive=keep_alive,
        )
        self._reset()
        self._events.on_request(request)

    def _reset(self) -> None:
        self.first_byte_ms = self._read_ms
        self._target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        self.announced_bytes = 0
        self._chunk_start_bytes = 0
        self._in_body = False
        self.wants_continue = False

    def _framing_error(self) -> errors.CallError | None:
        """Refuses a message whose bytes beyond its body exceed the limit.

        The parser passes on a header only when it is complete, and chunk
        extensions and blank lines not at all.
        """
        limit = self._limits().header_bytes_max + PIECE_BYTES
        if self._framing_bytes <= limit:
            return None
        return errors.CallError(errors.ErrorKind.HEADER_TOO_LARGE)

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits().header_bytes_max:
            raise errors.CallError(errors.ErrorKind.HEADER_TOO_LARGE)
