"""What the other entries have under way at each replica.

An engine's own report counts requests, not how much of their prompts is still
to be read, and comes some 200 ms late. Entries near each other therefore tell
one another what they sent; without it several choose the same engine at once
and each believes it to be free.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from marlramp import clock
from marlramp.core import replica_table
from marlramp.core import replica_view

FALLS_HEARD_PER_S_MAX = 80.0
"""Messages a second that an entry hears of loads that only fell, from all
peers together. Who does not know of a fall spares an engine for a moment; who
does not know of a rise joins those who choose the same one. An entry of 16
tells 9 to 11 times a second with this bound and 17 to 22 times without, and as
many callers are served in time (replayed load, 0.8 to 1.15 times what 13
engines serve, three seeds)."""


class OwnLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one entry has under way at one replica.

    Attributes:
      replica_id: the replica.
      in_flight: requests sent there that have not ended.
      unread_tokens: prompt tokens of those that brought no event yet, without
        those that wait behind the others.
      behind: requests that wait behind the others there.
      behind_tokens: their prompt tokens.
    """

    replica_id: str
    in_flight: int
    unread_tokens: int
    behind: int = 0
    behind_tokens: int = 0


class PeerLoads:
    """Adds up what other entries tell, in the views of the replicas."""

    def __init__(self, table: replica_table.ReplicaTable) -> None:
        """Writes sums into the views in `table`."""
        self._table = table
        self._told: dict[str, dict[str, OwnLoad]] = {}

    def take(self, peer: str, loads: Iterable[OwnLoad]) -> None:
        """Takes what a peer has under way now, at the replicas it names."""
        told = self._told.setdefault(peer, {})
        for load in loads:
            told[load.replica_id] = load
            self._add_up(load.replica_id)

    def replace(self, peer: str, loads: Iterable[OwnLoad]) -> None:
        """Takes all that a peer has under way, at no other replica."""
        before = self._told.pop(peer, {})
        self.take(peer, loads)
        for replica_id in before.keys() - self._told[peer].keys():
            self._add_up(replica_id)

    def drop(self, peer: str) -> None:
        """Forgets a peer that is not heard any more."""
        told = self._told.pop(peer, {})
        for replica_id in told:
            self._add_up(replica_id)

    def forget(self, replica_ids: Iterable[str]) -> None:
        """Drops replicas that are gone."""
        for told in self._told.values():
            for replica_id in replica_ids:
                told.pop(replica_id, None)

    @property
    def peers(self) -> list[str]:
        """Peers that told anything."""
        return list(self._told)

    def _add_up(self, replica_id: str) -> None:
        view = self._table.get(replica_id)
        if view is None:
            return
        loads = [
            told[replica_id]
            for told in self._told.values()
            if replica_id in told
        ]
        view.others_in_flight = sum(load.in_flight for load in loads)
        view.others_unread = sum(load.unread_tokens for load in loads)
        view.others_behind = sum(load.behind for load in loads)
        view.others_behind_unread = sum(load.behind_tokens for load in loads)


class LoadNews:
    """Finds what to tell the others of the own requests."""

    def __init__(
        self,
        table: replica_table.ReplicaTable,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        """Listens to the views in `table`.

        Args:
          table: the replicas.
          on_change: called when there may be something to tell.
        """
        self._table = table
        self._on_change = on_change
        self._told: dict[str, OwnLoad] = {}
        self._told_ms = float("-inf")
        self._changed: set[str] = set()
        table.listen(self._note)

    def changed(self, peers: int, now_ms: clock.Millis) -> list[OwnLoad]:
        """Returns what is to be told now of what changed.

        A load that rose is told at once, with all that fell; loads that only
        fell wait until the peers have not been told for `falls_pause_ms`.

        Args:
          peers: how many are told.
          now_ms: the time.
        """
        news = [load for load in map(self._load, self._changed) if load]
        news = [load for load in news if self._is_new(load)]
        rose = any(map(self._rose, news))
        if not rose and now_ms < self._told_ms + falls_pause_ms(peers):
            return []
        self._note_told(news, now_ms)
        return sorted(news, key=lambda load: load.replica_id)

    @property
    def waits(self) -> bool:
        """Whether a change waits to be told."""
        return bool(self._changed)

    def all(self, now_ms: clock.Millis) -> list[OwnLoad]:
        """Returns the loads at all replicas that have any, as told now."""
        loads = [_own_load(view) for view in self._table if _is_used(view)]
        self._told.clear()
        self._note_told(loads, now_ms)
        return loads

    def forget(self, replica_ids: Iterable[str]) -> None:
        """Drops replicas that are gone."""
        for replica_id in replica_ids:
            self._told.pop(replica_id, None)

    def _note(self, replica_id: str) -> None:
        self._changed.add(replica_id)
        self._on_change()

    def _note_told(self, loads: list[OwnLoad], now_ms: clock.Millis) -> None:
        self._changed.clear()
        if not loads:
            return
        self._told_ms = now_ms
        for load in loads:
            self._told[load.replica_id] = load

    def _load(self, replica_id: str) -> OwnLoad | None:
        view = self._table.get(replica_id)
        return None if view is None else _own_load(view)

    def _is_new(self, load: OwnLoad) -> bool:
        told = self._told.get(load.replica_id)
        if told is None:
            return load.in_flight > 0
        return told != load

    def _rose(self, load: OwnLoad) -> bool:
        told = self._told.get(load.replica_id)
        return told is None or (
            load.in_flight > told.in_flight
            or load.unread_tokens > told.unread_tokens
            or load.behind > told.behind
        )


def falls_pause_ms(peers: int) -> float:
    """Returns the least time between two messages on loads that only fell."""
    return peers / FALLS_HEARD_PER_S_MAX * clock.MILLIS_PER_SECOND


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
