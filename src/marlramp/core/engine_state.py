"""What the agent beside an engine reads from it."""

from __future__ import annotations

import msgspec


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """One report of an engine.

    Attributes:
      weights: version that all layers hold, 0 if none or several.
      running: requests that have a place.
      waiting: requests that wait for one.
      pace: measured slowness, 1 for none.
      busy: whether an order is being carried out.
      order_number: orders that began something since the engine's start.
      born_ms: Unix time of its start, None where the platform does not say.
      leaving: whether it says that it leaves.
    """

    weights: int
    running: int
    waiting: int
    pace: float
    busy: bool
    order_number: int
    born_ms: int | None = None
    leaving: bool = False
