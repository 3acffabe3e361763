"""Logging: one line of key=value pairs per event, written by eliot."""

from __future__ import annotations

import collections
import sys
import threading
import time
from typing import TextIO

import eliot

from marlramp import log_line
from marlramp import process_failure

ROUTINE_EVENTS = frozenset({"request_served", "caller_left"})
"""Events of requests without a failure; they are dropped before all others."""

ROUTINE_LINES_PER_S_MAX = 300
"""Routine lines that a process writes per second. A line costs 30 us, so that
they use at most 1% of a core."""

REFUSAL_EVENTS = frozenset({"request_unreadable", "side_call_unreadable"})
"""Events that callers can cause at any rate; counters hold them all."""

REFUSAL_LINES_PER_S_MAX = 100
"""Lines on refused requests that a process writes per second."""

QUEUED_LINES_MAX = 4_000
"""Capacity of the queue of lines."""

QUEUED_CHARACTERS_MAX = 2_097_152
"""Capacity of the queue in characters. A line may repeat what a caller sent."""

ROUTINE_SHARE = 0.5
"""Fraction of the queue that routine lines may fill."""

BATCH_S = 0.05
FLUSH_POLL_S = 0.01

_HIDDEN_FIELDS = frozenset({"task_uuid", "task_level", "message_type"})


def format_line(message: dict[str, object]) -> str:
    """Returns an eliot message as one key=value line, without a newline."""
    event = message.get("message_type", message.get("action_type", "event"))
    shown = {k: v for k, v in message.items() if k not in _HIDDEN_FIELDS}
    return log_line.format_pairs({"event": event, **shown})


class LineWriter:
    """Writes lines in a separate thread, so that no caller blocks.

    Lines wait in a bounded queue. If the reader of the stream stops reading,
    the queue fills and lines are dropped, routine ones first, while requests
    go on. The number of dropped lines is written once there is space again.
    """

    def __init__(
        self, stream: TextIO, lines_max: int = QUEUED_LINES_MAX
    ) -> None:
        """Starts the thread that writes to `stream`."""
        self._stream = stream
        self._lines_max = lines_max
        self._lines: collections.deque[str] = collections.deque()
        # Each is changed by one thread only.
        self._put_characters = 0
        self._written_characters = 0
        self._ready = threading.Event()
        self._unreported = 0
        self.dropped = 0
        threading.Thread(target=self._run, daemon=True).start()

    def put(self, line: str, *, routine: bool) -> None:
        """Queues a line, or drops it if the queue is full."""
        share = ROUTINE_SHARE if routine else 1.0
        characters = self._put_characters - self._written_characters
        if (
            len(self._lines) >= self._lines_max * share
            or characters + len(line) > QUEUED_CHARACTERS_MAX * share
        ):
            self.dropped += 1
            self._unreported += 1
            return
        self._put_characters += len(line)
        self._lines.append(line)
        # Also needed if the queue was not empty: the thread may already have
        # copied its lines, and would not write this one.
        self._ready.set()

    def flush(self, timeout_s: float) -> None:
        """Waits until all lines are written, for at most `timeout_s`."""
        end_s = time.monotonic() + timeout_s
        while self._lines and time.monotonic() < end_s:
            time.sleep(FLUSH_POLL_S)

    def _run(self) -> None:
        while True:
            self._ready.wait()
            # Collects the lines of a short period into one write: waking the
            # thread for each line costs more than writing the line.
            time.sleep(BATCH_S)
            self._ready.clear()
            self._write_queued()

    def _write_queued(self) -> None:
        lines = [self._lines[n] for n in range(len(self._lines))]
        if self._unreported:
            unreported, self._unreported = self._unreported, 0
            lines.append(f"event=lines_dropped count={unreported}\n")
        try:
            self._stream.write("".join(lines))
            self._stream.flush()
        except (OSError, ValueError):
            # The stream is closed, so that the failure can't be logged.
            self.dropped += len(lines)
        for _ in range(min(len(lines), len(self._lines))):
            self._written_characters += len(self._lines.popleft())


class _LineRateLimit:
    """Limits the number of lines per second."""

    def __init__(self, per_second_max: int) -> None:
        self._per_second_max = per_second_max
        self._second = 0
        self._count = 0

    def allows(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        return self._count <= self._per_second_max


_routine_limit = _LineRateLimit(ROUTINE_LINES_PER_S_MAX)
_refusal_limit = _LineRateLimit(REFUSAL_LINES_PER_S_MAX)
_writers: list[LineWriter] = []


def start_logging(process: str, stream: TextIO = sys.stderr) -> None:
    """Writes all events to `stream`, each with the name of the process."""
    eliot.add_global_fields(process=process)
    writer = LineWriter(stream)
    _writers.append(writer)

    def write(message: dict[str, object]) -> None:
        event = str(message.get("message_type", ""))
        routine = event in ROUTINE_EVENTS
        writer.put(format_line(message) + "\n", routine=routine)

    eliot.add_destinations(write)


def stop_logging(timeout_s: float = 1.0) -> None:
    """Writes the queued lines, each writer for at most `timeout_s`."""
    for writer in _writers:
        writer.flush(timeout_s)


def lines_dropped() -> int:
    """Returns how many lines were dropped since the start."""
    return sum(writer.dropped for writer in _writers)


def log(event: str, **fields: object) -> None:
    """Logs one event with its fields."""
    if event in ROUTINE_EVENTS and not _routine_limit.allows():
        return
    if event in REFUSAL_EVENTS and not _refusal_limit.allows():
        return
    eliot.log_message(message_type=event, **fields)


def log_exception(event: str, error: Exception, **fields: object) -> None:
    """Logs one event with an exception and the place that raised it."""
    cause = process_failure.first_cause(error)
    place = process_failure.place_of(cause)
    log(event, error=repr(cause), place=place, **fields)
