"""One retry budget over all entries, divided without a coordinator.

The users bound the repeats of a service in any window: a ratio of the
requests for it, plus a fixed slack. Each entry spends the ratio of the
requests that it took itself, and an equal part of the slack. The part is
divided by the most entries known lately, so that the parts sum to no more
than the slack when entries vanish or lose sight of each other.
"""

from __future__ import annotations

import collections

from marlramp import clock

RATIO_SAFETY = 0.8
"""Part of the ratio that is spent, since requests are counted as they are
taken and repeats when they arrive."""

SLACK_SAFETY = 0.8
"""Part of the slack that is spent, for entries not heard of yet."""

ENTRIES_MIN = 8
"""Entries that share the slack before others were heard of."""


class RetryShare:
    """This entry's part of one service's retry budget."""

    def __init__(self, ratio: float, slack: float, window_ms: float) -> None:
        """Starts with the full slack.

        Args:
          ratio: repeats allowed per request.
          slack: repeats allowed in a window beyond that, of all entries.
          window_ms: length of the window.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def configure(self, ratio: float, slack: float) -> None:
        """Takes changed bounds."""
        self._ratio = ratio
        self._slack = slack

    def record_request(self, now_ms: clock.Millis) -> None:
        """Counts a request that a caller sent."""
        self._requests.append(now_ms)

    def allowed(self, entries: int, now_ms: clock.Millis) -> float:
        """Returns the repeats that may be spent in this window in all."""
        self._forget(now_ms)
        slack = self._slack * SLACK_SAFETY / max(ENTRIES_MIN, entries)
        return len(self._requests) * self._ratio * RATIO_SAFETY + slack

    def try_spend(self, entries: int, now_ms: clock.Millis) -> bool:
        """Spends one repeat; returns whether there was one."""
        allowed = self.allowed(entries, now_ms)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_ms)
        return True

    def _forget(self, now_ms: clock.Millis) -> None:
        horizon_ms = now_ms - self._window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] < horizon_ms:
                times.popleft()
