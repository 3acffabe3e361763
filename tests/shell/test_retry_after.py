from __future__ import annotations

import pytest

from marlramp.shell import retry_after

DATE = "Thu, 03 Dec 2026 15:00:00 GMT"


@pytest.mark.parametrize(
    ("values", "wait_ms"),
    [
        (["3"], 3_000.0),
        (["0.25"], 250.0),
        (["0"], 0.0),
        (["86400"], retry_after.WAIT_MAX_MS),
        (["1", "2"], 2_000.0),
        (["1, 2"], 2_000.0),
        (["Thu, 03 Dec 2026 15:00:07 GMT"], 7_000.0),
        (["Thu, 03 Dec 2026 14:00:00 GMT"], 0.0),
    ],
)
def test_time_to_come_back_is_read(values: list[str], wait_ms: float) -> None:
    assert retry_after.read(values, DATE) == retry_after.RetryAfter(wait_ms)


@pytest.mark.parametrize("value", ["", "-1", "nan", "inf", "1e999", "soon"])
def test_value_that_names_no_time_is_told(value: str) -> None:
    asked = retry_after.read([value], DATE)
    assert asked == retry_after.RetryAfter(None, value or "empty")


def test_value_that_names_no_time_hides_no_other() -> None:
    asked = retry_after.read(["soon", "2"])
    assert asked == retry_after.RetryAfter(2_000.0, "soon")


def test_point_in_time_without_a_date_names_no_time() -> None:
    assert retry_after.read([DATE]).wait_ms is None


def test_answer_without_the_field_names_no_time() -> None:
    assert retry_after.read([]) == retry_after.RetryAfter()
