"""Retry reasons, retry budget and backoff of the grants path."""

from __future__ import annotations

import enum
import random

from marlramp import clock
from marlramp import errors


class RetryReason(enum.Enum):
    """Why a request is retried; each reason has its own counter."""

    GRANT_VOID = "grant_void"
    UPSTREAM_BUSY = "upstream_busy"
    UPSTREAM_LEAVING = "upstream_leaving"
    VERSION_NOT_READY = "version_not_ready"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_SILENT = "upstream_silent"
    ANSWER_INCOMPLETE = "answer_incomplete"
    ANSWER_INVALID = "answer_invalid"
    VERSION_CHANGED = "version_changed"


class RetryDenial(enum.Enum):
    """Why a failed request is not retried.

    Attributes:
      UNSAFE: the request is not idempotent and may have run, or the failure
        is one that a retry can't mend.
      SENDS: the request was sent to as many replicas as are allowed.
      TIME: its time is over, or its caller may have left.
      SUSPECTED: it is suspected of crashes and runs at one replica only.
      BUDGET: the shared retry budget is used up.
      NO_UPSTREAM: no other replica can take it.
    """

    UNSAFE = "unsafe"
    SENDS = "sends"
    TIME = "time"
    SUSPECTED = "suspected"
    BUDGET = "retry_budget"
    NO_UPSTREAM = "no_upstream"


_REASONS = {
    errors.ErrorKind.GRANT_VOID: RetryReason.GRANT_VOID,
    errors.ErrorKind.UPSTREAM_BUSY: RetryReason.UPSTREAM_BUSY,
    errors.ErrorKind.UPSTREAM_LEAVING: RetryReason.UPSTREAM_LEAVING,
    errors.ErrorKind.VERSION_NOT_READY: RetryReason.VERSION_NOT_READY,
    errors.ErrorKind.UPSTREAM_FAILED: RetryReason.UPSTREAM_FAILED,
    errors.ErrorKind.UPSTREAM_LOST: RetryReason.UPSTREAM_LOST,
    errors.ErrorKind.ANSWER_INCOMPLETE: RetryReason.ANSWER_INCOMPLETE,
    errors.ErrorKind.ANSWER_INVALID: RetryReason.ANSWER_INVALID,
    errors.ErrorKind.VERSION_CHANGED: RetryReason.VERSION_CHANGED,
}


class RetryBudget:
    """Allows retries as a fraction of recent first attempts."""

    def __init__(self, ratio: float, burst: float) -> None:
        """Creates a full budget.

        Args:
          ratio: retries that each first attempt earns.
          burst: most retries that can be saved.
        """
        self.ratio = ratio
        self._burst = burst
        self._saved = burst

    def record_request(self) -> None:
        """Counts a first attempt, which earns `ratio` of a retry."""
        self._saved = min(self._burst, self._saved + self.ratio)

    def try_spend(self) -> bool:
        """Spends one retry if there is one; returns whether there was."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


def retry_reason(
    failure: errors.CallError, *, idempotent: bool
) -> RetryReason | None:
    """Returns the reason for a retry, or None if a retry is not safe.

    A request that is not idempotent is retried only if the failure proves that
    it did not run.
    """
    reason = _REASONS.get(failure.kind)
    if reason is None:
        return None
    if failure.ran is not errors.Ran.NO and not idempotent:
        return None
    return reason


def backoff_ms(attempt: int, base_ms: float, cap_ms: float) -> clock.Millis:
    """Returns a random wait below an exponentially growing bound.

    Args:
      attempt: attempts so far; the bound doubles with each.
      base_ms: bound for attempt 0.
      cap_ms: largest bound.
    """
    bound_ms = min(cap_ms, base_ms * 2.0**attempt)
    return clock.Millis(random.uniform(0.0, bound_ms))
