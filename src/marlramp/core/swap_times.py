"""When an engine that serves an old version loads the new one.

Load pattern: each load takes an engine out until what runs there has ended and
the new layers are in, while callers keep coming. Engines therefore go one
after the other, over all the time that is left once the pieces are there.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from marlramp import clock
from marlramp.core import rendezvous

SPREAD_MIN_MS = 1_700.0
"""Least time over which the engines of a service begin to load."""

SPREAD_MAX_MS = 60_000.0
"""Most of it, so that a version that need not be in force for hours still is
within minutes."""

TRAVEL_FACTOR = 1.2
"""Time in which pieces reach all VMs, as a multiple of what one copy takes on
the link of one."""

TRAVEL_EXTRA_MS = 300.0
"""Time until the first piece is on its way."""

DRAIN_MIN_MS = 300.0
DRAIN_MAX_MS = 1_500.0
"""How long an engine that closes finishes what runs before what is left is
cut and goes on at another engine: no longer than streams usually run. Entries
send it little that they expect to outlast its turn."""

SPARE_SHARE = 0.25
"""Part of the engines that may be away at once for their turns."""

LATE_FIRST_SHARE = 0.5
"""Part of the engines that load at once when pieces came too late for turns."""

LATE_GAP_MS = 100.0
"""Time from the end of the first engines' load until entries send to them."""

LATEST_MARGIN_MS = 700.0
"""Time before the bound at which every engine begins to load, since entries
send it nothing on the old version from then on."""


def spread_ms(
    copy_bytes: int, link_bytes_per_s: float, bound_ms: float
) -> float:
    """Returns the time over which the engines of a service begin to load.

    Args:
      copy_bytes: size of a version.
      link_bytes_per_s: rate of a VM's link.
      bound_ms: time after its naming from which a version binds.
    """
    copy_ms = copy_bytes / link_bytes_per_s * clock.MILLIS_PER_SECOND
    there_ms = TRAVEL_FACTOR * copy_ms + TRAVEL_EXTRA_MS
    left_ms = bound_ms - LATEST_MARGIN_MS - there_ms
    return min(SPREAD_MAX_MS, max(SPREAD_MIN_MS, left_ms))


class Turns(msgspec.Struct, frozen=True, kw_only=True):
    """The turns of the engines that change to one version.

    Attributes:
      binds_ms: when the version binds, a reading of the clock.
      spread_ms: time over which engines begin.
      load_ms: time in which an engine loads a version.
    """

    binds_ms: float
    spread_ms: float
    load_ms: float

    @property
    def latest_ms(self) -> float:
        """When the last engine begins."""
        return self.binds_ms - LATEST_MARGIN_MS

    def begins_ms(self, share: float, there_ms: float) -> float:
        """Returns when an engine begins to load.

        Pieces that came too late for turns reach all engines at about the
        same time. If all loaded at once, none would serve meanwhile: half of
        them go first, and the others serve the old version until it may not
        any more, or until the first half is back.

        Args:
          share: its place in the order, from 0 for the first to 1.
          there_ms: when its pieces are there.
        """
        if there_ms <= self.latest_ms:
            turn_ms = self.latest_ms - (1.0 - share) * self.spread_ms
            return max(turn_ms, there_ms)
        if share < LATE_FIRST_SHARE:
            return there_ms
        back_ms = there_ms + self.load_ms + LATE_GAP_MS
        return max(there_ms, min(back_ms, self.binds_ms))

    def drain_ms(self, there_ms: float) -> float:
        """Returns how long an engine that closes finishes what runs.

        Args:
          there_ms: when its pieces were there.
        """
        if there_ms > self.latest_ms:
            # Each moment without an engine is worth more than what is cut.
            return 0.0
        away_ms = SPARE_SHARE * self.spread_ms
        return min(DRAIN_MAX_MS, max(DRAIN_MIN_MS, away_ms - self.load_ms))


def begins_ms(turns: Turns | None, share: float, there_ms: float) -> float:
    """Returns when an engine begins to load.

    Args:
      turns: the turns of its version, None if it is not known when that was
        named.
      share: its place in the order, from 0 for the first to 1.
      there_ms: when its pieces are there.

    Returns:
      A reading of the clock; minus infinity if it may load at once.
    """
    if turns is None:
        return float("-inf")
    return turns.begins_ms(share, there_ms)


def share_of(vm_id: str, vm_ids: Collection[str], key: str) -> float:
    """Returns the place of a VM's engine in the order of turns, 0 to 1.

    Args:
      vm_id: the VM.
      vm_ids: all VMs whose engines load the version.
      key: name of the version, which gives each version another order.
    """
    order = rendezvous.order(key, {*vm_ids, vm_id})
    return order.index(vm_id) / max(1, len(order) - 1)
