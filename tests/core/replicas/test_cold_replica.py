"""Tests of what makes a replica cold, what ends it, and its sends."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from marlramp import clock
from marlramp.core.replicas import cold_replica
from tests import processor_time

START_MS = 20_000.0
HEARTBEAT_MS = 2_000.0


class FixedShare:
    """Permits the same number of requests for each replica."""

    def __init__(self, share: int) -> None:
        self.share = share

    def per_s(self, replica_id: str, tolerated_per_s: float) -> int:
        return self.share


def at(ms: float) -> clock.Millis:
    return clock.Millis(ms)


def replica(share: int = 2) -> cold_replica.ColdReplica:
    return cold_replica.ColdReplica(
        "i-1", 17.0, START_MS, HEARTBEAT_MS, FixedShare(share)
    )


def test_record_says_how_long_a_replica_is_cold() -> None:
    """Guards against a cold state that ignores the record or never ends."""
    cold = replica()
    assert cold.left_ms(at(0)) == 0.0
    cold.record_listed(5_000.0, at(100))
    assert cold.left_ms(at(1_100)) == 4_000.0
    assert cold.left_ms(at(5_100)) == 0.0


@pytest.mark.parametrize("by_answer", [False, True])
def test_report_of_zero_ends_the_cold_state(by_answer: bool) -> None:
    """Guards against a warm replica that stays limited."""
    cold = replica()
    cold.record_listed(50_000.0, at(0))
    record = cold.record_answer if by_answer else cold.record_listed
    record(0.0, at(HEARTBEAT_MS))
    assert cold.left_ms(at(HEARTBEAT_MS)) == 0.0


def test_suspicion_lasts_for_a_start_and_a_heartbeat() -> None:
    """Guards against a suspicion that ends before a restart is listed."""
    cold = replica()
    cold.suspect(at(100))
    assert cold.left_ms(at(100)) == START_MS + HEARTBEAT_MS
    assert cold.left_ms(at(100 + START_MS + HEARTBEAT_MS)) == 0.0


@pytest.mark.parametrize(
    ("age_ms", "ends"), [(1_999.0, False), (2_000.0, True)]
)
@pytest.mark.parametrize("by_answer", [False, True])
def test_old_record_does_not_end_a_cold_state(
    age_ms: float, ends: bool, by_answer: bool
) -> None:
    """Guards against a record written before the restart that says 0."""
    cold = replica()
    if by_answer:
        cold.record_answer(30_000.0, at(100))
    else:
        cold.suspect(at(100))
    cold.record_listed(0.0, at(100 + age_ms))
    assert (cold.left_ms(at(100 + age_ms)) == 0.0) is ends


def test_replica_that_is_not_cold_is_sent_any_number() -> None:
    """Guards against a limit on replicas that are not cold."""
    cold = replica(share=1)
    for _ in range(100):
        cold.record_sent(at(0))
    assert cold.wait_ms(at(0)) == 0.0


def test_sends_before_the_suspicion_count() -> None:
    """Guards against a full share right after a second of free sends."""
    cold = replica(share=2)
    cold.record_sent(at(0))
    cold.record_sent(at(400))
    cold.suspect(at(500))
    assert (
        cold.wait_ms(at(500)) == 1_000.0 + cold_replica.WINDOW_MARGIN_MS - 500
    )


def test_wait_is_at_most_the_cold_time() -> None:
    """Guards against waits for a share at a replica that is warm sooner."""
    cold = replica(share=0)
    cold.record_listed(300.0, at(0))
    assert cold.wait_ms(at(100)) == 200.0
    cold.shares = FixedShare(1)
    cold.record_sent(at(100))
    assert cold.wait_ms(at(100)) == 200.0


@hypothesis.given(
    share=strategies.integers(0, 200),
    pauses_ms=strategies.lists(strategies.floats(0.0, 150.0), max_size=400),
)
@hypothesis.example(share=70, pauses_ms=[0.0] * 200)
@hypothesis.settings(deadline=None)
@processor_time.at_most(processor_time.EXAMPLE_MS)
def test_no_sliding_second_holds_more_than_the_share(
    share: int, pauses_ms: list[float]
) -> None:
    """Guards against bursts at the border of two fixed seconds."""
    cold = replica(share)
    cold.suspect(at(0))
    now_ms = 0.0
    sent: list[float] = []
    for pause_ms in pauses_ms:
        now_ms += pause_ms
        wait_ms = cold.wait_ms(at(now_ms))
        if share and wait_ms:
            now_ms += wait_ms if len(sent) % 2 else 0.0
            wait_ms = cold.wait_ms(at(now_ms))
        if now_ms < START_MS and wait_ms == 0.0:
            cold.record_sent(at(now_ms))
            sent.append(now_ms)
    for first_ms in sent:
        within = [ms for ms in sent if first_ms <= ms <= first_ms + 1_000.0]
        assert len(within) <= share
