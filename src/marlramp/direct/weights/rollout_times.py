"""Records when a version reached each phase of its rollout on this VM."""

from __future__ import annotations

import enum

from marlramp import clock
from marlramp import logs
from marlramp.direct.weights import version_digests


class Phase(enum.Enum):
    """Phases of the rollout of a version on this VM, in their order.

    Attributes:
      HEARD: the VM has learnt of the version.
      DIGESTS: the digests of its pieces are known.
      FIRST_PIECE: the first piece is held.
      COMPLETE: all pieces are held and staged at the engine; logged as
        `whole_ms`.
      ORDERED: the engine was ordered to load the version.
      LOADED: the engine has loaded the version.
    """

    HEARD = "heard"
    DIGESTS = "digests"
    FIRST_PIECE = "first_piece"
    COMPLETE = "whole"
    ORDERED = "ordered"
    LOADED = "loaded"


class RolloutTimes:
    """Times of the version that is being rolled out."""

    def __init__(self, time: clock.Clock) -> None:
        """Starts without a version."""
        self._clock = time
        self._wanted: version_digests.ModelVersion | None = None
        self._reached_ms: dict[Phase, float] = {}

    def record_phase(
        self, wanted: version_digests.ModelVersion, phase: Phase
    ) -> None:
        """Records the time at which a version first reaches a phase.

        The recorded times of another version are discarded. The time of the
        first phase that is recorded is also the time of `Phase.HEARD`.
        """
        if wanted != self._wanted:
            self._wanted = wanted
            self._reached_ms = {Phase.HEARD: self._clock.now_ms()}
        self._reached_ms.setdefault(phase, self._clock.now_ms())

    def log_rollout(self, age_ms: float | None, limit_ms: float | None) -> None:
        """Logs the time of each phase, in ms since `Phase.HEARD`.

        Args:
          age_ms: time since the version was announced to the fleet, None if
            unknown.
          limit_ms: least time in which this VM's link can carry the version and
            the engine can load it, None if unknown.
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
