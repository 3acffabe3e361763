"""Logs and counts replicas that become cold or warm, as this entry knows it."""

from __future__ import annotations

import collections

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.core.replicas import cold_replica
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view

CHECK_INTERVAL_MS = 1_000.0
"""Time between two checks of all replicas. A check of 11,000 replicas takes
2.4 ms, which at every tick of the entry would cost 2.4% of a core."""

LINES_PER_S_MAX = 20
"""Maximum number of lines within any second. The end of an evacuation makes
all replicas of a data centre cold at once."""


class ColdLog:
    """Compares the cold states of all replicas with those of the last check.

    A replica that leaves the list, or whose service has no cold starts any
    more, is dropped without a line.
    """

    def __init__(
        self,
        table: replica_table.ReplicaTable,
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Starts without any cold replica.

        Args:
          table: the replicas.
          totals: counters; they count the changes that are not logged too.
          time: the clock.
        """
        self._table = table
        self._totals = totals
        self._clock = time
        self._cold_ids: set[str] = set()
        self._checked_ms = float("-inf")
        self._logged_ms: collections.deque[float] = collections.deque(
            maxlen=LINES_PER_S_MAX
        )

    def tick(self) -> None:
        """Logs the changes since the last check if another one is due."""
        now_ms = self._clock.now_ms()
        if now_ms < self._checked_ms + CHECK_INTERVAL_MS:
            return
        self._checked_ms = now_ms
        cold = cold_views(self._table, now_ms)
        cold_ids = {view.replica.replica_id for view, _ in cold}
        for view, state in cold:
            if view.replica.replica_id not in self._cold_ids:
                self._record("cold", view, state, now_ms)
        for replica_id in sorted(self._cold_ids - cold_ids):
            found = self._table.get(replica_id)
            if found is not None and found.cold is not None:
                self._record("warm", found, found.cold, now_ms)
        self._cold_ids = cold_ids

    def _record(
        self,
        change: str,
        view: replica_view.ReplicaView,
        state: cold_replica.ColdReplica,
        now_ms: clock.Millis,
    ) -> None:
        self._totals.add(counters.CounterName.COLD_STATES, change)
        is_full = len(self._logged_ms) == LINES_PER_S_MAX
        if is_full and now_ms - self._logged_ms[0] < clock.MILLIS_PER_SECOND:
            return
        self._logged_ms.append(now_ms)
        logs.log(
            f"replica_{change}",
            replica=view.replica.replica_id,
            service=view.replica.service_id,
            data_centre=view.replica.data_centre,
            left_ms=round(state.left_ms(now_ms)),
            share_per_s=state.share_per_s(),
            reason=state.reason.value,
        )


def cold_views(
    table: replica_table.ReplicaTable, now_ms: clock.Millis
) -> list[tuple[replica_view.ReplicaView, cold_replica.ColdReplica]]:
    """Returns the replicas that are cold now, with their cold states."""
    return [
        (view, view.cold)
        for view in table
        if view.cold is not None and view.cold.is_cold(now_ms)
    ]
