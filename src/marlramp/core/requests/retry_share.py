"""One retry budget per service, divided among entries without a coordinator.

The retries of a service in any window are bounded by a ratio of its requests
plus a fixed slack, summed over all entries. A process remembers nothing of the
one that ran on its VM before, and any number of them may be killed at any time.
What a process may spend is therefore bounded by what it has earned itself:

- A part of the ratio is earned with each request. Processes that run one after
  the other receive different requests, so that what they earn together is
  bounded by the ratio, however often they restart.
- A part of the slack is earned evenly over time, divided among the entries.
  Processes of one VM do not run at the same time, so that this is bounded too.
- What is not spent is saved up to a further part of the ratio and of the slack.
  A process may spend its savings and be killed, and the next one earns again.
- A process may spend its first retries in advance, before it has earned them.
  The longer it runs, the more: otherwise processes that are killed soon could
  spend the whole advance each time. What it earns afterwards repays it first.
"""

from __future__ import annotations

import collections
import enum
import math

from marlramp import clock

RATIO_EARNED = 0.75
"""Part of the ratio that each request earns."""

RATIO_SAVED = 0.2
"""Part of the ratio, of the requests in the last window, that can be saved."""

SLACK_EARNED = 0.5
"""Part of the slack that all entries together earn in a window."""

SLACK_SAVED = 0.25
"""Part of the slack that all entries together can save."""

SLACK_ADVANCED_MIN = 0.08
"""Part of the slack that all entries together may spend in advance right after
they started."""

SLACK_ADVANCED = 0.12
"""Part of the slack that all entries together may spend in advance once they
have run for `ADVANCE_GROWTH_MS`."""

ADVANCE_GROWTH_MS = 1_600.0
"""Time over which the advance of a process grows from nothing to all of it.
Entries that restart as often as this, and that had saved retries before, stay
within the slack. The least advance is exempt from this, so that entries that
restart more often than each 1.1 s may exceed it."""

HOLDERS_SAFETY = 0.75
"""Part of the whole retries of a bound that are given to entries by chance. The
number of entries that hold one varies."""


class RetrySource(enum.Enum):
    """What pays for a retry.

    Attributes:
      RATIO: the requests that this process received.
      SLACK: its part of the slack, alone or with a part of the ratio.
      ADVANCE: what it will earn after its start.
    """

    RATIO = "ratio"
    SLACK = "slack"
    ADVANCE = "advance"


class RetryShare:
    """This process's part of one service's retry budget."""

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_ms: float,
        started_ms: clock.Millis,
        rank: float = 0.0,
    ) -> None:
        """Starts with no request and no retry counted.

        Args:
          ratio: retries allowed per request.
          slack: further retries allowed in a window, for all entries together.
          window_ms: length of the window.
          started_ms: when this process started.
          rank: a number in [0, 1) that is uniformly distributed over the
            entries. Where there are fewer whole retries than entries, those
            with the lowest ranks have them.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._rank = rank
        self._requests: collections.deque[float] = collections.deque()
        self._demands: collections.deque[float] = collections.deque()
        self._by_ratio = 0.0
        self._by_slack = 0.0
        self._debt = 0.0
        self._updated_ms: float = started_ms
        self.spent = 0
        """Number of retries that were spent and not refunded."""

    def configure(self, ratio: float, slack: float) -> None:
        """Applies a changed ratio and slack."""
        self._ratio = ratio
        self._slack = slack

    def record_request(self, now_ms: clock.Millis) -> None:
        """Counts a request that a caller sent."""
        self._drop_expired(now_ms)
        self._requests.append(now_ms)
        self._by_ratio += self._repay(self._ratio * RATIO_EARNED)

    def record_demand(self, now_ms: clock.Millis) -> None:
        """Counts a request that needs a retry, whether it gets one or not."""
        self._drop_expired(now_ms)
        self._demands.append(now_ms)

    def covers_demand(self, entries: int, now_ms: clock.Millis) -> bool:
        """Returns whether as many retries are earned as are needed.

        Args:
          entries: number of entries that share the budget, at least 1.
          now_ms: the time.
        """
        self._update(entries, now_ms)
        earned = self._slack_share(SLACK_EARNED, entries)
        earned += len(self._requests) * self._ratio * RATIO_EARNED
        return len(self._demands) <= earned

    def has_retry(self, entries: int, now_ms: clock.Millis) -> bool:
        """Returns whether `try_spend` would spend a retry.

        Args:
          entries: number of entries that share the budget, at least 1.
          now_ms: the time.
        """
        return self._source(entries, now_ms) is not None

    def try_spend(
        self, entries: int, now_ms: clock.Millis
    ) -> RetrySource | None:
        """Spends one retry if there is one.

        Args:
          entries: number of entries that share the budget, at least 1.
          now_ms: the time.

        Returns:
          What pays for the retry, None if there is none.
        """
        source = self._source(entries, now_ms)
        if source is None:
            return None
        self.spent += 1
        by_ratio = min(1.0, self._by_ratio)
        by_slack = min(1.0 - by_ratio, self._by_slack)
        self._by_ratio -= by_ratio
        self._by_slack -= by_slack
        self._debt += 1.0 - by_ratio - by_slack
        return source

    def refund(self) -> None:
        """Takes back a retry that was spent and not sent."""
        if self.spent:
            self.spent -= 1
            self._by_slack += self._repay(1.0)

    def wait_ms(self, count: int, entries: int, now_ms: clock.Millis) -> float:
        """Returns the expected time until several retries can be spent.

        Args:
          count: number of retries, at least 1.
          entries: number of entries that share the budget, at least 1.
          now_ms: the time.

        Returns:
          The time in ms, infinite if too few can ever be saved.
        """
        self._update(entries, now_ms)
        missing = count - self._by_ratio - self._by_slack + self._debt
        if missing <= 0.0:
            return 0.0
        period_ms = min(self._window_ms, max(1.0, now_ms - self._started_ms))
        per_ms = (
            self._slack_share(SLACK_EARNED, entries) / self._window_ms
            + len(self._requests) * self._ratio * RATIO_EARNED / period_ms
        )
        saved = self._ratio_saved_max() + self._slack_share(
            SLACK_SAVED, entries
        )
        advanced_ms = self._advance_wait_ms(count, entries, now_ms)
        if per_ms <= 0.0 or saved < 1.0:
            return advanced_ms
        return min(advanced_ms, missing / per_ms)

    def _advance_wait_ms(
        self, count: int, entries: int, now_ms: clock.Millis
    ) -> float:
        """Returns the time until the advance covers several more retries."""
        advanced = self._slack_share(SLACK_ADVANCED, entries)
        needed = self.spent + count
        if needed > advanced:
            return math.inf
        due_ms = self._started_ms + ADVANCE_GROWTH_MS * needed / advanced
        return max(0.0, due_ms - now_ms)

    def _source(self, entries: int, now_ms: clock.Millis) -> RetrySource | None:
        self._update(entries, now_ms)
        if self._by_ratio >= 1.0:
            return RetrySource.RATIO
        if self._by_ratio + self._by_slack >= 1.0:
            return RetrySource.SLACK
        advanced = self._slack_share(self._advanced_part(now_ms), entries)
        if self.spent + 1.0 <= advanced:
            return RetrySource.ADVANCE
        return None

    def _advanced_part(self, now_ms: clock.Millis) -> float:
        """Returns the part of the slack that may be spent in advance now."""
        grown = (now_ms - self._started_ms) / ADVANCE_GROWTH_MS
        return max(SLACK_ADVANCED_MIN, SLACK_ADVANCED * min(1.0, grown))

    def _update(self, entries: int, now_ms: clock.Millis) -> None:
        """Adds what was earned over time, and drops what can't be saved."""
        self._drop_expired(now_ms)
        elapsed_ms = max(0.0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        per_window = self._slack_share(SLACK_EARNED, entries)
        earned = per_window * elapsed_ms / self._window_ms
        self._by_slack += self._repay(earned)
        self._by_ratio = min(self._by_ratio, self._ratio_saved_max())
        self._by_slack = min(
            self._by_slack, self._slack_share(SLACK_SAVED, entries)
        )

    def _drop_expired(self, now_ms: clock.Millis) -> None:
        start_ms = now_ms - self._window_ms
        for times in (self._requests, self._demands):
            while times and times[0] < start_ms:
                times.popleft()

    def _ratio_saved_max(self) -> float:
        return len(self._requests) * self._ratio * RATIO_SAVED

    def _slack_share(self, part: float, entries: int) -> float:
        """Returns this entry's share of a part of the slack.

        The share is 0 or enough for at least one whole retry if all entries
        could save fewer whole retries than there are entries.
        """
        whole = self._slack * min(part, SLACK_SAVED)
        if entries <= whole:
            return self._slack * part / entries
        holders = whole * HOLDERS_SAFETY
        if self._rank >= holders / entries:
            return 0.0
        return self._slack * part / whole

    def _repay(self, earned: float) -> float:
        """Repays the debt, and returns what is left of what was earned."""
        repaid = min(self._debt, earned)
        self._debt -= repaid
        return earned - repaid
