from __future__ import annotations

from collections.abc import Iterable
import random

import msgspec
import pytest

from marlramp import clock
from marlramp.core.membership import fleet_size
from marlramp.core.membership import members
from marlramp.core.replicas import replica_view
from marlramp.direct.fleet import engine_digests
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import placement
from marlramp.protocol import fleet_messages
from tests.direct.fleet import virtual_fleet

REGIONS = {"dc-1": "north", "dc-2": "south"}


def member(
    name: str, kind: members.MemberKind, data_centre: str
) -> members.Member:
    return members.Member(name, kind, data_centre, "127.0.0.1", 1)


ENTRIES = [
    member(f"entry-{n}", members.MemberKind.ENTRY, f"dc-{1 + n % 2}")
    for n in range(6)
]
AGENTS = [
    member(f"agent-{n}", members.MemberKind.AGENT, "dc-1") for n in range(40)
]


class RecordingSync(member_sync.MemberSync):
    """Records messages instead of sending them."""

    def __init__(self, own: members.Member, time: clock.Clock) -> None:
        near = {own.data_centre}
        super().__init__(
            own,
            1,
            [],
            near,
            fleet_size.FleetSize(near, time),
            virtual_fleet.Alone(),
            time,
            random.Random(1),
        )
        self.sent: list[tuple[list[str], fleet_messages.EngineDigest]] = []
        for other in [*ENTRIES, *AGENTS]:
            if other != own:
                update = members.MemberUpdate(
                    other, 1, members.MemberState.READY
                )
                self.roster.apply_direct(update, time.now_ms())

    def send_all(self, vm_ids: Iterable[str], message: msgspec.Struct) -> None:
        assert isinstance(message, fleet_messages.EngineDigest)
        self.sent.append((list(vm_ids), message))


class Entry:
    """One entry with its digests."""

    def __init__(self, own: members.Member, time: clock.ManualClock) -> None:
        self.sync = RecordingSync(own, time)
        placed = placement.Placement(REGIONS, self.sync, time)
        placed.refresh()
        self.reports: list[tuple[str, float]] = []
        self.digests = engine_digests.EngineDigests(
            placed,
            self.sync,
            lambda report, made_ms: self.reports.append(
                (report.address, made_ms)
            ),
            time,
        )

    def report(self, number: int, running: int = 1) -> None:
        """Handles the report of an agent."""
        report = replica_view.LoadReport(
            address=f"engine-{number}",
            weights=1,
            running=running,
            waiting=0,
            pace=1.0,
            opens=True,
        )
        self.digests.on_own_report(f"agent-{number}", report)


@pytest.fixture
def north(time: clock.ManualClock) -> list[Entry]:
    return [Entry(e, time) for e in ENTRIES if e.data_centre == "dc-1"]


def test_one_entry_of_a_cell_sends_to_one_of_each_other_cell(
    north: list[Entry], time: clock.ManualClock
) -> None:
    for entry in north:
        entry.report(1)
        time.advance(100.0)
        entry.digests.tick()
    sent = [sent for entry in north for sent in entry.sync.sent]
    assert len(sent) == 1
    receivers, digest = sent[0]
    assert len(receivers) == 1
    assert receivers[0] in {"entry-1", "entry-3", "entry-5"}
    assert digest.pass_on
    assert [aged.age_ms for aged in digest.reports] == [100.0]


def test_digest_is_bounded_and_contains_the_least_loaded_engines(
    north: list[Entry],
) -> None:
    for entry in north:
        for number in range(40):
            entry.report(number, running=40 - number)
        entry.digests.tick()
    ((_, digest),) = [sent for entry in north for sent in entry.sync.sent]
    assert len(digest.reports) == engine_digests.REPORTS_MAX
    assert max(aged.report.running for aged in digest.reports) == 32


def test_old_reports_and_lost_engines_are_not_sent(
    north: list[Entry], time: clock.ManualClock
) -> None:
    for entry in north:
        entry.report(1)
        entry.report(2)
        entry.digests.on_own_report("agent-2", None)
    time.advance(replica_view.REPORT_FRESH_MS)
    for entry in north:
        entry.digests.tick()
        assert entry.sync.sent == []


def test_digest_is_forwarded_to_the_own_cell_once(
    north: list[Entry], time: clock.ManualClock
) -> None:
    time.advance(1_000.0)
    entry = north[0]
    report = replica_view.LoadReport(
        address="engine-9",
        weights=1,
        running=0,
        waiting=0,
        pace=1.0,
        opens=True,
    )
    aged = fleet_messages.AgedReport(report, 200.0)
    digest = fleet_messages.EngineDigest(reports=[aged], pass_on=True)
    entry.digests.on_digest(digest)
    assert entry.reports == [("engine-9", time.now_ms() - 200.0)]
    ((receivers, forwarded),) = entry.sync.sent
    assert set(receivers) == {"entry-2", "entry-4"}
    assert not forwarded.pass_on
    entry.digests.on_digest(forwarded)
    assert len(entry.sync.sent) == 1


def test_reports_of_agents_that_are_gone_are_dropped(
    north: list[Entry], time: clock.ManualClock
) -> None:
    for number in range(100):
        north[0].report(number)
    time.advance(replica_view.REPORT_FRESH_MS)
    north[0].report(1)
    north[0].digests.tick()
    assert list(north[0].digests._received) == ["agent-1"]
