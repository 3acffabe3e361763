from __future__ import annotations

import random

import msgspec
import pytest

from marlramp import clock
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.membership import fleet_size
from marlramp.core.membership import members
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


class RecordingSync(member_sync.MemberSync):
    """Records messages instead of sending them."""

    def __init__(self, time: clock.Clock) -> None:
        super().__init__(
            OWN,
            1,
            [],
            {"dc-1"},
            fleet_size.FleetSize((), time),
            virtual_fleet.Alone(),
            time,
            random.Random(1),
        )
        self.sent: list[tuple[str, msgspec.Struct]] = []
        self.suspected: list[str] = []

    def send(self, vm_id: str, message: msgspec.Struct) -> bool:
        self.sent.append((vm_id, message))
        return True

    def suspect(self, vm_id: str) -> None:
        self.suspected.append(vm_id)

    def record_state(
        self, agent: members.Member, state: members.MemberState
    ) -> None:
        """Records a state that an agent reports itself."""
        incarnation = self.roster.changes + 1
        update = members.MemberUpdate(agent, incarnation, state)
        self.roster.apply_direct(update, self._clock.now_ms())

    def neighbours(self) -> dict[str, fleet_messages.Neighbours]:
        """Returns the last neighbours sent to each agent; clears the record."""
        sent = {
            vm_id: message
            for vm_id, message in self.sent
            if isinstance(message, fleet_messages.Neighbours)
        }
        self.sent.clear()
        return sent


class Coordinated:
    """A coordinator and the messages that it sends."""

    def __init__(self, time: clock.ManualClock) -> None:
        self.time = time
        self.sync = RecordingSync(time)
        known = catalog.Catalog()
        known.apply([catalog.ConfigChange(1, CONFIG)], time.now_ms())
        self.placed = placement.Placement(REGIONS, self.sync, time)
        self.coordinator = agent_coordinator.AgentCoordinator(
            known, self.placed, self.sync, time
        )

    def tick(self) -> dict[str, fleet_messages.Neighbours]:
        """Ticks after the cells have settled; returns the neighbours sent."""
        self.time.advance(placement.SETTLE_MS)
        self.coordinator.tick(divided=self.placed.refresh())
        return self.sync.neighbours()


@pytest.fixture
def coordinated(time: clock.ManualClock) -> Coordinated:
    return Coordinated(time)


def test_agents_without_an_engine_are_no_neighbours(
    coordinated: Coordinated,
) -> None:
    coordinated.sync.record_state(AGENTS[0], members.MemberState.READY)
    coordinated.sync.record_state(AGENTS[1], members.MemberState.STARTING)
    sent = coordinated.tick()
    assert set(sent) == {"agent-0", "agent-1"}
    assert sent["agent-1"].joined == [AGENTS[0]]
    coordinated.sync.record_state(AGENTS[0], members.MemberState.STARTING)
    sent = coordinated.tick()
    assert sent["agent-1"].left == ["agent-0"]


def test_agents_are_sent_weights_periodically(coordinated: Coordinated) -> None:
    coordinated.sync.record_state(AGENTS[0], members.MemberState.READY)
    coordinated.tick()
    coordinated.time.advance(agent_coordinator.REFRESH_MS)
    coordinated.coordinator.tick(divided=False)
    sent = [message for _, message in coordinated.sync.sent]
    assert [type(message) for message in sent] == [fleet_messages.Guide]


def test_agents_that_join_together_cause_one_incremental_update(
    coordinated: Coordinated,
) -> None:
    for agent in AGENTS[:4]:
        coordinated.sync.record_state(agent, members.MemberState.READY)
    coordinated.tick()
    for agent in AGENTS[4:]:
        coordinated.sync.record_state(agent, members.MemberState.READY)
    sent = coordinated.tick()
    assert len(sent["agent-0"].joined) == len(AGENTS) - 4
    assert sent["agent-0"].after == 1
    assert coordinated.tick() == {}


def test_agent_that_missed_changes_is_sent_everything(
    coordinated: Coordinated,
) -> None:
    for agent in AGENTS[:3]:
        coordinated.sync.record_state(agent, members.MemberState.READY)
    coordinated.tick()
    coordinated.coordinator.send_full_update("agent-0")
    sent = coordinated.sync.neighbours()["agent-0"]
    assert sent.after == 0
    assert [entry.vm_id for entry in sent.entries] == ["entry-1"]
    assert {agent.vm_id for agent in sent.joined} == {
        agent.vm_id for agent in AGENTS[:3]
    }


def test_silent_agent_is_suspected_by_its_coordinators(
    coordinated: Coordinated,
) -> None:
    coordinated.sync.record_state(AGENTS[0], members.MemberState.READY)
    coordinated.tick()
    assert coordinated.sync.suspected == []
    coordinated.time.advance(members.ALIVE_MS)
    coordinated.tick()
    assert coordinated.sync.suspected == ["agent-0"]


def test_what_other_agents_were_sent_is_forgotten(
    coordinated: Coordinated,
) -> None:
    for agent in AGENTS:
        coordinated.sync.record_state(agent, members.MemberState.READY)
    coordinated.tick()
    for number in range(100):
        coordinated.coordinator.send_full_update(f"stranger-{number}")
    coordinated.time.advance(agent_coordinator.REFRESH_MS)
    coordinated.coordinator.tick(divided=False)
    held = coordinated.coordinator._sent
    assert held.keys() == {agent.vm_id for agent in AGENTS}
    assert len({id(sent.agents) for sent in held.values()}) == 1
