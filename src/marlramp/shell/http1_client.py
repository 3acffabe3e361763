"""One connection to a replica, on which one request runs at a time.

HTTP client libraries hide cases that matter here: bytes after a response, a
response that starts before its request was sent, and a response that has no
length and ends with a reset. This connection is therefore an asyncio protocol
on llhttp's parser that reports exactly what was received.
"""

from __future__ import annotations

import asyncio
import enum
from typing import Protocol

import httptools
import msgspec

from marlramp import clock
from marlramp.shell import closing
from marlramp.shell import deadline
from marlramp.shell import silence

CONNECT_TIMEOUT_MS = 400.0
"""About 60 round trips between regions; a replica that has not accepted a
connection by then is down or unreachable."""

UNACKNOWLEDGED_MAX_MS = 3_000
"""Bytes that stay unacknowledged this long end the connection."""

KEEP_ALIVE_MARGIN_MS = 700.0
"""Idle connections are dropped this long before the replica closes them, so
that no request is sent on a connection that is being closed."""

IDLE_DEFAULT_MS = 4_000.0
"""Idle limit if the replica sends no `Keep-Alive` timeout."""

HEAD_BYTES_MAX = 65_536
"""Largest head of a response, with all informational responses before it."""

FRAMING_PER_BODY_BYTE = 16
"""Bytes that divide the body into chunks, for each byte of it: a chunk may be
as small as one byte. At most `HEAD_BYTES_MAX` come at once, as in trailers."""

WRITE_PIECE_BYTES = 65_536
"""Size of the pieces in which a body is written, each once most of the last one
is sent, so that a replica that reads slowly costs no second copy of it."""

_NOTHING = memoryview(b"")
_FINAL_STATUS_MIN = 200
_NO_CONTENT = 204
_NOT_MODIFIED = 304


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of a response, header names in lower case.

    Attributes:
      status: HTTP status code.
      headers: names and values.
      delimited: whether a length, chunked encoding or the status marks the
        end of the body. Otherwise the body ends with the connection and can't
        be told from one that was truncated by a crash of the server.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    delimited: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Returns the first header with a lower-case name, None without one."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def values(self, name: bytes) -> list[str]:
        """Returns the values of all headers with a lower-case name."""
        return [
            value.decode("latin-1")
            for key, value in self.headers
            if key == name
        ]


class LossKind(enum.Enum):
    """Why a response is incomplete."""

    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"


class ResponseReader(Protocol):
    """Receives the response to one request."""

    def on_head(self, head: ResponseHead) -> None:
        """Handles the status and headers."""
        ...

    def on_body(self, data: bytes) -> None:
        """Handles a part of the body."""
        ...

    def on_complete(self) -> None:
        """Called when the response is complete."""
        ...

    def on_lost(self, kind: LossKind) -> None:
        """Called when the response ended early or none was received."""
        ...


class ReplicaConnection(asyncio.Protocol):
    """A connection that is idle, handles one request, or is closed."""

    def __init__(self, time: clock.Clock) -> None:
        """Creates a connection that has no transport yet."""
        self._clock = time
        self._transport: asyncio.Transport | None = None
        self._reader: ResponseReader | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._method = ""
        self._headers: list[tuple[bytes, bytes]] = []
        self._framing_bytes_left = 0
        self._body_parts: list[bytes] = []
        self._head: ResponseHead | None = None
        self._body_until_close = False
        self._reusable = False
        # What is left of the request's body.
        self._unwritten = _NOTHING
        self._writing_paused = False
        self.closed = False
        self.idle_since_ms = time.now_ms()
        self.idle_max_ms = IDLE_DEFAULT_MS

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent now."""
        return not self.closed and self._reader is None

    def send(
        self, method: str, head: bytes, body: bytes, reader: ResponseReader
    ) -> None:
        """Sends one request; its response is passed to `reader`."""
        if self._transport is None or not self.reusable:
            raise RuntimeError("the connection is not idle")
        self._reader = reader
        self._parser = httptools.HttpResponseParser(self)
        self._method = method
        self._headers = []
        self._framing_bytes_left = HEAD_BYTES_MAX
        self._head = None
        self._body_parts = []
        self._body_until_close = False
        self._reusable = False
        if len(body) <= WRITE_PIECE_BYTES:
            self._transport.write(head + body if body else head)
            return
        self._transport.write(head)
        self._unwritten = memoryview(body)
        self._write_on()

    def abort(self) -> None:
        """Aborts the connection; the reader gets no further callbacks."""
        self._reader = None
        self._parser = None
        self._unwritten = _NOTHING
        if self._transport is not None and not self.closed:
            closing.abort(self._transport)
        self.closed = True

    def pause(self) -> None:
        """Stops reading while the caller can't keep up."""
        if self._transport is not None and not self.closed:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resumes reading."""
        if self._transport is not None and not self.closed:
            self._transport.resume_reading()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets up the detection of dead peers."""
        if not isinstance(transport, asyncio.Transport):
            raise TypeError("expected a stream transport")
        self._transport = transport
        silence.bound(transport, UNACKNOWLEDGED_MAX_MS)

    def data_received(self, data: bytes) -> None:
        """Parses received data; aborts if no request is pending.

        What is no body has a limit: head, chunk sizes, extensions, trailers.
        The parser gets no more than this at once, since it collects a header
        until it is complete.
        """
        rest = memoryview(data)
        while rest:
            if self._reader is None or self._parser is None:
                self.abort()
                return
            part = rest[: self._framing_bytes_left]
            rest = rest[len(part) :]
            self._framing_bytes_left -= len(part)
            try:
                self._parser.feed_data(part)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):
                self._pass_body_on()
                self._report_loss(LossKind.MALFORMED)
                return
            self._pass_body_on()
            if self._framing_bytes_left <= 0 and self._reader is not None:
                self._report_loss(LossKind.MALFORMED)
                return

    def eof_received(self) -> bool:
        """Completes a response that has no length; ends an idle connection."""
        if self._reader is None:
            self.abort()
        elif self._body_until_close and self._head is not None:
            self._complete()
        return False

    def pause_writing(self) -> None:
        """Stops writing the body until the replica has read more."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Goes on writing the body."""
        self._writing_paused = False
        self._write_on()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports a response that is incomplete."""
        self.closed = True
        self._unwritten = _NOTHING
        if self._reader is None:
            self._parser = None
            return
        if self._body_until_close and exc is None and self._head is not None:
            self._complete()
            return
        self._report_loss(LossKind.CLOSED if exc is None else LossKind.RESET)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Rejects a response that no request is pending for."""
        if self._reader is None:
            raise httptools.HttpParserError("response without a request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Passes on the head, except those of informational responses."""
        if self._parser is None or self._reader is None:
            return
        status = self._parser.get_status_code()
        head = ResponseHead(status, self._headers)
        self._headers = []
        if status < _FINAL_STATUS_MIN:
            return
        self._reusable = self._parser.should_keep_alive()
        bodyless = status in (_NO_CONTENT, _NOT_MODIFIED)
        has_length = (
            head.header(b"content-length") is not None
            or head.header(b"transfer-encoding") is not None
        )
        self._body_until_close = not has_length and not bodyless
        head = msgspec.structs.replace(
            head, delimited=not self._body_until_close
        )
        self._head = head
        self._update_idle_max(head)
        self._reader.on_head(head)
        if self._method == "HEAD" and self._reader is not None:
            # The parser would wait for a body that is never sent.
            self._reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body; parts may be as small as one byte."""
        allowed = len(body) * (1 + FRAMING_PER_BODY_BYTE)
        self._framing_bytes_left = min(
            HEAD_BYTES_MAX, self._framing_bytes_left + allowed
        )
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Completes the response; a reusable connection becomes idle."""
        self._pass_body_on()
        if self._head is not None:
            self._complete()

    def _pass_body_on(self) -> None:
        """Passes on the parts of the body that were received together."""
        parts, self._body_parts = self._body_parts, []
        if parts and self._reader is not None:
            self._reader.on_body(b"".join(parts))

    def _update_idle_max(self, head: ResponseHead) -> None:
        value = head.header(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                announced_ms = int(number) * clock.MILLIS_PER_SECOND
                self.idle_max_ms = max(0.0, announced_ms - KEEP_ALIVE_MARGIN_MS)

    def _complete(self) -> None:
        reader, self._reader = self._reader, None
        transport = self._transport
        unsent = bool(self._unwritten) or (
            transport is not None and transport.get_write_buffer_size() > 0
        )
        self._unwritten = _NOTHING
        if not self._reusable or unsent or self._body_until_close:
            # A replica that responded before it read the whole request body
            # still expects the rest, so no other request may follow.
            self.closed = True
            if transport is not None:
                transport.abort()
        self.idle_since_ms = self._clock.now_ms()
        if reader is not None:
            reader.on_complete()

    def _write_on(self) -> None:
        """Writes the body until the transport has enough to send."""
        while self._unwritten and not self._writing_paused:
            piece = self._unwritten[:WRITE_PIECE_BYTES]
            self._unwritten = self._unwritten[WRITE_PIECE_BYTES:]
            if self._transport is not None:
                self._transport.write(piece)

    def _report_loss(self, kind: LossKind) -> None:
        reader = self._reader
        self.abort()
        if reader is not None:
            reader.on_lost(kind)


async def connect(host: str, port: int, time: clock.Clock) -> ReplicaConnection:
    """Connects to a replica.

    Raises:
      OSError: if no connection is established in time.
    """
    loop = asyncio.get_running_loop()
    async with deadline.timeout(CONNECT_TIMEOUT_MS / clock.MILLIS_PER_SECOND):
        _, connection = await loop.create_connection(
            lambda: ReplicaConnection(time), host, port
        )
    return connection


class ConnectionPool:
    """Idle connections to one address, most recently used first."""

    def __init__(self, host: str, port: int, time: clock.Clock) -> None:
        """Starts without connections."""
        self._host = host
        self._port = port
        self._clock = time
        self._idle: list[ReplicaConnection] = []
        self._retired = False
        self.opened = 0

    def take_idle(self, idle_share_max: float) -> ReplicaConnection | None:
        """Returns an idle connection, None if none is usable.

        Args:
          idle_share_max: largest fraction of its idle limit that the
            connection may have used; lower for a request that must not be sent
            on a connection that the replica is closing.
        """
        now_ms = self._clock.now_ms()
        while self._idle:
            connection = self._idle[-1]
            idle_ms = now_ms - connection.idle_since_ms
            if connection.closed:
                self._idle.pop()
            elif idle_ms <= connection.idle_max_ms * idle_share_max:
                return self._idle.pop()
            else:
                break
        self.drop_stale()
        return None

    async def open(self) -> ReplicaConnection:
        """Opens a new connection.

        Raises:
          OSError: if no connection is established in time.
        """
        self.opened += 1
        return await connect(self._host, self._port, self._clock)

    def give_back(self, connection: ReplicaConnection) -> None:
        """Returns a connection to the pool; closes it if it can't be reused.

        A response that is still arriving has no more use.
        """
        if connection.reusable and not self._retired:
            self._idle.append(connection)
        else:
            connection.abort()

    def drop_stale(self) -> None:
        """Closes connections that exceeded their idle limit."""
        now_ms = self._clock.now_ms()
        kept = []
        for connection in self._idle:
            idle_ms = now_ms - connection.idle_since_ms
            if connection.closed or idle_ms > connection.idle_max_ms:
                connection.abort()
            else:
                kept.append(connection)
        self._idle = kept

    def close(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def retire(self) -> None:
        """Closes all idle connections, and those that are given back later."""
        self._retired = True
        self.close()
