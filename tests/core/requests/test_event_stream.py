from __future__ import annotations

import time

import pytest

from marlramp.core.requests import event_stream

COMPLETE = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"
STREAM = COMPLETE + b"id: 4\ndata"
PART_BYTES = 100


@pytest.mark.parametrize("part_bytes", [1, 2, 3, 5, 1_000])
def test_events_are_complete_however_the_stream_is_divided(
    part_bytes: int,
) -> None:
    splitter = event_stream.EventSplitter()
    found = [
        splitter.feed(STREAM[begin : begin + part_bytes])
        for begin in range(0, len(STREAM), part_bytes)
    ]
    assert b"".join(events.data for events in found) == COMPLETE
    assert sum(events.count for events in found) == 2
    assert [events.last_id for events in found if events.last_id][-1] == "2"
    assert splitter.partial


def test_endless_event_in_small_parts_costs_little_processor_time() -> None:
    """Replicas may send an event without an end."""
    splitter = event_stream.EventSplitter()
    part = b"x" * PART_BYTES
    begin_s = time.process_time()
    with pytest.raises(event_stream.EventTooLargeError):
        while True:
            splitter.feed(part)
    assert time.process_time() - begin_s < 0.5
