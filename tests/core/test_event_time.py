from __future__ import annotations

from marlramp.core import event_time


def test_answer_that_took_long_dates_an_event_no_later_than_its_question() -> (
    None
):
    ages = event_time.Ages(40.0, 60.0)
    hearing = event_time.Hearing(after_ms=1_000.0, now_ms=1_700.0)
    assert hearing.dated(ages) == event_time.EventTime(940.0, 1_660.0)


def test_two_words_on_an_event_hold_together() -> None:
    one = event_time.EventTime(100.0, 900.0)
    other = event_time.EventTime(400.0, 1_200.0)
    assert one.narrowed(other) == event_time.EventTime(400.0, 900.0)
    assert other.narrowed(one) == one.narrowed(other)


def test_of_two_words_that_exclude_each_other_the_earlier_holds() -> None:
    one = event_time.EventTime(100.0, 200.0)
    other = event_time.EventTime(400.0, 500.0)
    assert one.narrowed(other) == one
    assert other.narrowed(one) == one


def test_ages_that_are_told_at_once_give_the_event_back() -> None:
    known = event_time.EventTime(100.0, 200.0)
    hearing = event_time.Hearing(950.0, 950.0)
    assert hearing.dated(known.ages(950.0)) == known


def test_early_end_that_was_assumed_gives_way_to_one_that_was_shown() -> None:
    # The process stood still for longer than the longest way.
    assumed = event_time.news(4_000.0, 10_000.0).dated(
        event_time.Ages(0.0, 0.0)
    )
    shown = event_time.EventTime(3_000.0, 7_500.0)
    assert assumed.narrowed(shown) == event_time.EventTime(3_000.0, 7_500.0)
    assert shown.narrowed(assumed) == event_time.EventTime(3_000.0, 7_500.0)


def test_what_rests_on_an_assumption_is_told_so() -> None:
    assumed = event_time.news(4_000.0, 10_000.0).dated(
        event_time.Ages(0.0, 0.0)
    )
    answer = event_time.Hearing(10_100.0, 10_200.0)
    assert answer.dated(assumed.ages(10_150.0)).assumed


def test_later_of_two_early_ends_that_were_assumed_is_not_taken() -> None:
    # The same news came again, after longer than the longest way.
    ages = event_time.Ages(0.0, 0.0)
    first = event_time.news(4_000.0, 11_000.0).dated(ages)
    again = event_time.news(4_000.0, 14_500.0).dated(ages)
    assert first.narrowed(again).earliest_ms <= 10_000.0
    assert again.narrowed(first).earliest_ms <= 10_000.0
