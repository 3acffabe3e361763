"""Defines the position of a request in an engine's queue."""

from __future__ import annotations

import enum


class QueuePosition(enum.Enum):
    """Position of a request in an engine's queue.

    Attributes:
      FRONT: the request may still begin within its objective.
      BEHIND: the request is late in any case, is queued at the back and yields
        to all others.
    """

    FRONT = "front"
    BEHIND = "behind"
