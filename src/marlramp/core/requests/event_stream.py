"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

EVENT_BYTES_MAX = 1_048_576
"""Largest part of an event that is held back."""

_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
_ID_FIELD = b"id:"


class EventTooLargeError(Exception):
    """An event exceeds `EVENT_BYTES_MAX`."""


class EventSplitter:
    """Holds back the part of an event whose end has not arrived.

    A replica may stop in the middle of an event. Since only complete events
    are forwarded, another replica can continue the stream.

    Attributes:
      last_id: id of the last complete event, "" before the first.
      events: number of complete events with an id.
    """

    def __init__(self) -> None:
        """Starts before the first event."""
        self._buffer = b""
        self.last_id = ""
        self.events = 0

    @property
    def partial(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Returns the events that `data` completes, byte for byte.

        Raises:
          EventTooLargeError: if an incomplete event exceeds `EVENT_BYTES_MAX`.
        """
        self._buffer += data
        end = max(_end_of_last(self._buffer, mark) for mark in _EVENT_ENDS)
        if end == 0:
            if len(self._buffer) > EVENT_BYTES_MAX:
                raise EventTooLargeError
            return b""
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        self._record_ids(complete)
        return complete

    def reset(self) -> None:
        """Drops a partial event before another replica continues the stream."""
        self._buffer = b""

    def _record_ids(self, complete: bytes) -> None:
        for line in complete.splitlines():
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
                self.events += 1


def _end_of_last(buffer: bytes, mark: bytes) -> int:
    position = buffer.rfind(mark)
    return 0 if position < 0 else position + len(mark)
