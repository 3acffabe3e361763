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
def test_valid_values_are_parsed(values: list[str], wait_ms: float) -> None:
    assert retry_after.read(values, DATE) == retry_after.RetryAfter(wait_ms)


@pytest.mark.parametrize("value", ["", "-1", "nan", "inf", "1e999", "soon"])
def test_invalid_value_is_reported(value: str) -> None:
    parsed = retry_after.read([value], DATE)
    assert parsed == retry_after.RetryAfter(None, value or "empty")


def test_invalid_value_does_not_hide_a_valid_one() -> None:
    parsed = retry_after.read(["soon", "2"])
    assert parsed == retry_after.RetryAfter(2_000.0, "soon")


def test_date_without_a_date_header_is_ignored() -> None:
    assert retry_after.read([DATE]).wait_ms is None


def test_response_without_the_header_has_no_wait() -> None:
    assert retry_after.read([]) == retry_after.RetryAfter()
