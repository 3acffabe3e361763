"""Entries share what they know of crashing requests, in virtual time."""

from __future__ import annotations

import pytest

from marlramp import ids
from marlramp.core import crash_ledger
from marlramp.protocol import fleet_messages
from tests.direct.fleet import virtual_fleet

CULPRIT = ids.Fingerprint("culprit")
BOUND_MS = 3_000.0
"""All entries know of a crash this long after it."""

CONTROL_BYTES_PER_S = 10_000.0
"""What a daemon may send of control."""

OTHERS = 10
"""Other requests under way at each crash."""


def crash(fleet: virtual_fleet.VirtualFleet, name: str, number: int) -> None:
    """Has one entry notice a crash under the culprit and some others."""
    crash_id = crash_ledger.crash_id(f"i-{number}", 1)
    others = [ids.Fingerprint(f"{number}-{n}") for n in range(OTHERS)]
    for request in (CULPRIT, *others):
        fleet.entries[name].crashes.add_suspect(
            crash_id, request, begun=False, now_ms=fleet.time.now_ms()
        )


def ignorant(fleet: virtual_fleet.VirtualFleet) -> list[str]:
    """Returns the entries that would send the culprit."""
    return [
        entry.name
        for entry in fleet.running()
        if not entry.crashes.is_blocked(CULPRIT)
    ]


@pytest.mark.parametrize("count", [3, 7, 44, 150])
def test_all_entries_know_when_each_saw_one_crash(
    start_fleet: virtual_fleet.StartFleet, count: int
) -> None:
    fleet = start_fleet(count)
    for number in range(3):
        crash(fleet, f"entry-{number}", number)
    fleet.run(BOUND_MS)
    assert ignorant(fleet) == []


@pytest.mark.parametrize("loss", [0.05, 0.2])
def test_lost_messages_do_not_keep_crashes_from_anybody(
    start_fleet: virtual_fleet.StartFleet, loss: float
) -> None:
    fleet = start_fleet(44)
    fleet.loss = loss
    for number in range(3):
        crash(fleet, f"entry-{number}", number)
    fleet.run(BOUND_MS)
    assert ignorant(fleet) == []


def test_entry_that_starts_later_knows_within_the_bound(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(7)
    for number in range(3):
        crash(fleet, f"entry-{number}", number)
    fleet.run(BOUND_MS)
    fleet.stop("entry-4")
    fleet.run(1_000.0)
    fleet.start(4, incarnation=2_000)
    fleet.start(7)
    fleet.run(BOUND_MS)
    assert ignorant(fleet) == []


def test_entry_that_was_cut_off_knows_within_the_bound_after_it(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(44)
    names = [entry.name for entry in fleet.running() if entry.name != "entry-9"]
    pairs = {("entry-9", name) for name in names}
    fleet.cut |= pairs | {(b, a) for a, b in pairs}
    fleet.run(2_000.0)
    for number in range(2):
        crash(fleet, f"entry-{number}", number)
    # The one that is cut off saw the third itself.
    crash(fleet, "entry-9", 2)
    fleet.run(10_000.0)
    fleet.cut.clear()
    fleet.run(BOUND_MS)
    assert ignorant(fleet) == []


def test_entry_that_was_suspended_knows_within_the_bound_after_it(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(7)
    fleet.entries["entry-5"].suspended = True
    for number in range(3):
        crash(fleet, f"entry-{number}", number)
    fleet.run(8_000.0)
    fleet.entries["entry-5"].suspended = False
    fleet.run(BOUND_MS)
    assert ignorant(fleet) == []


def test_halves_that_saw_one_crash_each_agree_after_a_cut(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(12)
    one = {f"entry-{n}" for n in range(6)}
    other = {entry.name for entry in fleet.running()} - one
    fleet.cut = {(a, b) for a in one for b in other}
    fleet.cut |= {(b, a) for a, b in fleet.cut}
    crash(fleet, "entry-0", 0)
    crash(fleet, "entry-7", 1)
    crash(fleet, "entry-8", 2)
    fleet.run(6_000.0)
    assert set(ignorant(fleet)) == one | other
    fleet.cut.clear()
    fleet.run(BOUND_MS)
    assert ignorant(fleet) == []


def test_nothing_is_told_of_crashes_while_nothing_changes(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(44)
    for number in range(50):
        crash(fleet, f"entry-{number % 44}", number)
    fleet.run(10_000.0)
    before = _told_of_crashes(fleet)
    fleet.run(10_000.0)
    assert _told_of_crashes(fleet) == before


def test_storm_of_crashes_stays_within_the_control_budget(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(44)
    fleet.run(5_000.0)
    sent = []
    for number in range(60):
        crash(fleet, f"entry-{number % 44}", number)
        sent.append(_bytes_per_s(fleet, 330.0))
    assert sum(sent) / len(sent) < CONTROL_BYTES_PER_S


def test_entry_that_starts_beside_full_ledgers_knows_within_the_bound(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(7)
    for number in range(3):
        crash(fleet, f"entry-{number}", number)
    for number in range(3, 300):
        crash_id = crash_ledger.crash_id(f"x-{number}", 1)
        fleet.entries["entry-0"].crashes.add_suspect(
            crash_id,
            ids.Fingerprint(f"x-{number}"),
            begun=False,
            now_ms=fleet.time.now_ms(),
        )
    fleet.run(8_000.0)
    fleet.start(7)
    fleet.run(BOUND_MS)
    assert ignorant(fleet) == []


def test_ledgers_that_overflow_at_once_cost_little(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    # Each entry forgets other crashes, since news reach it at other times.
    fleet = start_fleet(12)
    for number in range(2 * crash_ledger.CRASHES_MAX):
        crash(fleet, f"entry-{number % 12}", number)
    fleet.run(10_000.0)
    assert _bytes_per_s(fleet, 20_000.0) < CONTROL_BYTES_PER_S


def test_full_ledgers_that_differ_cost_little(
    start_fleet: virtual_fleet.StartFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Each entry forgets other crashes, since news reach it at other times.
    monkeypatch.setattr(crash_ledger, "CRASHES_MAX", 80)
    fleet = start_fleet(12)
    for number in range(240):
        crash(fleet, f"entry-{number % 12}", number)
        fleet.run(100.0)
    fleet.run(10_000.0)
    assert _bytes_per_s(fleet, 20_000.0) < CONTROL_BYTES_PER_S


def _bytes_per_s(fleet: virtual_fleet.VirtualFleet, ms: float) -> float:
    """Returns what an entry sends in the mean while time passes."""
    running = fleet.running()
    before = sum(entry.sent_bytes for entry in running)
    fleet.run(ms)
    sent = sum(entry.sent_bytes for entry in running) - before
    return sent / len(running) / ms * 1_000.0


def _told_of_crashes(fleet: virtual_fleet.VirtualFleet) -> int:
    """Returns the messages about crashes that entries have sent."""
    kinds = (fleet_messages.CrashNews, fleet_messages.CrashRequest)
    return sum(
        entry.sent_kinds[kind.__name__]
        for entry in fleet.running()
        for kind in kinds
    )
