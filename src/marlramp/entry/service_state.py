"""State that an entry keeps for each service."""

from __future__ import annotations

from marlramp.core.grant_calls import queueing
from marlramp.core.requests import retries
from marlramp.core.requests import run_duration
from marlramp.settings import schema

RETRY_BUDGET_BURST = 20.0
"""Retries of a service that an entry may send at once, beyond the ratio."""


class ServiceState:
    """Queue, retry budget and run durations of one service at this entry.

    Attributes:
      queue: requests that wait for a grant.
      retry_budget: limits retries to a ratio of the requests.
      run_duration: estimates how long a run takes from completed runs.
      in_flight: number of attempts that run now.
    """

    def __init__(self, values: schema.Settings) -> None:
        """Starts with an empty queue."""
        self.queue = queueing.FairQueue(values.queue_length_max)
        self.retry_budget = retries.RetryBudget(
            values.retry_ratio, RETRY_BUDGET_BURST
        )
        self.run_duration = run_duration.RunDuration()
        self.in_flight = 0

    def apply_settings(self, values: schema.Settings) -> None:
        """Applies changed settings to the queue and the retry budget."""
        self.queue.length_max = values.queue_length_max
        self.retry_budget.ratio = values.retry_ratio
