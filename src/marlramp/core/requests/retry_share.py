"""One retry budget per service, divided among entries without a coordinator.

The retries of a service in any window are bounded by a ratio of its requests
plus a fixed slack. Each entry spends the ratio of the requests that it received
itself, and an equal part of the slack. The slack is divided by the largest
number of entries known recently, so that the parts sum to no more than the
slack when entries fail or are partitioned from each other.
"""

from __future__ import annotations

import collections
import enum

from marlramp import clock

RATIO_SAFETY = 0.8
"""Part of the ratio that is spent. The rest covers the difference between the
time when an entry counts a request and the time when a retry arrives."""

SLACK_SAFETY = 0.8
"""Part of the slack that is spent. The rest is left to entries that this entry
does not know yet."""

ENTRIES_MIN = 8
"""Least number of entries by which the slack is divided, for the time before
this entry knows the others."""


class RetrySource(enum.Enum):
    """What pays for a retry.

    Attributes:
      RATIO: the requests that this entry received.
      SLACK: its part of the slack.
    """

    RATIO = "ratio"
    SLACK = "slack"


class RetryShare:
    """This entry's part of one service's retry budget."""

    def __init__(self, ratio: float, slack: float, window_ms: float) -> None:
        """Starts with no request and no retry counted.

        Args:
          ratio: retries allowed per request.
          slack: further retries allowed in a window, for all entries together.
          window_ms: length of the window.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def configure(self, ratio: float, slack: float) -> None:
        """Applies a changed ratio and slack."""
        self._ratio = ratio
        self._slack = slack

    def record_request(self, now_ms: clock.Millis) -> None:
        """Counts a request that a caller sent."""
        self._requests.append(now_ms)

    def allowed(self, entries: int, now_ms: clock.Millis) -> float:
        """Returns how many retries this entry may spend in the current window.

        Args:
          entries: largest number of entries known recently, this one included.
          now_ms: the time.
        """
        self._drop_expired(now_ms)
        slack = self._slack * SLACK_SAFETY / max(ENTRIES_MIN, entries)
        return len(self._requests) * self._ratio * RATIO_SAFETY + slack

    def has_retry(self, entries: int, now_ms: clock.Millis) -> bool:
        """Returns whether `try_spend` would spend a retry.

        Args:
          entries: largest number of entries known recently, this one included.
          now_ms: the time.
        """
        # Also drops expired retries, which must not be counted.
        allowed = self.allowed(entries, now_ms)
        return len(self._retries) + 1 <= allowed

    def refund(self) -> None:
        """Takes back the last retry, which was not sent."""
        if self._retries:
            self._retries.pop()

    def try_spend(
        self, entries: int, now_ms: clock.Millis
    ) -> RetrySource | None:
        """Spends one retry if there is one.

        Args:
          entries: largest number of entries known recently, this one included.
          now_ms: the time.

        Returns:
          What pays for the retry, None if there is none.
        """
        if not self.has_retry(entries, now_ms):
            return None
        self._retries.append(now_ms)
        earned = len(self._requests) * self._ratio * RATIO_SAFETY
        if len(self._retries) <= earned:
            return RetrySource.RATIO
        return RetrySource.SLACK

    def _drop_expired(self, now_ms: clock.Millis) -> None:
        start_ms = now_ms - self._window_ms
        for times in (self._requests, self._retries):
            while times and times[0] < start_ms:
                times.popleft()
