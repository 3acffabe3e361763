"""Requests that ended well lately, by their content.

A popular request is under way at many replicas, and so at many crashes that it
has nothing to do with. Each run of it that ended well speaks for it once.
"""

from __future__ import annotations

import collections

import msgspec

from marlramp import clock
from marlramp import ids

REQUESTS_MAX = 4_096
"""Requests that are remembered, those that ended last."""

RUNS_MAX = 8
"""Runs of one request that are remembered."""

AGE_MAX_MS = 60_000.0
"""How long a run speaks for its request after the last one."""


class _Runs(msgspec.Struct):
    count: int
    last_ms: float


class GoodRuns:
    """Runs that ended well, by request."""

    def __init__(self) -> None:
        """Remembers none."""
        self._runs: collections.OrderedDict[ids.Fingerprint, _Runs] = (
            collections.OrderedDict()
        )

    def note(self, fingerprint: ids.Fingerprint, now_ms: clock.Millis) -> None:
        """Counts a run that ended well."""
        runs = self._runs.setdefault(fingerprint, _Runs(0, now_ms))
        runs.count = min(RUNS_MAX, runs.count + 1)
        runs.last_ms = now_ms
        self._runs.move_to_end(fingerprint)
        while len(self._runs) > REQUESTS_MAX:
            self._runs.popitem(last=False)

    def try_spend(
        self, fingerprint: ids.Fingerprint, now_ms: clock.Millis
    ) -> bool:
        """Uses up a run to clear its request; returns whether there was one."""
        runs = self._runs.get(fingerprint)
        if runs is None or now_ms - runs.last_ms > AGE_MAX_MS:
            return False
        runs.count -= 1
        if runs.count == 0:
            del self._runs[fingerprint]
        return True
