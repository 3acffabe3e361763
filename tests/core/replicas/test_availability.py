from __future__ import annotations

import pytest

from marlramp.core.replicas import availability


@pytest.fixture
def replica() -> availability.Availability:
    """A replica that has not answered yet."""
    return availability.Availability()


def test_pause_lasts_to_its_end(replica: availability.Availability) -> None:
    assert (
        replica.record_pause(3_000.0, 0.0, 100.0) is availability.Change.PAUSED
    )
    assert not replica.may_send(100.0)
    assert not replica.may_send(3_099.0)
    assert replica.may_send(3_100.0)


@pytest.mark.parametrize("waits_ms", [(3_000.0, 1_000.0), (1_000.0, 2_990.0)])
def test_later_answer_extends_a_pause_and_never_shortens_it(
    replica: availability.Availability, waits_ms: tuple[float, float]
) -> None:
    first_ms, second_ms = waits_ms
    replica.record_pause(first_ms, 0.0, 0.0)
    replica.record_pause(second_ms, 0.0, 10.0)
    assert not replica.may_send(2_999.0)
    assert replica.may_send(3_000.0)


def test_served_request_does_not_end_a_pause(
    replica: availability.Availability,
) -> None:
    replica.record_pause(3_000.0, 0.0, 100.0)
    replica.record_served(50.0, 110.0)
    replica.record_served(120.0, 130.0)
    assert not replica.may_send(2_000.0)


def test_entries_return_from_one_pause_at_different_times() -> None:
    opened_ms = set()
    for jitter in (0.0, 0.3, 0.9):
        replica = availability.Availability()
        replica.record_pause(3_000.0, jitter, 0.0)
        opened_ms.add(replica.paused_until_ms)
    assert len(opened_ms) == 3
    assert min(opened_ms) == 3_000.0
    assert max(opened_ms) < 3_300.0


def test_one_trial_request_is_sent_after_a_pause(
    replica: availability.Availability,
) -> None:
    replica.record_pause(1_000.0, 0.0, 10.0)
    replica.record_refusal(0.0, 10.0)
    assert replica.may_send(1_010.0)
    replica.record_sent(1_010.0)
    assert not replica.may_send(1_020.0)
    replica.record_served(1_010.0, 1_030.0)
    assert replica.may_send(1_030.0)


def test_trial_without_an_answer_lets_the_next_one_through(
    replica: availability.Availability,
) -> None:
    replica.record_refusal(0.0, 0.0)
    replica.record_sent(200.0)
    assert not replica.may_send(200.0 + availability.TRIAL_MS - 1.0)
    assert replica.may_send(200.0 + availability.TRIAL_MS)


def test_consecutive_refusals_double_the_backoff_up_to_a_bound(
    replica: availability.Availability,
) -> None:
    now_ms = 0.0
    backoffs_ms = []
    for _ in range(7):
        replica.record_refusal(now_ms, now_ms)
        start_ms = now_ms
        while replica.backoff_ms(now_ms):
            now_ms += 50.0
        backoffs_ms.append(now_ms - start_ms)
    assert backoffs_ms[:3] == [150.0, 300.0, 600.0]
    assert backoffs_ms[-1] == availability.BACKOFF_MAX_MS


def test_refusals_of_requests_sent_together_count_once(
    replica: availability.Availability,
) -> None:
    for answered_ms in (10.0, 11.0, 12.0, 13.0):
        replica.record_refusal(5.0, answered_ms)
    assert replica.may_send(10.0 + availability.BACKOFF_MIN_MS)


def test_refusal_of_a_queued_request_does_not_double_the_backoff(
    replica: availability.Availability,
) -> None:
    for number in range(5):
        replica.record_refusal(0.0, 1_000.0 + number)
    assert replica.refusal_share(1_010.0) == 0.0
    assert replica.may_send(1_010.0 + availability.BACKOFF_MIN_MS)


def test_answer_to_a_request_sent_before_a_refusal_is_no_recovery(
    replica: availability.Availability,
) -> None:
    replica.record_refusal(10.0, 20.0)
    replica.record_sent(200.0)
    replica.record_served(15.0, 210.0)
    assert not replica.may_send(220.0)


def test_share_of_refusals_decays_with_time(
    replica: availability.Availability,
) -> None:
    replica.record_refusal(0.0, 0.0)
    share = replica.refusal_share(0.0)
    later_ms = availability.REFUSAL_HALF_LIFE_MS
    assert replica.refusal_share(later_ms) == pytest.approx(share / 2.0)


def test_leaving_replica_gets_requests_until_its_drain_time_is_over(
    replica: availability.Availability,
) -> None:
    assert replica.record_leaving(2_000.0, 100.0)
    assert not replica.record_leaving(2_000.0, 1_500.0)
    last_ms = 2_100.0 - availability.LEAVING_MARGIN_MS
    assert replica.may_send(last_ms - 1.0)
    assert not replica.may_send(last_ms)
    assert replica.closed_ms(last_ms) == float("inf")
