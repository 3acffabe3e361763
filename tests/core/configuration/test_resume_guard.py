from __future__ import annotations

import pytest

from marlramp import clock
from marlramp.core.configuration import resume_guard

EVACUATE_MS = 5_000.0


@pytest.fixture
def guard(time: clock.ManualClock) -> resume_guard.ResumeGuard:
    """The guard of a deployment with evacuations."""
    return resume_guard.ResumeGuard(EVACUATE_MS, time)


def suspend(guard: resume_guard.ResumeGuard, time: clock.ManualClock) -> None:
    time.advance(resume_guard.SUSPENSION_MIN_MS)
    assert guard.observe()


def test_process_that_runs_holds_nothing(
    guard: resume_guard.ResumeGuard, time: clock.ManualClock
) -> None:
    for _ in range(20):
        time.advance(0.9 * resume_guard.SUSPENSION_MIN_MS)
        assert not guard.observe()
        assert not guard.holds
        assert guard.next_query() is None


def test_deployment_without_evacuations_holds_nothing(
    time: clock.ManualClock,
) -> None:
    guard = resume_guard.ResumeGuard(0.0, time)
    time.advance(60_000.0)
    assert not guard.observe()
    assert not guard.holds


def test_answer_to_an_earlier_query_does_not_end_the_hold(
    guard: resume_guard.ResumeGuard, time: clock.ManualClock
) -> None:
    """Guards against an answer that was delayed by a second suspension."""
    suspend(guard, time)
    first = guard.next_query()
    assert first is not None
    suspend(guard, time)
    second = guard.next_query()
    assert second is not None
    assert not guard.record_answer(first)
    assert guard.holds
    assert guard.record_answer(second)
    assert not guard.holds


def test_entry_that_is_cut_off_serves_after_the_longest_hold(
    guard: resume_guard.ResumeGuard, time: clock.ManualClock
) -> None:
    """Guards against an entry that serves nothing without the others."""
    suspend(guard, time)
    time.advance(resume_guard.HOLD_MAX_MS - 1.0)
    assert guard.holds
    assert guard.next_query() is not None
    assert guard.next_query() is None
    time.advance(1.0)
    assert not guard.holds
    assert guard.next_query() is None
