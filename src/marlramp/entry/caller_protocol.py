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

if TYPE_CHECKING:
    from uvicorn import _types

LINGER_MS = 1_000.0
"""Time in which a caller may read an answer that ends its connection."""

_MS = clock.MILLIS_PER_SECOND


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
    """

    limits: Limits
    unanswered_calls: unanswered.UnansweredCalls

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

    # Connection.

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Waits for the first header."""
        super().connection_made(transport)
        self._await_header()

    def eof_received(self) -> None:
        """Notes that the caller closed the connection."""
        self._left = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the request that is answered, and records those queued."""
        self._cancel_read_timer()
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
        for queued, _ in self.pipeline:
            if not queued.more_body:
                request = requests.Request(dict(queued.scope))
                request_id = caller_requests.request_id_of(request)
                self.unanswered_calls.record(request_id, reason)
        self.pipeline.clear()
        super().connection_lost(exc)

    # Requests.

    def data_received(self, data: bytes) -> None:
        """Parses data, unless it exceeds a limit."""
        if self._refused or self.transport.is_closing():
            return
        self._read_bytes += len(data)
        if self._read_timer is None and not self._in_body:
            self._await_header()
        super().data_received(data)
        if self.transport.is_closing():
            return
        if self.parser.should_upgrade() and self.cycle is not None:
            # What follows belongs to a protocol that is not spoken here.
            self.cycle.keep_alive = False
        if self._in_body:
            if self._read_bytes > self.limits.body_bytes_max:
                self._refuse(errors.ErrorKind.BODY_TOO_LARGE)
        elif self._read_bytes > self.limits.header_bytes_max + len(data):
            self._refuse(errors.ErrorKind.HEADER_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Begins to count the bytes and the time of a header."""
        super().on_message_begin()
        self._begun = True
        self._read_bytes = 0
        self._await_header()

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
        super().on_response_complete()
        if self.transport.is_closing():
            self._abort_after(self.limits.write_stall_ms)
        elif self._in_body and self._answered is self.cycle:
            self._set_read_timer(LINGER_MS)

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
        if self._answers_an_earlier_request() and self._answered is not None:
            self._answered.keep_alive = False
            self._cancel_read_timer()
            self.transport.pause_reading()
            # The handler of the earlier request must not resume it.
            self.flow.read_paused = False
            return
        cycle = self.cycle
        started = False
        if self._in_body and cycle is not None:
            started = cycle.response_started
            cycle.disconnected = not cycle.response_complete
            cycle.message_event.set()
        if self._begun and not started:
            self.transport.write(_refusal(kind, detail))
        self.transport.close()
        self._abort_after(LINGER_MS)


def bound(
    protocol_limits: Limits, calls: unanswered.UnansweredCalls
) -> type[CallerProtocol]:
    """Returns the protocol class with limits, for uvicorn's configuration."""

    class Bound(CallerProtocol):
        limits = protocol_limits
        unanswered_calls = calls

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
