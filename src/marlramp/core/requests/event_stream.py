"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import msgspec

EVENT_BYTES_MAX = 1_048_576
"""Largest part of an event that is held back."""

_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
_LONGEST_END_BYTES = max(map(len, _EVENT_ENDS))
_ID_FIELD = b"id:"


class EventTooLargeError(Exception):
    """An event exceeds `EVENT_BYTES_MAX`."""


class Events(msgspec.Struct, frozen=True):
    """Complete events of a stream.

    Attributes:
      data: the events, byte for byte; empty without any.
      count: number of those with an id.
      last_id: id of the last of these, "" without one.
    """

    data: bytes = b""
    count: int = 0
    last_id: str = ""


class EventSplitter:
    """Holds back the part of an event whose end has not arrived.

    A replica may stop in the middle of an event. Since only complete events
    are forwarded, another replica can continue the stream.
    """

    def __init__(self) -> None:
        """Starts before the first event."""
        self._buffer = bytearray()

    @property
    def partial(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Events:
        """Returns the events that `data` completes.

        Raises:
          EventTooLargeError: if an incomplete event exceeds `EVENT_BYTES_MAX`.
        """
        # What was held back contains no end of an event.
        start = max(0, len(self._buffer) - _LONGEST_END_BYTES + 1)
        self._buffer += data
        end = max(
            _end_of_last(self._buffer, mark, start) for mark in _EVENT_ENDS
        )
        if end == 0:
            if len(self._buffer) > EVENT_BYTES_MAX:
                raise EventTooLargeError
            return Events()
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        return _events_of(complete)


def _events_of(complete: bytes) -> Events:
    ids = [
        line[len(_ID_FIELD) :].strip()
        for line in complete.splitlines()
        if line.startswith(_ID_FIELD)
    ]
    last_id = ids[-1].decode("latin-1") if ids else ""
    return Events(complete, len(ids), last_id)


def _end_of_last(buffer: bytearray, mark: bytes, start: int) -> int:
    position = buffer.rfind(mark, start)
    return 0 if position < 0 else position + len(mark)
