"""What the other entries have under way at each replica.

An engine's own report counts requests, not how much of their prompts is still
to be read, and comes some 200 ms late. Entries near each other therefore tell
one another what they sent; without it several choose the same engine at once
and each believes it to be free.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from marlramp.core import replica_table


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

    def __init__(self, table: replica_table.ReplicaTable) -> None:
        """Reads the views in `table`."""
        self._table = table
        self._told: dict[str, OwnLoad] = {}

    def changed(self) -> list[OwnLoad]:
        """Returns what changed since it was asked last."""
        news = [load for load in self.all() if self._is_new(load)]
        for load in news:
            self._told[load.replica_id] = load
        return news

    def all(self) -> list[OwnLoad]:
        """Returns the load at every replica."""
        return [
            OwnLoad(
                view.replica.replica_id,
                view.in_flight,
                view.unread,
                view.behind,
                view.behind_unread,
            )
            for view in self._table
        ]

    def forget(self, replica_ids: Iterable[str]) -> None:
        """Drops replicas that are gone."""
        for replica_id in replica_ids:
            self._told.pop(replica_id, None)

    def _is_new(self, load: OwnLoad) -> bool:
        told = self._told.get(load.replica_id)
        if told is None:
            return load.in_flight > 0
        return told != load
