from __future__ import annotations

from marlramp.core import event_time


def test_answer_that_took_long_dates_an_event_no_later_than_its_question() -> (
    None
):
    ages = event_time.Ages(40.0, 60.0)
    told = event_time.told(ages, after_ms=1_000.0, now_ms=1_700.0)
    assert told == event_time.EventTime(940.0, 1_660.0)


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
    assert event_time.told(known.ages(950.0), 950.0, 950.0) == known
