from __future__ import annotations

import random

import msgspec
import pytest

from marlramp import clock
from marlramp.core import catalog
from marlramp.core import fleet
from marlramp.core import members
from marlramp.direct.fleet import agent_coordinator
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import placement
from marlramp.protocol import fleet_messages
from tests.direct.fleet import virtual_fleet

CONFIG = fleet.FleetConfig(
    version=1,
    routes=[],
    services=[],
    customers=None,
    limits=fleet.CallerLimits(),
)
REGIONS = {"dc-1": "north"}


def member(name: str, kind: members.MemberKind) -> members.Member:
    return members.Member(name, kind, "dc-1", "127.0.0.1", 1)


OWN = member("entry-1", members.MemberKind.ENTRY)
AGENTS = [member(f"agent-{n}", members.MemberKind.AGENT) for n in range(60)]


class Sent(member_sync.MemberSync):
    """Keeps what is sent instead of sending it."""

    def __init__(self, time: clock.Clock) -> None:
        super().__init__(
            OWN, 1, [], {"dc-1"}, virtual_fleet.Alone(), time, random.Random(1)
        )
        self.sent: list[tuple[str, msgspec.Struct]] = []
        self.suspected: list[str] = []

    def send(self, vm_id: str, message: msgspec.Struct) -> bool:
        self.sent.append((vm_id, message))
        return True

    def suspect(self, vm_id: str) -> None:
        self.suspected.append(vm_id)

    def note(self, agent: members.Member, state: members.MemberState) -> None:
        """Takes an agent's state as its own word."""
        incarnation = self.roster.changes + 1
        news = members.MemberUpdate(agent, incarnation, state)
        self.roster.apply_direct(news, self._clock.now_ms())

    def neighbours(self) -> dict[str, fleet_messages.Neighbours]:
        """Returns the last neighbours told to each agent, and forgets all."""
        told = {
            vm_id: message
            for vm_id, message in self.sent
            if isinstance(message, fleet_messages.Neighbours)
        }
        self.sent.clear()
        return told


class Guided:
    """A guide and what it tells."""

    def __init__(self, time: clock.ManualClock) -> None:
        self.time = time
        self.sync = Sent(time)
        known = catalog.Catalog()
        known.apply([catalog.ConfigChange(1, CONFIG)], time.now_ms())
        self.placed = placement.Placement(REGIONS, self.sync, time)
        self.guide = agent_coordinator.AgentCoordinator(
            known, self.placed, self.sync, time
        )

    def tick(self) -> dict[str, fleet_messages.Neighbours]:
        """Lets members settle; returns the neighbours told."""
        self.time.advance(placement.SETTLE_MS)
        self.guide.tick(divided=self.placed.refresh())
        return self.sync.neighbours()


@pytest.fixture
def guided(time: clock.ManualClock) -> Guided:
    return Guided(time)


def test_agents_without_an_engine_take_no_part(guided: Guided) -> None:
    guided.sync.note(AGENTS[0], members.MemberState.READY)
    guided.sync.note(AGENTS[1], members.MemberState.STARTING)
    told = guided.tick()
    assert set(told) == {"agent-0", "agent-1"}
    assert told["agent-1"].joined == [AGENTS[0]]
    guided.sync.note(AGENTS[0], members.MemberState.STARTING)
    told = guided.tick()
    assert told["agent-1"].left == ["agent-0"]


def test_agents_are_told_again_now_and_then(guided: Guided) -> None:
    guided.sync.note(AGENTS[0], members.MemberState.READY)
    guided.tick()
    guided.time.advance(agent_coordinator.REFRESH_MS)
    guided.guide.tick(divided=False)
    sent = [message for _, message in guided.sync.sent]
    assert [type(message) for message in sent] == [fleet_messages.Guide]


def test_agents_that_join_together_are_told_once_and_only_what_is_new(
    guided: Guided,
) -> None:
    for agent in AGENTS[:4]:
        guided.sync.note(agent, members.MemberState.READY)
    guided.tick()
    for agent in AGENTS[4:]:
        guided.sync.note(agent, members.MemberState.READY)
    told = guided.tick()
    assert len(told["agent-0"].joined) == len(AGENTS) - 4
    assert told["agent-0"].after == 1
    assert guided.tick() == {}


def test_agent_that_missed_changes_is_told_all(guided: Guided) -> None:
    for agent in AGENTS[:3]:
        guided.sync.note(agent, members.MemberState.READY)
    guided.tick()
    guided.guide.send_full_update("agent-0")
    told = guided.sync.neighbours()["agent-0"]
    assert told.after == 0
    assert [entry.vm_id for entry in told.entries] == ["entry-1"]
    assert {agent.vm_id for agent in told.joined} == {
        agent.vm_id for agent in AGENTS[:3]
    }


def test_silent_agent_is_suspected_by_its_guides(guided: Guided) -> None:
    guided.sync.note(AGENTS[0], members.MemberState.READY)
    guided.tick()
    assert guided.sync.suspected == []
    guided.time.advance(members.ALIVE_MS)
    guided.tick()
    assert guided.sync.suspected == ["agent-0"]
