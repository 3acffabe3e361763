from __future__ import annotations

import msgspec
import pytest

from marlramp import clock
from marlramp.core import catalog
from marlramp.core import fleet
from marlramp.core import members
from marlramp.direct.fleet import agent_guide
from marlramp.direct.fleet import member_sync
from marlramp.protocol import fleet_messages

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
AGENTS = [member(f"agent-{n}", members.MemberKind.AGENT) for n in range(2)]


class Sent(member_sync.MemberSync):
    """Keeps what is sent instead of sending it."""

    def __init__(self, time: clock.Clock) -> None:
        super().__init__(OWN, [], time, lambda _: None)
        self.guides: list[tuple[str, fleet_messages.Guide]] = []

    def send(self, vm_id: str, message: msgspec.Struct) -> bool:
        assert isinstance(message, fleet_messages.Guide)
        self.guides.append((vm_id, message))
        return True


@pytest.fixture
def sync(time: clock.ManualClock) -> Sent:
    found = Sent(time)
    for agent in AGENTS:
        found.members.introduced(agent, time.now_ms())
    return found


@pytest.fixture
def guide(sync: Sent, time: clock.ManualClock) -> agent_guide.AgentGuide:
    known = catalog.Catalog()
    known.apply([catalog.ConfigChange(1, CONFIG)], time.now_ms())
    return agent_guide.AgentGuide(OWN, REGIONS, known, sync, time)


def test_agents_without_an_engine_take_no_part(
    guide: agent_guide.AgentGuide, sync: Sent, time: clock.ManualClock
) -> None:
    guide.note_engine("agent-0", present=True)
    guide.tick()
    told = {name: message for name, message in sync.guides}
    assert set(told) == {"agent-0", "agent-1"}
    assert [a.vm_id for a in told["agent-1"].agents] == ["agent-0"]
    sync.guides.clear()
    guide.note_engine("agent-0", present=False)
    guide.tick()
    assert [message.agents for _, message in sync.guides] == [[], []]


def test_agents_are_told_again_now_and_then(
    guide: agent_guide.AgentGuide, sync: Sent, time: clock.ManualClock
) -> None:
    guide.tick()
    sync.guides.clear()
    guide.tick()
    assert sync.guides == []
    for _ in range(4):
        time.advance(agent_guide.REFRESH_MS / 3)
        for agent in AGENTS:
            sync.members.heard(agent.vm_id, time.now_ms())
    guide.tick()
    assert len(sync.guides) == 2
