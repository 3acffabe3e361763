from __future__ import annotations

from marlramp import clock
from marlramp.core.configuration import event_time
from marlramp.core.configuration import store_completeness

NOW_MS = clock.Millis(10_000.0)


def test_change_is_no_older_than_the_response_that_lacked_it() -> None:
    known = store_completeness.StoreCompleteness()
    assert known.ages(5, NOW_MS) is None
    known.record_read(4, 9_000.0)
    assert known.latest.revision == 4
    assert known.ages(5, NOW_MS) == event_time.Ages(0.0, 1_000.0)
    assert known.ages(4, NOW_MS) is None


def test_watch_without_changes_proves_its_whole_wait() -> None:
    known = store_completeness.StoreCompleteness()
    known.record_empty_watch(4, 8_900.0, 1_000.0)
    assert known.ages(5, NOW_MS) == event_time.Ages(0.0, 100.0)


def test_newer_report_of_a_reader_does_not_hide_an_older_one() -> None:
    known = store_completeness.StoreCompleteness()
    known.record_report(store_completeness.CompleteRevision(4, 9_000.0))
    known.record_report(store_completeness.CompleteRevision(5, 9_500.0))
    assert known.ages(5, NOW_MS) == event_time.Ages(0.0, 1_000.0)
    assert known.ages(6, NOW_MS) == event_time.Ages(0.0, 500.0)
    assert known.latest.revision == 5
