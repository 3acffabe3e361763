"""When an engine that serves an old version loads the new one.

A load takes the engine out until what runs there has ended and the new layers
are in. Engines therefore go one after the other, as far as the time left
allows.
"""

from __future__ import annotations

from collections.abc import Collection

from marlramp.core import rendezvous

SPREAD_MS = 1_700.0
"""Time over which the engines of a service begin to load: what is left of a
bound of 8 s once the weights are there."""

DRAIN_MS = 300.0
"""How long an engine that closes finishes what runs before what is left is
cut and goes on at another engine. Entries send it little that they expect to
outlast its turn."""

LATEST_MARGIN_MS = 700.0
"""Time before the bound at which every engine begins to load, since entries
send it nothing on the old version from then on."""


def begins_ms(
    vm_id: str,
    vm_ids: Collection[str],
    key: str,
    named_ms: float | None,
    bound_ms: float,
) -> float:
    """Returns when the engine of a VM begins to load.

    Args:
      vm_id: the VM.
      vm_ids: all VMs whose engines load the version.
      key: name of the version, which gives each version another order.
      named_ms: when the version was named, None if that is not known.
      bound_ms: time after its naming from which it binds.

    Returns:
      A reading of the clock; minus infinity if it may load at once.
    """
    if named_ms is None:
        return float("-inf")
    order = rendezvous.order(key, {*vm_ids, vm_id})
    share = order.index(vm_id) / max(1, len(order) - 1)
    latest_ms = named_ms + bound_ms - LATEST_MARGIN_MS
    return latest_ms - (1.0 - share) * SPREAD_MS
