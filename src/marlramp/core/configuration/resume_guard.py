"""Holds requests back after this process was suspended.

Failure: a VM is suspended while the operator evacuates a data centre. When it
resumes, requests that waited in its sockets are read before the changes that
the other entries sent meanwhile, and would be sent to the evacuated replicas.
Requests are therefore held until another entry has answered a query made after
the suspension, for a short time at most, so that an entry that is cut off
serves on what it knows.
"""

from __future__ import annotations

from marlramp import clock

SUSPENSION_MIN_MS = 1_000.0
"""Least time without a sign of life of this process that counts as a
suspension. Changes reach all entries within a few seconds, so that a shorter
one uses up little of the time in which an evacuation takes effect."""

HOLD_MAX_MS = 500.0
"""Longest time for which requests are held. An answer from another region
arrives within a tenth of it; a link that the other entry closed during the
suspension is opened again first."""

QUERY_INTERVAL_MS = 50.0
"""Time between two queries while none was answered."""


class ResumeGuard:
    """Detects suspensions and says whether requests are held."""

    def __init__(self, evacuate_ms: float, time: clock.Clock) -> None:
        """Starts as a process that has not been suspended.

        Args:
          evacuate_ms: time within which an evacuation is in force, 0 if the
            deployment has no evacuations, in which case nothing is held.
          time: the clock.
        """
        self._evacuate_ms = evacuate_ms
        self._clock = time
        self._seen_ms = time.now_ms()
        self._resumed_ms: clock.Millis | None = None
        self._queried_ms = float("-inf")
        self._query = 0
        self._first_query = 1

    def configure(self, evacuate_ms: float) -> None:
        """Applies a changed time."""
        self._evacuate_ms = evacuate_ms

    def observe(self) -> bool:
        """Records that this process runs.

        Returns:
          Whether it was suspended before this call.
        """
        now_ms = self._clock.now_ms()
        silent_ms = now_ms - self._seen_ms
        self._seen_ms = now_ms
        if self._evacuate_ms <= 0.0 or silent_ms < SUSPENSION_MIN_MS:
            return False
        self._resumed_ms = now_ms
        self._queried_ms = float("-inf")
        # Answers to queries made before this suspension don't end the hold.
        self._first_query = self._query + 1
        return True

    @property
    def holds(self) -> bool:
        """Whether requests must wait."""
        if self._resumed_ms is None:
            return False
        if self._clock.now_ms() - self._resumed_ms >= HOLD_MAX_MS:
            self._resumed_ms = None
        return self._resumed_ms is not None

    def next_query(self) -> int | None:
        """Returns the number of a query to send now, None if none is due."""
        now_ms = self._clock.now_ms()
        if not self.holds or now_ms - self._queried_ms < QUERY_INTERVAL_MS:
            return None
        self._queried_ms = now_ms
        self._query += 1
        return self._query

    def record_answer(self, query: int) -> bool:
        """Records the answer to a query.

        Returns:
          Whether the answer ends the hold.
        """
        if not self.holds or query < self._first_query:
            return False
        self._resumed_ms = None
        return True
