"""Reserves the times of requests to replicas that name a limit.

For each such replica one entry reserves for all, and tells a second one of each
request, which stands in while the first is silent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import itertools

from marlramp import clock
from marlramp import counters
from marlramp.core import limiter_assignment
from marlramp.core import members
from marlramp.core import replica_limits
from marlramp.core import replica_table
from marlramp.core import replica_view
from marlramp.core import send_limiter
from marlramp.direct.fleet import limit_sync
from marlramp.direct.fleet import member_sync
from marlramp.protocol import fleet_messages

REPLY_MAX_MS = 150.0
"""How long the answer of an entry that reserves is waited for."""

SILENT_MS = 1_000.0
"""How long an entry that did not answer is passed over."""

NO_METER_PAUSE_MS = 200.0
"""Pause after no entry that reserves has answered."""

PAUSE_MIN_MS = 20.0
"""Least pause after a request that could not wait was turned away."""

ASKS_PER_S_MAX = 40.0
"""Questions a second that an entry turns away, from all others together."""

ASKERS_MS = 1_000.0
"""How long an entry that was turned away counts among those who ask."""

_MS = clock.MILLIS_PER_SECOND


class SendMeters:
    """This entry's part in reserving, and its questions to the others."""

    def __init__(
        self,
        known: limit_sync.LimitSync,
        table: replica_table.ReplicaTable,
        sync: member_sync.MemberSync,
        regions: Mapping[str, str],
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Reserves for nothing yet.

        Args:
          known: the limits.
          table: the replicas.
          sync: the other members.
          regions: region of each data centre.
          totals: counters.
          time: the clock.
        """
        self._known = known
        self._table = table
        self._sync = sync
        self._regions = regions
        self._totals = totals
        self._clock = time
        self._meters: dict[str, send_limiter.SendLimiter] = {}
        self._duties: dict[str, list[str]] = {}
        self._seen_changes = -1
        self._alive = 1
        self._entries_known = 1
        self._askers: dict[str, float] = {}
        self._silent: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._asked: dict[int, asyncio.Future[fleet_messages.SendReply]] = {}

    # For own requests.

    async def reserve(
        self, view: replica_view.ReplicaView, wait_max_ms: float
    ) -> float | None:
        """Returns in how many milliseconds a request may be sent to a replica.

        Args:
          view: the replica.
          wait_max_ms: how long the request can wait.

        Returns:
          None if it can't wait so long; the replica's view tells from when on
          it is worth asking again.
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
            limit.reserve_from_ms = now_ms + NO_METER_PAUSE_MS
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
        for vm_id in self._asking_order(view):
            asked_ms = self._clock.now_ms() - started_ms
            request = self._request(view, max(0.0, wait_max_ms - asked_ms))
            if request is None:
                return None
            if vm_id == self._own.vm_id:
                return self._reply(vm_id, request)
            reply = await self._ask(vm_id, request)
            if reply is not None:
                self._take_limit(vm_id, reply.limit)
                return reply
            self._silent[vm_id] = self._clock.now_ms()
        return None

    def _request(
        self, view: replica_view.ReplicaView, wait_max_ms: float
    ) -> fleet_messages.SendRequest | None:
        now_ms = self._clock.now_ms()
        told = self._known.limits.updates_of([view.replica.replica_id], now_ms)
        if not told:
            return None
        return fleet_messages.SendRequest(
            number=next(self._numbers), limit=told[0], wait_max_ms=wait_max_ms
        )

    def _asking_order(self, view: replica_view.ReplicaView) -> list[str]:
        """Returns the entries that reserve, those that fell silent last."""
        horizon_ms = self._clock.now_ms() - SILENT_MS
        return sorted(
            self.limiters_of(view),
            key=lambda name: self._silent.get(name, float("-inf")) > horizon_ms,
        )

    async def _ask(
        self, vm_id: str, request: fleet_messages.SendRequest
    ) -> fleet_messages.SendReply | None:
        if not self._sync.send(vm_id, request):
            return None
        future: asyncio.Future[fleet_messages.SendReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._asked[request.number] = future
        try:
            async with asyncio.timeout(REPLY_MAX_MS / _MS):
                return await future
        except TimeoutError:
            # The next entry is asked instead.
            return None
        finally:
            del self._asked[request.number]

    def on_reply(self, reply: fleet_messages.SendReply) -> None:
        """Takes the answer to an own question; one that is late is dropped."""
        future = self._asked.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply)

    # For the requests of all.

    def on_request(
        self, name: str, request: fleet_messages.SendRequest
    ) -> None:
        """Answers an entry that asks when it may send."""
        self._take_limit(name, request.limit)
        self._sync.send(name, self._reply(name, request))

    def on_reserved(
        self, name: str, message: fleet_messages.SendReserved
    ) -> None:
        """Counts a request that another entry has reserved."""
        self._take_limit(name, message.limit)
        rate = self._rate(message.limit.replica_id)
        if rate is not None:
            meter = self._meter(message.limit.replica_id, rate)
            meter.record_reservation(self._clock.now_ms(), rate)

    def tick(self) -> None:
        """Follows the members; drops what belongs to limits that have ended."""
        if not self._known.limits.in_force():
            self._meters.clear()
            return
        kind = members.MemberKind.ENTRY
        self._alive = len(self._sync.alive(kind)) + 1
        self._entries_known = self._sync.roster.count(kind)
        for replica_id in list(self._meters):
            if self._known.limits.per_s(replica_id) is None:
                del self._meters[replica_id]

    def _reply(
        self, name: str, request: fleet_messages.SendRequest
    ) -> fleet_messages.SendReply:
        replica_id = request.limit.replica_id
        now_ms = self._clock.now_ms()
        told = self._known.limits.updates_of([replica_id], now_ms)
        limit = told[0] if told else None
        rate = self._rate(replica_id)
        if rate is None:
            return fleet_messages.SendReply(
                number=request.number,
                wait_ms=0.0,
                next_ms=0.0,
                pause_ms=0.0,
                limit=limit,
            )
        meter = self._meter(replica_id, rate)
        wait_ms = meter.reserve(now_ms, rate, request.wait_max_ms)
        if wait_ms is not None:
            self._tell_others(replica_id, limit)
        return fleet_messages.SendReply(
            number=request.number,
            wait_ms=wait_ms,
            next_ms=meter.next_in_ms(now_ms, rate),
            pause_ms=0.0 if wait_ms is not None else self._pause_ms(name),
            limit=limit,
        )

    def _tell_others(
        self, replica_id: str, limit: replica_limits.LimitUpdate | None
    ) -> None:
        view = self._table.get(replica_id)
        if view is None or limit is None:
            return
        others = [n for n in self.limiters_of(view) if n != self._own.vm_id]
        self._sync.send_all(others, fleet_messages.SendReserved(limit=limit))

    def _pause_ms(self, name: str) -> float:
        """Returns how long an entry that was turned away is not to ask."""
        now_ms = self._clock.now_ms()
        self._askers[name] = now_ms
        for other, asked_ms in list(self._askers.items()):
            if now_ms - asked_ms >= ASKERS_MS:
                del self._askers[other]
        return _MS * len(self._askers) / ASKS_PER_S_MAX

    # What both need.

    @property
    def _own(self) -> members.Member:
        return self._sync.roster.own.member

    def limiters_of(self, view: replica_view.ReplicaView) -> list[str]:
        """Returns the VMs of the entries that reserve, the first one first."""
        replica_id = view.replica.replica_id
        if self._sync.roster.changes != self._seen_changes:
            self._seen_changes = self._sync.roster.changes
            self._duties.clear()
        if replica_id not in self._duties:
            self._duties[replica_id] = self._find_meters(view)
        return self._duties[replica_id]

    def _find_meters(self, view: replica_view.ReplicaView) -> list[str]:
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
        )

    def _rate(self, replica_id: str) -> float | None:
        """Returns the rate at which this entry reserves, None without limit."""
        per_s = self._known.limits.per_s(replica_id)
        if per_s is None:
            return None
        return send_limiter.partition_rate(
            per_s, self._alive, self._entries_known
        )

    def _meter(self, replica_id: str, rate: float) -> send_limiter.SendLimiter:
        meter = self._meters.get(replica_id)
        if meter is None:
            meter = send_limiter.SendLimiter(self._clock.now_ms(), rate)
            self._meters[replica_id] = meter
        return meter

    def _take_limit(
        self, name: str, limit: replica_limits.LimitUpdate | None
    ) -> None:
        if limit is not None:
            self._known.on_news(name, [limit])

    def _count(self, reason: str) -> None:
        self._totals.add(counters.CounterName.REPLICA_LIMITS, reason)
