"""How old processes believe a named version to be, over slow ways."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

import msgspec
import pytest

from marlramp import clock
from marlramp import counters
from marlramp.core import catalog
from marlramp.core import event_time
from marlramp.core import fleet
from marlramp.core import members
from marlramp.direct.fleet import agent_coordinator
from marlramp.direct.fleet import catalog_sync
from marlramp.direct.fleet import member_sync
from marlramp.direct.fleet import named_weights
from marlramp.direct.fleet import placement
from marlramp.direct.fleet import store_reader
from marlramp.direct.fleet import version_ages
from marlramp.protocol import fleet_messages
from tests.direct.fleet import virtual_fleet

TARGET = fleet.WeightsTarget(model="m", version=2)
CONFIG = fleet.FleetConfig(
    version=1,
    routes=[],
    services=[],
    customers=None,
    limits=fleet.CallerLimits(),
)
WAY_MS = 400.0
BOUND_MS = 8_000.0
NOW = event_time.Ages(0.0, 0.0)


class SlowStore:
    """Names a version while its answer about a configuration is on its way."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._watches = 0
        self.acknowledged_ms: float | None = None

    async def read_all(self) -> catalog.Snapshot:
        return catalog.Snapshot(1, [])

    async def watch(self, after: int, wait_ms: float) -> catalog.Snapshot:
        self._watches += 1
        if self._watches == 1:
            await asyncio.sleep(0.05)
            self.acknowledged_ms = self._clock.now_ms()
            await asyncio.sleep(0.25)
            return catalog.Snapshot(2, [catalog.ConfigChange(2, CONFIG)])
        if self._watches == 2:
            return catalog.Snapshot(3, [catalog.TargetChange(3, TARGET)])
        await asyncio.sleep(wait_ms / clock.MILLIS_PER_SECOND)
        return catalog.Snapshot(after, [])


def test_version_named_while_an_answer_is_on_its_way_counts_from_then() -> None:
    time = clock.SystemClock()
    source = SlowStore(time)
    known = catalog.Catalog()

    async def main() -> None:
        reader = store_reader.StoreReader(
            source,
            known,
            lambda: True,
            lambda _after, _changes: None,
            counters.Counters(),
            time,
        )
        task = asyncio.create_task(reader.run())
        async with asyncio.timeout(4):
            while not known.targets:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(main())
    named_ms = known.targets["m"].named_ms
    assert named_ms is not None
    assert source.acknowledged_ms is not None
    assert named_ms <= source.acknowledged_ms


class Member(member_sync.MemberSync):
    """A member that keeps what it sends."""

    def __init__(
        self, name: str, data_centre: str, time: clock.Clock, *others: str
    ) -> None:
        super().__init__(
            member(name, data_centre),
            1,
            [],
            {data_centre},
            virtual_fleet.Alone(),
            time,
            random.Random(1),
        )
        self.sent: list[tuple[str, msgspec.Struct]] = []
        for other in others:
            news = members.MemberUpdate(
                member(other, data_centre), 1, members.MemberState.READY
            )
            self.roster.apply_direct(news, time.now_ms())

    def send(self, vm_id: str, message: msgspec.Struct) -> bool:
        self.sent.append((vm_id, message))
        return True

    def send_all(self, vm_ids: object, message: msgspec.Struct) -> None:
        assert isinstance(vm_ids, list)
        self.sent.extend((vm_id, message) for vm_id in vm_ids)

    def take_news(self) -> fleet_messages.CatalogNews:
        """Returns the last news sent, and forgets all."""
        news = [
            message
            for _, message in self.sent
            if isinstance(message, fleet_messages.CatalogNews)
        ]
        self.sent.clear()
        return news[-1]


def member(name: str, data_centre: str = "dc-1") -> members.Member:
    return members.Member(
        name, members.MemberKind.ENTRY, data_centre, "127.0.0.1", 1
    )


class Entry:
    """An entry's catalog and how it tells others of it."""

    def __init__(
        self, name: str, time: clock.ManualClock, *others: str
    ) -> None:
        self.known = catalog.Catalog()
        self.member = Member(name, "dc-1", time, *others)
        self.sync = catalog_sync.CatalogSync(
            self.known, self.member, lambda _: None, time
        )

    def named_ms(self) -> float:
        named_ms = self.known.targets["m"].named_ms
        assert named_ms is not None
        return named_ms


MakeEntry = Callable[..., Entry]


@pytest.fixture
def make_entry(time: clock.ManualClock) -> MakeEntry:
    """Makes entries that know some others."""
    return lambda name, *others: Entry(name, time, *others)


def read_version(entry: Entry, time: clock.ManualClock) -> float:
    """Has an entry read a version as it is named; returns when that was."""
    change = catalog.TargetChange(3, TARGET, NOW)
    entry.known.apply([change], time.now_ms())
    entry.known.advance(3)
    entry.sync.publish(2, [change])
    return time.now_ms()


def test_news_of_a_version_get_older_on_their_way(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    reader = make_entry("entry-1", "entry-2")
    other = make_entry("entry-2")
    acknowledged_ms = read_version(reader, time)
    news = reader.member.take_news()
    time.advance(WAY_MS)
    other.sync.on_news("entry-1", news)
    assert other.named_ms() <= acknowledged_ms


def test_news_of_a_version_get_older_on_each_of_two_ways(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    reader = make_entry("entry-1", "entry-2")
    relay = make_entry("entry-2", "entry-3")
    other = make_entry("entry-3")
    acknowledged_ms = read_version(reader, time)
    news = msgspec.structs.replace(reader.member.take_news(), pass_on=True)
    time.advance(WAY_MS)
    relay.sync.on_news("entry-1", news)
    news = relay.member.take_news()
    time.advance(WAY_MS)
    other.sync.on_news("entry-2", news)
    assert other.named_ms() <= acknowledged_ms


def told_by(entry: Entry) -> list[str]:
    """Returns whom an entry told news, and forgets all that it sent."""
    told = [
        name
        for name, message in entry.member.sent
        if isinstance(message, fleet_messages.CatalogNews)
    ]
    entry.member.sent.clear()
    return told


def test_relay_that_heard_of_a_change_elsewhere_passes_it_on(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    # Entries near it heard by comparing revisions, some hundred ms later.
    reader = make_entry("entry-1", "entry-2")
    relay = make_entry("entry-2", "entry-3")
    read_version(reader, time)
    news = msgspec.structs.replace(
        reader.member.take_news(), pass_on=True, told_near=False
    )
    reader.sync.tell("entry-2", 0)
    relay.sync.on_news("entry-1", reader.member.take_news())
    assert told_by(relay) == []
    relay.sync.on_news("entry-1", news)
    assert told_by(relay) == ["entry-3"]
    # Once: the other reader has a relay of its own.
    relay.sync.on_news("entry-4", news)
    assert told_by(relay) == []


def test_relay_passes_on_nothing_that_another_told_all_near(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    reader = make_entry("entry-1", "entry-2")
    first = make_entry("entry-2", "entry-3")
    second = make_entry("entry-3", "entry-2")
    read_version(reader, time)
    news = msgspec.structs.replace(
        reader.member.take_news(), pass_on=True, told_near=False
    )
    first.sync.on_news("entry-1", news)
    second.sync.on_news("entry-2", first.member.take_news())
    second.sync.on_news("entry-1", news)
    assert told_by(second) == []


def test_version_gets_older_on_the_way_to_an_agent(
    time: clock.ManualClock,
) -> None:
    known = catalog.Catalog()
    known.apply([catalog.ConfigChange(1, CONFIG)], time.now_ms())
    known.apply([catalog.TargetChange(3, TARGET, NOW)], time.now_ms())
    acknowledged_ms = time.now_ms()
    sync = Member("entry-1", "dc-1", time)
    placed = placement.Placement({"dc-1": "north"}, sync, time)
    guide = agent_coordinator.AgentCoordinator(known, placed, sync, time)
    guide.send_full_update("agent-1")
    (message,) = [
        message
        for _, message in sync.sent
        if isinstance(message, fleet_messages.Guide)
    ]
    time.advance(WAY_MS)
    weights = named_weights.NamedWeights(lambda _: None, time)
    weights.handle_guide(message)
    target = weights.target("m")
    assert target is not None
    assert target.named_ms is not None
    assert target.named_ms <= acknowledged_ms


class Process:
    """A catalog, and its questions to another one over given ways."""

    def __init__(self, time: clock.ManualClock) -> None:
        self.time = time
        self.known = catalog.Catalog()
        self.asked: list[tuple[str, msgspec.Struct]] = []
        self.ages = version_ages.VersionAges(
            self.known, self._send, lambda: [], time
        )

    def _send(self, name: str, message: msgspec.Struct) -> bool:
        self.asked.append((name, message))
        return True

    def hear(self, other: catalog.Catalog, way_ms: float) -> None:
        """Hears the news of another process, which come late."""
        news = other.changes_after(0, self.time.now_ms())
        self.time.advance(way_ms)
        now_ms = self.time.now_ms()
        hearing = event_time.unsolicited(version_ages.WAY_MAX_MS, now_ms)
        self.known.apply(news, now_ms, hearing)
        self.ages.note_news("entry-1")

    def exchange(self, other: Process, there_ms: float, back_ms: float) -> None:
        """Carries the questions to another process and the answers back."""
        asked, self.asked = self.asked, []
        self.time.advance(there_ms)
        answers = []
        for name, request in asked:
            assert isinstance(request, fleet_messages.VersionAgesRequest)
            answers.append((name, other.ages.answer_to(request)))
        self.time.advance(back_ms)
        for name, answer in answers:
            self.ages.on_answer(name, answer)

    def named(self, version: int = 2) -> event_time.EventTime:
        (found,) = [
            each
            for each in self.known.targets["m"].named
            if each.version == version
        ]
        assert found.named is not None
        return found.named


def named_at(process: Process, version: int = 2) -> float:
    """Has a process read a version as it is named."""
    target = fleet.WeightsTarget(model="m", version=version)
    change = catalog.TargetChange(version, target, NOW)
    process.known.apply([change], process.time.now_ms())
    return process.time.now_ms()


@pytest.mark.parametrize(
    ("there_ms", "back_ms"), [(1.0, 1.0), (400.0, 2.0), (2.0, 400.0)]
)
def test_answer_bounds_the_age_of_a_version_by_its_own_way(
    time: clock.ManualClock, there_ms: float, back_ms: float
) -> None:
    reader, other = Process(time), Process(time)
    acknowledged_ms = named_at(reader)
    other.hear(reader.known, way_ms=700.0)
    other.exchange(reader, there_ms, back_ms)
    named = other.named()
    assert named.earliest_ms <= acknowledged_ms <= named.latest_ms
    assert named.uncertainty_ms <= there_ms + back_ms


def test_one_quick_answer_makes_up_for_slow_ones(
    time: clock.ManualClock,
) -> None:
    reader, other = Process(time), Process(time)
    acknowledged_ms = named_at(reader)
    other.hear(reader.known, way_ms=700.0)
    for way_ms in (500.0, 3.0, 500.0):
        other.exchange(reader, way_ms, way_ms)
        time.advance(version_ages.ASK_MS)
        other.ages.tick(BOUND_MS)
    named = other.named()
    assert named.earliest_ms <= acknowledged_ms <= named.latest_ms
    assert named.uncertainty_ms <= 6.0


def test_nobody_is_asked_when_it_no_longer_matters(
    time: clock.ManualClock,
) -> None:
    reader, other = Process(time), Process(time)
    named_at(reader)
    other.hear(reader.known, way_ms=50.0)
    asked = 0
    for _ in range(3 * version_ages.ANSWERS_MAX):
        asked += len(other.asked)
        other.exchange(reader, 200.0, 200.0)
        other.ages.tick(BOUND_MS)
    assert asked <= version_ages.ANSWERS_MAX
    other.asked.clear()
    time.advance(2 * BOUND_MS)
    other.ages.tick(BOUND_MS)
    assert other.asked == []


def test_process_that_missed_a_version_learns_when_it_was_named(
    time: clock.ManualClock,
) -> None:
    reader, late = Process(time), Process(time)
    first_ms = named_at(reader, 2)
    time.advance(2_000.0)
    named_at(reader, 3)
    late.hear(reader.known, way_ms=20.0)
    late.exchange(reader, 5.0, 5.0)
    named = late.named(2)
    assert named.earliest_ms <= first_ms <= named.latest_ms


def test_news_that_come_after_those_of_the_next_version_count(
    time: clock.ManualClock,
) -> None:
    reader, restarted, other = Process(time), Process(time), Process(time)
    first_ms = named_at(reader, 2)
    late = reader.known.changes_after(0, time.now_ms())
    time.advance(400.0)
    # It read all that the store holds, which tells of the newest version alone.
    named_at(restarted, 3)
    other.hear(restarted.known, way_ms=1.0)
    other.exchange(restarted, 1.0, 1.0)
    now_ms = time.now_ms()
    hearing = event_time.unsolicited(version_ages.WAY_MAX_MS, now_ms)
    assert other.known.apply(late, now_ms, hearing) == []
    named = other.named(2)
    assert named.earliest_ms <= first_ms <= named.latest_ms
    assert other.known.targets["m"].next_counts_from_ms(1) == named.earliest_ms


def test_version_between_two_others_binds_where_only_the_newest_was_news(
    time: clock.ManualClock,
) -> None:
    # It was unknown until the first answer, some seconds behind a full link.
    reader, late = Process(time), Process(time)
    first_ms = named_at(reader, 2)
    time.advance(version_ages.WAY_MAX_MS + 1_000.0)
    named_at(reader, 3)
    late.hear(reader.known, way_ms=20.0)
    bound_ms = late.known.targets["m"].next_counts_from_ms(1)
    assert bound_ms is not None
    assert bound_ms <= first_ms
    named = late.named(2)
    assert named.earliest_ms <= first_ms <= named.latest_ms


def test_version_between_two_others_is_told_over_two_ways(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    # An entry that read only the newest, and one that it tells.
    reader = make_entry("entry-1", "entry-2")
    relay = make_entry("entry-2", "entry-3")
    other = make_entry("entry-3")
    first_ms = read_version(reader, time)
    time.advance(version_ages.WAY_MAX_MS + 1_000.0)
    newest = fleet.WeightsTarget(model="m", version=3)
    change = catalog.TargetChange(4, newest, NOW)
    reader.known.apply([change], time.now_ms())
    reader.known.advance(4)
    reader.sync.publish(3, [change])
    news = msgspec.structs.replace(reader.member.take_news(), pass_on=True)
    time.advance(WAY_MS)
    relay.sync.on_news("entry-1", news)
    news = relay.member.take_news()
    time.advance(WAY_MS)
    other.sync.on_news("entry-2", news)
    named = other.known.targets["m"].named
    assert [each.version for each in named] == [2, 3]
    bound_ms = other.known.targets["m"].next_counts_from_ms(1)
    assert bound_ms is not None
    assert bound_ms <= first_ms


def test_answer_to_no_question_tells_nothing(time: clock.ManualClock) -> None:
    reader, other = Process(time), Process(time)
    named_at(reader)
    other.hear(reader.known, way_ms=700.0)
    before = other.named()
    request = fleet_messages.VersionAgesRequest(number=99)
    assert other.ages.on_answer("x", reader.ages.answer_to(request)) is None
    assert other.named() == before


def test_answer_counts_over_whichever_link_it_comes(
    time: clock.ManualClock,
) -> None:
    reader, other = Process(time), Process(time)
    named_at(reader)
    other.hear(reader.known, way_ms=700.0)
    ((_, request),) = other.asked
    assert isinstance(request, fleet_messages.VersionAgesRequest)
    other.ages.on_answer("seed:10.0.0.1:8000", reader.ages.answer_to(request))
    assert other.named().uncertainty_ms == 0.0


def test_version_that_binds_is_not_freed_by_a_call_sent_before(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    entry = make_entry("entry-1", "entry-2")
    acknowledged_ms = read_version(entry, time)
    # The store held a watch, and fell silent after the version was in force.
    time.advance(BOUND_MS - 500.0)
    asked_ms = time.now_ms()
    time.advance(1_600.0)
    entry.sync.note_store(BOUND_MS, asked_ms)
    assert entry.named_ms() == acknowledged_ms


def test_answer_corrects_news_that_were_on_their_way_for_too_long(
    time: clock.ManualClock,
) -> None:
    reader, other = Process(time), Process(time)
    acknowledged_ms = named_at(reader)
    other.hear(reader.known, way_ms=version_ages.WAY_MAX_MS + 1_000.0)
    other.exchange(reader, there_ms=500.0, back_ms=1_500.0)
    assert other.named().earliest_ms <= acknowledged_ms


def test_answer_to_a_question_before_a_restart_tells_nothing(
    time: clock.ManualClock,
) -> None:
    reader, before = Process(time), Process(time)
    # It was read up to two seconds after it was named.
    acknowledged_ms = time.now_ms() - 1_500.0
    change = catalog.TargetChange(2, TARGET, event_time.Ages(0.0, 2_000.0))
    reader.known.apply([change], time.now_ms())
    before.hear(reader.known, way_ms=5.0)
    ((_, request),) = before.asked
    assert isinstance(request, fleet_messages.VersionAgesRequest)
    answer = reader.ages.answer_to(request)
    # The answer waits for a link, which the restarted process opens.
    time.advance(1_200.0)
    restarted = Process(time)
    restarted.hear(reader.known, way_ms=5.0)
    restarted.ages.on_answer("entry-1", answer)
    assert restarted.named().earliest_ms <= acknowledged_ms


def test_questions_that_nobody_was_there_to_get_are_not_counted(
    time: clock.ManualClock,
) -> None:
    started = Process(time)
    change = catalog.TargetChange(2, TARGET, ages=None)
    started.known.apply([change], time.now_ms())
    for _ in range(version_ages.ANSWERS_MAX + 1):
        time.advance(version_ages.ASK_MS)
        started.ages.tick(BOUND_MS)
    peers: list[str] = ["entry-1"]
    started.ages._peers = lambda: peers
    time.advance(version_ages.ASK_MS)
    started.ages.tick(BOUND_MS)
    assert started.asked != []


def test_version_in_doubt_is_asked_for_as_long_as_its_bound_is_ahead(
    time: clock.ManualClock,
) -> None:
    reader, other = Process(time), Process(time)
    named_at(reader)
    other.hear(reader.known, way_ms=100.0)
    # A link is full for three seconds, so that no answer comes.
    for _ in range(8):
        time.advance(version_ages.ASK_MS)
        other.ages.tick(BOUND_MS)
    other.asked.clear()
    for _ in range(5):
        time.advance(version_ages.ASK_MS)
        other.ages.tick(BOUND_MS)
    assert other.asked != []


def test_entry_that_does_not_keep_up_with_the_store_asks_the_others(
    make_entry: MakeEntry,
) -> None:
    entry = make_entry("entry-1", "entry-2")
    entry.sync.on_revision("entry-2", 5, reading=True)
    assert entry.member.sent == []
    entry.sync.on_revision("entry-2", 5, reading=False)
    ((_, request),) = entry.member.sent
    assert isinstance(request, fleet_messages.CatalogRequest)


def test_process_that_saw_no_outage_counts_from_it_as_the_others_do(
    time: clock.ManualClock,
) -> None:
    entry, agent = Process(time), Process(time)
    entry.known.apply([catalog.ConfigChange(1, CONFIG)], time.now_ms())
    read_ms = time.now_ms()
    for _ in range(16):
        time.advance(500.0)
        entry.known.record_outage_sign(BOUND_MS, time.now_ms())
    outage_ms = time.now_ms()
    ages = event_time.Ages(0.0, outage_ms - read_ms)
    change = catalog.TargetChange(2, TARGET, ages)
    entry.known.apply([change], time.now_ms())
    agent.hear(entry.known, way_ms=50.0)
    agent.exchange(entry, there_ms=5.0, back_ms=5.0)
    counts_from_ms = agent.known.targets["m"].named_ms
    assert counts_from_ms is not None
    assert outage_ms - 10.0 <= counts_from_ms <= outage_ms


def test_answers_that_rest_on_an_assumption_end_no_questions(
    time: clock.ManualClock,
) -> None:
    reader, relay, other = Process(time), Process(time), Process(time)
    acknowledged_ms = named_at(reader)
    # The news waited for longer than assumed, and only then went on.
    relay.hear(reader.known, way_ms=version_ages.WAY_MAX_MS + 1_000.0)
    other.hear(relay.known, way_ms=5.0)
    for _ in range(version_ages.ANSWERS_MAX):
        other.exchange(relay, there_ms=5.0, back_ms=5.0)
        time.advance(version_ages.ASK_MS)
        other.ages.tick(BOUND_MS)
    relay.exchange(reader, there_ms=5.0, back_ms=5.0)
    other.asked.clear()
    time.advance(version_ages.ASK_MS)
    other.ages.tick(BOUND_MS)
    other.exchange(relay, there_ms=5.0, back_ms=5.0)
    named = other.named()
    assert not named.assumed
    assert named.earliest_ms <= acknowledged_ms


def test_answer_corrects_an_outage_that_was_told_too_late(
    time: clock.ManualClock,
) -> None:
    reader, other = Process(time), Process(time)
    named_at(reader)
    for _ in range(4):
        time.advance(500.0)
        reader.known.record_outage_sign(BOUND_MS, time.now_ms())
    outage_ms = time.now_ms()
    other.hear(reader.known, way_ms=version_ages.WAY_MAX_MS + 1_000.0)
    other.exchange(reader, there_ms=5.0, back_ms=5.0)
    counts_from_ms = other.known.targets["m"].named_ms
    assert counts_from_ms is not None
    assert counts_from_ms <= outage_ms


def test_news_of_a_reader_lack_nothing_that_it_heard_meanwhile(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    # The other reader's news of the version never reach the third entry.
    reader = make_entry("entry-1", "entry-3")
    other = make_entry("entry-3")
    for entry in (reader, other):
        entry.known.advance(2)
    reader.known.apply([catalog.TargetChange(3, TARGET, NOW)], time.now_ms())
    reader.known.advance(3)
    config = catalog.ConfigChange(4, CONFIG)
    reader.known.apply([config], time.now_ms())
    reader.known.advance(4)
    reader.sync.publish(2, [config])
    other.sync.on_news("entry-1", reader.member.take_news())
    assert "m" in other.known.targets or other.known.revision < 3


def test_news_that_are_complete_after_a_gap_hold_what_was_heard_beyond_it(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    reader = make_entry("entry-1", "entry-3")
    other = make_entry("entry-3")
    for entry in (reader, other):
        entry.known.advance(2)
    # Heard of beyond a gap, so that what is known does not reach that far.
    reader.known.apply([catalog.TargetChange(4, TARGET, NOW)], time.now_ms())
    config = catalog.ConfigChange(3, CONFIG)
    reader.known.apply([config], time.now_ms())
    reader.known.advance(4)
    reader.sync.publish(2, [config])
    other.sync.on_news("entry-1", reader.member.take_news())
    assert "m" in other.known.targets or other.known.revision < 4
