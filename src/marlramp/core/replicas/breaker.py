"""Circuit breaker for one upstream, against upstreams that fail fast."""

from __future__ import annotations

import enum

from marlramp import clock


class BreakerState(enum.Enum):
    """States of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """Opens after consecutive failures and later admits one trial request."""

    def __init__(self, failures_max: int, open_ms: float) -> None:
        """Creates a closed breaker.

        Args:
          failures_max: number of consecutive failures that open the breaker.
          open_ms: time for which the breaker stays open before a trial.
        """
        self._failures_max = failures_max
        self._open_ms = open_ms
        self._failures = 0
        self._opened_ms: float | None = None
        self._trial_ms: float | None = None
        self._failing_since_ms: float | None = None

    def configure(self, failures_max: int, open_ms: float) -> None:
        """Applies changed settings."""
        self._failures_max = failures_max
        self._open_ms = open_ms

    def state(self, now_ms: clock.Millis) -> BreakerState:
        """Returns the state now."""
        if self._opened_ms is None:
            return BreakerState.CLOSED
        if now_ms - self._opened_ms < self._open_ms:
            return BreakerState.OPEN
        return BreakerState.HALF_OPEN

    @property
    def failing_since_ms(self) -> float | None:
        """Clock reading of the first failure since the last success.

        None if no request failed since.
        """
        return self._failing_since_ms

    def allows(self, now_ms: clock.Millis) -> bool:
        """Returns whether a request may be sent now."""
        state = self.state(now_ms)
        if state is BreakerState.HALF_OPEN:
            return (
                self._trial_ms is None
                or now_ms - self._trial_ms >= self._open_ms
            )
        return state is BreakerState.CLOSED

    def record_start(self, now_ms: clock.Millis) -> None:
        """Counts a sent request, which is the trial if half open."""
        if self.state(now_ms) is BreakerState.HALF_OPEN:
            self._trial_ms = now_ms

    def record_success(self) -> None:
        """Closes the breaker."""
        self._failures = 0
        self._opened_ms = None
        self._trial_ms = None
        self._failing_since_ms = None

    def trip(self, now_ms: clock.Millis) -> None:
        """Opens the breaker at once, for a failure that is certain."""
        self._opened_ms = now_ms
        self._trial_ms = None
        self._record_failing(now_ms)

    def record_failure(self, now_ms: clock.Millis) -> None:
        """Counts a failure and opens the breaker at the limit.

        A failure of a trial opens the breaker again.
        """
        self._failures += 1
        self._record_failing(now_ms)
        if self._failures >= self._failures_max or self._opened_ms is not None:
            self.trip(now_ms)

    def _record_failing(self, now_ms: clock.Millis) -> None:
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
