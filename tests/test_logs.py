from __future__ import annotations

import io
import os
import time

from marlramp import logs


def test_stalled_reader_does_not_block_callers() -> None:
    """Guards against requests that wait for a log stream that is not read."""
    read_end, write_end = os.pipe()
    stream = os.fdopen(write_end, "w")
    writer = logs.LineWriter(stream, lines_max=100)
    started_s = time.monotonic()
    for number in range(20_000):
        writer.put(f"{number} " + "x" * 100 + "\n", routine=False)
    assert time.monotonic() - started_s < 1.0
    time.sleep(3 * logs.BATCH_S)
    for _ in range(300):
        writer.put("x" * 1_000 + "\n", routine=False)
        time.sleep(0.001)
    assert writer.dropped > 0
    os.close(read_end)


def test_routine_lines_are_dropped_first() -> None:
    writer = logs.LineWriter(io.StringIO(), lines_max=10)
    for number in range(10):
        writer.put(f"routine {number}\n", routine=True)
    for number in range(5):
        writer.put(f"failure {number}\n", routine=False)
    assert writer.dropped == 5


def test_long_lines_are_dropped_before_they_fill_the_memory() -> None:
    """Guards against a queue of lines that repeat long ids of requests."""
    writer = logs.LineWriter(io.StringIO())
    line = "x" * 10_000 + "\n"
    for _ in range(1_000):
        writer.put(line, routine=False)
    assert writer.dropped >= 1_000 - logs.QUEUED_CHARACTERS_MAX // len(line)
    writer.flush(2.0)
    dropped = writer.dropped
    writer.put(line, routine=False)
    assert writer.dropped == dropped


def test_number_of_dropped_lines_is_written() -> None:
    stream = io.StringIO()
    writer = logs.LineWriter(stream, lines_max=4)
    for number in range(9):
        writer.put(f"line {number}\n", routine=False)
    writer.flush(2.0)
    time.sleep(2 * logs.BATCH_S)
    written = stream.getvalue()
    assert "line 3" in written
    assert "event=lines_dropped count=5" in written


class SlowStream(io.StringIO):
    """Delays each write, like a pipe with a slow reader."""

    def write(self, text: str) -> int:
        time.sleep(0.02)
        return super().write(text)


def test_line_queued_during_a_write_is_written() -> None:
    """Guards against a lost wake-up that leaves the last line in the queue."""
    stream = SlowStream()
    writer = logs.LineWriter(stream)
    for number in range(20):
        writer.put(f"line {number}\n", routine=False)
        time.sleep(0.012)
    time.sleep(0.5)
    assert "line 19" in stream.getvalue()
