from __future__ import annotations

from collections.abc import Callable

from marlramp import clock
from marlramp.direct.calls import backpressure


class FakeCaller:
    """Keeps the callbacks for a caller that reads too slowly."""

    def on_pressure(
        self, pause: Callable[[], None], resume: Callable[[], None]
    ) -> None:
        self.pause = pause
        self.resume = resume


class FakeSource:
    """A connection that is read or not."""

    def __init__(self) -> None:
        self.reading = True

    def pause(self) -> None:
        self.reading = False

    def resume(self) -> None:
        self.reading = True


def test_connection_is_read_again_when_its_answer_ends_under_pressure(
    time: clock.ManualClock,
) -> None:
    """Guards against pooled connections on which each answer seems silent."""
    caller, source = FakeCaller(), FakeSource()
    sources = backpressure.Backpressure(caller, time)
    sources.add(source)
    caller.pause()
    assert not source.reading
    sources.remove(source)
    assert source.reading


def test_second_attempt_is_paused_like_the_first(
    time: clock.ManualClock,
) -> None:
    caller, first, second = FakeCaller(), FakeSource(), FakeSource()
    sources = backpressure.Backpressure(caller, time)
    sources.add(first)
    caller.pause()
    sources.add(second)
    assert not first.reading
    assert not second.reading
    time.advance(5_000.0)
    assert sources.progress_ms(0.0) == time.now_ms()
    caller.resume()
    assert first.reading
    assert second.reading
    resumed_ms = time.now_ms()
    time.advance(100.0)
    assert sources.progress_ms(0.0) == resumed_ms


def test_answer_counts_as_unread_until_after_its_caller_reads_again() -> None:
    """Guards against an end that is seen late and counts as seen at once."""
    caller, time = FakeCaller(), clock.ManualClock(100.0)
    pressure = backpressure.Backpressure(caller, time)
    assert pressure.was_read_since(50.0)
    caller.pause()
    assert not pressure.was_read_since(50.0)
    time.advance(100.0)
    caller.resume()
    assert not pressure.was_read_since(150.0)
    assert pressure.was_read_since(250.0)
