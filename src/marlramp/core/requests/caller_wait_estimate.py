"""Estimates how long callers of a route wait on their first attempt.

A caller that retries after a refusal or a lost answer states how much of its
time is left, but not that this is a retry. Callers differ in how long they wait
(by 15% on the known deployments), so that only a caller that waits for less
time than nearly all others has certainly spent time on an earlier attempt.
"""

from __future__ import annotations

START_SHARE = 0.8
"""Initial estimate of the least wait, as a part of the route's timeout."""

LOW_SHARE = 0.02
"""Part of the first attempts whose wait may lie below the estimate."""

STEP_SHARE = 0.001
"""Part of the route's timeout by which a request moves the estimate at most. It
is small, so that some hundred callers that retry after an outage move the
estimate by less than a tenth, and the estimate recovers."""


class CallerWaitEstimate:
    """Estimates the least time that a route's callers wait on a first attempt.

    Each request moves the estimate up by a small step or down by a large one,
    so that it converges to the value below which one request in fifty lies.
    """

    def __init__(self, timeout_ms: float) -> None:
        """Starts at `START_SHARE` of the timeout.

        Args:
          timeout_ms: longest time that the route keeps a request waiting.
        """
        self._timeout_ms = timeout_ms
        self._least_share = START_SHARE

    def spent_ms(self, wait_ms: float | None) -> float:
        """Returns the least time that a caller has spent on earlier attempts.

        The call also updates the estimate.

        Args:
          wait_ms: time that the caller states it will wait, None if it states
            none; then the result is 0.
        """
        if wait_ms is None:
            return 0.0
        share = min(1.0, wait_ms / self._timeout_ms)
        spent_share = max(0.0, self._least_share - share)
        if spent_share > 0.0:
            self._least_share -= STEP_SHARE * (1.0 - LOW_SHARE)
        else:
            self._least_share += STEP_SHARE * LOW_SHARE
        return spent_share * self._timeout_ms
