"""Reserves send times for requests to rate-limited replicas.

For each replica that announces a rate limit, one entry (the primary limiter)
reserves the send times of all entries. It reports each reservation to a second
entry, the standby limiter, which takes over while the primary is silent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import itertools

from marlramp import clock
from marlramp import counters
from marlramp.core.membership import members
from marlramp.core.replicas import limiter_assignment
from marlramp.core.replicas import replica_limits
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import send_limiter
from marlramp.direct.fleet import limit_sync
from marlramp.direct.fleet import member_sync
from marlramp.protocol import fleet_messages

REPLY_MAX_MS = 150.0
"""Timeout of a request to a limiter."""

SILENT_MS = 1_000.0
"""Time after a missing reply during which a limiter is tried last."""

NO_LIMITER_PAUSE_MS = 200.0
"""Pause before the next reservation after one without a reply of a limiter."""

PAUSE_MIN_MS = 20.0
"""Least pause before the next reservation after one was denied because the
request could not wait long enough."""

DENIALS_PER_S_MAX = 40.0
"""Most requests per second that a limiter denies, from all entries together.
The pauses that it assigns therefore grow with the number of denied entries."""

DENIED_MS = 1_000.0
"""Time after a denial during which an entry counts towards the pause that
denied entries are assigned."""

PRIMARY_HEARD_MS = 500.0
"""Time without a message from the primary limiter after which the standby no
longer counts on being told of its reservations. By calculation, both together
reserve up to 5.9 times the limit of a second within 4 s, and up to 7 times with
2 s; 6 times and 5 requests are allowed."""

_MS = clock.MILLIS_PER_SECOND


class SendReservations:
    """Requests reservations from limiters, and makes them as a limiter."""

    def __init__(
        self,
        known: limit_sync.LimitSync,
        table: replica_table.ReplicaTable,
        sync: member_sync.MemberSync,
        regions: Mapping[str, str],
        totals: counters.Counters,
        time: clock.Clock,
        data_centres_lost: int = 0,
    ) -> None:
        """Starts without reservations.

        Args:
          known: the known limits of replicas, which entries share.
          table: the replicas.
          sync: the other members.
          regions: region of each data centre.
          totals: counters.
          time: the clock.
          data_centres_lost: number of data centres that may be lost at once.
        """
        self._known = known
        self._table = table
        self._sync = sync
        self._regions = regions
        self._data_centres_lost = data_centres_lost
        self._totals = totals
        self._clock = time
        self._limiters: dict[str, send_limiter.SendLimiter] = {}
        self._assigned: dict[str, list[str]] = {}
        self._seen_changes = -1
        self._alive = 1
        self._entries_known = 1
        self._denied_ms: dict[str, float] = {}
        self._silent_ms: dict[str, float] = {}
        self._request_numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[fleet_messages.SendReply]] = {}

    # Requests of this entry.

    async def reserve(
        self, view: replica_view.ReplicaView, wait_max_ms: float
    ) -> float | None:
        """Reserves a send time for a request to a replica.

        Args:
          view: the replica.
          wait_max_ms: how long the request can wait, in milliseconds.

        Returns:
          In how many milliseconds the request may be sent, 0 without a limit.
          None if the request can't wait that long, no limiter replies, or the
          limit ends before a limiter is queried; the view's limit then holds
          the time of the next attempt in `reserve_from_ms`.
        """
        limit = view.limit
        if limit is None:
            return 0.0
        if self._known.limits.per_s(view.replica.replica_id) is None:
            view.limit = None
            return 0.0
        limit.pending += 1
        try:
            reply = await self._first_reply(view, wait_max_ms)
        finally:
            limit.pending -= 1
        now_ms = self._clock.now_ms()
        if reply is None:
            limit.reserve_from_ms = now_ms + NO_LIMITER_PAUSE_MS
            self._count("no_meter")
            return None
        limit.next_ms = now_ms + reply.next_ms
        if reply.wait_ms is None:
            limit.reserve_from_ms = now_ms + max(PAUSE_MIN_MS, reply.pause_ms)
            self._count("denied")
        else:
            self._count("reserved")
        return reply.wait_ms

    async def _first_reply(
        self, view: replica_view.ReplicaView, wait_max_ms: float
    ) -> fleet_messages.SendReply | None:
        started_ms = self._clock.now_ms()
        for vm_id in self._request_order(view):
            elapsed_ms = self._clock.now_ms() - started_ms
            request = self._build_request(
                view, max(0.0, wait_max_ms - elapsed_ms)
            )
            if request is None:
                return None
            if vm_id == self._own.vm_id:
                return self._reply(vm_id, request)
            reply = await self._request_reservation(vm_id, request)
            if reply is not None:
                self._merge_limit(vm_id, reply.limit)
                return reply
            self._silent_ms[vm_id] = self._clock.now_ms()
        return None

    def _build_request(
        self, view: replica_view.ReplicaView, wait_max_ms: float
    ) -> fleet_messages.SendRequest | None:
        now_ms = self._clock.now_ms()
        updates = self._known.limits.updates_of(
            [view.replica.replica_id], now_ms
        )
        if not updates:
            return None
        return fleet_messages.SendRequest(
            number=next(self._request_numbers),
            limit=updates[0],
            wait_max_ms=wait_max_ms,
        )

    def _request_order(self, view: replica_view.ReplicaView) -> list[str]:
        """Returns the limiters, those that were silent recently last."""
        horizon_ms = self._clock.now_ms() - SILENT_MS
        return sorted(
            self.limiters_of(view),
            key=lambda name: (
                self._silent_ms.get(name, float("-inf")) > horizon_ms
            ),
        )

    async def _request_reservation(
        self, vm_id: str, request: fleet_messages.SendRequest
    ) -> fleet_messages.SendReply | None:
        if not self._sync.send(vm_id, request):
            return None
        future: asyncio.Future[fleet_messages.SendReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[request.number] = future
        try:
            async with asyncio.timeout(REPLY_MAX_MS / _MS):
                return await future
        except TimeoutError:
            # The caller tries the next limiter.
            return None
        finally:
            del self._pending[request.number]

    def on_reply(self, reply: fleet_messages.SendReply) -> None:
        """Handles the reply to a request; a late reply is dropped."""
        future = self._pending.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply)

    # Requests of all entries.

    def on_request(
        self, name: str, request: fleet_messages.SendRequest
    ) -> None:
        """Replies to an entry that requests a reservation."""
        self._merge_limit(name, request.limit)
        self._sync.send(name, self._reply(name, request))

    def on_reserved(
        self, name: str, message: fleet_messages.SendReserved
    ) -> None:
        """Records a reservation that another limiter has made."""
        self._merge_limit(name, message.limit)
        rate = self._rate(message.limit.replica_id)
        if rate is not None:
            limiter = self._limiter(message.limit.replica_id, rate)
            limiter.record_reservation(self._clock.now_ms(), rate)

    def tick(self) -> None:
        """Removes the limiters of limits that have ended.

        Also counts the entries, for `_rate`, while any limit is in force.
        """
        if not self._known.limits.in_force():
            self._limiters.clear()
            return
        kind = members.MemberKind.ENTRY
        self._alive = len(self._sync.alive(kind)) + 1
        self._entries_known = self._sync.roster.count(kind)
        for replica_id in list(self._limiters):
            if self._known.limits.per_s(replica_id) is None:
                del self._limiters[replica_id]

    def _reply(
        self, name: str, request: fleet_messages.SendRequest
    ) -> fleet_messages.SendReply:
        replica_id = request.limit.replica_id
        now_ms = self._clock.now_ms()
        updates = self._known.limits.updates_of([replica_id], now_ms)
        limit = updates[0] if updates else None
        rate = self._rate(replica_id)
        if rate is None:
            return fleet_messages.SendReply(
                number=request.number,
                wait_ms=0.0,
                next_ms=0.0,
                pause_ms=0.0,
                limit=limit,
            )
        limiter = self._limiter(replica_id, rate)
        wait_ms = limiter.reserve(now_ms, rate, request.wait_max_ms)
        if wait_ms is not None:
            self._notify_other_limiters(replica_id, limit)
        return fleet_messages.SendReply(
            number=request.number,
            wait_ms=wait_ms,
            next_ms=limiter.next_in_ms(now_ms, rate),
            pause_ms=0.0 if wait_ms is not None else self._pause_ms(name),
            limit=limit,
        )

    def _notify_other_limiters(
        self, replica_id: str, limit: replica_limits.LimitUpdate | None
    ) -> None:
        view = self._table.get(replica_id)
        if view is None or limit is None:
            return
        others = [n for n in self.limiters_of(view) if n != self._own.vm_id]
        self._sync.send_all(others, fleet_messages.SendReserved(limit=limit))

    def _pause_ms(self, name: str) -> float:
        """Returns the pause after which a denied entry may request again."""
        now_ms = self._clock.now_ms()
        self._denied_ms[name] = now_ms
        for other, denied_ms in list(self._denied_ms.items()):
            if now_ms - denied_ms >= DENIED_MS:
                del self._denied_ms[other]
        return _MS * len(self._denied_ms) / DENIALS_PER_S_MAX

    # Limiters and rates.

    @property
    def _own(self) -> members.Member:
        return self._sync.roster.own.member

    def limiters_of(self, view: replica_view.ReplicaView) -> list[str]:
        """Returns the VMs of a replica's limiters, the primary first."""
        replica_id = view.replica.replica_id
        if self._sync.roster.changes != self._seen_changes:
            self._seen_changes = self._sync.roster.changes
            self._assigned.clear()
        if replica_id not in self._assigned:
            self._assigned[replica_id] = self._assign_limiters(view)
        return self._assigned[replica_id]

    def _assign_limiters(self, view: replica_view.ReplicaView) -> list[str]:
        leaving = self._sync.entries_in_state(members.MemberState.LEAVING)
        alive = self._sync.alive(members.MemberKind.ENTRY)
        entries = [entry for entry in alive if entry not in leaving]
        if self._sync.roster.own.state is not members.MemberState.LEAVING:
            entries.append(self._own)
        return limiter_assignment.limiters_of(
            view.replica.replica_id,
            view.replica.data_centre,
            entries,
            self._regions,
            self._data_centres_lost,
        )

    def _rate(self, replica_id: str) -> float | None:
        """Returns the rate per second at which this entry reserves sends.

        It is the replica's limit, reduced if this entry reaches only a part of
        the known entries, or if it does not hear from the primary limiter. None
        without a limit.
        """
        per_s = self._known.limits.per_s(replica_id)
        if per_s is None:
            return None
        rate = send_limiter.partition_rate(
            per_s, self._alive, self._entries_known
        )
        if self._data_centres_lost > 0 and self._misses_primary(replica_id):
            return send_limiter.unheard_primary_rate(per_s, rate)
        return rate

    def _misses_primary(self, replica_id: str) -> bool:
        """Returns whether this entry may miss the primary's reservations.

        The primary may be alive to other entries while its data centre and this
        one cannot reach each other.
        """
        view = self._table.get(replica_id)
        if view is None:
            return False
        primary = next(iter(self.limiters_of(view)), self._own.vm_id)
        if primary == self._own.vm_id:
            return False
        record = self._sync.roster.get(primary)
        horizon_ms = self._clock.now_ms() - PRIMARY_HEARD_MS
        return record is None or record.heard_ms < horizon_ms

    def _limiter(
        self, replica_id: str, rate: float
    ) -> send_limiter.SendLimiter:
        limiter = self._limiters.get(replica_id)
        if limiter is None:
            limiter = send_limiter.SendLimiter(self._clock.now_ms(), rate)
            self._limiters[replica_id] = limiter
        return limiter

    def _merge_limit(
        self, name: str, limit: replica_limits.LimitUpdate | None
    ) -> None:
        if limit is not None:
            self._known.on_updates(name, [limit])

    def _count(self, reason: str) -> None:
        self._totals.add(counters.CounterName.REPLICA_LIMITS, reason)
