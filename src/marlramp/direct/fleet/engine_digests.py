"""Tells entries of other cells how loaded the engines of this cell are.

Agents report to the entries of their own cell. One entry of the cell puts the
reports together and sends them to one entry of each other cell, which tells
its own: requests that find no place in their cell's engines go to others.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp.core import cells
from marlramp.core import rendezvous
from marlramp.core import replica_view
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import placement
from marlramp.protocol import fleet_messages

DIGEST_MS = 500.0
"""Between two digests while there are few cells: a third of the time that a
report counts."""

CELL_SHARE_MS = 25.0
"""The same for each cell that is told, so that an entry of a fleet with 40
cells sends 40 messages a second at most."""

REPORTS_MAX = 32
"""Engines in one digest, those with the least load: 2 kB."""

Take: TypeAlias = Callable[[replica_view.LoadReport, float], None]


class _Heard(msgspec.Struct, frozen=True):
    report: replica_view.LoadReport
    heard_ms: float


class EngineDigests:
    """This entry's part in telling other cells of engines."""

    def __init__(
        self,
        placed: placement.Placement,
        sync: member_sync.MemberSync,
        take: Take,
        time: clock.Clock,
    ) -> None:
        """Has heard no report.

        Args:
          placed: the cells.
          sync: the members.
          take: takes each report of another cell and when it was true.
          time: the clock.
        """
        self._placed = placed
        self._sync = sync
        self._take = take
        self._clock = time
        self._heard: dict[str, _Heard] = {}
        self._sent_ms = float("-inf")
        self._turn = 0

    def on_report(
        self, agent: str, report: replica_view.LoadReport | None
    ) -> None:
        """Takes an agent's own report, None if its engine is away."""
        if report is None:
            self._heard.pop(agent, None)
        else:
            self._heard[agent] = _Heard(report, self._clock.now_ms())

    def on_digest(self, digest: fleet_messages.EngineDigest) -> None:
        """Takes the reports of another cell, and passes them on if asked."""
        now_ms = self._clock.now_ms()
        for aged in digest.reports:
            self._take(aged.report, now_ms - aged.age_ms)
        if digest.pass_on:
            onward = msgspec.structs.replace(digest, pass_on=False)
            self._sync.send_all(self._placed.mates(), onward)

    def tick(self) -> None:
        """Sends the digest of the own cell if that is this entry's part."""
        now_ms = self._clock.now_ms()
        known = self._placed.cells
        pause_ms = max(DIGEST_MS, CELL_SHARE_MS * len(known.all))
        if now_ms - self._sent_ms < pause_ms:
            return
        own = self._sync.roster.own.vm_id
        cell = known.of_entry(own)
        if cell is None or cell.entries[0] != own:
            return
        self._sent_ms = now_ms
        self._turn += 1
        reports = self._reports(cell, now_ms)
        if not reports:
            return
        message = fleet_messages.EngineDigest(reports=reports, pass_on=True)
        self._sync.send_all(self._receivers(known, cell), message)

    def _reports(
        self, cell: cells.Cell, now_ms: clock.Millis
    ) -> list[fleet_messages.AgedReport]:
        """Returns the fresh reports of the cell's engines, least load first."""
        fresh = [
            fleet_messages.AgedReport(heard.report, now_ms - heard.heard_ms)
            for heard in map(self._heard.get, cell.agents)
            if heard is not None
            and now_ms - heard.heard_ms < replica_view.REPORT_FRESH_MS
        ]
        fresh.sort(key=lambda aged: aged.report.running + aged.report.waiting)
        return fresh[:REPORTS_MAX]

    def _receivers(self, known: cells.Cells, own: cells.Cell) -> list[str]:
        """Returns an entry of each other cell, two of them by turns."""
        receivers = []
        for cell in known.all:
            if cell.name == own.name:
                continue
            key = f"digest\0{own.name}"
            pair = rendezvous.subset(key, cell.entries, 2)
            receivers.append(pair[self._turn % len(pair)])
        return receivers
