"""Recent successful runs, counted by request fingerprint.

A popular request is in flight at many replicas, and so at many crashes that it
does not cause. Each successful run clears the request of one crash; at most 8
runs of a request are kept, until 60 s after the latest of them.
"""

from __future__ import annotations

import collections

import msgspec

from marlramp import clock
from marlramp import ids

REQUESTS_MAX = 4_096
"""Most requests whose runs are kept; those whose latest run is newest remain.
"""

RUNS_MAX = 8
"""Most runs of one request that are kept."""

AGE_MAX_MS = 60_000.0
"""Time after a request's latest successful run for which its runs can clear it
of crashes."""


class _Runs(msgspec.Struct):
    count: int
    last_ms: float


class SuccessfulRuns:
    """Successful runs by request."""

    def __init__(self) -> None:
        """Creates an empty collection."""
        self._runs: collections.OrderedDict[ids.Fingerprint, _Runs] = (
            collections.OrderedDict()
        )

    def record(
        self, fingerprint: ids.Fingerprint, now_ms: clock.Millis
    ) -> None:
        """Counts a successful run."""
        runs = self._runs.setdefault(fingerprint, _Runs(0, now_ms))
        runs.count = min(RUNS_MAX, runs.count + 1)
        runs.last_ms = now_ms
        self._runs.move_to_end(fingerprint)
        while len(self._runs) > REQUESTS_MAX:
            self._runs.popitem(last=False)

    def try_spend(
        self, fingerprint: ids.Fingerprint, now_ms: clock.Millis
    ) -> bool:
        """Consumes a successful run to clear its request of one crash.

        Returns:
          Whether there was a run to consume.
        """
        runs = self._runs.get(fingerprint)
        if runs is None or now_ms - runs.last_ms > AGE_MAX_MS:
            return False
        runs.count -= 1
        if runs.count == 0:
            del self._runs[fingerprint]
        return True
