"""Which entries watch the store.

Load pattern: a store that counts and limits calls and may turn some of the
entries away. If every entry read whenever nobody else could, all would read
at once, stop together, and start again.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

import msgspec

from marlramp import clock
from marlramp.core import rendezvous

READERS = 2
"""Entries that watch the store: one more than is needed, so that the death of
one delays nothing."""

BEACON_MS = 400.0
"""Between two signs of an entry that watches the store."""

STANDBYS = 2
"""Entries next in order that ask the readers what the store holds, so that they
know how old a change may be when they stand in."""

READER_HEARD_MS = 1_100.0
READER_STORE_AGE_MS = 2_200.0
"""A reader counts as working if it was heard this lately and the store
answered it this lately: two waits of a watch."""

STANDBY_FIRST = 4
STANDBY_STEP_MS = 100.0
"""The first four entries read as soon as no reader works, and twice as many
after each further step: 100 entries within half a second, which leaves a
second of the shortest bound on changes in force."""

FIRST_WAIT_MS = 600.0
"""How long an entry that starts leaves reading to the seeds: all start within
300 ms of each other, and one that knows few others yet would take itself for
one of the first."""


class _Beacon(msgspec.Struct, frozen=True):
    heard_ms: float
    answered_ms: float
    served: bool


class ReaderDuty:
    """Decides whether this entry watches the store."""

    def __init__(
        self,
        own: str,
        data_centre: str,
        now_ms: clock.Millis,
        *,
        is_seed: bool,
    ) -> None:
        """Has heard of no reader.

        Args:
          own: VM of this entry.
          data_centre: where it is.
          now_ms: the time.
          is_seed: whether the others are told to greet this entry first.
        """
        self._own = own
        self._data_centre = data_centre
        self._is_seed = is_seed
        self._started_ms = now_ms
        self._beacons: dict[str, _Beacon] = {}
        self._worked_ms: float = float("-inf")
        self._stands_in = False
        self._places: dict[str, str] = {}
        self._ordered: list[str] = []

    def take(
        self,
        vm_id: str,
        store_age_ms: float,
        now_ms: clock.Millis,
        *,
        served: bool,
    ) -> None:
        """Takes the sign of an entry that watches the store.

        Args:
          vm_id: the entry.
          store_age_ms: time since the store last answered it.
          now_ms: the time.
          served: whether its last call was answered.
        """
        answered_ms = now_ms - store_age_ms
        self._beacons[vm_id] = _Beacon(now_ms, answered_ms, served)
        if self._works(vm_id, now_ms):
            self._worked_ms = now_ms
        elif not any(self._works(other, now_ms) for other in self._beacons):
            # Those that stand in need not wait for its silence.
            silent_since_ms = now_ms - READER_HEARD_MS
            self._worked_ms = min(self._worked_ms, silent_since_ms)

    def is_reader(
        self, others: Mapping[str, str], now_ms: clock.Millis
    ) -> bool:
        """Returns whether this entry is to watch the store.

        The first in rendezvous order do. While none of those before it works,
        any entry does, sooner the earlier it is in the order; and it goes on
        until one before it works.

        Args:
          others: data centre of each other entry that is there and stays.
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
            self._stands_in = False
        elif not self._stands_in:
            silent_ms = now_ms - max(self._worked_ms, self._started_ms)
            wait_ms = READER_HEARD_MS + _standby_ms(rank)
            self._stands_in = silent_ms >= wait_ms
        return self._stands_in

    def watched_readers(self, others: Mapping[str, str]) -> list[str]:
        """Returns the readers that this entry is to ask, as it may stand in.

        Args:
          others: data centre of each other entry that is there and stays.
        """
        ordered = self._order(others)
        rank = ordered.index(self._own)
        if READERS <= rank < READERS + STANDBYS:
            return ordered[:READERS]
        return []

    def working(self, now_ms: clock.Millis) -> list[str]:
        """Returns the other entries that watch the store and are served."""
        return [each for each in self._beacons if self._works(each, now_ms)]

    def store_serves_none(
        self, others: Collection[str], now_ms: clock.Millis
    ) -> bool:
        """Returns whether a store that fails this entry seems to fail all.

        An entry that hears no other can't tell the store's failure from its
        own.

        Args:
          others: the other entries that are there.
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

        The second one is in another data centre than the first: a data centre
        as a whole may be cut off from the store.
        """
        places = {**others, self._own: self._data_centre}
        if places != self._places:
            self._places = places
            ordered = rendezvous.order("store", places)
            first = places[ordered[0]]
            elsewhere = [name for name in ordered if places[name] != first]
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
            and now_ms - beacon.heard_ms < READER_HEARD_MS
            and now_ms - beacon.answered_ms < READER_STORE_AGE_MS
        )


def _standby_ms(rank: int) -> float:
    """Returns how much longer an entry of some rank waits than the first."""
    steps = 0
    while rank >= STANDBY_FIRST << steps:
        steps += 1
    return steps * STANDBY_STEP_MS
