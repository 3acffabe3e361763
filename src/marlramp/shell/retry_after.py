"""Parses `Retry-After` headers of responses (RFC 9110, section 10.2.3).

Fractional seconds are accepted. The result is limited to `WAIT_MAX_MS`, so that
one corrupted byte can't exclude a healthy peer for a day.
"""

from __future__ import annotations

from collections.abc import Iterable
import email.utils
import math

import msgspec

from marlramp import clock
from marlramp.shell import http1_client

WAIT_MAX_MS = 300_000.0
"""Upper limit of the wait."""

_ABSENT = ""


class RetryAfter(msgspec.Struct, frozen=True):
    """The parsed `Retry-After` headers of one response.

    Attributes:
      wait_ms: the longest wait among the values, at most `WAIT_MAX_MS`; None
        without a valid value.
      unreadable: an invalid value, "" if there is none.
    """

    wait_ms: float | None = None
    unreadable: str = _ABSENT


def read(values: Iterable[str], date: str = _ABSENT) -> RetryAfter:
    """Parses the `Retry-After` headers of a response.

    Args:
      values: the values of its `Retry-After` headers.
      date: the value of its `Date` header, "" without one. Dates are taken
        relative to it, since the clocks of the two machines differ.
    """
    waits_ms = []
    unreadable = _ABSENT
    for value in values:
        for part in _split_values(value):
            wait_ms = _parse_wait_ms(part, date)
            if wait_ms is None:
                unreadable = part.strip() or "empty"
            else:
                waits_ms.append(min(wait_ms, WAIT_MAX_MS))
    return RetryAfter(max(waits_ms, default=None), unreadable)


def of_answer(head: http1_client.ResponseHead) -> RetryAfter:
    """Parses the `Retry-After` headers in the head of a response."""
    date = head.header(b"date") or b""
    return read(head.values(b"retry-after"), date.decode("latin-1"))


def _split_values(value: str) -> list[str]:
    """Splits a header value that a proxy may have joined from several."""
    # A date contains a comma itself.
    return [value] if "GMT" in value else value.split(",")


def _parse_wait_ms(text: str, date: str) -> float | None:
    """Returns the wait of one value, None if it is invalid."""
    try:
        seconds = float(text)
    except ValueError:
        return _parse_date_ms(text, date)
    if not math.isfinite(seconds) or seconds < 0.0:
        return None
    return seconds * clock.MILLIS_PER_SECOND


def _parse_date_ms(text: str, date: str) -> float | None:
    """Returns the time from `date` to a date, None if one is invalid."""
    try:
        until = email.utils.parsedate_to_datetime(text)
        since = email.utils.parsedate_to_datetime(date)
        seconds = (until - since).total_seconds()
    except (TypeError, ValueError):
        return None
    return max(0.0, seconds) * clock.MILLIS_PER_SECOND
