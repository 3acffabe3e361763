"""When an engine that serves an old version loads the new one.

A load takes the engine out until what runs there has ended and the new layers
are in. Engines therefore go in turns, as far as the time left allows.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from marlramp import clock
from marlramp.core import rendezvous

WAVES = 4
"""Turns in which the engines of a service load: with three quarters left, the
others carry the load."""

WAVE_MS = 620.0
"""Length of a turn: `DRAIN_MS` and a load of 300 ms, less what may overlap."""

DRAIN_MS = 350.0
"""How long an engine that closes finishes what runs before what is left is
cut and goes on at another engine. Entries send it nothing that they expect to
outlast its turn, so that this is little."""

LATEST_MARGIN_MS = 1_000.0
"""Time before the bound at which every engine begins to load, since entries
send it nothing on the old version from then on."""


class SwapPlan(msgspec.Struct, frozen=True):
    """A turn and the time at which it begins."""

    wave: int
    begins_ms: float


def plan(
    vm_id: str,
    vm_ids: Collection[str],
    key: str,
    named_ms: float | None,
    bound_ms: float,
    now_ms: clock.Millis,
) -> SwapPlan:
    """Returns when the engine of a VM loads, by a rule all agents share.

    Args:
      vm_id: the VM.
      vm_ids: all VMs whose engines load the version.
      key: name of the version.
      named_ms: when the version was named, None if that is not known.
      bound_ms: time after its naming from which it binds.
      now_ms: the time.
    """
    order = rendezvous.order(key, {*vm_ids, vm_id})
    wave = order.index(vm_id) % WAVES
    if named_ms is None:
        return SwapPlan(wave, now_ms)
    latest_ms = named_ms + bound_ms - LATEST_MARGIN_MS
    return SwapPlan(wave, latest_ms - (WAVES - 1 - wave) * WAVE_MS)
