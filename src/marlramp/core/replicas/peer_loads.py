"""Exchanges the load of each entry at each replica with other entries.

An engine's own report counts requests, but not how much of their prompts is
still to be read, and arrives about 200 ms late. Nearby entries therefore report
to each other what they have sent. Otherwise several entries choose one engine
at once, because each believes it to be idle.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from marlramp import clock
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view

DECREASES_PER_S_MAX = 80.0
"""Largest number of messages per second that report only decreased loads, as
received by an entry from all its peers together. An entry that misses a
decrease avoids an engine for a moment; an entry that misses an increase chooses
an engine that others choose as well. Each of 16 entries sends 9 to 11 messages
per second with this limit and 17 to 22 without, and as many callers are served
in time (replayed load at 0.8 to 1.15 times the capacity of 13 engines, three
seeds)."""


class OwnLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load that one entry causes at one replica.

    Attributes:
      replica_id: id of the replica.
      in_flight: number of requests that were sent and have not ended.
      unread_tokens: prompt tokens of requests that have produced no event yet,
        without those queued at the back.
      behind: number of requests queued at the back.
      behind_tokens: prompt tokens of the requests queued at the back.
    """

    replica_id: str
    in_flight: int
    unread_tokens: int
    behind: int = 0
    behind_tokens: int = 0


class PeerLoads:
    """Sums the loads that other entries report for each replica."""

    def __init__(self, table: replica_table.ReplicaTable) -> None:
        """Creates the sums without any reported load.

        Args:
          table: the replicas; the sums are written to their views.
        """
        self._table = table
        self._reported: dict[str, dict[str, OwnLoad]] = {}

    def update(self, peer: str, loads: Iterable[OwnLoad]) -> None:
        """Applies the loads that a peer reports for some replicas."""
        reported = self._reported.setdefault(peer, {})
        for load in loads:
            reported[load.replica_id] = load
            self._update_sums(load.replica_id)

    def replace(self, peer: str, loads: Iterable[OwnLoad]) -> None:
        """Applies a peer's complete report, replacing its earlier loads."""
        before = self._reported.pop(peer, {})
        self.update(peer, loads)
        for replica_id in before.keys() - self._reported[peer].keys():
            self._update_sums(replica_id)

    def drop(self, peer: str) -> None:
        """Removes the loads of a peer that has become silent."""
        reported = self._reported.pop(peer, {})
        for replica_id in reported:
            self._update_sums(replica_id)

    def forget(self, replica_ids: Iterable[str]) -> None:
        """Removes the loads at replicas that no longer exist."""
        for reported in self._reported.values():
            for replica_id in replica_ids:
                reported.pop(replica_id, None)

    @property
    def peers(self) -> list[str]:
        """Peers that have reported a load."""
        return list(self._reported)

    def _update_sums(self, replica_id: str) -> None:
        view = self._table.get(replica_id)
        if view is None:
            return
        loads = [
            reported[replica_id]
            for reported in self._reported.values()
            if replica_id in reported
        ]
        view.others_in_flight = sum(load.in_flight for load in loads)
        view.others_unread = sum(load.unread_tokens for load in loads)
        view.others_behind = sum(load.behind for load in loads)
        view.others_behind_unread = sum(load.behind_tokens for load in loads)


class LoadUpdates:
    """Selects the changes of this entry's loads to report to its peers."""

    def __init__(
        self,
        table: replica_table.ReplicaTable,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        """Subscribes to load changes in `table`.

        Args:
          table: the replicas.
          on_change: called when there may be a change to report.
        """
        self._table = table
        self._on_change = on_change
        self._reported: dict[str, OwnLoad] = {}
        self._reported_ms = float("-inf")
        self._changed: set[str] = set()
        table.add_listener(self._mark_changed)

    def changed(self, peers: int, now_ms: clock.Millis) -> list[OwnLoad]:
        """Returns the changed loads to report now.

        An increase is reported at once, along with all decreases. Decreases
        alone are reported only if the last report is at least
        `decreases_pause_ms` old.

        Args:
          peers: number of peers that receive the report.
          now_ms: the time.
        """
        updates = [load for load in map(self._load, self._changed) if load]
        updates = [load for load in updates if self._is_new(load)]
        increased = any(map(self._has_increased, updates))
        if not increased and now_ms < self._reported_ms + decreases_pause_ms(
            peers
        ):
            return []
        self._record_reported(updates, now_ms)
        return sorted(updates, key=lambda load: load.replica_id)

    @property
    def has_pending(self) -> bool:
        """Whether a change has not been reported yet."""
        return bool(self._changed)

    def all(self, now_ms: clock.Millis) -> list[OwnLoad]:
        """Returns all nonzero loads and marks them as reported now."""
        loads = [_own_load(view) for view in self._table if _is_used(view)]
        self._reported.clear()
        self._record_reported(loads, now_ms)
        return loads

    def forget(self, replica_ids: Iterable[str]) -> None:
        """Removes the reported loads at replicas that no longer exist."""
        for replica_id in replica_ids:
            self._reported.pop(replica_id, None)

    def _mark_changed(self, replica_id: str) -> None:
        self._changed.add(replica_id)
        self._on_change()

    def _record_reported(
        self, loads: list[OwnLoad], now_ms: clock.Millis
    ) -> None:
        self._changed.clear()
        if not loads:
            return
        self._reported_ms = now_ms
        for load in loads:
            self._reported[load.replica_id] = load

    def _load(self, replica_id: str) -> OwnLoad | None:
        view = self._table.get(replica_id)
        return None if view is None else _own_load(view)

    def _is_new(self, load: OwnLoad) -> bool:
        reported = self._reported.get(load.replica_id)
        if reported is None:
            return load.in_flight > 0
        return reported != load

    def _has_increased(self, load: OwnLoad) -> bool:
        reported = self._reported.get(load.replica_id)
        return reported is None or (
            load.in_flight > reported.in_flight
            or load.unread_tokens > reported.unread_tokens
            or load.behind > reported.behind
        )


def decreases_pause_ms(peers: int) -> float:
    """Returns the least age of the last report before only decreases are sent.

    Args:
      peers: number of peers that receive the reports.
    """
    return peers / DECREASES_PER_S_MAX * clock.MILLIS_PER_SECOND


def _own_load(view: replica_view.ReplicaView) -> OwnLoad:
    return OwnLoad(
        view.replica.replica_id,
        view.in_flight,
        view.unread,
        view.behind,
        view.behind_unread,
    )


def _is_used(view: replica_view.ReplicaView) -> bool:
    return view.in_flight > 0 or view.unread > 0 or view.behind > 0
