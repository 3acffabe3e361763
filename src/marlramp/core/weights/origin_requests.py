"""Schedules an agent's requests to the origin for the digests of a version.

The origin is the service that holds the weights; the digests identify the
pieces of a version, so that an agent can check the pieces that it receives.

Load pattern: after a loss of power, or when a version is announced, all agents
lack the digests at once. One answer is enough for all agents, because they send
the digests to each other. If all agents sent their requests and retries at
once, they would overload the origin, which then resets connections, including
those that carry answers.
"""

from __future__ import annotations

import random

from marlramp import clock

UNDELAYED_AGENTS = 2
"""Number of agents that send a request without delay; the second one covers
for a first one that has failed."""

TAKEOVER_MS = 400.0
"""Delay per further rank before an agent sends a request too. It is long enough
for an answer to reach the other agents, and short compared with the 8 s within
which an announced version must take effect."""

RETRY_MIN_MS = 200.0
"""Backoff after the first failure; it doubles with each further failure."""

BACKOFF_PER_AGENT_MS = 100.0
"""Maximum backoff per agent of the fleet. All agents together then send the
origin about ten requests a second, whatever their number, and one of these
requests arrives soon after the origin recovers. One agent alone sends about
five, because its backoff is at least `RETRY_MIN_MS`."""

JITTER = 0.5
"""Fraction of a backoff by which it varies in either direction."""


class OriginRequests:
    """Schedule of one agent's requests for the digests of one version."""

    def __init__(self, now_ms: clock.Millis, rng: random.Random) -> None:
        """Starts the delay by rank at `now_ms`; `rng` varies the backoff."""
        self._since_ms: float = now_ms
        self._not_before_ms: float = now_ms
        self._backoff_ms = RETRY_MIN_MS
        self._rng = rng

    def due(self, rank: int, now_ms: clock.Millis) -> bool:
        """Returns whether to send a request now.

        Args:
          rank: number of agents that precede this one in the version's
            rendezvous order.
          now_ms: the current time.
        """
        delay_ms = max(0, rank + 1 - UNDELAYED_AGENTS) * TAKEOVER_MS
        return now_ms >= max(self._since_ms + delay_ms, self._not_before_ms)

    def overdue(self, now_ms: clock.Millis) -> bool:
        """Returns whether `TAKEOVER_MS` has passed since the start.

        By then the agents without delay should have sent the digests.
        """
        return now_ms - self._since_ms >= TAKEOVER_MS

    def record_failure(self, agents: int, now_ms: clock.Millis) -> None:
        """Records that the origin did not answer a request.

        Args:
          agents: number of agents that may send requests, including this one.
          now_ms: the current time.
        """
        jitter = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
        self._not_before_ms = now_ms + jitter * self._backoff_ms
        backoff_max_ms = max(RETRY_MIN_MS, BACKOFF_PER_AGENT_MS * agents)
        self._backoff_ms = min(backoff_max_ms, 2 * self._backoff_ms)
