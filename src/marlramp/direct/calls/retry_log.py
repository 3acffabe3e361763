"""Logs and counts how each service's retry budget is spent."""

from __future__ import annotations

import collections

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.core.requests import retry_share

LINE_INTERVAL_MS = 1_000.0
"""Least time between two lines on one service."""


class ServiceRetries:
    """What happened to the budget of one service since its last line.

    Attributes:
      requests: number of requests that were received.
      spent: number of retries that were spent, by source.
      refunded: number of retries that were spent and not sent.
      denied: number of retries that the budget did not allow.
      waited: number of retries that were spent after a wait.
      wait_max_ms: longest of these waits.
      since_ms: when this period began.
    """

    def __init__(self, now_ms: clock.Millis) -> None:
        """Starts a period without any event."""
        self.requests = 0
        self.spent: collections.Counter[retry_share.RetrySource] = (
            collections.Counter()
        )
        self.refunded = 0
        self.denied = 0
        self.waited = 0
        self.wait_max_ms = 0.0
        self.since_ms = now_ms

    @property
    def is_worth_a_line(self) -> bool:
        """Whether any retry was spent or denied."""
        return bool(self.spent) or self.refunded > 0 or self.denied > 0


class RetryLog:
    """Writes at most one line a second on each service that retries."""

    def __init__(self, totals: counters.Counters, time: clock.Clock) -> None:
        """Starts without any event.

        Args:
          totals: counters.
          time: the clock.
        """
        self._totals = totals
        self._clock = time
        self._started_ms = time.now_ms()
        self._services: dict[ids.ServiceId, ServiceRetries] = {}

    def record_request(self, service_id: ids.ServiceId) -> None:
        """Counts a request that a caller sent."""
        self._of(service_id).requests += 1

    def record_spent(
        self, service_id: ids.ServiceId, source: retry_share.RetrySource
    ) -> None:
        """Counts a retry that was spent."""
        self._totals.add(counters.CounterName.RETRY_BUDGET, source.value)
        self._of(service_id).spent[source] += 1

    def record_refunded(self, service_id: ids.ServiceId) -> None:
        """Counts a retry that was spent and not sent."""
        self._totals.add(counters.CounterName.RETRY_BUDGET, "refunded")
        self._of(service_id).refunded += 1

    def record_denied(self, service_id: ids.ServiceId) -> None:
        """Counts a retry that the budget did not allow."""
        self._totals.add(counters.CounterName.RETRY_BUDGET, "denied")
        self._of(service_id).denied += 1

    def record_wait(self, service_id: ids.ServiceId, wait_ms: float) -> None:
        """Counts a retry that was spent, if it was waited for."""
        if wait_ms <= 0.0:
            return
        self._totals.add(counters.CounterName.RETRY_BUDGET, "waited")
        retries = self._of(service_id)
        retries.waited += 1
        retries.wait_max_ms = max(retries.wait_max_ms, wait_ms)

    def tick(self, entries: int) -> None:
        """Writes the lines that are due.

        Args:
          entries: number of entries by which the slack is divided.
        """
        now_ms = self._clock.now_ms()
        for service_id, retries in list(self._services.items()):
            if not retries.is_worth_a_line:
                continue
            if now_ms - retries.since_ms < LINE_INTERVAL_MS:
                continue
            logs.log(
                "retry_budget",
                service=service_id,
                requests=retries.requests,
                **{
                    f"by_{source.value}": retries.spent[source]
                    for source in retry_share.RetrySource
                },
                refunded=retries.refunded,
                denied=retries.denied,
                waited=retries.waited,
                wait_max_ms=round(retries.wait_max_ms),
                period_ms=round(now_ms - retries.since_ms),
                age_ms=round(now_ms - self._started_ms),
                entries=entries,
            )
            self._services[service_id] = ServiceRetries(now_ms)

    def _of(self, service_id: ids.ServiceId) -> ServiceRetries:
        found = self._services.get(service_id)
        if found is None:
            found = ServiceRetries(self._clock.now_ms())
            self._services[service_id] = found
        return found
