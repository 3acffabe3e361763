"""Keeps the cells that this entry computes from the members that it knows."""

from __future__ import annotations

from collections.abc import Mapping

from marlramp import clock
from marlramp.core.membership import cells
from marlramp.core.membership import members
from marlramp.core.weights import relay_assignment
from marlramp.direct.fleet import member_sync

SETTLE_MS = 500.0
"""Least time between two divisions into cells, so that members that join or
leave together change the cells only once."""


class Placement:
    """Recomputes the cells when the members change.

    Attributes:
      cells: the current cells.
      relay_locations: location of each entry that relays pieces, by VM.
    """

    def __init__(
        self,
        regions: Mapping[str, str],
        sync: member_sync.MemberSync,
        time: clock.Clock,
    ) -> None:
        """Starts without cells; the first `refresh` computes them.

        Args:
          regions: region of each data centre.
          sync: the members.
          time: the clock.
        """
        self._regions = regions
        self._sync = sync
        self._clock = time
        self._seen_changes = -1
        self._divided_ms = float("-inf")
        self.cells = cells.Cells([], [], regions)
        self.relay_locations: dict[str, relay_assignment.Location] = {}

    def refresh(self) -> bool:
        """Recomputes the cells if members changed.

        Returns:
          Whether the cells were recomputed.
        """
        now_ms = self._clock.now_ms()
        roster = self._sync.roster
        if roster.changes == self._seen_changes:
            return False
        if now_ms - self._divided_ms < SETTLE_MS:
            return False
        self._seen_changes = roster.changes
        self._divided_ms = now_ms
        entries = [
            member
            for state in (
                members.MemberState.STARTING,
                members.MemberState.READY,
            )
            for member in self._sync.entries_in_state(state)
        ]
        if roster.own.state is not members.MemberState.LEAVING:
            entries.append(roster.own.member)
        agents = self._agents(
            members.MemberState.STARTING, members.MemberState.READY
        )
        self.cells = cells.Cells(entries, agents, self._regions)
        self.relay_locations = {
            vm_id: relay_assignment.Location(cell.region, cell.name)
            for cell in self.cells.all
            for vm_id in cell.entries
        }
        return True

    def own_agents(self) -> list[str]:
        """Returns the VMs of the agents of this entry's cell."""
        cell = self.cells.of_entry(self._sync.roster.own.vm_id)
        return [] if cell is None else list(cell.agents)

    def agents_with_engine(self) -> list[members.Member]:
        """Returns the agents whose engine answers.

        An agent whose engine does not answer fetches no weights, so other
        agents must not rely on it for pieces.
        """
        return self._agents(members.MemberState.READY)

    def _agents(self, *states: members.MemberState) -> list[members.Member]:
        return [
            record.update.member
            for record in self._sync.roster.records()
            if record.update.member.kind is members.MemberKind.AGENT
            and record.update.state in states
        ]

    def cell_peers(self) -> list[str]:
        """Returns the VMs of the other entries of this entry's cell."""
        own = self._sync.roster.own.vm_id
        cell = self.cells.of_entry(own)
        if cell is None:
            return []
        return [vm_id for vm_id in cell.entries if vm_id != own]

    def cell_hosts(self) -> list[str]:
        """Returns the hosts of the VMs whose engines belong to this cell."""
        cell = self.cells.of_entry(self._sync.roster.own.vm_id)
        if cell is None:
            return []
        records = map(self._sync.roster.get, cell.agents)
        return [r.update.member.host for r in records if r is not None]
