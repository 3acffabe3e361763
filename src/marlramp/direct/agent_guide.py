"""Tells agents what they need to know: weights, engine, origin, agents."""

from __future__ import annotations

from marlramp import clock
from marlramp.core import catalog
from marlramp.core import members
from marlramp.direct import member_sync
from marlramp.protocol import fleet_messages


class AgentGuide:
    """Keeps the agents that an entry hears informed."""

    def __init__(
        self,
        known: catalog.Catalog,
        sync: member_sync.MemberSync,
        time: clock.Clock,
    ) -> None:
        """Tells what `known` holds through `sync`."""
        self._catalog = known
        self._sync = sync
        self._clock = time
        self._guided_agents: list[members.Member] = []

    def tell_all(self) -> None:
        """Tells all agents that are alive."""
        now_ms = self._clock.now_ms()
        for known in self._sync.members.alive(members.MemberKind.AGENT, now_ms):
            self.tell(known.member.vm_id)

    def tell(self, vm_id: str) -> None:
        """Tells one agent."""
        config = self._catalog.config
        if config is None:
            return
        engines = [s.engine for s in config.services if s.engine is not None]
        origins = [s.origin for s in config.services if s.origin]
        now_ms = self._clock.now_ms()
        targets = [
            change
            for change in self._catalog.changes_after(0, now_ms)
            if isinstance(change, catalog.TargetChange)
        ]
        guide = fleet_messages.Guide(
            targets=targets,
            engine=engines[0] if engines else None,
            origin=origins[0] if origins else "",
            streams_resume=all(
                route.resumable for route in config.routes if route.streaming
            ),
            agents=self._agents_alive(),
            revision=self._catalog.config_revision,
        )
        self._sync.send(vm_id, guide)

    def tell_on_change(self) -> None:
        """Tells the agents of each other when one came or went."""
        agents = self._agents_alive()
        if agents != self._guided_agents:
            self._guided_agents = agents
            self.tell_all()

    def _agents_alive(self) -> list[members.Member]:
        alive = self._sync.members.alive(
            members.MemberKind.AGENT, self._clock.now_ms()
        )
        return sorted((known.member for known in alive), key=lambda m: m.vm_id)
