"""What a request on its way does with the limits that replicas name."""

from __future__ import annotations

from typing import Protocol

from marlramp import clock
from marlramp.core import replica_view
from marlramp.direct.calls import wire


class NamedLimits(Protocol):
    """Limits of replicas that hold over all entries together."""

    def note_answer(
        self,
        view: replica_view.ReplicaView,
        answer: wire.ReplicaAnswer,
        sent_ms: clock.Millis,
    ) -> None:
        """Takes what an answer says of its replica's limit."""
        ...

    async def reserve(
        self, view: replica_view.ReplicaView, wait_max_ms: float
    ) -> float | None:
        """Returns in how many milliseconds a request may be sent.

        Returns:
          None if it can't wait so long.
        """
        ...


class Unlimited:
    """Replicas that name no limits, for tests and replayed loads."""

    def note_answer(
        self,
        view: replica_view.ReplicaView,
        answer: wire.ReplicaAnswer,
        sent_ms: clock.Millis,
    ) -> None:
        """Takes nothing."""

    async def reserve(
        self, view: replica_view.ReplicaView, wait_max_ms: float
    ) -> float | None:
        """Returns that a request may be sent now."""
        return 0.0
