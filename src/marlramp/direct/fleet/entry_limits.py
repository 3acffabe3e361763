"""An entry's dealings with the limits that replicas name."""

from __future__ import annotations

from collections.abc import Mapping
import random

from marlramp import clock
from marlramp import counters
from marlramp.core import replica_limits
from marlramp.core import replica_table
from marlramp.core import replica_view
from marlramp.direct.calls import wire
from marlramp.direct.fleet import limit_sync
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import send_meters
from marlramp.protocol import fleet_messages


class EntryLimits:
    """What is known of limits, and the reservations under them."""

    def __init__(
        self,
        sync: member_sync.MemberSync,
        table: replica_table.ReplicaTable,
        regions: Mapping[str, str],
        totals: counters.Counters,
        time: clock.Clock,
        rng: random.Random | None = None,
    ) -> None:
        """Knows no limit.

        Args:
          sync: the members.
          table: the replicas, whose views get the limits.
          regions: region of each data centre.
          totals: counters.
          time: the clock.
          rng: draws whom to tell.
        """
        self._sync = limit_sync.LimitSync(
            sync, table, totals, time, rng or random.Random()
        )
        self._meters = send_meters.SendMeters(
            self._sync, table, sync, regions, totals, time
        )

    @property
    def known(self) -> replica_limits.ReplicaLimits:
        """The limits known here."""
        return self._sync.limits

    @property
    def digest(self) -> int:
        """Digest of the replicas known to name a limit."""
        return self._sync.digest

    # What requests ask for.

    def handle_answer(
        self,
        view: replica_view.ReplicaView,
        answer: wire.ReplicaAnswer,
        sent_ms: clock.Millis,
    ) -> None:
        """Takes what an answer says of its replica's limit."""
        self._sync.handle_answer(view, answer, sent_ms)

    async def reserve(
        self, view: replica_view.ReplicaView, wait_max_ms: float
    ) -> float | None:
        """Returns in how many milliseconds a request may be sent."""
        return await self._meters.reserve(view, wait_max_ms)

    def limiters_of(self, view: replica_view.ReplicaView) -> list[str]:
        """Returns the VMs of the entries that reserve for a replica."""
        return self._meters.limiters_of(view)

    # What other entries say.

    def on_digest(self, name: str, digest: int) -> None:
        """Takes the digest of the limits that another entry knows."""
        self._sync.on_digest(name, digest)

    def on_message(
        self, name: str, message: fleet_messages.AboutLimits
    ) -> None:
        """Takes what another entry says of limits."""
        match message:
            case fleet_messages.LimitNews():
                self._sync.on_news(name, message.limits)
            case fleet_messages.LimitRequest():
                self._sync.on_request(name, message)
            case fleet_messages.SendRequest():
                self._meters.on_request(name, message)
            case fleet_messages.SendReply():
                self._meters.on_reply(message)
            case fleet_messages.SendReserved():
                self._meters.on_reserved(name, message)

    # Regular work.

    def forget(self, replica_ids: list[str]) -> None:
        """Drops replicas that are gone or started again."""
        self._sync.forget(replica_ids)

    def tick(self) -> None:
        """Passes on what is new, and drops what has ended."""
        self._sync.tick()
        self._meters.tick()
