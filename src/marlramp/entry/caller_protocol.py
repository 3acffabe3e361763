"""HTTP/1.1 protocol of an entry's server: uvicorn's, with bounds.

uvicorn's protocol limits neither the header of a request nor the time in which
a request must arrive or an answer be read. It also forgets the request that it
answers when the next one has arrived on the connection.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from starlette import requests
from uvicorn.protocols.http import httptools_impl

from marlramp import clock
from marlramp import errors
from marlramp.entry import answers
from marlramp.entry import requests as caller_requests
from marlramp.entry import unanswered
from marlramp.protocol import messages
from marlramp.shell import caller_bounds

if TYPE_CHECKING:
    from uvicorn import _types

LINGER_MS = 1_000.0
"""Time in which a caller may read an answer that ends its connection."""

IGNORED_BYTES_MAX = 8_388_608
"""Bytes after a refused request that are read and dropped."""

CONNECTION_BYTES = 32_768
"""Memory of a connection, with the request that it handles or reads."""

PIECE_BYTES = 2_048
"""Largest number of bytes that are parsed before the queue is looked at."""

PIPELINED_MAX = 16
"""Requests that wait for an earlier one from which no more are parsed."""

QUEUED_REQUEST_BYTES = 8_192
"""Memory of a request that waits for an earlier one, without its body."""

BODY_COPIES = 3
"""Copies of a body in memory while its request is handled: as received, as
decoded, and as sent to an agent."""

_MS = clock.MILLIS_PER_SECOND
_NOTHING = memoryview(b"")


class Limits(msgspec.Struct, frozen=True):
    """Limits on what callers send, and on how slowly they send and read.

    Attributes:
      header_bytes_max: bytes of a request up to the end of its header.
      body_bytes_max: bytes of a body as transferred, with the chunked framing.
      header_timeout_ms: time for a header, from its first byte or the start of
        the connection.
      body_timeout_ms: time for a body.
      write_stall_ms: time in which a caller must read what was buffered.
    """

    header_bytes_max: int = 64 * 1024
    body_bytes_max: int = 2 * messages.BODY_BYTES_MAX
    header_timeout_ms: float = 10_000.0
    body_timeout_ms: float = 30_000.0
    write_stall_ms: float = 30_000.0


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """Connection of a caller.

    Attributes:
      limits: the limits; set by the subclass that `bound` returns.
      unanswered_calls: records requests that were queued on the connection.
      bounds: bounds on the connections of all callers.
    """

    limits: Limits
    unanswered_calls: unanswered.UnansweredCalls
    bounds: caller_bounds.CallerBounds

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Creates the protocol of a connection that is not open yet."""
        super().__init__(*args, **kwargs)
        self._answered: httptools_impl.RequestResponseCycle | None = None
        self._begun = False
        self._in_body = False
        self._read_bytes = 0
        self._read_timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        self._close_timer: asyncio.TimerHandle | None = None
        self._left = False
        self._refused = False
        # Received bytes that are not parsed yet.
        self._unparsed = _NOTHING
        # Bytes that were received at once, last.
        self._received_bytes = 0
        self._ignored_bytes = 0
        # Bytes of the bodies of requests that are read, queued or handled.
        self._body_bytes: dict[httptools_impl.RequestResponseCycle, int] = {}
        self._clock = clock.SystemClock()
        self._progress_ms = self._clock.now_ms()
        self._has_served = False

    # What the bounds on all connections need.

    @property
    def held_bytes(self) -> int:
        """Memory that the connection takes."""
        if self.transport is None or self._refused:
            return 0
        held_bytes = CONNECTION_BYTES + self._unsent_bytes
        held_bytes += sum(self._body_bytes.values()) * BODY_COPIES
        return held_bytes + self._queued_bytes

    @property
    def _queued_bytes(self) -> int:
        """Memory of requests that wait for an earlier one, without bodies."""
        received = self._unparsed.obj
        received_bytes = len(received) if isinstance(received, bytes) else 0
        return received_bytes + len(self.pipeline) * QUEUED_REQUEST_BYTES

    @property
    def evictable_bytes(self) -> int:
        """Part of it that is not needed by a request that may run."""
        if self.transport is None or self._refused:
            return 0
        if not self.serving:
            return self.held_bytes
        answered_bytes = 0
        if self._answered is not None:
            answered_bytes = self._body_bytes.get(self._answered, 0)
        unserved_bytes = sum(self._body_bytes.values()) - answered_bytes
        evictable_bytes = self._queued_bytes + unserved_bytes * BODY_COPIES
        if self._reads_slowly:
            evictable_bytes += self._unsent_bytes
        return evictable_bytes

    @property
    def progress_ms(self) -> clock.Millis:
        """Clock reading when what it holds was last of use to the caller."""
        return self._progress_ms

    @property
    def serving(self) -> bool:
        """Whether a request that was read whole is handled."""
        cycle = self._answered
        if cycle is None or cycle.response_complete:
            return False
        return not (self._in_body and cycle is self.cycle)

    @property
    def has_served(self) -> bool:
        """Whether a request was ever answered on the connection."""
        return self._has_served

    def shed(self) -> None:
        """Refuses requests that have not begun to run, or closes."""
        may_cut = self._reads_slowly or not self.serving
        if may_cut and self._unsent_bytes > self.evictable_bytes // 2:
            self.drop()
            return
        self._record_queued(unanswered.UnansweredReason.CLOSED)
        self._refuse(errors.ErrorKind.ENTRY_OVERLOADED)

    def drop(self) -> None:
        """Closes the connection at once, without an answer."""
        self._refused = True
        if self.transport is not None:
            self.transport.abort()

    @property
    def _reads_slowly(self) -> bool:
        """Whether more of an answer is unsent than the transport wants."""
        return self._write_timer is not None

    @property
    def _unsent_bytes(self) -> int:
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    # Connection.

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Waits for the first header."""
        super().connection_made(transport)
        self._await_header()
        self.bounds.admit(self)

    def eof_received(self) -> None:
        """Notes that the caller closed the connection."""
        self._left = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the request that is answered, and records those queued."""
        self._cancel_write_timer()
        if self._close_timer is not None:
            self._close_timer.cancel()
        self._left = self._left or exc is not None
        cycle = self._answered
        if cycle is not None and not cycle.response_complete:
            cycle.disconnected = True
            cycle.message_event.set()
        reason = unanswered.UnansweredReason.CLOSED
        if self._left:
            reason = unanswered.UnansweredReason.CALLER_LEFT
        # Requests that were received whole are recorded, too.
        while self._unparsed and not self._refused:
            self._feed_piece()
        self._cancel_read_timer()
        self._record_queued(reason)
        super().connection_lost(exc)
        self.bounds.forget(self)
        self._body_bytes.clear()

    def _record_queued(self, reason: unanswered.UnansweredReason) -> None:
        """Records the requests that wait for an earlier one; drops them."""
        for queued, _ in self.pipeline:
            if not queued.more_body:
                request = requests.Request(dict(queued.scope))
                request_id = caller_requests.request_id_of(request)
                self.unanswered_calls.record(request_id, reason)
            self._body_bytes.pop(queued, None)
        self.pipeline.clear()
        self._unparsed = _NOTHING

    # Requests.

    def data_received(self, data: bytes) -> None:
        """Parses data, unless it exceeds a limit."""
        if self._refused or self.transport.is_closing():
            self._ignore(len(data))
            return
        self._received_bytes = len(data)
        if self._unparsed:
            data = bytes(self._unparsed) + data
        self._unparsed = memoryview(data)
        self._parse()
        self.bounds.record(self)

    def _ignore(self, size: int) -> None:
        """Drops bytes: one that sends on when it is closed is reset."""
        self._ignored_bytes += size
        if self._ignored_bytes > IGNORED_BYTES_MAX:
            self.transport.pause_reading()
            # The handler of an earlier request must not resume it.
            self.flow.read_paused = False

    def _parse(self) -> None:
        """Parses what was received until too many requests are queued."""
        while (
            self._unparsed
            and len(self.pipeline) < PIPELINED_MAX
            and not self._refused
            and not self.transport.is_closing()
        ):
            self._feed_piece()
        if self._unparsed:
            self.flow.pause_reading()
        else:
            # An empty view of what was received would keep it in memory.
            self._unparsed = _NOTHING

    def _feed_piece(self) -> None:
        data = self._unparsed[:PIECE_BYTES]
        self._unparsed = self._unparsed[PIECE_BYTES:]
        self._read_bytes += len(data)
        if self._read_timer is None and not self._in_body:
            self._await_header()
        super().data_received(data)  # type: ignore[arg-type]
        if self.transport.is_closing():
            return
        if self.parser.should_upgrade() and self.cycle is not None:
            # What follows belongs to a protocol that is not spoken here.
            self.cycle.keep_alive = False
        # A header that is refused has been read, else the caller is reset.
        header_bytes_max = self.limits.header_bytes_max + self._received_bytes
        if self._in_body:
            if self._read_bytes > self.limits.body_bytes_max:
                self._refuse(errors.ErrorKind.BODY_TOO_LARGE)
        elif self._read_bytes > header_bytes_max:
            self._refuse(errors.ErrorKind.HEADER_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Begins to count the bytes and the time of a header."""
        super().on_message_begin()
        self._progress_ms = self._clock.now_ms()
        self._begun = True
        self._read_bytes = 0
        self._await_header()

    def on_body(self, body: bytes) -> None:
        """Counts the bytes of a body that is kept."""
        super().on_body(body)
        if self.cycle is not None and not self.cycle.response_complete:
            known_bytes = self._body_bytes.get(self.cycle, 0)
            self._body_bytes[self.cycle] = known_bytes + len(body)

    def on_headers_complete(self) -> None:
        """Begins to count the bytes and the time of a body."""
        self._in_body = True
        self._read_bytes = 0
        self._set_read_timer(self.limits.body_timeout_ms)
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Ends the counts: a whole request has arrived."""
        self._begun = False
        self._in_body = False
        self._read_bytes = 0
        self._cancel_read_timer()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Gives a caller that still sends the body a moment to read."""
        if self._answered is not None:
            self._body_bytes.pop(self._answered, None)
        self._has_served = True
        self._progress_ms = self._clock.now_ms()
        self.bounds.record(self)
        super().on_response_complete()
        if self._unparsed:
            self.flow.pause_reading()
            self.loop.call_soon(self._parse_on)
        if self.transport.is_closing():
            self._abort_after(self.limits.write_stall_ms)
        elif self._in_body and self._answered is self.cycle:
            self._set_read_timer(LINGER_MS)

    def _parse_on(self) -> None:
        """Goes on parsing once a queued request is handled."""
        if self.parser is None:
            return
        self._parse()
        if not self._unparsed:
            self.flow.resume_reading()
        self.bounds.record(self)

    def send_400_response(self, msg: str) -> None:
        """Refuses what cannot be parsed."""
        del msg
        self._begun = True
        self._refuse(errors.ErrorKind.INVALID_REQUEST)

    def _start_asgi_task(
        self,
        cycle: httptools_impl.RequestResponseCycle,
        app: _types.ASGI3Application,
    ) -> None:
        self._answered = cycle
        super()._start_asgi_task(cycle, app)

    # Timeouts.

    def timeout_keep_alive_handler(self) -> None:
        """Closes an idle connection, even if its last answer is unread."""
        super().timeout_keep_alive_handler()
        self._abort_after(LINGER_MS)

    def pause_writing(self) -> None:
        """Waits until the caller reads what is buffered."""
        super().pause_writing()
        self._write_timer = self.loop.call_later(
            self.limits.write_stall_ms / _MS, self.transport.abort
        )

    def resume_writing(self) -> None:
        """Notes that the caller has read."""
        super().resume_writing()
        self._cancel_write_timer()

    def _await_header(self) -> None:
        self._set_read_timer(self.limits.header_timeout_ms)

    def _set_read_timer(self, wait_ms: float) -> None:
        self._cancel_read_timer()
        self._read_timer = self.loop.call_later(
            wait_ms / _MS, self._on_read_timeout
        )

    def _cancel_read_timer(self) -> None:
        if self._read_timer is not None:
            self._read_timer.cancel()
            self._read_timer = None

    def _cancel_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    def _abort_after(self, wait_ms: float) -> None:
        """Ends a connection that is closed but whose answer is not read."""
        if self._close_timer is None:
            self._close_timer = self.loop.call_later(
                wait_ms / _MS, self.transport.abort
            )

    def _on_read_timeout(self) -> None:
        self._read_timer = None
        if self._answers_an_earlier_request():
            # Reading may be paused until that one is answered.
            self._set_read_timer(self.limits.body_timeout_ms)
            return
        detail = "The request body took too long." if self._in_body else ""
        self._refuse(errors.ErrorKind.HEADER_TIMEOUT, detail)

    def _answers_an_earlier_request(self) -> bool:
        """Returns whether another request than the arriving one is answered."""
        answered = self._answered
        if answered is None or answered.response_complete:
            return False
        return not self._in_body or answered is not self.cycle

    def _refuse(self, kind: errors.ErrorKind, detail: str = "") -> None:
        """Reads no more and closes the connection.

        An earlier request is answered first. The request that arrives gets an
        answer if it has begun and its handler has written nothing.
        """
        self._refused = True
        self._unparsed = _NOTHING
        if self._answers_an_earlier_request() and self._answered is not None:
            self._answered.keep_alive = False
            self._cancel_read_timer()
            return
        cycle = self.cycle
        started = False
        if self._in_body and cycle is not None:
            started = cycle.response_started
            cycle.disconnected = not cycle.response_complete
            cycle.message_event.set()
        if self._begun and not started:
            self.transport.write(_refusal(kind, detail))
        if self._in_body and not started:
            # A caller that still sends when it is closed is reset, and loses
            # its refusal.
            self.transport.write_eof()
            self.flow.resume_reading()
        else:
            self.transport.close()
        self._abort_after(LINGER_MS)


def bound(
    protocol_limits: Limits,
    calls: unanswered.UnansweredCalls,
    connection_bounds: caller_bounds.CallerBounds,
) -> type[CallerProtocol]:
    """Returns the protocol class with limits, for uvicorn's configuration."""

    class Bound(CallerProtocol):
        limits = protocol_limits
        unanswered_calls = calls
        bounds = connection_bounds

    return Bound


def _refusal(kind: errors.ErrorKind, detail: str) -> bytes:
    """Returns a whole HTTP answer that closes the connection."""
    failure = errors.CallError(kind, detail)
    response = answers.error_response(answers.error_body(failure, "-"))
    lines = [b"%s: %s\r\n" % header for header in response.raw_headers]
    status = httptools_impl.STATUS_LINE[response.status_code]
    return b"".join(
        [status, *lines, b"connection: close\r\n\r\n", bytes(response.body)]
    )
