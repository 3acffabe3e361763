"""Tells the entries of a cell what they have under way at the replicas."""

from __future__ import annotations

import asyncio
import contextlib

from marlramp import clock
from marlramp import counters
from marlramp.core import peer_loads
from marlramp.core import replica_table
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import placement
from marlramp.protocol import fleet_messages
from marlramp.shell import safely

TELL_MS = 20.0
"""Least time between two messages on changes: a fifth of the time that an
engine takes to the first event, so that a choice rests on what others chose
just before."""

REFRESH_MS = 1_000.0
"""Between two times that all is told, in case a change was lost or a peer has
started anew, and that the peers are looked for."""


class LoadExchange:
    """This entry's part in telling loads."""

    def __init__(
        self,
        placed: placement.Placement,
        sync: member_sync.MemberSync,
        table: replica_table.ReplicaTable,
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Tells nothing before `run`.

        Args:
          placed: the cells.
          sync: the other members.
          table: the replicas.
          totals: counters.
          time: the clock.
        """
        self._placed = placed
        self._sync = sync
        self._totals = totals
        self._clock = time
        self._changed = asyncio.Event()
        self._news = peer_loads.LoadUpdates(table, self._changed.set)
        self._loads = peer_loads.PeerLoads(table)
        self._peers: set[str] = set()
        self._refreshed_ms = float("-inf")

    async def run(self) -> None:
        """Tells changes for ever."""
        while True:
            await self._wait()
            safely.run_safely(self._tell, "load_exchange", self._totals)
            await asyncio.sleep(TELL_MS / clock.MILLIS_PER_SECOND)

    async def _wait(self) -> None:
        """Waits for a change, or until something is due without one."""
        due_ms = REFRESH_MS - (self._clock.now_ms() - self._refreshed_ms)
        if self._news.has_pending:
            due_ms = peer_loads.decreases_pause_ms(len(self._peers))
        if due_ms <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(due_ms / clock.MILLIS_PER_SECOND):
                await self._changed.wait()

    def on_message(self, name: str, message: fleet_messages.OwnLoads) -> None:
        """Takes what another entry has under way."""
        if message.whole:
            self._loads.replace(name, message.loads)
        else:
            self._loads.update(name, message.loads)

    def forget(self, replica_ids: list[str]) -> None:
        """Drops replicas that are gone."""
        self._news.forget(replica_ids)
        self._loads.forget(replica_ids)

    def _tell(self) -> None:
        self._changed.clear()
        now_ms = self._clock.now_ms()
        if now_ms - self._refreshed_ms >= REFRESH_MS:
            self._refreshed_ms = now_ms
            self._find_peers()
            self._send(self._news.all(now_ms), whole=True)
            return
        loads = self._news.changed(len(self._peers), now_ms)
        if loads:
            self._send(loads, whole=False)

    def _send(self, loads: list[peer_loads.OwnLoad], *, whole: bool) -> None:
        message = fleet_messages.OwnLoads(loads=loads, whole=whole)
        self._sync.send_all(self._peers, message)

    def _find_peers(self) -> None:
        """Takes the entries of the own cell."""
        self._peers = set(self._placed.mates())
        for name in set(self._loads.peers) - self._peers:
            self._loads.drop(name)
