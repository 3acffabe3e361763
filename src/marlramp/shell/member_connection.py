"""One end of a link between members: frames with bounds in bytes and time.

Nothing that a peer sends, or fails to send, is waited for or kept without a
bound: the name that an opening peer sends first, a frame that has begun, and
the sum of the frames that have begun on all links of a process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import struct

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.shell import shared_bytes
from marlramp.shell import silence

FRAME_BYTES_MAX = 8_388_608
"""Limit of a frame; the digests of 65,536 pieces, the longest message, take
4.4 MB."""

NAME_BYTES_MAX = 256
BUFFER_BYTES_MAX = 2_097_152
"""Limit of unsent bytes on a link; messages beyond it are dropped."""

UNSENT_BYTES_MAX = 33_554_432
"""Limit of unsent bytes on all links of a process; beyond it the connection
that holds most of them is closed."""

PARTIAL_BYTES_MAX = 25_165_824
"""Limit of the bytes of unfinished frames on all links of a process; beyond it
the connection that holds most of them is closed. An agent has 168 MB."""

NAME_TIMEOUT_MS = 3_000.0
"""Time within which an opening peer must have sent its name."""

FRAME_TIMEOUT_MS = 5_000.0
FRAME_BYTES_PER_S_MIN = 65_536
"""A frame that has begun must be complete within `FRAME_TIMEOUT_MS` and the
time that it takes at this rate, an eighth of the narrowest link."""

UNDECODABLE_MAX = 32
"""Messages in a row that can't be used before a link is closed. A peer of
another release sends some, between others that can be used."""

FAULT_LINES_PER_S_MAX = 10
"""Lines per second on faults of all peers; the counters hold them all."""

UNACKNOWLEDGED_MAX_MS = 2_500
"""A link is closed and reopened when bytes stay unacknowledged this long: one
kept open during a network outage recovers seconds after the outage ends."""

LENGTH_PREFIX = struct.Struct(">I")


class FaultLog:
    """Logs and counts what faulty peers do, with a bound on the lines."""

    def __init__(self, totals: counters.Counters, time: clock.Clock) -> None:
        """Starts without faults."""
        self._totals = totals
        self._clock = time
        self._second = -1
        self._lines = 0

    def record(self, event: str, reason: str, **fields: object) -> None:
        """Counts a fault by its reason, and logs it if lines are left."""
        self._totals.add(counters.CounterName.MESSAGES_DROPPED, reason)
        if self._allows():
            logs.log(event, reason=reason, **fields)

    def record_exception(self, error: Exception, kind: str, name: str) -> None:
        """Counts an exception of a message's handler, and logs it likewise."""
        self._totals.add(counters.CounterName.INTERNAL_ERRORS, kind)
        if self._allows():
            logs.log_exception("internal_error", error, where=kind, sender=name)

    def _allows(self) -> bool:
        second = int(self._clock.now_ms() // clock.MILLIS_PER_SECOND)
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        return self._lines <= FAULT_LINES_PER_S_MAX


class LinkBounds:
    """What the links of a process share.

    Attributes:
      partial: the bytes of unfinished frames.
      unsent: the bytes that were written and not sent yet.
      fault_log: logs the faults of all peers.
    """

    def __init__(self, totals: counters.Counters, time: clock.Clock) -> None:
        """Starts without links."""
        self.partial = shared_bytes.SharedBytes[Connection](
            PARTIAL_BYTES_MAX,
            lambda connection: connection.partial_bytes,
            lambda connection: connection.close("partial_frames_too_large"),
        )
        self.unsent = shared_bytes.SharedBytes[Connection](
            UNSENT_BYTES_MAX,
            lambda connection: connection.unsent_bytes,
            lambda connection: connection.close("too_much_unsent"),
        )
        self.fault_log = FaultLog(totals, time)


class Connection(asyncio.Protocol):
    """One end of a link; the opening end sends its name first.

    Attributes:
      name: name of the peer, "" until an opening peer has sent it.
      last_received_ms: time of the last complete frame.
      unusable: number of messages in a row that could not be used.
      lost: set once the connection is closed.
    """

    def __init__(
        self,
        on_frame: Callable[[Connection, bytes], None],
        on_lost: Callable[[Connection], None],
        bounds: LinkBounds,
        on_made: Callable[[Connection], None] = lambda _: None,
        name: str = "",
    ) -> None:
        """Creates a protocol for a connection that is about to be made.

        Args:
          on_frame: called with each complete frame.
          on_lost: called when the connection is closed.
          bounds: what all links of the process share.
          on_made: called when the connection is made.
          name: name of the peer if this end opens the link.
        """
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._on_made = on_made
        self._bounds = bounds
        self._buffer = bytearray()
        self._transport: asyncio.Transport | None = None
        self._deadline: asyncio.TimerHandle | None = None
        self.name = name
        self.last_received_ms = float("-inf")
        self.unusable = 0
        self.lost = asyncio.Event()

    def send(self, data: bytes) -> bool:
        """Sends a frame; returns False if it is not accepted."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if self.unsent_bytes > BUFFER_BYTES_MAX:
            return False
        transport.write(LENGTH_PREFIX.pack(len(data)) + data)
        self._bounds.unsent.record(self)
        return not transport.is_closing()

    @property
    def partial_bytes(self) -> int:
        """Number of received bytes of a frame that has begun."""
        return len(self._buffer)

    @property
    def unsent_bytes(self) -> int:
        """Number of written bytes that are not sent yet."""
        if self._transport is None or self._transport.is_closing():
            return 0
        return self._transport.get_write_buffer_size()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()
        self._release()

    def close(self, reason: str) -> None:
        """Closes the connection for a fault of the peer, and logs it."""
        self._bounds.fault_log.record("link_closed", reason, name=self.name)
        self.abort()

    def record_usable(self, *, usable: bool) -> None:
        """Records whether a message could be used; closes a useless link."""
        self.unusable = 0 if usable else self.unusable + 1
        if self.unusable >= UNDECODABLE_MAX:
            self.close("no_usable_messages")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bounds the silence of a new connection and the wait for its name."""
        if not isinstance(transport, asyncio.Transport):
            raise TypeError("expected a stream transport")
        self._transport = transport
        silence.bound(transport, UNACKNOWLEDGED_MAX_MS)
        if not self.name:
            self._set_deadline(NAME_TIMEOUT_MS, "name_timeout")
        self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Handles the complete frames in the received data."""
        self._buffer += data
        completed = False
        while len(self._buffer) >= LENGTH_PREFIX.size:
            (size,) = LENGTH_PREFIX.unpack_from(self._buffer)
            if size > (FRAME_BYTES_MAX if self.name else NAME_BYTES_MAX):
                self.close("frame_too_large")
                return
            end = LENGTH_PREFIX.size + size
            if len(self._buffer) < end:
                break
            frame = bytes(memoryview(self._buffer)[LENGTH_PREFIX.size : end])
            del self._buffer[:end]
            completed = True
            self._on_frame(self, frame)
        self._bound_partial(completed=completed)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports that the connection is closed."""
        self._transport = None
        self._release()
        self.lost.set()
        self._on_lost(self)

    def _bound_partial(self, *, completed: bool) -> None:
        """Bounds the unfinished frame in the buffer in bytes and time."""
        self._bounds.partial.record(self)
        if not self.name:
            return
        if completed:
            self._clear_deadline()
        if self._deadline is not None or not self._buffer:
            return
        size = len(self._buffer)
        if size >= LENGTH_PREFIX.size:
            (size,) = LENGTH_PREFIX.unpack_from(self._buffer)
        transfer_ms = size / FRAME_BYTES_PER_S_MIN * clock.MILLIS_PER_SECOND
        self._set_deadline(FRAME_TIMEOUT_MS + transfer_ms, "frame_timeout")

    def _set_deadline(self, after_ms: float, reason: str) -> None:
        self._deadline = asyncio.get_running_loop().call_later(
            after_ms / clock.MILLIS_PER_SECOND, self.close, reason
        )

    def _clear_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _release(self) -> None:
        """Drops what is kept for a connection that is closed."""
        self._clear_deadline()
        self._buffer.clear()
        self._bounds.partial.record(self)
        self._bounds.unsent.record(self)
