"""Elects the entries that watch the store.

The store holds the configuration, the weights targets and the replicas. The
entries that watch it for changes, the readers, pass the changes on to others.

Load pattern: a store that counts and rate-limits calls and may reject some of
the entries. If every entry watched the store whenever no other entry could, all
would start at once, stop together, and start again.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

import msgspec

from marlramp import clock
from marlramp.core import rendezvous

READERS = 2
"""Number of entries that watch the store: one more than is needed, so that the
crash of one causes no delay."""

BEACON_MS = 400.0
"""Interval between two beacons of a reader, the messages in which it reports to
other entries that it watches the store."""

STANDBYS = 2
"""Number of entries after the readers in the order that query the readers for
the store's revision, so that these standbys know the age of a change when they
take over."""

READER_BEACON_AGE_MS = 1_100.0
READER_STORE_AGE_MS = 2_200.0
"""Maximum age of a reader's last beacon, and of the store's last response to
the reader, for the reader to count as working. The second exceeds two waits
of a watch, each of at most 1 s (`store_reader.WATCH_WAIT_MS`)."""

FIRST_STANDBYS = 4
STANDBY_STEP_MS = 100.0
"""Ranks below `FIRST_STANDBYS` watch the store without further delay: the
readers always, and ranks 2 and 3 once no reader has worked for
`READER_BEACON_AGE_MS`. Each further step doubles the number of entries: 100
entries within half a second, which leaves one second of the shortest deadline
for applying changes."""

FIRST_WAIT_MS = 600.0
"""Time during which an entry that starts leaves reading to the seeds. It
assumes that all entries start within 300 ms of each other. An entry that knows
few others yet would consider itself one of the first."""


class _Beacon(msgspec.Struct, frozen=True):
    received_ms: float
    answered_ms: float
    served: bool


class ReaderElection:
    """Decides whether this entry is elected to watch the store."""

    def __init__(
        self,
        own: str,
        data_centre: str,
        now_ms: clock.Millis,
        *,
        is_seed: bool,
    ) -> None:
        """Starts without any known reader.

        Args:
          own: VM of this entry.
          data_centre: data centre of this entry.
          now_ms: the time.
          is_seed: whether the other entries are configured to contact this
            entry first.
        """
        self._own = own
        self._data_centre = data_centre
        self._is_seed = is_seed
        self._started_ms = now_ms
        self._beacons: dict[str, _Beacon] = {}
        self._last_working_ms: float = float("-inf")
        self._served_since_ms: float | None = None
        self._has_taken_over = False
        self._data_centres: dict[str, str] = {}
        self._ordered: list[str] = []

    def record_beacon(
        self,
        vm_id: str,
        store_age_ms: float,
        now_ms: clock.Millis,
        *,
        served: bool,
    ) -> None:
        """Records the beacon of an entry that watches the store.

        Args:
          vm_id: VM of the entry.
          store_age_ms: time since the store last responded to the entry.
          now_ms: the time.
          served: whether the store responded to the entry's last call.
        """
        horizon_ms = now_ms - READER_STORE_AGE_MS
        for name, beacon in list(self._beacons.items()):
            if beacon.received_ms < horizon_ms:
                del self._beacons[name]
        answered_ms = now_ms - max(0.0, store_age_ms)
        if self.served_since_ms(now_ms) is None:
            self._served_since_ms = answered_ms if served else None
        self._beacons[vm_id] = _Beacon(now_ms, answered_ms, served)
        if self._works(vm_id, now_ms):
            self._last_working_ms = now_ms
        elif not any(self._works(other, now_ms) for other in self._beacons):
            # No known reader works, so standbys need not wait for
            # `READER_BEACON_AGE_MS` until its beacons count as missing.
            silent_since_ms = now_ms - READER_BEACON_AGE_MS
            self._last_working_ms = min(self._last_working_ms, silent_since_ms)

    def is_reader(
        self, others: Mapping[str, str], now_ms: clock.Millis
    ) -> bool:
        """Returns whether this entry is to watch the store.

        The first entries in rendezvous order watch the store. While no entry
        before it works, any other entry takes over, the sooner the earlier it
        is in the order, and continues until an entry before it works.

        Args:
          others: data centre of each other entry that is alive and not leaving.
          now_ms: the time.
        """
        runs_ms = now_ms - self._started_ms
        if not self._is_seed and runs_ms < FIRST_WAIT_MS:
            return False
        ordered = self._order(others)
        rank = ordered.index(self._own)
        if rank < READERS:
            return True
        if any(self._works(vm_id, now_ms) for vm_id in ordered[:rank]):
            self._has_taken_over = False
        elif not self._has_taken_over:
            silent_ms = now_ms - max(self._last_working_ms, self._started_ms)
            wait_ms = READER_BEACON_AGE_MS + _standby_wait_ms(rank)
            self._has_taken_over = silent_ms >= wait_ms
        return self._has_taken_over

    def readers_to_query(self, others: Mapping[str, str]) -> list[str]:
        """Returns the readers that this entry queries as their standby.

        Args:
          others: data centre of each other entry that is alive and not leaving.

        Returns:
          VMs of the readers, none if this entry is not a standby.
        """
        ordered = self._order(others)
        rank = ordered.index(self._own)
        if READERS <= rank < READERS + STANDBYS:
            return ordered[:READERS]
        return []

    def working_readers(self, now_ms: clock.Millis) -> list[str]:
        """Returns the other entries that watch the store and are served."""
        return [each for each in self._beacons if self._works(each, now_ms)]

    def served_since_ms(self, now_ms: clock.Millis) -> float | None:
        """Returns since when the store has served other entries.

        Returns:
          The time of the first answer since which at least one other entry has
          counted as working at each moment, None if none does now.
        """
        if not self.working_readers(now_ms):
            self._served_since_ms = None
        return self._served_since_ms

    def was_failure_reported(self, now_ms: clock.Millis) -> bool:
        """Returns whether another entry reported that the store failed it."""
        horizon_ms = now_ms - READER_STORE_AGE_MS
        return any(
            not beacon.served and beacon.received_ms >= horizon_ms
            for beacon in self._beacons.values()
        )

    def store_serves_none(
        self, others: Collection[str], now_ms: clock.Millis
    ) -> bool:
        """Returns whether the store has recently responded to no other entry.

        A store that fails this entry then seems to fail all. The result is
        False if there is no other entry: an entry without others cannot
        distinguish a failure of the store from its own.

        Args:
          others: VMs of the other entries that are alive.
          now_ms: the time.
        """
        if not others:
            return False
        horizon_ms = now_ms - READER_STORE_AGE_MS
        return not any(
            vm_id in others and beacon.answered_ms >= horizon_ms
            for vm_id, beacon in self._beacons.items()
        )

    def _order(self, others: Mapping[str, str]) -> list[str]:
        """Returns all entries in the order in which they are to read.

        The second entry is in another data centre than the first, since a whole
        data centre may be partitioned from the store.
        """
        data_centres = {**others, self._own: self._data_centre}
        if data_centres != self._data_centres:
            self._data_centres = data_centres
            ordered = rendezvous.order("store", data_centres)
            first = data_centres[ordered[0]]
            elsewhere = [
                name for name in ordered if data_centres[name] != first
            ]
            if elsewhere:
                ordered.remove(elsewhere[0])
                ordered.insert(1, elsewhere[0])
            self._ordered = ordered
        return self._ordered

    def _works(self, vm_id: str, now_ms: clock.Millis) -> bool:
        beacon = self._beacons.get(vm_id)
        return (
            beacon is not None
            and beacon.served
            and now_ms - beacon.received_ms < READER_BEACON_AGE_MS
            and now_ms - beacon.answered_ms < READER_STORE_AGE_MS
        )


def _standby_wait_ms(rank: int) -> float:
    """Returns the delay by rank that is added to `READER_BEACON_AGE_MS`."""
    steps = 0
    while rank >= FIRST_STANDBYS << steps:
        steps += 1
    return steps * STANDBY_STEP_MS
