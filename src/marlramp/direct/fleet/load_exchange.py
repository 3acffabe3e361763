"""Reports the load of this entry at the replicas to the entries of its cell."""

from __future__ import annotations

import asyncio
import contextlib

from marlramp import clock
from marlramp import counters
from marlramp.core.replicas import peer_loads
from marlramp.core.replicas import replica_table
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import placement
from marlramp.protocol import fleet_messages
from marlramp.shell import safely

REPORT_INTERVAL_MS = 20.0
"""Least time between two reports of changes: a fifth of the time that an engine
takes to its first event. A choice of a replica then takes into account what
others chose just before."""

REFRESH_MS = 1_000.0
"""Time between two complete reports, in case a change was lost or a peer has
restarted. The peers are determined at the same times."""


class LoadExchange:
    """Sends this entry's loads to its peers and receives theirs."""

    def __init__(
        self,
        placed: placement.Placement,
        sync: member_sync.MemberSync,
        table: replica_table.ReplicaTable,
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Creates an exchange that sends nothing before `run`.

        Args:
          placed: the cells.
          sync: the other members.
          table: the replicas.
          totals: counters.
          time: the clock.
        """
        self._placed = placed
        self._sync = sync
        self._table = table
        self._totals = totals
        self._clock = time
        self._changed = asyncio.Event()
        self._updates = peer_loads.LoadUpdates(table, self._changed.set)
        self._loads = peer_loads.PeerLoads(table)
        self._peers: set[str] = set()
        self._refreshed_ms = float("-inf")

    async def run(self) -> None:
        """Reports loads until cancelled."""
        while True:
            await self._wait()
            safely.run_safely(self._report, "load_exchange", self._totals)
            await asyncio.sleep(REPORT_INTERVAL_MS / clock.MILLIS_PER_SECOND)

    async def _wait(self) -> None:
        """Waits for a change, or until a report is due without one."""
        due_ms = REFRESH_MS - (self._clock.now_ms() - self._refreshed_ms)
        if self._updates.has_pending:
            due_ms = peer_loads.decreases_pause_ms(len(self._peers))
        if due_ms <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(due_ms / clock.MILLIS_PER_SECOND):
                await self._changed.wait()

    def on_message(self, name: str, message: fleet_messages.OwnLoads) -> None:
        """Applies the loads that another entry reports at known replicas.

        A replica that is not known yet is part of the next complete report.
        """
        loads = [
            load
            for load in message.loads
            if self._table.get(load.replica_id) is not None
        ]
        if message.whole:
            self._loads.replace(name, loads)
        else:
            self._loads.update(name, loads)

    def forget(self, replica_ids: list[str]) -> None:
        """Removes the loads at replicas that are gone."""
        self._updates.forget(replica_ids)
        self._loads.forget(replica_ids)

    def _report(self) -> None:
        self._changed.clear()
        now_ms = self._clock.now_ms()
        if now_ms - self._refreshed_ms >= REFRESH_MS:
            self._refreshed_ms = now_ms
            self._find_peers()
            self._send(self._updates.all(now_ms), whole=True)
            return
        loads = self._updates.changed(len(self._peers), now_ms)
        if loads:
            self._send(loads, whole=False)

    def _send(self, loads: list[peer_loads.OwnLoad], *, whole: bool) -> None:
        message = fleet_messages.OwnLoads(loads=loads, whole=whole)
        self._sync.send_all(self._peers, message)

    def _find_peers(self) -> None:
        """Updates the peers: the other entries of this entry's cell."""
        self._peers = set(self._placed.cell_peers())
        for name in set(self._loads.peers) - self._peers:
            self._loads.drop(name)
