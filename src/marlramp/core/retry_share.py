"""One retry budget over all entries, divided without a coordinator.

The users bound the repeats of a service in any window: a ratio of the
requests for it, plus a fixed slack. Each entry spends the ratio of the
requests that it took itself, and an equal part of the slack. The part is
divided by the most entries known lately, so that the parts sum to no more
than the slack when entries vanish or lose sight of each other. A process has no
slack before it has run for a window: what the one before it spent is over by
then, and those that started with it have been heard of.
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

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_ms: float,
        started_ms: clock.Millis,
    ) -> None:
        """Has spent nothing.

        Args:
          ratio: repeats allowed per request.
          slack: repeats allowed in a window beyond that, of all entries.
          window_ms: length of the window.
          started_ms: when this process started.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._slack_from_ms = started_ms + window_ms
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
        allowed = len(self._requests) * self._ratio * RATIO_SAFETY
        if now_ms >= self._slack_from_ms:
            allowed += self._slack * SLACK_SAFETY / max(ENTRIES_MIN, entries)
        return allowed

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
