"""When an engine that serves an old version loads the new one.

Load pattern: each load takes an engine out until what runs there has ended and
the new layers are in, while callers keep coming. Engines therefore go one
after the other, over all the time that is left once the pieces are there.
"""

from __future__ import annotations

from collections.abc import Collection

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


def drain_ms(spread_ms: float, load_ms: float) -> float:
    """Returns how long an engine that closes finishes what runs.

    Args:
      spread_ms: time over which the engines of a service begin.
      load_ms: time in which an engine loads a version.
    """
    away_ms = SPARE_SHARE * spread_ms
    return min(DRAIN_MAX_MS, max(DRAIN_MIN_MS, away_ms - load_ms))


def begins_ms(
    vm_id: str,
    vm_ids: Collection[str],
    key: str,
    named_ms: float | None,
    bound_ms: float,
    spread_ms: float,
) -> float:
    """Returns when the engine of a VM begins to load.

    Args:
      vm_id: the VM.
      vm_ids: all VMs whose engines load the version.
      key: name of the version, which gives each version another order.
      named_ms: when the version was named, None if that is not known.
      bound_ms: time after its naming from which it binds.
      spread_ms: time over which engines begin.

    Returns:
      A reading of the clock; minus infinity if it may load at once.
    """
    if named_ms is None:
        return float("-inf")
    order = rendezvous.order(key, {*vm_ids, vm_id})
    share = order.index(vm_id) / max(1, len(order) - 1)
    latest_ms = named_ms + bound_ms - LATEST_MARGIN_MS
    return latest_ms - (1.0 - share) * spread_ms
