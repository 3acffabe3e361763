"""Divides the requests that a cold replica tolerates among the entries.

Load pattern: a whole data centre returns with cold replicas, which look idle to
every entry, so that all entries send their next requests there at once. A cold
replica crashes at a rate well above the one that it tolerates.

Each entry computes its share from the entries that it knows, without messages.
A suspended entry, a partition or lost messages therefore cannot cause too many
requests; what an entry does not use of its share is lost.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import math

from marlramp import clock
from marlramp.core import rendezvous
from marlramp.core.membership import fleet_size

ENTRIES_ASSUMED = fleet_size.ENTRIES_ASSUMED
START_MS = fleet_size.START_MS


class ColdShares:
    """The share of one entry in the requests to each cold replica."""

    def __init__(
        self,
        own: str,
        entries: Callable[[], Sequence[str]],
        changes: Callable[[], int],
        expects_others: Callable[[], bool],
        time: clock.Clock,
    ) -> None:
        """Creates the shares of the entry `own`.

        Args:
          own: VM of this entry.
          entries: returns the VMs of all entries known recently, including the
            own one and those that are down: a partition must not increase the
            shares on its sides.
          changes: returns a number that changes whenever `entries` does.
          expects_others: returns whether there should be other entries. An
            entry that knows none of them does not take itself for the only one.
          time: the clock.
        """
        self._own = own
        self._entries = entries
        self._changes = changes
        self._expects_others = expects_others
        self._clock = time
        self._started_ms = time.now_ms()
        self._seen_changes = -1
        self._seen_entries: frozenset[str] = frozenset()
        self._shares: dict[tuple[str, float], int] = {}

    def per_s(self, replica_id: str, tolerated_per_s: float) -> int:
        """Returns how many requests this entry may send within any second.

        Args:
          replica_id: the replica.
          tolerated_per_s: requests per second that the replica tolerates from
            all entries together.
        """
        if self._clock.now_ms() - self._started_ms < START_MS:
            return self._assumed_share(replica_id, tolerated_per_s)
        if self._changes() != self._seen_changes:
            self._seen_changes = self._changes()
            # Agents and states change often, and the shares of 300 replicas
            # among 150 entries take about 50 ms to compute.
            entries = frozenset(self._entries())
            if entries != self._seen_entries:
                self._seen_entries = entries
                self._shares.clear()
        if len(self._seen_entries) <= 1 and self._expects_others():
            return self._assumed_share(replica_id, tolerated_per_s)
        key = (replica_id, tolerated_per_s)
        share = self._shares.get(key)
        if share is None:
            share = share_of(
                self._own, self._seen_entries, replica_id, tolerated_per_s
            )
            self._shares[key] = share
        return share

    def _assumed_share(self, replica_id: str, tolerated_per_s: float) -> int:
        """Returns the share while the other entries are not known yet.

        Each entry is permitted one request per second with the probability that
        makes the sum the tolerated rate for `ENTRIES_ASSUMED` entries. These
        are the entries with the highest scores, as in `share_of`, so that the
        entries that start and those that know all others send to a replica
        within the same second are mostly the same ones.
        """
        point = rendezvous.fraction(f"{replica_id}\0{self._own}")
        return 1 if 1.0 - point <= tolerated_per_s / ENTRIES_ASSUMED else 0


def share_of(
    own: str,
    entries: Collection[str],
    replica_id: str,
    tolerated_per_s: float,
) -> int:
    """Returns the share of an entry, in whole requests per second.

    All entries with the same view of the members together get at most the
    tolerated rate.

    Args:
      own: VM of the entry.
      entries: VMs of all entries, including the own one.
      replica_id: the replica.
      tolerated_per_s: requests per second that the replica tolerates.
    """
    total = math.floor(tolerated_per_s)
    if total >= len(entries):
        return total // len(entries)
    return int(own in rendezvous.subset(replica_id, entries, total))
