from __future__ import annotations

import msgspec
import pytest

from marlramp import clock
from marlramp.core.membership import members
from marlramp.direct.fleet import entry_contacts
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from marlramp.settings import node

SEED = node.Address("10.0.0.1", 8_000)
SEED_LINK = f"seed:{SEED}"


def entry(number: int) -> members.Member:
    return members.Member(
        f"entry-{number}",
        members.MemberKind.ENTRY,
        "dc-1",
        f"10.0.0.{number}",
        8_000,
    )


def agent(number: int) -> members.Member:
    return members.Member(
        f"agent-{number}",
        members.MemberKind.AGENT,
        "dc-1",
        f"10.0.1.{number}",
        7_700,
    )


class Agent:
    """An agent's contacts, which records its links and callbacks."""

    def __init__(self, time: clock.ManualClock) -> None:
        self.time = time
        self.opened: list[str] = []
        self.sent: list[tuple[str, str]] = []
        self.reported_neighbours: list[set[str]] = []
        self.reported_entries: list[set[str]] = []
        self.contacts = entry_contacts.EntryContacts(
            agent(0),
            1,
            [SEED],
            lambda agents: self.reported_neighbours.append(set(agents)),
            lambda entries: self.reported_entries.append(set(entries)),
            time,
        )
        self.contacts.attach(self)

    def open(self, name: str, host: str, port: int) -> bool:
        if name in self.opened:
            return False
        self.opened.append(name)
        return True

    def close(self, name: str) -> None:
        self.opened.remove(name)

    def send(self, name: str, message: msgspec.Struct) -> bool:
        return self.send_encoded(name, codec.encode_once(message))

    def send_encoded(self, name: str, message: codec.Encoded) -> bool:
        self.sent.append((name, message.kind))
        return name in self.opened

    def list_neighbours(
        self,
        by: int,
        number: int,
        joined: list[members.Member],
        left: tuple[str, ...] = (),
        entries: tuple[int, ...] = (1, 2),
    ) -> None:
        """Delivers a list of neighbours and waits until it is applied."""
        message = fleet_messages.Neighbours(
            after=number - 1,
            number=number,
            entries=[entry(n) for n in entries],
            joined=joined,
            left=list(left),
        )
        self.contacts.on_message(f"entry-{by}", message)
        self.time.advance(entry_contacts.MERGE_MS)
        self.contacts.tick()

    def guide(self, by: int, number: int) -> None:
        """Delivers a coordinator's periodic message."""
        message = fleet_messages.Guide(
            targets=[],
            engine=None,
            origin="",
            streams_resume=True,
            revision=1,
            neighbours=number,
        )
        self.contacts.on_message(f"entry-{by}", message)

    def take_sent(self) -> list[tuple[str, str]]:
        """Returns the messages sent since the last call, by link."""
        sent, self.sent = self.sent, []
        return sent


@pytest.fixture
def one(time: clock.ManualClock) -> Agent:
    return Agent(time)


def hello(by: int) -> fleet_messages.Hello:
    update = members.MemberUpdate(entry(by), 1, members.MemberState.READY)
    return fleet_messages.Hello(news=update, sample=[], reply=False)


def test_seed_is_contacted_once_by_vm(one: Agent) -> None:
    one.contacts.tick()
    assert one.take_sent() == [(SEED_LINK, "Hello")]
    one.contacts.on_message(SEED_LINK, hello(1))
    assert one.opened == ["entry-1"]
    assert one.take_sent() == [("entry-1", "Hello")]
    one.contacts.on_message("entry-1", hello(1))
    assert one.take_sent() == []


def test_incremental_changes_of_neighbours_are_applied(one: Agent) -> None:
    one.list_neighbours(1, 1, [agent(1), agent(2)])
    one.list_neighbours(1, 2, [agent(3)], left=("agent-1",))
    assert one.reported_neighbours == [
        {"agent-1", "agent-2"},
        {"agent-2", "agent-3"},
    ]


def test_neighbours_are_known_a_while_after_the_first_coordinator_is_heard(
    one: Agent,
) -> None:
    one.time.advance(60_000.0)
    assert not one.contacts.knows_neighbours
    one.list_neighbours(1, 1, [agent(1)])
    assert not one.contacts.knows_neighbours
    one.time.advance(entry_contacts.NEIGHBOURS_KNOWN_MS)
    assert one.contacts.knows_neighbours

    one.time.advance(members.ALIVE_TO_AGENT_MS)
    one.contacts.tick()
    assert not one.contacts.is_coordinated
    assert one.contacts.knows_neighbours


def test_missed_changes_are_requested(one: Agent) -> None:
    one.list_neighbours(1, 1, [agent(1)])
    one.take_sent()
    one.list_neighbours(1, 3, [agent(3)])
    assert ("entry-1", "NeighboursRequest") in one.take_sent()
    one.guide(1, 4)
    assert ("entry-1", "NeighboursRequest") in one.take_sent()
    one.guide(1, 1)
    assert one.take_sent() == []


def test_neighbours_of_a_silent_coordinator_are_dropped_while_others_send(
    one: Agent,
) -> None:
    one.list_neighbours(1, 1, [agent(1)])
    one.list_neighbours(2, 1, [agent(2)])
    assert one.reported_neighbours[-1] == {"agent-1", "agent-2"}
    for _ in range(8):
        one.guide(2, 1)
        one.time.advance(members.ALIVE_TO_AGENT_MS / 4)
        one.contacts.tick()
    assert one.reported_neighbours[-1] == {"agent-2"}


def test_agent_without_coordinator_keeps_neighbours_and_contacts_seeds(
    one: Agent,
) -> None:
    one.list_neighbours(1, 1, [agent(1)])
    one.take_sent()
    assert one.contacts.is_coordinated
    one.time.advance(members.ALIVE_TO_AGENT_MS + 1.0)
    one.contacts.tick()
    assert not one.contacts.is_coordinated
    assert {name for name, _ in one.take_sent()} == {
        SEED_LINK,
        "entry-1",
        "entry-2",
    }
    assert one.reported_neighbours == [{"agent-1"}]


def test_links_to_entries_that_are_no_longer_listed_are_closed(
    one: Agent,
) -> None:
    one.list_neighbours(1, 1, [], entries=(1, 2))
    one.list_neighbours(1, 2, [], entries=(1, 3))
    assert sorted(one.opened) == ["entry-1", "entry-3"]


def test_agent_considered_lost_refutes_it(one: Agent) -> None:
    one.list_neighbours(1, 1, [])
    one.take_sent()
    own = members.MemberUpdate(agent(0), 1, members.MemberState.SUSPECT)
    one.contacts.on_message("entry-1", fleet_messages.MembersNews(news=[own]))
    assert one.take_sent() == [("entry-1", "Hello"), ("entry-2", "Hello")]


def test_state_of_the_engine_is_announced_once(one: Agent) -> None:
    one.list_neighbours(1, 1, [])
    one.take_sent()
    one.contacts.set_engine(present=True)
    one.contacts.set_engine(present=True)
    assert one.take_sent() == [("entry-1", "Hello"), ("entry-2", "Hello")]


def test_links_that_lists_ask_for_are_bounded(one: Agent) -> None:
    one.list_neighbours(by=1, number=1, joined=[])
    for number in range(10, 60):
        first = 1_000 * number
        entries = tuple(range(first, first + 200))
        one.list_neighbours(by=number, number=1, joined=[], entries=entries)
    assert len(one.opened) <= 256 + 2


def test_neighbours_are_bounded(one: Agent) -> None:
    for number in range(1, 5):
        first = 6_000 * number
        joined = [agent(n) for n in range(first, first + 6_000)]
        one.list_neighbours(by=1, number=number, joined=joined)
    assert max(map(len, one.reported_neighbours)) <= 16_384
