"""Interface between requests and the rate limits that replicas announce."""

from __future__ import annotations

from typing import Protocol

from marlramp import clock
from marlramp.core.replicas import replica_view
from marlramp.direct.calls import wire


class RateLimits(Protocol):
    """Rate limits of replicas, each shared by all entries."""

    def handle_answer(
        self,
        view: replica_view.ReplicaView,
        answer: wire.ReplicaAnswer,
        sent_ms: clock.Millis,
    ) -> None:
        """Records the rate limit that an answer announces, if any.

        Args:
          view: the replica.
          answer: the head of the answer.
          sent_ms: clock reading when the request was sent.
        """
        ...

    async def reserve(
        self, view: replica_view.ReplicaView, wait_max_ms: float
    ) -> float | None:
        """Reserves a send to a replica within its rate limit.

        Args:
          view: the replica.
          wait_max_ms: longest time that the request may wait.

        Returns:
          The time in milliseconds until the request may be sent, None if it
          exceeds `wait_max_ms`.
        """
        ...


class Unlimited:
    """Replicas without rate limits, for tests and replayed loads."""

    def handle_answer(
        self,
        view: replica_view.ReplicaView,
        answer: wire.ReplicaAnswer,
        sent_ms: clock.Millis,
    ) -> None:
        """Ignores the answer."""

    async def reserve(
        self, view: replica_view.ReplicaView, wait_max_ms: float
    ) -> float | None:
        """Returns 0: a request may be sent at once."""
        return 0.0
