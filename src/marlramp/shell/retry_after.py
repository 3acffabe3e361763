"""Reads `Retry-After` fields of answers (RFC 9110, section 10.2.3).

Seconds may have fractions. Whatever a field names, nobody is kept away for
longer than `WAIT_MAX_MS`: one spoilt byte must not cost a sound peer a day.
"""

from __future__ import annotations

from collections.abc import Iterable
import email.utils
import math

import msgspec

from marlramp import clock
from marlramp.shell import http1_client

WAIT_MAX_MS = 300_000.0
"""Longest time that is kept."""

_ABSENT = ""


class RetryAfter(msgspec.Struct, frozen=True):
    """What the fields of one answer say.

    Attributes:
      wait_ms: the longest time that they name, at most `WAIT_MAX_MS`; None if
        they name none.
      unreadable: a value that names no time, "" if there is none.
    """

    wait_ms: float | None = None
    unreadable: str = _ABSENT


def read(values: Iterable[str], date: str = _ABSENT) -> RetryAfter:
    """Returns what an answer says of when to come back.

    Args:
      values: the values of its `Retry-After` fields.
      date: the value of its `Date` field, by which a point in time is read,
        since clocks differ; "" if it has none.
    """
    waits_ms = []
    unreadable = _ABSENT
    for value in values:
        for part in _parts(value):
            wait_ms = _wait_ms(part, date)
            if wait_ms is None:
                unreadable = part.strip() or "empty"
            else:
                waits_ms.append(min(wait_ms, WAIT_MAX_MS))
    return RetryAfter(max(waits_ms, default=None), unreadable)


def of_answer(head: http1_client.ResponseHead) -> RetryAfter:
    """Returns what the head of an answer says of when to come back."""
    date = head.header(b"date") or b""
    return read(head.values(b"retry-after"), date.decode("latin-1"))


def _parts(value: str) -> list[str]:
    """Returns the values of fields that were joined on the way."""
    # A date has a comma of its own.
    return [value] if "GMT" in value else value.split(",")


def _wait_ms(text: str, date: str) -> float | None:
    """Returns the time that one value names, None if it names none."""
    try:
        seconds = float(text)
    except ValueError:
        return _until_ms(text, date)
    if not math.isfinite(seconds) or seconds < 0.0:
        return None
    return seconds * clock.MILLIS_PER_SECOND


def _until_ms(text: str, date: str) -> float | None:
    """Returns the time from `date` to a point in time."""
    try:
        until = email.utils.parsedate_to_datetime(text)
        since = email.utils.parsedate_to_datetime(date)
        seconds = (until - since).total_seconds()
    except (TypeError, ValueError):
        return None
    return max(0.0, seconds) * clock.MILLIS_PER_SECOND
