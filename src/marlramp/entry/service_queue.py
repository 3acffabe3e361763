"""What an entry keeps for each service."""

from __future__ import annotations

from marlramp.core import queueing
from marlramp.core import retries
from marlramp.core import run_duration
from marlramp.settings import schema

RETRY_BUDGET_BURST = 20.0


class ServiceQueue:
    """Queue, retry budget and pace of one service at this entry."""

    def __init__(self, values: schema.Settings) -> None:
        """Starts empty."""
        self.queue = queueing.FairQueue(values.queue_length_max)
        self.budget = retries.RetryBudget(
            values.retry_ratio, RETRY_BUDGET_BURST
        )
        self.pace = run_duration.RunDuration()
        self.in_flight = 0

    def configure(self, values: schema.Settings) -> None:
        """Applies settings that came into force."""
        self.queue.length_max = values.queue_length_max
        self.budget.ratio = values.retry_ratio
