"""How long callers of a route say at first that they will wait.

A caller that comes back after a refusal or a lost answer says how much of its
time is left, not that it has come before. Callers differ in how long they wait
(by 15% on the deployments measured), so that only one who will wait for less
than nearly all others do has surely spent time on an attempt before.
"""

from __future__ import annotations

START_SHARE = 0.8
"""Part of a route's time that callers are first taken to wait for at least."""

LOW_SHARE = 0.02
"""Part of the callers that may wait for less without having come before."""

STEP_SHARE = 0.001
"""Part of the route's time by which one request moves the estimate. Small, so
that some hundred callers that come back after an outage move it by less than a
tenth, and it recovers from them."""


class CallerWaits:
    """Estimates the least time that callers of a route wait for at first.

    Each request moves the estimate up a little or down a lot, so that it comes
    to rest where one in fifty lies below.
    """

    def __init__(self, timeout_ms: float) -> None:
        """Starts with a guess.

        Args:
          timeout_ms: longest time that the route keeps a request waiting.
        """
        self._timeout_ms = timeout_ms
        self._least_share = START_SHARE

    def spent_ms(self, wait_ms: float | None) -> float:
        """Returns the least time that a caller must have spent before.

        Args:
          wait_ms: how long the caller will wait, None if it does not say.
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
