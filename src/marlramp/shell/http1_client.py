"""One connection to a replica, on which one request runs at a time.

HTTP client libraries hide what decides here: bytes beyond an answer, an
answer that begins before its request was written, an answer that has no
length and ends in a reset. So this connection is an asyncio protocol on
llhttp's parser and reports exactly what arrived.
"""

from __future__ import annotations

import asyncio
import enum
from typing import Protocol

import httptools
import msgspec

from marlramp import clock
from marlramp.shell import closing
from marlramp.shell import silence

CONNECT_TIMEOUT_MS = 400.0
"""Some 60 round trips between regions; a replica that has not taken a
connection by then is down or cut off."""

UNACKNOWLEDGED_MAX_MS = 3_000
"""Bytes that stay unacknowledged this long end the connection."""

KEEP_ALIVE_MARGIN_MS = 700.0
"""An idle connection is given up this long before the replica closes it, so
that no request meets the close."""

IDLE_DEFAULT_MS = 4_000.0
"""Idle time of a connection whose replica does not tell its own."""

HEAD_BYTES_MAX = 65_536
_INFORMATIONAL_END = 200
_NO_CONTENT = 204
_NOT_MODIFIED = 304


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of an answer, header names in lower case.

    Attributes:
      status: HTTP status code.
      headers: names and values.
      delimited: whether a length, chunks or the status mark the end of the
        body. Otherwise it ends with the connection, as it also does if the
        server crashes.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    delimited: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Returns the first header of a name in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def values(self, name: bytes) -> list[str]:
        """Returns the values of all headers of a name in lower case."""
        return [
            value.decode("latin-1")
            for key, value in self.headers
            if key == name
        ]


class LossKind(enum.Enum):
    """How an answer failed to arrive whole."""

    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"


class ResponseReader(Protocol):
    """Takes what arrives for one request."""

    def on_head(self, head: ResponseHead) -> None:
        """Takes status and headers."""
        ...

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        ...

    def on_complete(self) -> None:
        """The answer is complete."""
        ...

    def on_lost(self, kind: LossKind) -> None:
        """The answer ended early, or none came."""
        ...


class ReplicaConnection(asyncio.Protocol):
    """A connection that is idle, runs one request, or is closed."""

    def __init__(self, time: clock.Clock) -> None:
        """Starts unconnected."""
        self._clock = time
        self._transport: asyncio.Transport | None = None
        self._reader: ResponseReader | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._method = ""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._head: ResponseHead | None = None
        self._until_close = False
        self._reusable = False
        self._ended_early = False
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
        """Sends one request; its answer goes to `reader`."""
        if self._transport is None or not self.reusable:
            raise RuntimeError("the connection is not idle")
        self._reader = reader
        self._parser = httptools.HttpResponseParser(self)
        self._method = method
        self._headers = []
        self._head_bytes = 0
        self._head = None
        self._until_close = False
        self._reusable = False
        self._transport.write(head + body if body else head)

    def abort(self) -> None:
        """Ends the connection at once; the reader hears nothing more."""
        self._reader = None
        if self._transport is not None and not self.closed:
            closing.abort(self._transport)
        self.closed = True

    def pause(self) -> None:
        """Stops reading while the caller does not take what arrived."""
        if self._transport is not None and not self.closed:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Reads on."""
        if self._transport is not None and not self.closed:
            self._transport.resume_reading()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport and bounds how long a dead peer is trusted."""
        if not isinstance(transport, asyncio.Transport):
            raise TypeError("a stream transport is needed")
        self._transport = transport
        silence.bound(transport, UNACKNOWLEDGED_MAX_MS)

    def data_received(self, data: bytes) -> None:
        """Parses what arrived; bytes without a request end the connection."""
        if self._reader is None or self._parser is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._lost(LossKind.MALFORMED)

    def eof_received(self) -> bool:
        """Completes an answer that has no length."""
        if self._until_close and self._head is not None:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports an answer that has not ended."""
        self.closed = True
        if self._reader is None:
            return
        if self._until_close and exc is None and self._head is not None:
            self._complete()
            return
        self._lost(LossKind.CLOSED if exc is None else LossKind.RESET)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Notices an answer beyond the one that was asked for."""
        if self._reader is None:
            raise httptools.HttpParserError("an answer without a request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > HEAD_BYTES_MAX:
            raise httptools.HttpParserError("header too large")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Passes the head on, unless it is informational."""
        if self._parser is None or self._reader is None:
            return
        status = self._parser.get_status_code()
        head = ResponseHead(status, self._headers)
        self._headers = []
        if status < _INFORMATIONAL_END:
            return
        self._reusable = self._parser.should_keep_alive()
        bodyless = status in (_NO_CONTENT, _NOT_MODIFIED)
        sized = (
            head.header(b"content-length") is not None
            or head.header(b"transfer-encoding") is not None
        )
        self._until_close = not sized and not bodyless
        head = msgspec.structs.replace(head, delimited=not self._until_close)
        self._head = head
        self._note_keep_alive(head)
        self._reader.on_head(head)
        if self._method == "HEAD" and self._reader is not None:
            # The parser waits for a body that does not come.
            self._reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Passes a part of the body on."""
        if self._reader is not None:
            self._reader.on_body(body)

    def on_message_complete(self) -> None:
        """Ends the answer; the connection is idle again if it may be."""
        if self._head is not None:
            self._complete()

    def _note_keep_alive(self, head: ResponseHead) -> None:
        value = head.header(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, number = part.strip().partition(b"=")
            if name.lower() == b"timeout" and number.isdigit():
                told_ms = int(number) * clock.MILLIS_PER_SECOND
                self.idle_max_ms = max(0.0, told_ms - KEEP_ALIVE_MARGIN_MS)

    def _complete(self) -> None:
        reader, self._reader = self._reader, None
        transport = self._transport
        unsent = transport is not None and transport.get_write_buffer_size() > 0
        if not self._reusable or unsent or self._until_close:
            # A replica that answered before it has read the whole body reads
            # on: nothing else may be sent on this connection.
            self.closed = True
            if transport is not None:
                transport.abort()
        self.idle_since_ms = self._clock.now_ms()
        if reader is not None:
            reader.on_complete()

    def _lost(self, kind: LossKind) -> None:
        reader = self._reader
        self.abort()
        if reader is not None:
            reader.on_lost(kind)


async def connect(host: str, port: int, time: clock.Clock) -> ReplicaConnection:
    """Opens a connection.

    Raises:
      OSError: if it can't be opened in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_MS / clock.MILLIS_PER_SECOND):
        _, connection = await loop.create_connection(
            lambda: ReplicaConnection(time), host, port
        )
    return connection


class ConnectionPool:
    """Idle connections to one address, the last used first."""

    def __init__(self, host: str, port: int, time: clock.Clock) -> None:
        """Starts without connections."""
        self._host = host
        self._port = port
        self._clock = time
        self._idle: list[ReplicaConnection] = []
        self.opened = 0

    def take_idle(self, idle_share_max: float) -> ReplicaConnection | None:
        """Returns an idle connection, None if there is none to use.

        Args:
          idle_share_max: part of its allowed idle time that it may have
            spent; less for a request that must not meet a close.
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
        """Opens a further connection.

        Raises:
          OSError: if it can't be opened in time.
        """
        self.opened += 1
        return await connect(self._host, self._port, self._clock)

    def give_back(self, connection: ReplicaConnection) -> None:
        """Keeps a connection for the next request, if it can be used."""
        if connection.reusable:
            self._idle.append(connection)

    def drop_stale(self) -> None:
        """Closes connections that were idle for too long."""
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
