from __future__ import annotations

from marlramp.core.configuration import event_time


def test_slow_response_dates_an_event_from_its_request() -> None:
    ages = event_time.Ages(40.0, 60.0)
    receipt = event_time.Receipt(sent_after_ms=1_000.0, received_ms=1_700.0)
    assert receipt.dated(ages) == event_time.EventTime(940.0, 1_660.0)


def test_overlapping_intervals_are_intersected() -> None:
    one = event_time.EventTime(100.0, 900.0)
    other = event_time.EventTime(400.0, 1_200.0)
    assert one.narrowed(other) == event_time.EventTime(400.0, 900.0)
    assert other.narrowed(one) == one.narrowed(other)


def test_of_two_disjoint_intervals_the_earlier_is_kept() -> None:
    one = event_time.EventTime(100.0, 200.0)
    other = event_time.EventTime(400.0, 500.0)
    assert one.narrowed(other) == one
    assert other.narrowed(one) == one


def test_ages_received_at_once_reproduce_the_event_time() -> None:
    known = event_time.EventTime(100.0, 200.0)
    receipt = event_time.Receipt(950.0, 950.0)
    assert receipt.dated(known.ages(950.0)) == known


def test_proven_early_end_replaces_an_assumed_one() -> None:
    # The process was paused for longer than the assumed maximum path latency.
    assumed = event_time.unsolicited(4_000.0, 10_000.0).dated(
        event_time.Ages(0.0, 0.0)
    )
    proven = event_time.EventTime(3_000.0, 7_500.0)
    assert assumed.narrowed(proven) == event_time.EventTime(3_000.0, 7_500.0)
    assert proven.narrowed(assumed) == event_time.EventTime(3_000.0, 7_500.0)


def test_ages_say_that_they_rest_on_an_assumption() -> None:
    assumed = event_time.unsolicited(4_000.0, 10_000.0).dated(
        event_time.Ages(0.0, 0.0)
    )
    answer = event_time.Receipt(10_100.0, 10_200.0)
    assert answer.dated(assumed.ages(10_150.0)).assumed


def test_of_two_assumed_early_ends_the_earlier_is_kept() -> None:
    # A duplicate arrived after more than the assumed maximum path latency.
    ages = event_time.Ages(0.0, 0.0)
    first = event_time.unsolicited(4_000.0, 11_000.0).dated(ages)
    again = event_time.unsolicited(4_000.0, 14_500.0).dated(ages)
    assert first.narrowed(again).earliest_ms <= 10_000.0
    assert again.narrowed(first).earliest_ms <= 10_000.0
