"""How often runs at this entry are lost in crashes as they begin.

While replicas crash for whatever reason, sound requests are lost as well. The
share of lost runs tells how likely it is that a sound part of prompts loses
several runs in a row. Runs that were lost at crashes of the part itself don't
count: if it is the cause, it ended them too.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
import math

import msgspec

from marlramp import clock
from marlramp import ids

WINDOW_MS = 30_000.0
"""Age up to which runs count."""

BUCKET_MS = 1_000.0
"""Period of the runs that are counted together."""

PRIOR_LOST = 1.0
PRIOR_SURVIVED = 2.0
"""Runs that are assumed in addition to the counted ones: without any, a sound
run is taken to be lost with a probability of a third."""


class _Bucket(msgspec.Struct):
    number: int
    survived: int = 0
    lost_at: collections.Counter[ids.CrashId] = msgspec.field(
        default_factory=collections.Counter
    )


class RunOutcomes:
    """Runs of the last `WINDOW_MS` that survived or were lost in a crash."""

    def __init__(self) -> None:
        """Starts without runs."""
        self._buckets: collections.deque[_Bucket] = collections.deque()

    def record_survived(self, begun_ms: clock.Millis) -> None:
        """Counts a run that survived."""
        self._bucket(begun_ms).survived += 1

    def record_lost(self, crash: ids.CrashId, now_ms: clock.Millis) -> None:
        """Counts a run that was lost in a crash as it began."""
        self._bucket(now_ms).lost_at[crash] += 1

    def loss_probability(
        self, without: Collection[ids.CrashId], now_ms: clock.Millis
    ) -> float:
        """Returns how likely a run is lost as it begins.

        Args:
          without: crashes whose runs don't count.
          now_ms: the current time.
        """
        self._drop_old(now_ms)
        lost = PRIOR_LOST
        survived = PRIOR_SURVIVED
        for bucket in self._buckets:
            survived += bucket.survived
            lost += sum(
                runs
                for crash, runs in bucket.lost_at.items()
                if crash not in without
            )
        return lost / (lost + survived)

    def _bucket(self, now_ms: clock.Millis) -> _Bucket:
        number = math.floor(now_ms / BUCKET_MS)
        # Runs that survived are recorded later than they began.
        if not self._buckets or self._buckets[-1].number < number:
            self._drop_old(now_ms)
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]

    def _drop_old(self, now_ms: clock.Millis) -> None:
        oldest = math.floor((now_ms - WINDOW_MS) / BUCKET_MS)
        while self._buckets and self._buckets[0].number <= oldest:
            self._buckets.popleft()
