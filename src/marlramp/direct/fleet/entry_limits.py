"""Combines limit synchronisation and send reservations of an entry.

Replicas announce rate limits in their answers. All entries together keep to
them.
"""

from __future__ import annotations

from collections.abc import Mapping
import random

from marlramp import clock
from marlramp import counters
from marlramp.core.replicas import replica_limits
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from marlramp.direct.calls import wire
from marlramp.direct.fleet import limit_sync
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import send_reservations
from marlramp.protocol import fleet_messages


class EntryLimits:
    """Holds the known limits of replicas and reserves send times under them."""

    def __init__(
        self,
        sync: member_sync.MemberSync,
        table: replica_table.ReplicaTable,
        regions: Mapping[str, str],
        totals: counters.Counters,
        time: clock.Clock,
        rng: random.Random | None = None,
        data_centres_lost: int = 0,
    ) -> None:
        """Starts without limits.

        Args:
          sync: the members.
          table: the replicas, whose views get the limits.
          regions: region of each data centre.
          totals: counters.
          time: the clock.
          rng: picks the receivers of limits at random.
          data_centres_lost: number of data centres that may be lost at once.
        """
        self._sync = limit_sync.LimitSync(
            sync, table, totals, time, rng or random.Random()
        )
        self._reservations = send_reservations.SendReservations(
            self._sync, table, sync, regions, totals, time, data_centres_lost
        )

    @property
    def known(self) -> replica_limits.ReplicaLimits:
        """The limits that this entry knows."""
        return self._sync.limits

    @property
    def digest(self) -> int:
        """Digest of the known limits."""
        return self._sync.digest

    # Requests of this entry.

    def handle_answer(
        self,
        view: replica_view.ReplicaView,
        answer: wire.ReplicaAnswer,
        sent_ms: clock.Millis,
    ) -> None:
        """Records the limit, or its absence, that a replica's answer states.

        Args:
          view: the replica as it was when the request was sent.
          answer: the answer.
          sent_ms: when the request was sent.
        """
        self._sync.handle_answer(view, answer, sent_ms)

    async def reserve(
        self, view: replica_view.ReplicaView, wait_max_ms: float
    ) -> float | None:
        """Reserves a send time for a request to a replica.

        Args:
          view: the replica.
          wait_max_ms: how long the request can wait, in milliseconds.

        Returns:
          In how many milliseconds the request may be sent, or None if it got
          no reservation.
        """
        return await self._reservations.reserve(view, wait_max_ms)

    def limiters_of(self, view: replica_view.ReplicaView) -> list[str]:
        """Returns the VMs of a replica's limiters, the primary first."""
        return self._reservations.limiters_of(view)

    # Messages of other entries.

    def on_digest(self, name: str, digest: int) -> None:
        """Handles the digest of the limits that another entry knows."""
        self._sync.on_digest(name, digest)

    def on_message(
        self, name: str, message: fleet_messages.AboutLimits
    ) -> None:
        """Handles another entry's message about limits or reservations."""
        match message:
            case fleet_messages.LimitNews():
                self._sync.on_updates(name, message.limits)
            case fleet_messages.LimitRequest():
                self._sync.on_request(name, message)
            case fleet_messages.SendRequest():
                self._reservations.on_request(name, message)
            case fleet_messages.SendReply():
                self._reservations.on_reply(message)
            case fleet_messages.SendReserved():
                self._reservations.on_reserved(name, message)

    # Periodic work.

    def forget(self, replica_ids: list[str]) -> None:
        """Removes the limits of replicas that are gone or have restarted."""
        self._sync.forget(replica_ids)

    def tick(self) -> None:
        """Forwards new limits and removes the state of ended limits."""
        self._sync.tick()
        self._reservations.tick()
