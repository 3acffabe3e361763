"""HTTP connections of callers, parsed by llhttp.

One request of a connection is handled at a time; each is read whole before
its handler starts, since it may have to be sent a second time. The handler
answers through a `Responder`. What the library's server would decide by
itself is decided here: bounds on size and time, when an idle connection may
close, and that an answer cut short never looks complete.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol
from typing import TypeAlias

import httptools
import msgspec

from marlramp import clock
from marlramp import errors
from marlramp.core.configuration import fleet

WRITE_BUFFER_MAX_BYTES = 262_144
"""Bytes that wait for a slow caller before its replica is read no further."""

PIPELINED_MAX = 16
"""Requests read ahead on one connection."""

_CHUNK_END = b"\r\n"
_LAST_CHUNK = b"0\r\n\r\n"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

REASONS = {
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class Request(msgspec.Struct, frozen=True):
    """One whole request.

    Attributes:
      method: HTTP method.
      target: path and query as sent.
      headers: names in lower case, and values, in order.
      body: the whole body.
      first_byte_ms: when its first byte was read: its caller waits since then.
      received_ms: when its last byte was read.
      keep_alive: whether the caller keeps the connection.
    """

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    first_byte_ms: clock.Millis
    received_ms: clock.Millis
    keep_alive: bool

    def header(self, name: bytes) -> str:
        """Returns the first header of a name in lower case, else ""."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return ""


class Gate(Protocol):
    """What the server asks the process that it belongs to."""

    @property
    def closing(self) -> bool:
        """Whether connections are to be closed after their answer."""
        ...

    def limits(self) -> fleet.CallerLimits:
        """Returns the bounds in force."""
        ...

    def refused(self, error: errors.CallError) -> None:
        """Counts and logs a request that could not be read."""
        ...


Handler: TypeAlias = Callable[[Request, "Responder"], Awaitable[None]]


class Responder:
    """Writes the answer to one request."""

    def __init__(self, connection: ServerConnection, request: Request) -> None:
        """Answers `request` on `connection`."""
        self._connection = connection
        self._request = request
        self._chunked = False
        self.started = False
        self.ended = False

    def start(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        length: int | None,
    ) -> None:
        """Writes the head; `length` is None for a body in chunks."""
        self.started = True
        lines = [b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b"Status"))]
        lines.extend(name + b": " + value for name, value in headers)
        self._chunked = length is None
        if length is None:
            lines.append(b"transfer-encoding: chunked")
        else:
            lines.append(b"content-length: %d" % length)
        if self._connection.ends_after(self._request):
            lines.append(b"connection: close")
        self._connection.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def write(self, data: bytes) -> None:
        """Writes a part of the body."""
        if not data:
            return
        if self._chunked:
            data = b"%x\r\n" % len(data) + data + _CHUNK_END
        self._connection.write(data)

    def end(self) -> None:
        """Completes the answer."""
        if self._chunked:
            self._connection.write(_LAST_CHUNK)
        self.ended = True

    def answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Writes a whole answer."""
        self.start(status, headers, len(body))
        self.write(body)
        self.end()

    def abort(self) -> None:
        """Ends the connection so that the answer does not look complete."""
        self._connection.abort()

    def on_pressure(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """Registers what to call when the caller reads too slowly."""
        self._connection.set_pressure(pause, resume)


class ServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(
        self,
        handler: Handler,
        gate: Gate,
        time: clock.Clock,
        connections: set[ServerConnection],
    ) -> None:
        """Registers itself in `connections` while it is open."""
        self._handler = handler
        self._gate = gate
        self._clock = time
        self._connections = connections
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._reset_message()
        self._waiting: collections.deque[Request] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._pause: Callable[[], None] | None = None
        self._resume: Callable[[], None] | None = None
        self._failed = False
        self._reading_message = False

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return (
            self._task is None
            and not self._waiting
            and not self._reading_message
        )

    def ends_after(self, request: Request) -> bool:
        """Returns whether the connection closes after this answer."""
        return (
            not request.keep_alive or self._gate.closing or self._failed
        ) and not self._waiting

    def write(self, data: bytes) -> None:
        """Writes to the caller, if it is still there."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def abort(self) -> None:
        """Ends the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes the connection once what was written has left."""
        if self._transport is not None:
            self._transport.close()

    def set_pressure(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """Registers what to call when the caller reads too slowly."""
        self._pause = pause
        self._resume = resume

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to wait for a request."""
        if not isinstance(transport, asyncio.Transport):
            raise TypeError("a stream transport is needed")
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_MAX_BYTES)
        self._connections.add(self)
        self._arm(self._gate.limits().idle_timeout_ms, self._idle_over)

    def data_received(self, data: bytes) -> None:
        """Parses what arrived."""
        if self._failed:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(errors.CallError(errors.ErrorKind.INVALID_REQUEST))
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, errors.CallError):
                self._fail(cause)
            else:
                self._fail(errors.CallError(errors.ErrorKind.INTERNAL))
        except httptools.HttpParserError as error:
            self._fail(
                errors.CallError(errors.ErrorKind.INVALID_REQUEST, str(error))
            )

    def eof_received(self) -> bool:
        """Closes: a caller that ends its half has left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels what runs for the caller that left."""
        self._connections.discard(self)
        self._disarm()
        self._waiting.clear()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Has the source of the answer wait."""
        if self._pause is not None:
            self._pause()

    def resume_writing(self) -> None:
        """Lets the source of the answer go on."""
        if self._resume is not None:
            self._resume()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Bounds the time that the head may take."""
        self._reset_message()
        self._reading_message = True
        self._arm(self._gate.limits().header_timeout_ms, self._head_late)

    def on_url(self, url: bytes) -> None:
        """Collects the target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        self._headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Checks the announced size before any of the body is read."""
        limit = self._gate.limits().body_bytes_max
        for name, value in self._headers:
            if name == b"content-length" and int(value) > limit:
                raise errors.CallError(errors.ErrorKind.BODY_TOO_LARGE)
            if name == b"expect" and value.lower() == b"100-continue":
                self.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collects a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._gate.limits().body_bytes_max:
            raise errors.CallError(errors.ErrorKind.BODY_TOO_LARGE)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hands the request over, behind those that came before."""
        self._disarm()
        self._reading_message = False
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target,
            headers=self._headers,
            body=b"".join(self._body),
            first_byte_ms=self._first_byte_ms,
            received_ms=self._clock.now_ms(),
            keep_alive=self._parser.should_keep_alive(),
        )
        if len(self._waiting) >= PIPELINED_MAX:
            raise errors.CallError(errors.ErrorKind.QUEUE_FULL)
        self._waiting.append(request)
        self._serve_next()

    def _reset_message(self) -> None:
        self._first_byte_ms = self._clock.now_ms()
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._gate.limits().header_bytes_max:
            raise errors.CallError(errors.ErrorKind.HEADER_TOO_LARGE)

    def _serve_next(self) -> None:
        if self._task is not None:
            return
        if not self._waiting:
            if self._failed:
                return
            self._arm(self._gate.limits().idle_timeout_ms, self._idle_over)
            return
        request = self._waiting.popleft()
        self._task = asyncio.get_running_loop().create_task(
            self._serve(request)
        )

    async def _serve(self, request: Request) -> None:
        responder = Responder(self, request)
        try:
            await self._handler(request, responder)
        except asyncio.CancelledError:
            return
        finally:
            self._task = None
            self._pause = self._resume = None
        if not responder.ended:
            self.abort()
        elif self.ends_after(request):
            self.close()
        else:
            self._serve_next()

    def _fail(self, error: errors.CallError) -> None:
        """Answers bytes that are no acceptable request, then closes."""
        self._failed = True
        self._disarm()
        if self._transport is not None:
            self._transport.pause_reading()
        self._gate.refused(error)
        if self._task is not None:
            # The answer before this one closes the connection at its end.
            return
        self.write(
            b"HTTP/1.1 %d %s\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            % (error.status, REASONS.get(error.status, b"Error"))
        )
        self.close()

    def _arm(self, wait_ms: float, callback: Callable[[], None]) -> None:
        self._disarm()
        self._timer = asyncio.get_running_loop().call_later(
            wait_ms / clock.MILLIS_PER_SECOND, callback
        )

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _idle_over(self) -> None:
        if self.idle:
            self.close()

    def _head_late(self) -> None:
        if self._reading_message:
            self._fail(errors.CallError(errors.ErrorKind.HEADER_TIMEOUT))


class CallerServer:
    """Listens for callers."""

    def __init__(self, handler: Handler, gate: Gate, time: clock.Clock) -> None:
        """Hands each request to `handler`; nothing is bound before `start`."""
        self._handler = handler
        self._gate = gate
        self._clock = time
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Binds and listens.

        Raises:
          OSError: if the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(
                self._handler, self._gate, self._clock, self._connections
            ),
            host,
            port,
            reuse_address=True,
            backlog=1024,
        )

    @property
    def listening(self) -> bool:
        """Whether connections are taken."""
        return self._server is not None

    @property
    def busy(self) -> int:
        """Connections on which a request is read or answered."""
        return sum(not connection.idle for connection in self._connections)

    def close_idle(self) -> None:
        """Closes connections on which nothing is asked."""
        for connection in list(self._connections):
            if connection.idle:
                connection.close()

    def stop_listening(self) -> None:
        """Takes no further connections; open ones go on."""
        if self._server is not None:
            self._server.close()
            self._server = None
