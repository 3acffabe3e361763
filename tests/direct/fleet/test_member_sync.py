from __future__ import annotations

import pytest

from marlramp.core.membership import members
from marlramp.core.membership import roster
from marlramp.protocol import fleet_messages
from tests.direct.fleet import virtual_fleet

KNOWN_DOWN_MS = 3_500.0
"""Maximum time until every entry knows that a VM is down."""


@pytest.mark.parametrize(("count", "regions"), [(6, 3), (24, 3), (100, 5)])
def test_entries_that_start_together_discover_each_other(
    start_fleet: virtual_fleet.StartFleet, count: int, regions: int
) -> None:
    fleet = start_fleet(count, regions)
    assert fleet.time.now_ms() < 3_500.0
    sent = [entry.sent_bytes for entry in fleet.running()]
    # Sending the complete roster to each entry would cost 90 bytes x count
    # per entry.
    assert sum(sent) / count < 25_000 + 400 * count


def test_traffic_of_an_entry_does_not_grow_with_the_fleet(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    rates = []
    for count in (30, 120):
        fleet = start_fleet(count)
        fleet.run(5_000.0)
        before = sum(entry.sent_bytes for entry in fleet.running())
        fleet.run(10_000.0)
        after = sum(entry.sent_bytes for entry in fleet.running())
        rates.append((after - before) / count / 10.0)
    assert max(rates) < 1_500.0
    assert rates[1] < 1.2 * rates[0]


def test_stopped_entry_is_down_to_all_entries(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(60)
    fleet.run(5_000.0)
    fleet.stop("entry-17")
    assert fleet.run_until_agreed(KNOWN_DOWN_MS) > 500.0


@pytest.mark.parametrize("share", [0.5, 0.9])
def test_many_entries_that_stop_together_are_down_to_all(
    start_fleet: virtual_fleet.StartFleet, share: float
) -> None:
    fleet = start_fleet(60)
    fleet.run(5_000.0)
    for entry in fleet.running()[: int(60 * share)]:
        fleet.stop(entry.name)
    fleet.run_until_agreed(2 * KNOWN_DOWN_MS)


@pytest.mark.parametrize("seed", range(3))
def test_message_loss_marks_no_entry_as_down(
    start_fleet: virtual_fleet.StartFleet, seed: int
) -> None:
    fleet = start_fleet(40, seed=seed)
    fleet.loss = 0.05
    for _ in range(100):
        fleet.run(100.0)
        assert fleet.agreed()


def test_entry_reachable_from_some_is_not_marked_as_down(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(30)
    for number in range(1, 15):
        fleet.cut.add((f"entry-{number}", "entry-0"))
    for _ in range(100):
        fleet.run(100.0)
        for entry in fleet.running()[15:]:
            assert "entry-0" in fleet.alive_to(entry)


def test_isolated_entry_does_not_mark_others_as_down_for_the_rest(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(40)
    names = [entry.name for entry in fleet.running() if entry.name != "entry-5"]
    pairs = {("entry-5", name) for name in names}
    fleet.cut |= pairs | {(b, a) for a, b in pairs}
    fleet.run(12_000.0)
    assert fleet.alive_to(fleet.entries["entry-5"]) == set()
    fleet.cut.clear()
    for _ in range(60):
        fleet.run(100.0)
        for name in names:
            others = fleet.alive_to(fleet.entries[name])
            assert set(names) - {name} <= others
    assert fleet.agreed()


def test_region_rejoins_after_a_partition(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(30)
    inside = {e.name for e in fleet.running() if e.member.data_centre == "dc-1"}
    outside = {e.name for e in fleet.running()} - inside
    fleet.cut = {(a, b) for a in inside for b in outside}
    fleet.cut |= {(b, a) for a, b in fleet.cut}
    fleet.run(8_000.0)
    first = fleet.entries[sorted(inside)[0]]
    assert fleet.alive_to(first) == inside - {first.name}
    fleet.cut.clear()
    fleet.run_until_agreed(8_000.0)


def test_restarted_entry_is_known_by_its_new_incarnation(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(20)
    fleet.stop("entry-9")
    fleet.run(300.0)
    fleet.start(9, incarnation=2_000)
    fleet.run(4_000.0)
    for entry in fleet.running():
        if entry.name != "entry-9":
            record = entry.sync.roster.get("entry-9")
            assert record is not None
            assert record.update.incarnation >= 2_000


def test_entry_restarted_with_an_earlier_clock_rejoins(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(20)
    fleet.stop("entry-9")
    fleet.run(5_000.0)
    fleet.start(9, incarnation=10)
    fleet.run_until_agreed(5_000.0)


def test_entries_discover_each_other_without_the_first_seed(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(0)
    for number in range(1, 12):
        fleet.start(number)
    fleet.run_until_agreed(6_000.0)


def test_partitioned_rosters_merge_through_a_seed(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(12)
    one = {f"entry-{n}" for n in range(6)}
    for entry in fleet.running():
        other = {e.name for e in fleet.running()} - one
        if entry.name not in one:
            other = one
        for name in other:
            entry.sync.roster._records.pop(name, None)
            entry.close(name)
    fleet.run_until_agreed(15_000.0)


def test_leaving_state_spreads_within_a_second(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(100, 5)
    leaving = fleet.entries["entry-42"]
    leaving.state = members.MemberState.LEAVING
    fleet.run(1_000.0)
    states = [
        entry.sync.roster.in_buckets(range(roster.BUCKETS))
        for entry in fleet.running()
    ]
    knows = [leaving.sync.roster.own in updates for updates in states]
    assert sum(knows) >= 97


def test_suspect_that_does_not_answer_becomes_down(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(6)
    fleet.stop("entry-1")
    entry = fleet.entries["entry-2"]
    entry.sync.suspect("entry-1")
    fleet.run(roster.SUSPECT_MS + 3 * 100.0)
    record = entry.sync.roster.get("entry-1")
    assert record is not None
    assert record.update.state is members.MemberState.DOWN


def test_requests_to_probe_are_kept_only_for_known_entries(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(4)
    sync = fleet.entries["entry-1"].sync
    fleet.stop("entry-2")
    for number in range(100):
        request = fleet_messages.ProbeRequest(vm_id="entry-2")
        sync.on_message(f"stranger-{number}", request)
        sync.on_message("entry-3", request)
    assert sync._probe_requesters == {"entry-2": {"entry-3"}}
    fleet.run(roster.FORGET_MS + 10_000.0)
    assert not sync._probe_requesters


def test_process_that_is_gone_is_forgotten_by_all(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(4)
    fleet.stop("entry-2")
    fleet.run(roster.FORGET_MS + 10_000.0)
    for entry in fleet.running():
        assert entry.sync.roster.get("entry-2") is None
    fleet.start(2, incarnation=90_000)
    fleet.run_until_agreed(10_000.0)
