"""Where a request waits in an engine's queue."""

from __future__ import annotations

import enum


class QueuePlace(enum.Enum):
    """Which requests an engine's queue lets go first.

    Attributes:
      FRONT: may still begin within its objective.
      BEHIND: is late whatever happens, so that it lets the others go first.
    """

    FRONT = "front"
    BEHIND = "behind"
