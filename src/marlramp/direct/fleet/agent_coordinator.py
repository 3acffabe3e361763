"""Sends agents what they need to know: weights, engine, origin, neighbours."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from marlramp import clock
from marlramp.core.configuration import catalog
from marlramp.core.membership import agent_coordinators
from marlramp.core.membership import members
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import placement
from marlramp.protocol import fleet_messages

REFRESH_MS = 1_500.0
"""Maximum time between two messages of a coordinator to its agents: half the
time after which an agent treats a coordinator as gone."""


class _SentNeighbours(msgspec.Struct):
    """The neighbours that were last sent to one agent.

    Attributes:
      number: number of the message that contained them.
      entries: the entries that the agent is in contact with.
      agents: the agents whose engine answers, by VM; shared by all agents
        that were sent the same.
    """

    number: int
    entries: list[members.Member]
    agents: Mapping[str, members.Member]


class AgentCoordinator:
    """Sends updates to the agents that this entry coordinates."""

    def __init__(
        self,
        known: catalog.Catalog,
        placed: placement.Placement,
        sync: member_sync.MemberSync,
        time: clock.Clock,
    ) -> None:
        """Starts without agents; the first `tick` after a division finds them.

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
        self._coordinated: set[str] = set()
        self._sent: dict[str, _SentNeighbours] = {}
        self._refreshed_ms = float("-inf")

    def send_weights_to_all(self) -> None:
        """Sends the weights to all agents that this entry coordinates.

        What was sent to other agents, which asked for it, is forgotten: they
        get no further update.
        """
        self._refreshed_ms = self._clock.now_ms()
        for vm_id in self._sent.keys() - self._coordinated:
            del self._sent[vm_id]
        for vm_id in sorted(self._coordinated):
            self._send_weights(vm_id)

    def send_full_update(self, vm_id: str) -> None:
        """Sends complete information to one agent.

        This is needed when the agent starts, finds this entry or has missed
        an update.
        """
        self._sent.pop(vm_id, None)
        self._send_neighbours(vm_id, self._agents())
        self._send_weights(vm_id)

    def tick(self, *, divided: bool) -> None:
        """Sends changed neighbours at once, and the weights periodically.

        Args:
          divided: whether the cells were recomputed.
        """
        if divided:
            self._find_coordinated()
            agents = self._agents()
            for vm_id in sorted(self._coordinated):
                self._send_neighbours(vm_id, agents)
        if self._clock.now_ms() - self._refreshed_ms >= REFRESH_MS:
            self.send_weights_to_all()
        self._suspect_silent()

    def _find_coordinated(self) -> None:
        """Finds the agents, also silent ones, that this entry coordinates."""
        own = self._sync.roster.own.vm_id
        known = self._placed.cells
        coordinated = {
            vm_id
            for cell in known.all
            for vm_id in cell.agents
            if own in agent_coordinators.coordinators_of(vm_id, known)
        }
        self._coordinated = coordinated

    def _suspect_silent(self) -> None:
        """Suspects coordinated agents that have become silent.

        An agent that this entry never heard from is not suspected.
        """
        now_ms = self._clock.now_ms()
        for vm_id in sorted(self._coordinated):
            record = self._sync.roster.get(vm_id)
            if record is None or record.heard_ms == float("-inf"):
                continue
            if now_ms - record.heard_ms >= members.ALIVE_MS:
                self._sync.suspect(vm_id)

    def _send_weights(self, vm_id: str) -> None:
        message = self._build_message()
        if message is None:
            return
        sent = self._sent.get(vm_id)
        number = 0 if sent is None else sent.number
        numbered = msgspec.structs.replace(message, neighbours=number)
        self._sync.send(vm_id, numbered)

    def _build_message(self) -> fleet_messages.Guide | None:
        """Returns the message for agents, None without a configuration."""
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

    def _send_neighbours(
        self, vm_id: str, agents: Mapping[str, members.Member]
    ) -> None:
        """Sends an agent the changes of its neighbours, if there are any."""
        entries = self._entries_of(vm_id)
        sent = self._sent.get(vm_id)
        before: Mapping[str, members.Member] = (
            {} if sent is None else sent.agents
        )
        joined = [agent for name, agent in agents.items() if name not in before]
        left = [name for name in before if name not in agents]
        agents_unchanged = not joined and not left
        if sent is not None and entries == sent.entries and agents_unchanged:
            return
        after = 0 if sent is None else sent.number
        message = fleet_messages.Neighbours(
            after=after,
            number=after + 1,
            entries=entries,
            joined=joined,
            left=left,
        )
        if self._sync.send(vm_id, message):
            self._sent[vm_id] = _SentNeighbours(after + 1, entries, agents)

    def _entries_of(self, vm_id: str) -> list[members.Member]:
        """Returns the entries of an agent's cell and its coordinators.

        An agent whose cell is not known yet gets this entry's own cell.
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
