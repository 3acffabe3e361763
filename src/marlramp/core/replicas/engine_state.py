"""Defines the state that an agent reads from the engine beside it."""

from __future__ import annotations

import msgspec


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """One report of an engine on its own state.

    Attributes:
      weights: version that all layers hold, 0 if they hold none or several.
      partial_weights: version that only some layers hold, 0 if there is none.
      running: number of requests that hold a slot in the batch.
      waiting: number of requests that wait for a slot.
      pace: measured slowdown factor, 1 for an engine at its specified speed.
      busy: whether the engine is carrying out an order.
      order_number: number of orders since the engine's start that began an
        operation.
      born_ms: Unix time of the engine's start, None if the platform doesn't
        report it.
      leaving: whether the engine reports that it is leaving.
    """

    weights: int
    partial_weights: int = 0
    running: int
    waiting: int
    pace: float
    busy: bool
    order_number: int
    born_ms: int | None = None
    leaving: bool = False
