"""Keeps what all entries know of the limits that replicas name alike.

An entry that is told of a limit tells the others at once, and they pass it on.
What one of them misses shows in the digests that entries exchange.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import logs
from marlramp.core import gossip
from marlramp.core import members
from marlramp.core import replica_limits
from marlramp.core import replica_table
from marlramp.core import replica_view
from marlramp.core import seen_values
from marlramp.core import send_limit
from marlramp.direct.calls import wire
from marlramp.direct.fleet import member_sync
from marlramp.protocol import fleet_messages

COMPARE_MS = 500.0
"""Between two requests for limits that this entry may not know."""

FIRST_TARGETS = 16
"""Entries told at once of a limit that an own answer names."""


class LimitSync:
    """This entry's part in sharing the limits of replicas.

    Attributes:
      limits: the limits known here.
    """

    def __init__(
        self,
        sync: member_sync.MemberSync,
        table: replica_table.ReplicaTable,
        totals: counters.Counters,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Knows no limit.

        Args:
          sync: the members.
          table: the replicas, whose views get the limits.
          totals: counters.
          time: the clock.
          rng: draws whom to tell.
        """
        self.limits = replica_limits.ReplicaLimits()
        self._sync = sync
        self._table = table
        self._totals = totals
        self._clock = time
        self._rng = rng
        self._rumours: gossip.GossipQueue[str] = gossip.GossipQueue()
        self._compared_ms = float("-inf")
        self._unreadable = seen_values.SeenValues()

    # What own answers say.

    def handle_answer(
        self,
        view: replica_view.ReplicaView,
        answer: wire.ReplicaAnswer,
        sent_ms: clock.Millis,
    ) -> None:
        """Takes what an answer says of its replica's limit.

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
            self._note_unreadable(replica_id, answer.limit_unreadable)
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
        self._note_change(replica_id, change, "answer")
        if change is not replica_limits.Change.NONE:
            self._tell_first(replica_id)

    def _note_unreadable(self, replica_id: str, value: str) -> None:
        self._totals.add(counters.CounterName.REPLICA_LIMITS, "unreadable")
        if self._unreadable.is_new(replica_id, value):
            logs.log(
                "replica_limit_unreadable", replica=replica_id, value=value
            )

    # What other entries say.

    def on_news(
        self, name: str, limits: Iterable[replica_limits.LimitUpdate]
    ) -> None:
        """Takes limits that another entry knows."""
        now_ms = self._clock.now_ms()
        for news in limits:
            change = self.limits.merge(news, now_ms)
            self._note_change(news.replica_id, change, name)

    def on_digest(self, name: str, digest: int) -> None:
        """Asks an entry that knows other limits for them."""
        now_ms = self._clock.now_ms()
        if digest == self.digest or now_ms - self._compared_ms < COMPARE_MS:
            return
        self._compared_ms = now_ms
        digests = self.limits.digests()
        self._sync.send(name, fleet_messages.LimitRequest(digests=digests))

    def on_request(
        self, name: str, request: fleet_messages.LimitRequest
    ) -> None:
        """Tells an entry of limits that it may not know."""
        replica_ids = self.limits.differing(request.digests)
        limits = self.limits.updates_of(replica_ids, self._clock.now_ms())
        if limits:
            self._sync.send(name, fleet_messages.LimitNews(limits=limits))

    @property
    def digest(self) -> int:
        """Digest of the replicas known to name a limit."""
        return self.limits.digest()

    # Regular work.

    def forget(self, replica_ids: list[str]) -> None:
        """Drops replicas that are gone or started again."""
        self.limits.forget(replica_ids)

    def tick(self) -> None:
        """Passes on what is new, and gives replicas that came their limits."""
        now_ms = self._clock.now_ms()
        self.limits.tick(now_ms)
        for replica_id in self.limits.in_force():
            self._show(replica_id)
        told = self.limits.updates_of(self._rumours.next_batch(now_ms), now_ms)
        if told:
            self._sync.send_gossip(fleet_messages.LimitNews(limits=told))

    def _tell_first(self, replica_id: str) -> None:
        alive = self._sync.alive(members.MemberKind.ENTRY)
        count = min(FIRST_TARGETS, len(alive))
        targets = self._rng.sample([entry.vm_id for entry in alive], count)
        limits = self.limits.updates_of([replica_id], self._clock.now_ms())
        self._sync.send_all(targets, fleet_messages.LimitNews(limits=limits))

    def _note_change(
        self, replica_id: str, change: replica_limits.Change, source: str
    ) -> None:
        """Shows a limit to those who choose; logs and passes on a change."""
        self._show(replica_id)
        known = self.limits.get(replica_id)
        if change is replica_limits.Change.NONE or known is None:
            return
        now_ms = self._clock.now_ms()
        self._rumours.add(replica_id, replica_id, now_ms)
        self._totals.add(counters.CounterName.REPLICA_LIMITS, change.value)
        logs.log(
            f"replica_limit_{change.value}",
            replica=replica_id,
            limit_per_s=known.per_s,
            age_ms=round(now_ms - known.observed_ms),
            source=source,
        )

    def _show(self, replica_id: str) -> None:
        """Writes a limit into the view of its replica."""
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
