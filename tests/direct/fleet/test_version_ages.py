"""The bounds on a version's age that processes learn over slow paths."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

import msgspec
import pytest

from marlramp import clock
from marlramp import counters
from marlramp.core.configuration import catalog
from marlramp.core.configuration import event_time
from marlramp.core.configuration import fleet
from marlramp.core.configuration import named_versions
from marlramp.core.membership import fleet_size
from marlramp.core.membership import members
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
PATH_LATENCY_MS = 400.0
BOUND_MS = 8_000.0
NOW = event_time.Ages(0.0, 0.0)


class SlowStore:
    """Announces a version while an earlier answer is still in transit."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._watches = 0
        self.acknowledged_ms: float | None = None

    async def read_all(self) -> catalog.Snapshot:
        return catalog.Snapshot(1, [])

    async def check(self) -> None:
        raise NotImplementedError

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


def test_version_announced_during_an_answer_counts_from_then() -> None:
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
    """A member that records the messages it sends."""

    def __init__(
        self, name: str, data_centre: str, time: clock.Clock, *others: str
    ) -> None:
        super().__init__(
            member(name, data_centre),
            1,
            [],
            {data_centre},
            fleet_size.FleetSize((), time),
            virtual_fleet.Alone(),
            time,
            random.Random(1),
        )
        self.sent: list[tuple[str, msgspec.Struct]] = []
        for other in others:
            update = members.MemberUpdate(
                member(other, data_centre), 1, members.MemberState.READY
            )
            self.roster.apply_direct(update, time.now_ms())

    def send(self, vm_id: str, message: msgspec.Struct) -> bool:
        self.sent.append((vm_id, message))
        return True

    def send_all(self, vm_ids: object, message: msgspec.Struct) -> None:
        assert isinstance(vm_ids, list)
        self.sent.extend((vm_id, message) for vm_id in vm_ids)

    def take_update(self) -> fleet_messages.CatalogNews:
        """Returns the last catalog update sent, and clears the record."""
        updates = [
            message
            for _, message in self.sent
            if isinstance(message, fleet_messages.CatalogNews)
        ]
        self.sent.clear()
        return updates[-1]


def member(name: str, data_centre: str = "dc-1") -> members.Member:
    return members.Member(
        name, members.MemberKind.ENTRY, data_centre, "127.0.0.1", 1
    )


class Entry:
    """An entry's catalog and its synchronisation with other entries."""

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
    """Returns a function that makes an entry, given the others it knows."""
    return lambda name, *others: Entry(name, time, *others)


def read_version(entry: Entry, time: clock.ManualClock) -> float:
    """Lets an entry read a version at its announcement; returns the time."""
    change = catalog.TargetChange(3, TARGET, NOW)
    entry.known.apply([change], time.now_ms())
    entry.known.advance(3)
    entry.sync.publish(2, [change])
    return time.now_ms()


def test_age_of_a_version_includes_the_path_latency(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    reader = make_entry("entry-1", "entry-2")
    other = make_entry("entry-2")
    acknowledged_ms = read_version(reader, time)
    update = reader.member.take_update()
    time.advance(PATH_LATENCY_MS)
    other.sync.on_updates("entry-1", update)
    assert other.named_ms() <= acknowledged_ms


def test_age_of_a_version_includes_the_latency_of_two_paths(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    reader = make_entry("entry-1", "entry-2")
    relay = make_entry("entry-2", "entry-3")
    other = make_entry("entry-3")
    acknowledged_ms = read_version(reader, time)
    update = msgspec.structs.replace(reader.member.take_update(), pass_on=True)
    time.advance(PATH_LATENCY_MS)
    relay.sync.on_updates("entry-1", update)
    update = relay.member.take_update()
    time.advance(PATH_LATENCY_MS)
    other.sync.on_updates("entry-2", update)
    assert other.named_ms() <= acknowledged_ms


def take_recipients(entry: Entry) -> list[str]:
    """Returns the entries that were sent an update, and clears the record."""
    recipients = [
        name
        for name, message in entry.member.sent
        if isinstance(message, fleet_messages.CatalogNews)
    ]
    entry.member.sent.clear()
    return recipients


def test_relay_forwards_a_change_that_it_already_knew(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    # Without forwarding, the entries of the relay's region received the change
    # only after comparing revisions, some hundred ms later.
    reader = make_entry("entry-1", "entry-2")
    relay = make_entry("entry-2", "entry-3")
    read_version(reader, time)
    update = msgspec.structs.replace(
        reader.member.take_update(), pass_on=True, told_near=False
    )
    reader.sync.send_changes("entry-2", 0)
    relay.sync.on_updates("entry-1", reader.member.take_update())
    assert take_recipients(relay) == []
    relay.sync.on_updates("entry-1", update)
    assert take_recipients(relay) == ["entry-3"]
    # A change is forwarded once; the other reader has a relay of its own.
    relay.sync.on_updates("entry-4", update)
    assert take_recipients(relay) == []


def test_relay_does_not_forward_what_its_region_was_sent(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    reader = make_entry("entry-1", "entry-2")
    first = make_entry("entry-2", "entry-3")
    second = make_entry("entry-3", "entry-2")
    read_version(reader, time)
    update = msgspec.structs.replace(
        reader.member.take_update(), pass_on=True, told_near=False
    )
    first.sync.on_updates("entry-1", update)
    second.sync.on_updates("entry-2", first.member.take_update())
    second.sync.on_updates("entry-1", update)
    assert take_recipients(second) == []


def test_age_of_a_version_includes_the_latency_to_an_agent(
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
    time.advance(PATH_LATENCY_MS)
    weights = named_weights.NamedWeights(lambda _: None, time)
    weights.handle_guide(message)
    target = weights.target("m")
    assert target is not None
    assert target.named_ms is not None
    assert target.named_ms <= acknowledged_ms


class Process:
    """A catalog, and its queries to another process at given latencies."""

    def __init__(self, time: clock.ManualClock) -> None:
        self.time = time
        self.known = catalog.Catalog()
        self.queries: list[tuple[str, msgspec.Struct]] = []
        self.ages = version_ages.VersionAges(
            self.known, self._send, lambda: [], time
        )

    def _send(self, name: str, message: msgspec.Struct) -> bool:
        self.queries.append((name, message))
        return True

    def receive(self, other: catalog.Catalog, latency_ms: float) -> None:
        """Receives the changes of another process after some latency."""
        changes = other.changes_after(0, self.time.now_ms())
        self.time.advance(latency_ms)
        now_ms = self.time.now_ms()
        receipt = event_time.unsolicited(
            version_ages.PATH_LATENCY_MAX_MS, now_ms
        )
        self.known.apply(changes, now_ms, receipt)
        self.ages.on_version_announced("entry-1")

    def exchange(self, other: Process, there_ms: float, back_ms: float) -> None:
        """Delivers the queries to another process and the answers back."""
        queries, self.queries = self.queries, []
        self.time.advance(there_ms)
        answers = []
        for name, request in queries:
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


def announce(process: Process, version: int = 2) -> float:
    """Lets a process read a version at its announcement; returns the time."""
    target = fleet.WeightsTarget(model="m", version=version)
    change = catalog.TargetChange(version, target, NOW)
    process.known.apply([change], process.time.now_ms())
    return process.time.now_ms()


@pytest.mark.parametrize(
    ("there_ms", "back_ms"), [(1.0, 1.0), (400.0, 2.0), (2.0, 400.0)]
)
def test_answer_bounds_the_age_of_a_version_by_its_round_trip(
    time: clock.ManualClock, there_ms: float, back_ms: float
) -> None:
    reader, other = Process(time), Process(time)
    acknowledged_ms = announce(reader)
    other.receive(reader.known, latency_ms=700.0)
    other.exchange(reader, there_ms, back_ms)
    named = other.named()
    assert named.earliest_ms <= acknowledged_ms <= named.latest_ms
    assert named.uncertainty_ms <= there_ms + back_ms


def test_one_fast_answer_makes_up_for_slow_ones(
    time: clock.ManualClock,
) -> None:
    reader, other = Process(time), Process(time)
    acknowledged_ms = announce(reader)
    other.receive(reader.known, latency_ms=700.0)
    for latency_ms in (500.0, 3.0, 500.0):
        other.exchange(reader, latency_ms, latency_ms)
        time.advance(version_ages.AGE_QUERY_MS)
        other.ages.tick(BOUND_MS)
    named = other.named()
    assert named.earliest_ms <= acknowledged_ms <= named.latest_ms
    assert named.uncertainty_ms <= 6.0


def test_queries_stop_when_the_age_no_longer_matters(
    time: clock.ManualClock,
) -> None:
    reader, other = Process(time), Process(time)
    announce(reader)
    other.receive(reader.known, latency_ms=50.0)
    queries = 0
    for _ in range(3 * version_ages.ANSWERS_MAX):
        queries += len(other.queries)
        other.exchange(reader, 200.0, 200.0)
        other.ages.tick(BOUND_MS)
    assert queries <= version_ages.ANSWERS_MAX
    other.queries.clear()
    time.advance(2 * BOUND_MS)
    other.ages.tick(BOUND_MS)
    assert other.queries == []


def test_process_that_missed_a_version_learns_its_age(
    time: clock.ManualClock,
) -> None:
    reader, late = Process(time), Process(time)
    first_ms = announce(reader, 2)
    time.advance(2_000.0)
    announce(reader, 3)
    late.receive(reader.known, latency_ms=20.0)
    late.exchange(reader, 5.0, 5.0)
    named = late.named(2)
    assert named.earliest_ms <= first_ms <= named.latest_ms


def test_late_update_on_an_earlier_version_is_applied(
    time: clock.ManualClock,
) -> None:
    reader, restarted, other = Process(time), Process(time), Process(time)
    first_ms = announce(reader, 2)
    late = reader.known.changes_after(0, time.now_ms())
    time.advance(400.0)
    # The process read the complete store, which holds only the newest version.
    announce(restarted, 3)
    other.receive(restarted.known, latency_ms=1.0)
    other.exchange(restarted, 1.0, 1.0)
    now_ms = time.now_ms()
    receipt = event_time.unsolicited(version_ages.PATH_LATENCY_MAX_MS, now_ms)
    assert other.known.apply(late, now_ms, receipt) == []
    named = other.named(2)
    assert named.earliest_ms <= first_ms <= named.latest_ms
    assert other.known.targets["m"].next_counts_from_ms(1) == named.earliest_ms


def test_update_on_the_newest_version_dates_a_skipped_version(
    time: clock.ManualClock,
) -> None:
    # The version was unknown until the first answer, which took seconds on a
    # saturated link.
    reader, late = Process(time), Process(time)
    first_ms = announce(reader, 2)
    time.advance(version_ages.PATH_LATENCY_MAX_MS + 1_000.0)
    announce(reader, 3)
    late.receive(reader.known, latency_ms=20.0)
    bound_ms = late.known.targets["m"].next_counts_from_ms(1)
    assert bound_ms is not None
    assert bound_ms <= first_ms
    named = late.named(2)
    assert named.earliest_ms <= first_ms <= named.latest_ms


def test_skipped_version_is_sent_over_two_hops(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    # The relay receives only the update on the newest version, and the last
    # entry only what the relay forwards.
    reader = make_entry("entry-1", "entry-2")
    relay = make_entry("entry-2", "entry-3")
    other = make_entry("entry-3")
    first_ms = read_version(reader, time)
    time.advance(version_ages.PATH_LATENCY_MAX_MS + 1_000.0)
    newest = fleet.WeightsTarget(model="m", version=3)
    change = catalog.TargetChange(4, newest, NOW)
    reader.known.apply([change], time.now_ms())
    reader.known.advance(4)
    reader.sync.publish(3, [change])
    update = msgspec.structs.replace(reader.member.take_update(), pass_on=True)
    time.advance(PATH_LATENCY_MS)
    relay.sync.on_updates("entry-1", update)
    update = relay.member.take_update()
    time.advance(PATH_LATENCY_MS)
    other.sync.on_updates("entry-2", update)
    named = other.known.targets["m"].named
    assert [each.version for each in named] == [2, 3]
    bound_ms = other.known.targets["m"].next_counts_from_ms(1)
    assert bound_ms is not None
    assert bound_ms <= first_ms


def test_answer_without_a_query_is_ignored(time: clock.ManualClock) -> None:
    reader, other = Process(time), Process(time)
    announce(reader)
    other.receive(reader.known, latency_ms=700.0)
    before = other.named()
    request = fleet_messages.VersionAgesRequest(number=99)
    assert other.ages.on_answer("x", reader.ages.answer_to(request)) is None
    assert other.named() == before


def test_answer_over_another_link_is_applied(
    time: clock.ManualClock,
) -> None:
    reader, other = Process(time), Process(time)
    announce(reader)
    other.receive(reader.known, latency_ms=700.0)
    ((_, request),) = other.queries
    assert isinstance(request, fleet_messages.VersionAgesRequest)
    other.ages.on_answer("seed:10.0.0.1:8000", reader.ages.answer_to(request))
    assert other.named().uncertainty_ms == 0.0


def test_mandatory_version_is_not_restarted_by_an_earlier_call(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    entry = make_entry("entry-1", "entry-2")
    acknowledged_ms = read_version(entry, time)
    # The store held a watch, and stopped responding after the version had
    # become mandatory.
    time.advance(BOUND_MS - 500.0)
    requested_ms = time.now_ms()
    time.advance(1_600.0)
    entry.sync.record_store_state(BOUND_MS, requested_ms)
    assert entry.named_ms() == acknowledged_ms


def test_answer_corrects_an_update_slower_than_assumed(
    time: clock.ManualClock,
) -> None:
    reader, other = Process(time), Process(time)
    acknowledged_ms = announce(reader)
    other.receive(
        reader.known, latency_ms=version_ages.PATH_LATENCY_MAX_MS + 1_000.0
    )
    other.exchange(reader, there_ms=500.0, back_ms=1_500.0)
    assert other.named().earliest_ms <= acknowledged_ms


def test_answer_to_a_query_before_a_restart_is_ignored(
    time: clock.ManualClock,
) -> None:
    reader, before = Process(time), Process(time)
    # The version was read up to two seconds after its announcement.
    acknowledged_ms = time.now_ms() - 1_500.0
    change = catalog.TargetChange(2, TARGET, event_time.Ages(0.0, 2_000.0))
    reader.known.apply([change], time.now_ms())
    before.receive(reader.known, latency_ms=5.0)
    ((_, request),) = before.queries
    assert isinstance(request, fleet_messages.VersionAgesRequest)
    answer = reader.ages.answer_to(request)
    # The answer is delayed until the restarted process opens a link.
    time.advance(1_200.0)
    restarted = Process(time)
    restarted.receive(reader.known, latency_ms=5.0)
    restarted.ages.on_answer("entry-1", answer)
    assert restarted.named().earliest_ms <= acknowledged_ms


def test_queries_without_a_recipient_are_not_counted(
    time: clock.ManualClock,
) -> None:
    started = Process(time)
    change = catalog.TargetChange(2, TARGET, ages=None)
    started.known.apply([change], time.now_ms())
    for _ in range(version_ages.ANSWERS_MAX + 1):
        time.advance(version_ages.AGE_QUERY_MS)
        started.ages.tick(BOUND_MS)
    peers: list[str] = ["entry-1"]
    started.ages._peers = lambda: peers
    time.advance(version_ages.AGE_QUERY_MS)
    started.ages.tick(BOUND_MS)
    assert started.queries != []


def test_uncertain_version_is_queried_while_its_bound_is_ahead(
    time: clock.ManualClock,
) -> None:
    reader, other = Process(time), Process(time)
    announce(reader)
    other.receive(reader.known, latency_ms=100.0)
    # A link is saturated for three seconds, so that no answer arrives.
    for _ in range(8):
        time.advance(version_ages.AGE_QUERY_MS)
        other.ages.tick(BOUND_MS)
    other.queries.clear()
    for _ in range(5):
        time.advance(version_ages.AGE_QUERY_MS)
        other.ages.tick(BOUND_MS)
    assert other.queries != []


def test_entry_that_does_not_keep_up_requests_changes(
    make_entry: MakeEntry,
) -> None:
    entry = make_entry("entry-1", "entry-2")
    entry.sync.on_revision("entry-2", 5, reading=True)
    assert entry.member.sent == []
    entry.sync.on_revision("entry-2", 5, reading=False)
    ((_, request),) = entry.member.sent
    assert isinstance(request, fleet_messages.CatalogRequest)


def test_process_that_saw_no_outage_counts_from_it_too(
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
    agent.receive(entry.known, latency_ms=50.0)
    agent.exchange(entry, there_ms=5.0, back_ms=5.0)
    counts_from_ms = agent.known.targets["m"].named_ms
    assert counts_from_ms is not None
    assert outage_ms - 10.0 <= counts_from_ms <= outage_ms


def test_answers_that_rest_on_an_assumption_do_not_end_queries(
    time: clock.ManualClock,
) -> None:
    reader, relay, other = Process(time), Process(time), Process(time)
    acknowledged_ms = announce(reader)
    # The update took longer than assumed, and was then forwarded.
    relay.receive(
        reader.known, latency_ms=version_ages.PATH_LATENCY_MAX_MS + 1_000.0
    )
    other.receive(relay.known, latency_ms=5.0)
    for _ in range(version_ages.ANSWERS_MAX):
        other.exchange(relay, there_ms=5.0, back_ms=5.0)
        time.advance(version_ages.AGE_QUERY_MS)
        other.ages.tick(BOUND_MS)
    relay.exchange(reader, there_ms=5.0, back_ms=5.0)
    other.queries.clear()
    time.advance(version_ages.AGE_QUERY_MS)
    other.ages.tick(BOUND_MS)
    other.exchange(relay, there_ms=5.0, back_ms=5.0)
    named = other.named()
    assert not named.assumed
    assert named.earliest_ms <= acknowledged_ms


def test_answer_corrects_an_outage_that_was_reported_late(
    time: clock.ManualClock,
) -> None:
    reader, other = Process(time), Process(time)
    announce(reader)
    for _ in range(4):
        time.advance(500.0)
        reader.known.record_outage_sign(BOUND_MS, time.now_ms())
    outage_ms = time.now_ms()
    other.receive(
        reader.known, latency_ms=version_ages.PATH_LATENCY_MAX_MS + 1_000.0
    )
    other.exchange(reader, there_ms=5.0, back_ms=5.0)
    counts_from_ms = other.known.targets["m"].named_ms
    assert counts_from_ms is not None
    assert counts_from_ms <= outage_ms


def test_update_of_a_reader_includes_changes_received_meanwhile(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    # The other reader's update on the version never reaches the third entry.
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
    other.sync.on_updates("entry-1", reader.member.take_update())
    assert "m" in other.known.targets or other.known.revision < 3


def test_complete_update_includes_changes_from_beyond_a_gap(
    make_entry: MakeEntry, time: clock.ManualClock
) -> None:
    reader = make_entry("entry-1", "entry-3")
    other = make_entry("entry-3")
    for entry in (reader, other):
        entry.known.advance(2)
    # The version arrived from beyond a gap, so that the catalog is not
    # complete up to it.
    reader.known.apply([catalog.TargetChange(4, TARGET, NOW)], time.now_ms())
    config = catalog.ConfigChange(3, CONFIG)
    reader.known.apply([config], time.now_ms())
    reader.known.advance(4)
    reader.sync.publish(2, [config])
    other.sync.on_updates("entry-1", reader.member.take_update())
    assert "m" in other.known.targets or other.known.revision < 4


def test_answers_about_unknown_versions_are_not_kept(
    time: clock.ManualClock,
) -> None:
    sent: list[msgspec.Struct] = []
    ages = version_ages.VersionAges(
        catalog.Catalog(), lambda _, m: not sent.append(m), list, time
    )
    for number in range(100):
        ages.query("entry-1")
        request = sent[-1]
        assert isinstance(request, fleet_messages.VersionAgesRequest)
        versions = [named_versions.AgedVersion("m", number, None)]
        ages.on_answer(
            "entry-1",
            fleet_messages.VersionAges(
                number=request.number, versions=versions
            ),
        )
    assert not ages._answers
