"""Tells agents what they need to know: weights, engine, origin, members."""

from __future__ import annotations

from collections.abc import Mapping

from marlramp import clock
from marlramp.core import catalog
from marlramp.core import guidance
from marlramp.core import members
from marlramp.direct.fleet import member_sync
from marlramp.protocol import fleet_messages

REFRESH_MS = 2_000.0
"""Agents are told again this often: another entry may have taken itself for
one that guides them, or a message was lost."""


class AgentGuide:
    """Keeps informed the agents that this entry guides."""

    def __init__(
        self,
        own: members.Member,
        regions: Mapping[str, str],
        known: catalog.Catalog,
        sync: member_sync.MemberSync,
        time: clock.Clock,
    ) -> None:
        """Tells what `known` holds through `sync`.

        Args:
          own: this entry.
          regions: region of each data centre.
          known: the catalog.
          sync: the other members.
          time: the clock.
        """
        self._own = own
        self._regions = regions
        self._catalog = known
        self._sync = sync
        self._clock = time
        self._alive: list[members.Member] = []
        self._guided: list[members.Member] = []
        self._with_engine: set[str] = set()
        self._engines_changed = False
        self._told_ms = float("-inf")

    def tell_all(self) -> None:
        """Tells all agents that this entry guides."""
        guide = self._guide()
        if guide is None:
            return
        self._told_ms = self._clock.now_ms()
        for agent in self._guided:
            self._sync.send(agent.vm_id, guide)

    def tell(self, vm_id: str) -> None:
        """Tells one agent, which has just started."""
        guide = self._guide()
        if guide is not None:
            self._sync.send(vm_id, guide)

    def note_engine(self, vm_id: str, *, present: bool) -> None:
        """Records whether the engine beside an agent answers it.

        An agent without an engine brings no weights, so that the others must
        not leave pieces to it.
        """
        if present is not (vm_id in self._with_engine):
            self._engines_changed = True
        if present:
            self._with_engine.add(vm_id)
        else:
            self._with_engine.discard(vm_id)

    def tick(self) -> None:
        """Tells the agents when members came or went, and now and then."""
        now_ms = self._clock.now_ms()
        alive = self._members_alive(now_ms)
        if alive != self._alive or self._engines_changed:
            self._engines_changed = False
            self._alive = alive
            self._guided = self._find_guided(alive)
            self.tell_all()
        elif now_ms - self._told_ms >= REFRESH_MS:
            self.tell_all()

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
            agents=[
                agent
                for agent in self._of_kind(members.MemberKind.AGENT)
                if agent.vm_id in self._with_engine
            ],
            entries=[*self._of_kind(members.MemberKind.ENTRY), self._own],
            revision=self._catalog.config_revision,
        )

    def _of_kind(self, kind: members.MemberKind) -> list[members.Member]:
        return [member for member in self._alive if member.kind is kind]

    def _find_guided(self, alive: list[members.Member]) -> list[members.Member]:
        entries = [m for m in alive if m.kind is members.MemberKind.ENTRY]
        entries.append(self._own)
        return [
            member
            for member in alive
            if member.kind is members.MemberKind.AGENT
            and self._own.vm_id
            in guidance.guides_of(member, entries, self._near(member))
        ]

    def _near(self, member: members.Member) -> set[str]:
        region = self._regions.get(member.data_centre)
        return {name for name, of in self._regions.items() if of == region}

    def _members_alive(self, now_ms: clock.Millis) -> list[members.Member]:
        alive = [
            known.member
            for kind in members.MemberKind
            for known in self._sync.members.alive(kind, now_ms)
        ]
        return sorted(alive, key=lambda member: member.vm_id)
