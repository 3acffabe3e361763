"""When a version passed each step on its way into the engine on this VM."""

from __future__ import annotations

import enum

from marlramp import clock
from marlramp import logs
from marlramp.direct.weights import version_digests


class Phase(enum.Enum):
    """Steps of a version, in their order."""

    HEARD = "heard"
    DIGESTS = "digests"
    FIRST_PIECE = "first_piece"
    WHOLE = "whole"
    ORDERED = "ordered"
    LOADED = "loaded"


class RolloutTimes:
    """Times of the version that is on its way."""

    def __init__(self, time: clock.Clock) -> None:
        """Has seen no version."""
        self._clock = time
        self._wanted: version_digests.Wanted | None = None
        self._reached_ms: dict[Phase, float] = {}

    def reached(self, wanted: version_digests.Wanted, phase: Phase) -> None:
        """Records that a version has reached a step, the first time it does."""
        if wanted != self._wanted:
            self._wanted = wanted
            self._reached_ms = {Phase.HEARD: self._clock.now_ms()}
        self._reached_ms.setdefault(phase, self._clock.now_ms())

    def tell(self, age_ms: float | None, limit_ms: float | None) -> None:
        """Logs the steps of the version that was loaded.

        Args:
          age_ms: time since it was named, None if that is not known.
          limit_ms: time in which the own link could have brought it and the
            engine loaded it, None if that is not known.
        """
        if self._wanted is None:
            return
        heard_ms = self._reached_ms[Phase.HEARD]
        steps = {
            f"{phase.value}_ms": round(self._reached_ms[phase] - heard_ms)
            for phase in Phase
            if phase in self._reached_ms and phase is not Phase.HEARD
        }
        logs.log(
            "rollout_ended",
            name=self._wanted.name,
            age_ms=None if age_ms is None else round(age_ms),
            limit_ms=None if limit_ms is None else round(limit_ms),
            **steps,
        )
