"""Synchronises the rate limits that replicas announce among all entries.

An entry that receives a limit in a replica's answer sends it to other entries
at once, and they forward it by gossip. Entries exchange digests of the limits
that they know; an entry whose digest differs requests what it missed.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import logs
from marlramp.core import seen_values
from marlramp.core.membership import gossip
from marlramp.core.membership import members
from marlramp.core.replicas import replica_limits
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import send_limit
from marlramp.direct.calls import wire
from marlramp.direct.fleet import member_sync
from marlramp.protocol import fleet_messages

COMPARE_MS = 500.0
"""Least time between two requests for limits that this entry may lack."""

FIRST_TARGETS = 16
"""Entries that receive a limit at once from the entry that saw it in an
answer."""


class LimitSync:
    """Shares the limits of replicas with other entries.

    Attributes:
      limits: the limits that this entry knows.
    """

    def __init__(
        self,
        sync: member_sync.MemberSync,
        table: replica_table.ReplicaTable,
        totals: counters.Counters,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Starts without limits.

        Args:
          sync: the members.
          table: the replicas, whose views get the limits.
          totals: counters.
          time: the clock.
          rng: picks the receivers of limits at random.
        """
        self.limits = replica_limits.ReplicaLimits()
        self._sync = sync
        self._table = table
        self._totals = totals
        self._clock = time
        self._rng = rng
        self._gossip_queue: gossip.GossipQueue[str] = gossip.GossipQueue()
        self._compared_ms = float("-inf")
        self._unreadable = seen_values.SeenValues()

    # Answers to requests of this entry.

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
        replica_id = view.replica.replica_id
        if self._table.get(replica_id) is not view:
            return
        if answer.status == errors.MISDIRECTED:
            return
        if answer.limit_unreadable:
            self._record_unreadable(replica_id, answer.limit_unreadable)
        if answer.limit_per_s is not None:
            change = self.limits.record_limit(
                replica_id,
                view.born_ms,
                answer.limit_per_s,
                self._clock.now_ms(),
            )
        elif answer.signed and not answer.limit_unreadable:
            change = self.limits.record_no_limit(
                replica_id, view.born_ms, sent_ms
            )
        else:
            return
        self._record_change(replica_id, change, "answer")
        if change is not replica_limits.Change.NONE:
            self._send_first(replica_id)

    def _record_unreadable(self, replica_id: str, value: str) -> None:
        self._totals.add(counters.CounterName.REPLICA_LIMITS, "unreadable")
        if self._unreadable.is_new(replica_id, value):
            logs.log(
                "replica_limit_unreadable", replica=replica_id, value=value
            )

    # Messages of other entries.

    def on_updates(
        self, name: str, limits: Iterable[replica_limits.LimitUpdate]
    ) -> None:
        """Merges limits that another entry sends."""
        now_ms = self._clock.now_ms()
        for update in limits:
            change = self.limits.merge(update, now_ms)
            self._record_change(update.replica_id, change, name)

    def on_digest(self, name: str, digest: int) -> None:
        """Requests limits from an entry whose digest differs."""
        now_ms = self._clock.now_ms()
        if digest == self.digest or now_ms - self._compared_ms < COMPARE_MS:
            return
        self._compared_ms = now_ms
        digests = self.limits.digests()
        self._sync.send(name, fleet_messages.LimitRequest(digests=digests))

    def on_request(
        self, name: str, request: fleet_messages.LimitRequest
    ) -> None:
        """Sends an entry the limits that it may lack."""
        replica_ids = self.limits.differing(request.digests)
        limits = self.limits.updates_of(replica_ids, self._clock.now_ms())
        if limits:
            self._sync.send(name, fleet_messages.LimitNews(limits=limits))

    @property
    def digest(self) -> int:
        """Digest of the known limits."""
        return self.limits.digest()

    # Periodic work.

    def forget(self, replica_ids: list[str]) -> None:
        """Removes the limits of replicas that are gone or have restarted."""
        self.limits.forget(replica_ids)

    def tick(self) -> None:
        """Forwards new limits and writes known limits to the replicas' views.

        Replicas that have appeared in the table get their limits by this.
        """
        now_ms = self._clock.now_ms()
        self.limits.tick(now_ms)
        for replica_id in self.limits.in_force():
            self._update_view(replica_id)
        updates = self.limits.updates_of(
            self._gossip_queue.next_batch(now_ms), now_ms
        )
        if updates:
            self._sync.send_gossip(fleet_messages.LimitNews(limits=updates))

    def _send_first(self, replica_id: str) -> None:
        alive = self._sync.alive(members.MemberKind.ENTRY)
        count = min(FIRST_TARGETS, len(alive))
        targets = self._rng.sample([entry.vm_id for entry in alive], count)
        limits = self.limits.updates_of([replica_id], self._clock.now_ms())
        self._sync.send_all(targets, fleet_messages.LimitNews(limits=limits))

    def _record_change(
        self, replica_id: str, change: replica_limits.Change, source: str
    ) -> None:
        """Updates the view; logs a change and queues it for gossip."""
        self._update_view(replica_id)
        known = self.limits.get(replica_id)
        if change is replica_limits.Change.NONE or known is None:
            return
        now_ms = self._clock.now_ms()
        self._gossip_queue.add(replica_id, replica_id, now_ms)
        self._totals.add(counters.CounterName.REPLICA_LIMITS, change.value)
        logs.log(
            f"replica_limit_{change.value}",
            replica=replica_id,
            limit_per_s=known.per_s,
            age_ms=round(now_ms - known.observed_ms),
            source=source,
        )

    def _update_view(self, replica_id: str) -> None:
        """Writes a replica's limit to its view, which replica choice reads."""
        view = self._table.get(replica_id)
        if view is None:
            return
        per_s = self.limits.per_s(replica_id)
        if per_s is None:
            view.limit = None
        elif view.limit is None:
            view.limit = send_limit.SendLimit(per_s)
        else:
            view.limit.per_s = per_s
