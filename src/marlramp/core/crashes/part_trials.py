"""When a request with a condemned part of prompts runs as a trial.

Load pattern: the entry that had the cause of several crashes in flight is
killed and reports nothing of it, so that a sound part that all requests of a
route share is the only suspect left, and all these requests are refused. A run
that survives shows that the part is sound and releases it.
"""

from __future__ import annotations

from collections.abc import Collection

from marlramp import clock
from marlramp import ids

TRIAL_AFTER_MS = (1_000.0, 7_000.0)
"""Time from a verdict until each trial. If the verdict is right, each trial
crashes one replica more. Both sides of a partition may make a trial, so that
there are few. The first follows soon, since a wrong verdict refuses all
requests of a route."""

OTHER_CRASHES_MAX = 1
"""Most crashes that another part of the request may be a suspect of. A crash of
a trial with a more suspicious part would say nothing of the condemned one."""


class PartTrials:
    """Since when this process has known each condemned part."""

    def __init__(self) -> None:
        """Starts without condemned parts."""
        self._known_ms: dict[ids.PartFingerprint, float] = {}

    def update(
        self, condemned: Collection[ids.PartFingerprint], now_ms: clock.Millis
    ) -> None:
        """Records the parts that are condemned now."""
        self._known_ms = {
            part: self._known_ms.get(part, now_ms) for part in condemned
        }

    def is_due(
        self, part: ids.PartFingerprint, trials: int, now_ms: clock.Millis
    ) -> bool:
        """Returns whether a request with a part may run as a trial.

        Args:
          part: the part.
          trials: number of trials that any process has begun.
          now_ms: the time.
        """
        known_ms = self._known_ms.get(part)
        if known_ms is None or trials >= len(TRIAL_AFTER_MS):
            return False
        return now_ms >= known_ms + TRIAL_AFTER_MS[trials]
