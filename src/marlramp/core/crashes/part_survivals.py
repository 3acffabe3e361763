"""Recent runs that a part of prompts survived.

A run survives if its answer is whole, or if the replica goes on writing it. The
parts of its prompt are then cleared of crashes that were noticed until shortly
after the run began. A long answer says nothing of later crashes.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

from marlramp import clock
from marlramp import ids

PARTS_MAX = 4_096
"""Most parts whose latest survival is kept; the latest ones remain."""

VALID_MS = 1_000.0
"""Time after the begin of a run that survived in which a crash is not laid to
the parts of its prompt."""


class PartSurvivals:
    """Begin of the latest run that each part survived."""

    def __init__(self) -> None:
        """Creates an empty collection."""
        self._latest_ms: collections.OrderedDict[ids.PartFingerprint, float] = (
            collections.OrderedDict()
        )

    def record(
        self, parts: Iterable[ids.PartFingerprint], begun_ms: clock.Millis
    ) -> None:
        """Records that a run with these parts survived.

        Args:
          parts: the parts.
          begun_ms: clock reading when the run began.
        """
        for part in parts:
            latest_ms = max(begun_ms, self._latest_ms.get(part, begun_ms))
            self._latest_ms[part] = latest_ms
            self._latest_ms.move_to_end(part)
        while len(self._latest_ms) > PARTS_MAX:
            self._latest_ms.popitem(last=False)

    def clears(self, part: ids.PartFingerprint, noticed_ms: float) -> bool:
        """Returns whether a survival clears a part of a crash.

        Args:
          part: the part.
          noticed_ms: clock reading when the crash was noticed.
        """
        latest_ms = self._latest_ms.get(part)
        return latest_ms is not None and noticed_ms <= latest_ms + VALID_MS
