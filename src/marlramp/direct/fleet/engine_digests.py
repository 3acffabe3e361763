"""Sends the loads of a cell's engines to entries of other cells.

Agents report to the entries of their own cell. One entry of the cell combines
the reports to a digest and sends it to one entry of each other cell, which
forwards it to its own cell. Requests that find no free slot in the engines of
their own cell can then be sent to engines of other cells.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp.core import rendezvous
from marlramp.core.membership import cells
from marlramp.core.replicas import replica_view
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import placement
from marlramp.protocol import fleet_messages

DIGEST_MS = 500.0
"""Time between two digests while there are few cells: a third of
`replica_view.REPORT_FRESH_MS`."""

CELL_SHARE_MS = 25.0
"""Least time between two digests per cell of the fleet, so that an entry of a
fleet with 40 cells sends at most 40 messages per second."""

REPORTS_MAX = 32
"""Most engines in one digest, which then has 2 kB; the least loaded ones."""

OnReport: TypeAlias = Callable[[replica_view.LoadReport, float], None]


class _ReceivedReport(msgspec.Struct, frozen=True):
    report: replica_view.LoadReport
    received_ms: float


class EngineDigests:
    """Sends digests of this cell's engines; receives those of other cells."""

    def __init__(
        self,
        placed: placement.Placement,
        sync: member_sync.MemberSync,
        on_remote_report: OnReport,
        time: clock.Clock,
    ) -> None:
        """Starts without reports.

        Args:
          placed: the cells.
          sync: the members.
          on_remote_report: called with each report of another cell and the
            time, in milliseconds, at which the entry that sent the digest
            received the report. The transit time of the digest is not known,
            so that the report seems younger by it.
          time: the clock.
        """
        self._placed = placed
        self._sync = sync
        self._on_remote_report = on_remote_report
        self._clock = time
        self._received: dict[str, _ReceivedReport] = {}
        self._sent_ms = float("-inf")
        self._cycle = 0

    def on_own_report(
        self, agent: str, report: replica_view.LoadReport | None
    ) -> None:
        """Records the report of an agent, None if it has none of its engine."""
        if report is None:
            self._received.pop(agent, None)
        else:
            self._received[agent] = _ReceivedReport(
                report, self._clock.now_ms()
            )

    def on_digest(self, digest: fleet_messages.EngineDigest) -> None:
        """Handles the reports of another cell and forwards them if required."""
        now_ms = self._clock.now_ms()
        for aged in digest.reports:
            self._on_remote_report(aged.report, now_ms - aged.age_ms)
        if digest.pass_on:
            forwarded = msgspec.structs.replace(digest, pass_on=False)
            self._sync.send_all(self._placed.cell_peers(), forwarded)

    def tick(self) -> None:
        """Sends the own cell's digest when due, if this is its first entry."""
        now_ms = self._clock.now_ms()
        self._drop_old(now_ms)
        known = self._placed.cells
        pause_ms = max(DIGEST_MS, CELL_SHARE_MS * len(known.all))
        if now_ms - self._sent_ms < pause_ms:
            return
        own = self._sync.roster.own.vm_id
        cell = known.of_entry(own)
        if cell is None or cell.entries[0] != own:
            return
        self._sent_ms = now_ms
        self._cycle += 1
        reports = self._reports(cell, now_ms)
        if not reports:
            return
        message = fleet_messages.EngineDigest(reports=reports, pass_on=True)
        self._sync.send_all(self._receivers(known, cell), message)

    def _drop_old(self, now_ms: clock.Millis) -> None:
        """Drops reports that no digest contains any more."""
        horizon_ms = now_ms - replica_view.REPORT_FRESH_MS
        for agent, received in list(self._received.items()):
            if received.received_ms <= horizon_ms:
                del self._received[agent]

    def _reports(
        self, cell: cells.Cell, now_ms: clock.Millis
    ) -> list[fleet_messages.AgedReport]:
        """Returns fresh reports of the cell's engines, least loaded first."""
        fresh = [
            fleet_messages.AgedReport(
                received.report, now_ms - received.received_ms
            )
            for received in map(self._received.get, cell.agents)
            if received is not None
            and now_ms - received.received_ms < replica_view.REPORT_FRESH_MS
        ]
        fresh.sort(key=lambda aged: aged.report.running + aged.report.waiting)
        return fresh[:REPORTS_MAX]

    def _receivers(self, known: cells.Cells, own: cells.Cell) -> list[str]:
        """Returns one entry of each other cell.

        Two entries of each cell receive the digests alternately.
        """
        receivers = []
        for cell in known.all:
            if cell.name == own.name:
                continue
            key = f"digest\0{own.name}"
            pair = rendezvous.subset(key, cell.entries, 2)
            receivers.append(pair[self._cycle % len(pair)])
        return receivers
