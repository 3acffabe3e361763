"""HTTP server for callers, on llhttp's parser.

Each connection handles one request at a time. A request is read completely
before its handler starts, since it may have to be sent to a second replica.
The handler responds through a `Responder`. Size limits, timeouts and the
closing of idle connections, which a server library would decide by itself, are
controlled here, and a truncated response never looks complete.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import enum
from typing import Protocol
from typing import TypeAlias

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import logs
from marlramp.core.configuration import fleet
from marlramp.settings import node
from marlramp.shell import caller_bounds
from marlramp.shell import closing
from marlramp.shell import http1_request_reader
from marlramp.shell import listening
from marlramp.shell import silence

WRITE_BUFFER_MAX_BYTES = 262_144
"""Bytes buffered for a slow caller before reading its replica is paused."""

PIPELINED_MAX = 16
"""Requests queued on one connection from which it is not read. The requests of
the piece that was parsed last are queued as well."""

QUEUED_BYTES_MAX = 1_048_576
"""Bytes of queued bodies from which a connection is not read."""

PIECES_AT_ONCE = 4
"""Pieces that are parsed as soon as they are received; others take turns."""

PAUSED_BYTES = 2 * listening.RECEIVE_BUFFER_BYTES
"""Memory of the kernel for a connection from which it is not read."""

RECEIVED_BYTES_MAX = 262_144
"""Most bytes that are received at once."""

CONNECTION_BYTES = 16_384
"""Memory of a connection without a request."""

REQUEST_BYTES = 16_384
"""Memory of a request that is handled, beside its head and body."""

SEND_BUFFERS_BYTES = 131_072
"""Most bytes of a body that are copied while it is sent to a replica."""

IGNORED_BYTES_MAX = 65_536
"""Bytes after the last request of a connection that are read and dropped."""

LINGER_BYTES_MAX = 8_388_608
LINGER_MAX_MS = 1_000.0
"""Bounds on what is read and dropped after a body was refused. A connection
that is closed with unread bytes is reset, and its caller loses the refusal."""

FINISH_MAX_MS = 100.0
"""Time in which cancelled requests are answered at the end of the process."""

FINISH_POLL_MS = 10.0

IDLE_CHECK_MS = 1_000.0
"""Interval at which the limit in force is applied to an idle connection."""

WRITE_STALL_MAX_MS = 10_000.0
"""A caller that takes no byte of its response for this long, which is longer
than a stream may run, is not waited for."""

UNREAD_MS = 1_000.0
"""Time without a byte taken after which an answer may be cut off for memory."""

CLOSE_FLUSH_MAX_MS = 10_000.0
"""Time in which a caller has to take the rest before a connection closes."""

UNACKNOWLEDGED_MAX_MS = 10_000
"""Bytes that stay unacknowledged this long end the connection. Idle ones are
not probed, which would cost more than it saves: the idle limit ends them."""

_NOTHING = memoryview(b"")
_CHUNK_HEAD = b"%x\r\n"
_CHUNK_END = b"\r\n"
_LAST_CHUNK = b"0\r\n\r\n"
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_RETRIED = frozenset({429, 503})
"""Statuses whose callers are told when a retry is useful."""

_REFUSED_BODIES = frozenset(
    {errors.ErrorKind.BODY_TOO_LARGE, errors.ErrorKind.ENTRY_OVERLOADED}
)
"""Errors that callers meet while they send a body."""

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


Request: TypeAlias = http1_request_reader.Request


class UnansweredReason(enum.Enum):
    """Why a connection ended before a complete request was answered.

    Attributes:
      CALLER_LEFT: the caller closed the connection.
      CALLER_STALLED: the caller did not read its response.
      HANDLER_FAILED: the handler ended without a complete response.
      CLOSED: the server closed the connection for another request.
    """

    CALLER_LEFT = "caller_left"
    CALLER_STALLED = "caller_stalled"
    HANDLER_FAILED = "handler_failed"
    CLOSED = "closed"


class Gate(Protocol):
    """Interface of the server to the process that runs it."""

    @property
    def closing(self) -> bool:
        """Whether connections are closed after their current response."""
        ...

    def limits(self) -> fleet.CallerLimits:
        """Returns the limits in force."""
        ...

    def refused(
        self, error: errors.CallError, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Counts and logs a request that was rejected while being read.

        Args:
          error: why it was rejected.
          headers: those of its headers that had been read.
        """
        ...

    def unanswered(self, request: Request, reason: UnansweredReason) -> None:
        """Counts and logs a complete request that gets no complete answer."""
        ...


Handler: TypeAlias = Callable[[Request, "Responder"], Awaitable[None]]


class Responder:
    """Writes the response to one request."""

    def __init__(self, connection: ServerConnection, request: Request) -> None:
        """Responds to `request` on `connection`."""
        self._connection = connection
        self._request = request
        self._chunked = False
        self._bodyless = request.method == "HEAD"
        self.started = False
        self.ended = False

    def start(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        length: int | None,
    ) -> None:
        """Writes the head; `length` is None for a chunked body."""
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
        """Writes a part of the body, nothing in answer to HEAD."""
        if not data or self._bodyless:
            return
        if self._chunked:
            data = _CHUNK_HEAD % len(data) + data + _CHUNK_END
        self._connection.write(data)

    def end(self) -> None:
        """Completes the response."""
        if self._chunked and not self._bodyless:
            self._connection.write(_LAST_CHUNK)
        self.ended = True

    def answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Writes a complete response."""
        self.start(status, headers, len(body))
        self.write(body)
        self.end()

    def abort(self) -> None:
        """Aborts the connection so that the response does not look complete."""
        self._connection.abort()

    def on_pressure(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """Registers callbacks for a caller that reads too slowly."""
        self._connection.set_pressure(pause, resume)


def _needed_bytes(reader: http1_request_reader.RequestReader) -> int:
    """Returns the most memory that an announced body takes while it is read."""
    size_bytes = reader.announced_bytes
    grown_bytes = size_bytes // http1_request_reader.BODY_GROWTH
    return (
        size_bytes
        + grown_bytes
        + min(size_bytes, RECEIVED_BYTES_MAX)
        + min(size_bytes, PAUSED_BYTES)
    )


class ServerConnection(asyncio.Protocol):
    """A connection from a caller."""

    def __init__(
        self,
        handler: Handler,
        gate: Gate,
        time: clock.Clock,
        connections: set[ServerConnection],
        bounds: caller_bounds.CallerBounds,
    ) -> None:
        """Creates a connection, listed in `connections` while it is open."""
        self._handler = handler
        self._gate = gate
        self._clock = time
        self._connections = connections
        self._bounds = bounds
        self._transport: asyncio.Transport | None = None
        self._reader = http1_request_reader.RequestReader(
            self, gate.limits, time.now_ms()
        )
        self._queued: collections.deque[Request] = collections.deque()
        self._queued_bytes = 0
        # Received bytes that are not parsed yet.
        self._unparsed = _NOTHING
        self._read_ms = time.now_ms()
        self._parsing = False
        # Whether the next piece is parsed in a later turn.
        self._awaits_turn = False
        self._task: asyncio.Task[None] | None = None
        self._serving: Request | None = None
        # The last request whose response is complete, while that is unsent.
        self._answered: Request | None = None
        # Why the server closed the connection, None while it has not.
        self._closed_for: UnansweredReason | None = None
        self._lost = False
        self._timer: asyncio.TimerHandle | None = None
        self._idle_since_ms = time.now_ms()
        self._write_timer: asyncio.TimerHandle | None = None
        self._written_bytes = 0
        self._taken_bytes = 0
        # Bytes that were sent when the caller last took some.
        self._sent_bytes = 0
        self._taken_ms = time.now_ms()
        self._writing_paused = False
        # Whether a request was started since the caller is too slow.
        self._started_while_paused = False
        self._pause: Callable[[], None] | None = None
        self._resume: Callable[[], None] | None = None
        # The error that is sent once earlier requests are answered.
        self._refusal: errors.CallError | None = None
        # Bytes that are still read and dropped after a refusal.
        self._linger_left_bytes = 0
        self._ignored_bytes = 0
        self._has_served = False

    # What the bounds on all connections need.

    @property
    def held_bytes(self) -> int:
        """Memory that the connection takes."""
        if self._lost or self._dropped:
            return 0
        held_bytes = (
            CONNECTION_BYTES + self._unserved_bytes + self._unsent_bytes
        )
        request = self._serving
        if request is not None:
            copied_bytes = min(len(request.body), SEND_BUFFERS_BYTES)
            held_bytes += REQUEST_BYTES + request.held_bytes + copied_bytes
        return held_bytes

    @property
    def evictable_bytes(self) -> int:
        """Part of it that is not needed by a request that may run."""
        if self._lost or self._dropped:
            return 0
        evictable_bytes = CONNECTION_BYTES if self.idle else 0
        if self._may_read or self._queued:
            evictable_bytes += self._unserved_bytes
        if self._may_cut:
            evictable_bytes += self._unsent_bytes
        return evictable_bytes

    @property
    def progress_ms(self) -> clock.Millis:
        """Clock reading when what it holds was last of use to the caller."""
        if self._unsent_bytes:
            self._record_taken()
            return self._taken_ms
        if self._reader.reading:
            return self._reader.first_byte_ms
        if self._queued:
            return self._queued[0].first_byte_ms
        return self._idle_since_ms

    @property
    def serving(self) -> bool:
        """Whether a request is handled, or its answer is being read."""
        is_read = self._unsent_bytes > 0 and not self._reads_nothing
        return self._task is not None or is_read

    @property
    def has_served(self) -> bool:
        """Whether a request was ever answered on the connection."""
        return self._has_served

    def shed(self) -> None:
        """Refuses requests that have not begun to run, or closes."""
        if self._may_cut and self._unsent_bytes > self._unserved_bytes:
            self._give_up()
        elif self.idle:
            self.close()
        else:
            self._refuse_unserved()

    def drop(self) -> None:
        """Closes the connection at once, without an answer."""
        self._closed_for = self._closed_for or UnansweredReason.CLOSED
        if self._transport is not None:
            closing.abort(self._transport)

    @property
    def _may_cut(self) -> bool:
        """Whether what is unsent may be dropped for want of memory."""
        return self._task is None or self._reads_nothing

    @property
    def _reads_nothing(self) -> bool:
        """Whether the caller takes no bytes of the answer that is sent."""
        self._record_taken()
        idle_ms = self._clock.now_ms() - self._taken_ms
        return self._unsent_bytes > 0 and idle_ms >= UNREAD_MS

    @property
    def _dropped(self) -> bool:
        """Whether the connection is closed and nothing is left to send."""
        return (
            self._closed_for is not None
            and self._task is None
            and not self._unsent_bytes
        )

    @property
    def _unserved_bytes(self) -> int:
        """Memory of what was received and is not handled yet."""
        received = self._unparsed.obj
        return (
            self._reader.held_bytes
            + self._queued_bytes
            + (len(received) if isinstance(received, bytes) else 0)
            + (PAUSED_BYTES if self._read_pauses else 0)
        )

    @property
    def _read_pauses(self) -> bool:
        """Whether the kernel keeps what the caller sends."""
        transport = self._transport
        return not (
            transport is None
            or transport.is_closing()
            or transport.is_reading()
        )

    def _refuse_unserved(self) -> None:
        """Refuses the first request that is not handled yet; closes then."""
        queued = list(self._queued)
        self._queued.clear()
        self._queued_bytes = 0
        for request in queued[1:]:
            self._gate.unanswered(request, UnansweredReason.CLOSED)
        self._reject(errors.CallError(errors.ErrorKind.ENTRY_OVERLOADED))

    @property
    def idle(self) -> bool:
        """Whether no request is being read or handled."""
        return (
            self._task is None
            and not self._queued
            and not self._reader.reading
            and not self._unparsed
        )

    @property
    def busy(self) -> bool:
        """Whether a request is read or handled, or a response unsent."""
        return not self.idle or self._unsent_bytes > 0

    def ends_after(self, request: Request) -> bool:
        """Returns whether the connection closes after this response."""
        return (
            (not request.keep_alive or self._gate.closing)
            and not self._queued
            and not self._unparsed
            and self._refusal is None
        )

    def write(self, data: bytes) -> None:
        """Writes to the caller unless the connection is closing."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(data)
        self._written_bytes += len(data)
        if not self._unsent_bytes:
            return
        self._record_taken()
        if self._write_timer is None:
            self._watch_writing()
        self._bounds.record(self)

    def abort(self) -> None:
        """Aborts the connection, discarding unsent data."""
        self._closed_for = self._closed_for or UnansweredReason.CLOSED
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes the connection after flushing written data."""
        if self._closed_for is not None or self._transport is None:
            return
        self._closed_for = UnansweredReason.CLOSED
        self._cancel_timer()
        self._transport.close()
        if self._unsent_bytes:
            self._start_timer(CLOSE_FLUSH_MAX_MS, self._give_up)

    def cancel(self) -> None:
        """Cancels the handler; its request is answered if it has no answer."""
        if self._task is not None:
            self._task.cancel()

    def set_pressure(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        """Registers callbacks for a caller that reads too slowly.

        `pause` is called at once if the caller is too slow already.
        """
        self._pause = pause
        self._resume = resume
        if self._writing_paused:
            pause()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts waiting for a request."""
        if not isinstance(transport, asyncio.Transport):
            raise TypeError("expected a stream transport")
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_MAX_BYTES)
        silence.bound_unacknowledged(transport, UNACKNOWLEDGED_MAX_MS)
        self._connections.add(self)
        self._wait_idle()
        self._bounds.admit(self)

    def data_received(self, data: bytes) -> None:
        """Parses received data while the queue has space."""
        if self._linger_left_bytes > 0:
            self._linger_left_bytes -= len(data)
            if self._linger_left_bytes <= 0:
                self.close()
            return
        if self._closed_for is not None:
            return
        if self._refusal is not None or self._reader.ended:
            self._ignore(len(data))
            return
        self._read_ms = self._clock.now_ms()
        self._unparsed = memoryview(data)
        self._parse()

    def _parse(self) -> None:
        """Parses what was received, piece by piece, until the queue is full.

        Other connections take turns with one that has sent much.
        """
        self._parsing = True
        for _ in range(PIECES_AT_ONCE):
            if not self._unparsed or self._is_full:
                break
            self._feed_piece()
        self._parsing = False
        self._end_parsing()

    def _parse_in_turn(self) -> bool:
        """Parses the next piece; returns whether another turn is needed."""
        if self._lost or self._closed_for is not None:
            return False
        self._parsing = True
        if self._unparsed and not self._is_full:
            self._feed_piece()
        self._parsing = False
        if self._unparsed and not self._is_full:
            self._bounds.record(self)
            return True
        self._awaits_turn = False
        self._end_parsing()
        self._resume_reading()
        return False

    def _end_parsing(self) -> None:
        """Pauses reading if there is more than can be parsed now."""
        if not self._unparsed:
            # An empty view of what was received would keep it in memory.
            self._unparsed = _NOTHING
        if self._transport is not None and (self._unparsed or self._is_full):
            self._transport.pause_reading()
            if self._is_full:
                # The caller can't be late while it is not read.
                self._cancel_timer()
            else:
                self._awaits_turn = True
                self._bounds.turns.add(self._parse_in_turn)
        self._bounds.record(self)

    @property
    def _is_full(self) -> bool:
        return (
            len(self._queued) >= PIPELINED_MAX
            or self._queued_bytes >= QUEUED_BYTES_MAX
        )

    def _read_on(self) -> None:
        """Goes on reading after the queue was full."""
        if self._parsing or self._awaits_turn or self._is_full:
            return
        if self._transport is None or self._transport.is_reading():
            return
        if self._may_read:
            self._parse()
            self._resume_reading()

    def _resume_reading(self) -> None:
        transport = self._transport
        if transport is None or transport.is_reading() or self._awaits_turn:
            return
        if not self._may_read:
            # What follows is dropped; only by reading is it noticed that the
            # caller leaves.
            if self._ignored_bytes <= IGNORED_BYTES_MAX:
                transport.resume_reading()
            return
        if self._is_full:
            return
        transport.resume_reading()
        if self._reader.reading and self._timer is None:
            self._start_header_timer()

    @property
    def _may_read(self) -> bool:
        """Whether the caller may send another request, or the rest of one."""
        return (
            self._closed_for is None
            and self._refusal is None
            and not self._reader.ended
        )

    def _feed_piece(self) -> None:
        piece = self._unparsed[: http1_request_reader.PIECE_BYTES]
        self._unparsed = self._unparsed[http1_request_reader.PIECE_BYTES :]
        error = self._reader.feed(piece, self._read_ms)
        if error is not None:
            self._reject(error)
        if self._reader.ended:
            self._stop_reading()

    def eof_received(self) -> bool:
        """Closes the connection: a half-close means that the caller left.

        It is aborted if a request is left, whose handler would otherwise run
        until the caller has read what was written before.
        """
        left = self._serving is not None or bool(self._queued)
        if left and self._transport is not None:
            self._closed_for = self._closed_for or UnansweredReason.CALLER_LEFT
            self._transport.abort()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the handler of a caller that disconnected."""
        self._connections.discard(self)
        self._lost = True
        # Requests that were received whole are reported, too.
        while self._unparsed:
            self._feed_piece()
        self._cancel_timer()
        if self._write_timer is not None:
            self._write_timer.cancel()
        reason = self._closed_for or UnansweredReason.CALLER_LEFT
        if self._serving is not None:
            self._gate.unanswered(self._serving, reason)
        for request in self._queued:
            self._gate.unanswered(request, reason)
        self._queued.clear()
        if self._task is not None:
            self._task.cancel()
        self._unparsed = _NOTHING
        self._reader.release()
        self._bounds.forget(self)

    def pause_writing(self) -> None:
        """Pauses the source of the response."""
        self._writing_paused = True
        if self._pause is not None:
            self._pause()

    def resume_writing(self) -> None:
        """Resumes the source of the response, or handles the next request."""
        self._writing_paused = False
        self._started_while_paused = False
        if self._resume is not None:
            self._resume()
        if self._task is None and self._queued:
            self._start_next()
            self._read_on()

    # Callbacks of the reader.

    def on_request_begin(self) -> None:
        """Starts the timeout for reading the request."""
        self._start_header_timer()

    def on_request_head(self) -> None:
        """Asks for a body that the caller holds back, if there is room."""
        if not self._bounds.may_hold(_needed_bytes(self._reader)):
            raise errors.CallError(errors.ErrorKind.ENTRY_OVERLOADED)
        if self._task is None:
            self._send_continue()

    def on_request(self, request: Request) -> None:
        """Queues the request behind earlier ones on the connection."""
        self._cancel_timer()
        self._queued.append(request)
        self._queued_bytes += request.held_bytes
        self._start_next()

    def _send_continue(self) -> None:
        """Asks for the body that the caller holds back, if it does."""
        if self._reader.wants_continue:
            self._reader.wants_continue = False
            self._start_header_timer()
            self.write(_CONTINUE)

    def _start_next(self) -> None:
        if self._task is not None or self._lost:
            return
        if not self._queued:
            if self._refusal is not None:
                self._refuse(self._refusal)
                return
            if self._reader.reading:
                self._send_continue()
                return
            self._wait_idle()
            return
        if self._writing_paused and self._started_while_paused:
            # A caller that reads no answers gets no more of them.
            return
        self._started_while_paused = self._writing_paused
        request = self._queued.popleft()
        self._queued_bytes -= request.held_bytes
        self._serving = request
        self._task = asyncio.get_running_loop().create_task(
            self._serve(request)
        )

    async def _serve(self, request: Request) -> None:
        responder = Responder(self, request)
        try:
            await self._handler(request, responder)
        except asyncio.CancelledError:
            if not self._lost:
                logs.log("handler_cancelled", where="caller_server")
        except Exception as error:
            logs.log_exception("internal_error", error, where="caller_server")
        finally:
            self._task = None
            self._serving = None
            self._pause = self._resume = None
            self._bounds.record(self)
        if self._lost:
            return
        if not responder.started and self._closed_for is None:
            answer = errors.ANSWERS[errors.ErrorKind.INTERNAL]
            responder.answer(answer.status, [], b"")
        if not responder.ended:
            self._gate.unanswered(request, UnansweredReason.HANDLER_FAILED)
            self.abort()
            return
        self._answered = request if self._unsent_bytes else None
        self._has_served = True
        if self.ends_after(request):
            self.close()
        else:
            self._start_next()
            self._read_on()

    def _reject(self, error: errors.CallError) -> None:
        """Stops reading; refuses the request once earlier ones are answered."""
        if self._lost or self._refusal is not None:
            return
        self._refusal = error
        headers = self._reader.headers
        self._reader.drop_request()
        self._cancel_timer()
        self._stop_reading()
        self._gate.refused(error, headers)
        self._start_next()

    def _refuse(self, error: errors.CallError) -> None:
        lines = [
            b"HTTP/1.1 %d %s" % (error.status, REASONS[error.status]),
            b"content-length: 0",
            b"connection: close",
        ]
        if error.status in _RETRIED and error.retry_after_ms is not None:
            seconds = error.retry_after_ms / clock.MILLIS_PER_SECOND
            lines.append(b"retry-after: %.3f" % seconds)
        self.write(b"\r\n".join(lines) + b"\r\n\r\n")
        if error.kind in _REFUSED_BODIES:
            self._linger()
        else:
            self.close()

    def _linger(self) -> None:
        """Reads what a caller still sends before it reads its refusal."""
        if self._transport is None or self._closed_for is not None:
            return
        self._linger_left_bytes = LINGER_BYTES_MAX
        self._transport.write_eof()
        self._transport.resume_reading()
        self._start_timer(LINGER_MAX_MS, self.close)

    def _stop_reading(self) -> None:
        """Ignores what was received, and what is received from now on."""
        self._ignore(len(self._unparsed))
        self._unparsed = _NOTHING

    def _ignore(self, size: int) -> None:
        """Drops bytes: only by reading is it noticed that a caller leaves."""
        self._ignored_bytes += size
        if self._ignored_bytes > IGNORED_BYTES_MAX and self._transport:
            self._transport.pause_reading()

    @property
    def _unsent_bytes(self) -> int:
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def _watch_writing(self) -> None:
        self._taken_bytes = self._written_bytes - self._unsent_bytes
        self._write_timer = asyncio.get_running_loop().call_later(
            WRITE_STALL_MAX_MS / clock.MILLIS_PER_SECOND, self._check_writing
        )

    def _record_taken(self) -> None:
        """Records whether the caller has taken bytes of its responses."""
        sent_bytes = self._written_bytes - self._unsent_bytes
        if sent_bytes > self._sent_bytes:
            self._sent_bytes = sent_bytes
            self._taken_ms = self._clock.now_ms()

    def _check_writing(self) -> None:
        """Gives up a caller that has taken nothing since the last check."""
        self._write_timer = None
        if not self._unsent_bytes:
            self._answered = None
            return
        if self._written_bytes - self._unsent_bytes == self._taken_bytes:
            self._give_up()
        else:
            self._watch_writing()

    def _give_up(self) -> None:
        """Aborts the connection of a caller that does not read."""
        if self._closed_for is UnansweredReason.CALLER_STALLED:
            return
        self._closed_for = UnansweredReason.CALLER_STALLED
        if self._serving is None and self._answered is not None:
            self._gate.unanswered(self._answered, self._closed_for)
        if self._transport is not None:
            closing.abort(self._transport)

    def _start_header_timer(self) -> None:
        self._start_timer(
            self._gate.limits().header_timeout_ms, self._on_header_timeout
        )

    def _start_timer(
        self, wait_ms: float, callback: Callable[[], None]
    ) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(
            wait_ms / clock.MILLIS_PER_SECOND, callback
        )

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wait_idle(self) -> None:
        self._idle_since_ms = self._clock.now_ms()
        self._check_idle()

    def _check_idle(self) -> None:
        """Closes a connection that is idle for longer than the limit."""
        if not self.idle:
            return
        idle_ms = self._clock.now_ms() - self._idle_since_ms
        left_ms = self._gate.limits().idle_timeout_ms - idle_ms
        if left_ms <= 0:
            self.close()
            return
        self._start_timer(min(left_ms, IDLE_CHECK_MS), self._check_idle)

    def _on_header_timeout(self) -> None:
        if self._reader.reading:
            self._reject(errors.CallError(errors.ErrorKind.HEADER_TIMEOUT))


class CallerServer:
    """HTTP server that accepts connections from callers."""

    def __init__(
        self,
        handler: Handler,
        gate: Gate,
        time: clock.Clock,
        bounds: caller_bounds.CallerBounds | None = None,
    ) -> None:
        """Creates a server; no address is bound until `start`.

        Args:
          handler: handles each request.
          gate: the process that runs the server.
          time: the clock.
          bounds: bounds on the connections of all servers of the process,
            None for those of this server alone, with the default limits.
        """
        self._handler = handler
        self._gate = gate
        self._clock = time
        self._bounds = bounds or caller_bounds.CallerBounds(
            node.VmLimits(), counters.Counters(), time
        )
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Binds the address and starts listening.

        Raises:
          OSError: if the address can't be bound.
        """
        self._server = await listening.serve(self._new_connection, host, port)

    def _new_connection(self) -> ServerConnection:
        return ServerConnection(
            self._handler,
            self._gate,
            self._clock,
            self._connections,
            self._bounds,
        )

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._server is not None

    @property
    def busy(self) -> int:
        """Number of connections with a request or an unsent response."""
        return sum(connection.busy for connection in self._connections)

    def close_idle(self) -> None:
        """Closes connections without a request."""
        for connection in list(self._connections):
            if connection.idle:
                connection.close()

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones continue."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def finish(self) -> None:
        """Ends all connections before the process ends.

        Requests that are handled are cancelled and answered with an error, or
        reported if their answer has begun. Those behind them are handled until
        FINISH_MAX_MS have passed, and reported after that.
        """
        self.stop_listening()
        for connection in list(self._connections):
            connection.cancel()
        end_ms = self._clock.now_ms() + FINISH_MAX_MS
        while True:
            # Also handles what was accepted or read just before.
            await asyncio.sleep(FINISH_POLL_MS / clock.MILLIS_PER_SECOND)
            self.close_idle()
            if not self.busy or self._clock.now_ms() >= end_ms:
                break
        for connection in list(self._connections):
            connection.abort()
        # Lets the transports report that they are closed.
        await asyncio.sleep(0)
