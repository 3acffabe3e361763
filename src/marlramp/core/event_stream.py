"""Splits a stream of server-sent events, so that only whole ones go on."""

from __future__ import annotations

EVENT_BYTES_MAX = 1_048_576
_ENDS = (b"\n\n", b"\r\n\r\n")
_ID = b"id:"


class EventTooLargeError(Exception):
    """An event exceeds the size that is held back for it."""


class EventSplitter:
    """Holds back the part of an event whose end has not arrived.

    A replica may stop in the middle of an event. What was passed on then ends
    with a whole event, so that the stream can go on at another replica.

    Attributes:
      last_id: id of the last whole event, "" before the first.
      events: whole events seen.
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
        """Returns the whole events that `data` completes, as they came.

        Raises:
          EventTooLargeError: if an event does not end.
        """
        self._buffer += data
        end = max(_end_of_last(self._buffer, mark) for mark in _ENDS)
        if end == 0:
            if len(self._buffer) > EVENT_BYTES_MAX:
                raise EventTooLargeError
            return b""
        whole, self._buffer = self._buffer[:end], self._buffer[end:]
        self._note(whole)
        return whole

    def reset(self) -> None:
        """Drops a partial event, before the stream goes on elsewhere."""
        self._buffer = b""

    def _note(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip().decode("latin-1")
                self.events += 1


def _end_of_last(buffer: bytes, mark: bytes) -> int:
    position = buffer.rfind(mark)
    return 0 if position < 0 else position + len(mark)
