"""When an agent asks the origin for the digests of a version.

Load pattern: after a loss of power, or when a version is named, all agents lack
the digests at the same moment, and one answer is enough for all of them, since
they tell each other. What all ask at once, and again at once, is more than the
origin bears: it resets connections, the answers among them.
"""

from __future__ import annotations

import random

from marlramp import clock

FIRST_ASKERS = 2
"""Agents that ask at once; the second in case the first is gone."""

TAKEOVER_MS = 400.0
"""Wait per further rank before an agent asks beside those before it: long
enough for an answer to reach the others, short beside the 8 s in which a named
version is to be in force."""

RETRY_MIN_MS = 200.0
"""Pause after the first failure, doubled with each further one."""

PAUSE_PER_AGENT_MS = 100.0
"""Longest pause per agent of the fleet, so that all of them together ask the
origin some ten times a second, however many they are, and one of them soon
after the origin is back."""

JITTER = 0.5
"""Part of a pause by which it varies either way."""


class OriginAsks:
    """One agent's asks for one version."""

    def __init__(self, now_ms: clock.Millis, rng: random.Random) -> None:
        """Has not asked yet."""
        self._since_ms: float = now_ms
        self._not_before_ms: float = now_ms
        self._pause_ms = RETRY_MIN_MS
        self._rng = rng

    def due(self, rank: int, now_ms: clock.Millis) -> bool:
        """Returns whether to ask now.

        Args:
          rank: number of agents that go before this one.
          now_ms: the time.
        """
        turn_ms = max(0, rank + 1 - FIRST_ASKERS) * TAKEOVER_MS
        return now_ms >= max(self._since_ms + turn_ms, self._not_before_ms)

    def overdue(self, now_ms: clock.Millis) -> bool:
        """Returns whether those who ask first should have told by now."""
        return now_ms - self._since_ms >= TAKEOVER_MS

    def failed(self, agents: int, now_ms: clock.Millis) -> None:
        """Records that the origin gave no answer.

        Args:
          agents: agents that may ask, this one among them.
          now_ms: the time.
        """
        vary = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
        self._not_before_ms = now_ms + vary * self._pause_ms
        longest_ms = max(RETRY_MIN_MS, PAUSE_PER_AGENT_MS * agents)
        self._pause_ms = min(longest_ms, 2 * self._pause_ms)
