"""Schedules when each engine that serves an old version loads the new one.

Load pattern: each load takes an engine out of service until its running
requests have ended and the new layers are loaded, while callers keep sending.
Engines therefore load one after another, over all the time that remains once
the pieces have arrived.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from marlramp import clock
from marlramp.core import rendezvous

SPREAD_MIN_MS = 1_700.0
"""Shortest time over which the engines of a service start to load."""

SPREAD_MAX_MS = 60_000.0
"""Longest time over which the engines of a service start to load, so that a
version that is mandatory only after hours is still in use within minutes."""

TRANSFER_FACTOR = 1.2
"""Time in which the pieces reach all VMs, as a multiple of the time that one
copy takes on the link of one VM."""

TRANSFER_DELAY_MS = 300.0
"""Time until the transfer of the first piece starts."""

DRAIN_MIN_MS = 300.0
DRAIN_MAX_MS = 1_500.0
"""Range of the time for which a closing engine finishes its running requests
before the rest is cut and continues at another engine. The time is no longer
than streams usually run. Entries send the engine few requests that they expect
to last beyond its scheduled start."""

AWAY_SHARE_MAX = 0.25
"""Fraction of the engines that may be out of service at once to load."""

LATE_FIRST_SHARE = 0.5
"""Fraction of the engines that load at once when the pieces arrive too late for
loading one after another."""

LATE_GAP_MS = 100.0
"""Time from the end of the first engines' load until entries send requests to
them."""

LATEST_MARGIN_MS = 700.0
"""Time before the version is mandatory by which every engine starts to load,
since entries send no requests to an engine on the old version from then on."""

LOST_PEER_MS = 10_000.0
"""Time for which a lost engine keeps its position in the loading order."""


def spread_ms(
    copy_bytes: int, link_bytes_per_s: float, bound_ms: float
) -> float:
    """Returns the time over which the engines of a service start to load.

    Args:
      copy_bytes: size of a version.
      link_bytes_per_s: rate of a VM's link.
      bound_ms: time after its announcement from which a version is mandatory.
    """
    copy_ms = copy_bytes / link_bytes_per_s * clock.MILLIS_PER_SECOND
    pieces_ready_ms = TRANSFER_FACTOR * copy_ms + TRANSFER_DELAY_MS
    left_ms = bound_ms - LATEST_MARGIN_MS - pieces_ready_ms
    return min(SPREAD_MAX_MS, max(SPREAD_MIN_MS, left_ms))


class SwapSchedule(msgspec.Struct, frozen=True, kw_only=True):
    """Schedule by which the engines of a service change to one version.

    Attributes:
      mandatory_ms: when the version is mandatory, on the process's clock.
      spread_ms: time over which engines start to load.
      load_ms: time in which an engine loads a version.
    """

    mandatory_ms: float
    spread_ms: float
    load_ms: float

    @property
    def latest_ms(self) -> float:
        """When the last engine starts to load."""
        return self.mandatory_ms - LATEST_MARGIN_MS

    def load_start_ms(self, position: float, pieces_ready_ms: float) -> float:
        """Returns when an engine starts to load.

        Pieces that arrive too late for loading one after another reach all
        engines at about the same time. If all engines loaded at once, none
        would serve meanwhile. Half of them therefore load first. The others
        serve the old version until the new one is mandatory or the first half
        is back.

        Args:
          position: position in the loading order, from 0 (first) to 1 (last).
          pieces_ready_ms: when the engine's pieces are complete.
        """
        if pieces_ready_ms <= self.latest_ms:
            scheduled_ms = self.latest_ms - (1.0 - position) * self.spread_ms
            return max(scheduled_ms, pieces_ready_ms)
        if position < LATE_FIRST_SHARE:
            return pieces_ready_ms
        back_ms = pieces_ready_ms + self.load_ms + LATE_GAP_MS
        return max(pieces_ready_ms, min(back_ms, self.mandatory_ms))

    def drain_ms(self, pieces_ready_ms: float) -> float:
        """Returns how long a closing engine finishes its running requests.

        Args:
          pieces_ready_ms: when the engine's pieces were complete.
        """
        if pieces_ready_ms > self.latest_ms:
            # Time without a serving engine costs more than the cut requests.
            return 0.0
        away_ms = AWAY_SHARE_MAX * self.spread_ms
        return min(DRAIN_MAX_MS, max(DRAIN_MIN_MS, away_ms - self.load_ms))


def load_start_ms(
    schedule: SwapSchedule | None, position: float, pieces_ready_ms: float
) -> float:
    """Returns when an engine starts to load.

    Args:
      schedule: the schedule of the version, None if the time at which the
        version was announced is unknown.
      position: position in the loading order, from 0 (first) to 1 (last).
      pieces_ready_ms: when the engine's pieces are complete.

    Returns:
      A time on the process's clock, minus infinity if the engine may load at
      once.
    """
    if schedule is None:
        return float("-inf")
    return schedule.load_start_ms(position, pieces_ready_ms)


def order_position(vm_id: str, vm_ids: Collection[str], key: str) -> float:
    """Returns the position of a VM's engine in the loading order, 0 to 1.

    Args:
      vm_id: the VM.
      vm_ids: all VMs whose engines load the version.
      key: name of the version; each version has another order.
    """
    order = rendezvous.order(key, {*vm_ids, vm_id})
    return order.index(vm_id) / max(1, len(order) - 1)


def likely_position(vm_id: str, key: str) -> float:
    """Returns the position of a VM's engine if the other VMs are not known.

    The positions of all VMs are spread evenly from 0 to 1, in the order that
    `order_position` gives.

    Args:
      vm_id: the VM.
      key: name of the version.
    """
    return 1.0 - rendezvous.fraction(f"{key}\0{vm_id}")


class LoadingOrder:
    """The order in which the engines of a service load a version.

    An engine that was lost a short time ago keeps its position. Engines that
    all fall silent at once, for example, would otherwise each take themselves
    for the only one, and all load at the same time when they respond again.
    The same holds for agents that have just started.
    """

    def __init__(self, vm_id: str) -> None:
        """Starts with the engine of one VM.

        Args:
          vm_id: the VM.
        """
        self._vm_id = vm_id
        self._present: set[str] = set()
        self._lost_ms: dict[str, clock.Millis] = {}

    def set_peers(self, vm_ids: Collection[str], now_ms: clock.Millis) -> None:
        """Sets the other VMs whose engines are present.

        Args:
          vm_ids: the VMs.
          now_ms: the time.
        """
        for vm_id in self._present.difference(vm_ids):
            self._lost_ms[vm_id] = now_ms
        self._present = set(vm_ids)
        self._forget_lost(now_ms)

    def position(
        self, key: str, now_ms: clock.Millis, *, peers_known: bool
    ) -> float:
        """Returns the position of the own engine, from 0 (first) to 1 (last).

        Args:
          key: name of the version; each version has another order.
          now_ms: the time.
          peers_known: whether this VM knows the others. Until then, the
            position is the likely one among many engines.
        """
        if not peers_known:
            return likely_position(self._vm_id, key)
        self._forget_lost(now_ms)
        vm_ids = self._present.union(self._lost_ms)
        return order_position(self._vm_id, vm_ids, key)

    def _forget_lost(self, now_ms: clock.Millis) -> None:
        """Forgets lost engines that have returned or were lost too long ago."""
        self._lost_ms = {
            vm_id: lost_ms
            for vm_id, lost_ms in self._lost_ms.items()
            if vm_id not in self._present and now_ms - lost_ms < LOST_PEER_MS
        }
