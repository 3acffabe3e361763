"""Tells agents what they need to know: weights, engine, origin, neighbours."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from marlramp import clock
from marlramp.core import agent_coordinators
from marlramp.core import catalog
from marlramp.core import members
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import placement
from marlramp.protocol import fleet_messages

REFRESH_MS = 1_500.0
"""Agents hear from their guides at least this often: half the time after which
an agent takes a guide as gone."""


class _Told(msgspec.Struct):
    """What one agent was told of its neighbours.

    Attributes:
      number: number of that message.
      entries: the entries named.
      agents: the agents named, by VM.
    """

    number: int
    entries: list[members.Member]
    agents: dict[str, members.Member]


class AgentGuide:
    """Keeps informed the agents that this entry guides."""

    def __init__(
        self,
        known: catalog.Catalog,
        placed: placement.Placement,
        sync: member_sync.MemberSync,
        time: clock.Clock,
    ) -> None:
        """Tells what `known` and `placed` hold through `sync`.

        Args:
          known: the catalog.
          placed: the cells.
          sync: the other members.
          time: the clock.
        """
        self._catalog = known
        self._placed = placed
        self._sync = sync
        self._clock = time
        self._guided: set[str] = set()
        self._told: dict[str, _Told] = {}
        self._told_ms = float("-inf")

    def tell_all(self) -> None:
        """Tells all agents that this entry guides of the weights."""
        self._told_ms = self._clock.now_ms()
        for vm_id in sorted(self._guided):
            self._tell_weights(vm_id)

    def tell(self, vm_id: str) -> None:
        """Tells one agent all, which has just started or found this entry."""
        self._told.pop(vm_id, None)
        self._tell_neighbours(vm_id, self._agents())
        self._tell_weights(vm_id)

    def tick(self, *, divided: bool) -> None:
        """Tells agents what changed, and all of them now and then.

        Args:
          divided: whether the cells were computed anew.
        """
        if divided:
            self._find_guided()
            agents = self._agents()
            for vm_id in sorted(self._guided):
                self._tell_neighbours(vm_id, agents)
        if self._clock.now_ms() - self._told_ms >= REFRESH_MS:
            self.tell_all()
        self._suspect_silent()

    def _find_guided(self) -> None:
        """Finds the agents that are guided from here, also silent ones."""
        own = self._sync.roster.own.vm_id
        known = self._placed.cells
        guided = {
            vm_id
            for cell in known.all
            for vm_id in cell.agents
            if own in agent_coordinators.coordinators_of(vm_id, known)
        }
        for vm_id in self._guided - guided:
            self._told.pop(vm_id, None)
        self._guided = guided

    def _suspect_silent(self) -> None:
        """Suspects guided agents that were heard once and fell silent."""
        now_ms = self._clock.now_ms()
        for vm_id in sorted(self._guided):
            record = self._sync.roster.get(vm_id)
            if record is None or record.heard_ms == float("-inf"):
                continue
            if now_ms - record.heard_ms >= members.ALIVE_MS:
                self._sync.suspect(vm_id)

    def _tell_weights(self, vm_id: str) -> None:
        guide = self._guide()
        if guide is None:
            return
        told = self._told.get(vm_id)
        number = 0 if told is None else told.number
        numbered = msgspec.structs.replace(guide, neighbours=number)
        self._sync.send(vm_id, numbered)

    def _guide(self) -> fleet_messages.Guide | None:
        """Returns what agents need to know, None before a configuration."""
        config = self._catalog.config
        if config is None:
            return None
        engines = [s.engine for s in config.services if s.engine is not None]
        origins = [s.origin for s in config.services if s.origin]
        now_ms = self._clock.now_ms()
        targets = [
            change
            for change in self._catalog.changes_after(0, now_ms)
            if isinstance(change, catalog.TargetChange)
        ]
        return fleet_messages.Guide(
            targets=targets,
            engine=engines[0] if engines else None,
            origin=origins[0] if origins else "",
            streams_resume=all(
                route.resumable for route in config.routes if route.streaming
            ),
            revision=self._catalog.config_revision,
        )

    def _agents(self) -> dict[str, members.Member]:
        return {
            agent.vm_id: agent for agent in self._placed.agents_with_engine()
        }

    def _tell_neighbours(
        self, vm_id: str, agents: Mapping[str, members.Member]
    ) -> None:
        """Tells an agent how its neighbours changed."""
        entries = self._entries_of(vm_id)
        told = self._told.get(vm_id)
        before = {} if told is None else told.agents
        joined = [agent for name, agent in agents.items() if name not in before]
        left = [name for name in before if name not in agents]
        same_agents = not joined and not left
        if told is not None and entries == told.entries and same_agents:
            return
        after = 0 if told is None else told.number
        message = fleet_messages.Neighbours(
            after=after,
            number=after + 1,
            entries=entries,
            joined=joined,
            left=left,
        )
        if self._sync.send(vm_id, message):
            self._told[vm_id] = _Told(after + 1, entries, dict(agents))

    def _entries_of(self, vm_id: str) -> list[members.Member]:
        """Returns the entries that an agent deals with: cell and guides.

        An agent whose place is not known yet gets this entry's own cell.
        """
        known = self._placed.cells
        own = self._sync.roster.own
        cell = known.of_agent(vm_id) or known.of_entry(own.vm_id)
        names = set() if cell is None else set(cell.entries)
        names.update(agent_coordinators.coordinators_of(vm_id, known))
        found = [own.member] if own.vm_id in names or not names else []
        for name in sorted(names):
            record = self._sync.roster.get(name)
            if record is not None:
                found.append(record.update.member)
        return found
