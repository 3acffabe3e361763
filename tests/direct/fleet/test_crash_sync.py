"""Entries synchronise their crash ledgers, in virtual time."""

from __future__ import annotations

import pytest

from marlramp import ids
from marlramp.core.crashes import crash_ledger
from marlramp.core.crashes import crash_reports
from marlramp.protocol import fleet_messages
from tests.direct.fleet import virtual_fleet

CULPRIT = ids.Fingerprint("culprit")
BOUND_MS = 3_000.0
"""Time in which all entries learn of a crash."""

CONTROL_BYTES_PER_S = 10_000.0
"""Limit of the control traffic that one daemon sends."""

OTHERS = 10
"""Other requests in flight at each crash."""


def crash(fleet: virtual_fleet.VirtualFleet, name: str, number: int) -> None:
    """Records at one entry a crash with the culprit and others in flight."""
    crash_id = crash_reports.crash_id(f"i-{number}", 1)
    others = [ids.Fingerprint(f"{number}-{n}") for n in range(OTHERS)]
    for request in (CULPRIT, *others):
        fleet.entries[name].crashes.add_suspect(
            crash_id, request, begun=False, now_ms=fleet.time.now_ms()
        )


def entries_without_block(fleet: virtual_fleet.VirtualFleet) -> list[str]:
    """Returns the entries that do not block the culprit."""
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
    assert entries_without_block(fleet) == []


@pytest.mark.parametrize("loss", [0.05, 0.2])
def test_crashes_reach_all_entries_despite_lost_messages(
    start_fleet: virtual_fleet.StartFleet, loss: float
) -> None:
    fleet = start_fleet(44)
    fleet.loss = loss
    for number in range(3):
        crash(fleet, f"entry-{number}", number)
    fleet.run(BOUND_MS)
    assert entries_without_block(fleet) == []


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
    assert entries_without_block(fleet) == []


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
    # The entry that is cut off noticed the third crash itself.
    crash(fleet, "entry-9", 2)
    fleet.run(10_000.0)
    fleet.cut.clear()
    fleet.run(BOUND_MS)
    assert entries_without_block(fleet) == []


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
    assert entries_without_block(fleet) == []


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
    assert set(entries_without_block(fleet)) == one | other
    fleet.cut.clear()
    fleet.run(BOUND_MS)
    assert entries_without_block(fleet) == []


def test_no_crash_message_is_sent_while_nothing_changes(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(44)
    for number in range(50):
        crash(fleet, f"entry-{number % 44}", number)
    fleet.run(10_000.0)
    before = _crash_messages(fleet)
    fleet.run(10_000.0)
    assert _crash_messages(fleet) == before


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


def test_entry_that_starts_among_full_ledgers_knows_within_the_bound(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(7)
    for number in range(3):
        crash(fleet, f"entry-{number}", number)
    for number in range(3, 300):
        crash_id = crash_reports.crash_id(f"x-{number}", 1)
        fleet.entries["entry-0"].crashes.add_suspect(
            crash_id,
            ids.Fingerprint(f"x-{number}"),
            begun=False,
            now_ms=fleet.time.now_ms(),
        )
    fleet.run(8_000.0)
    fleet.start(7)
    fleet.run(BOUND_MS)
    assert entries_without_block(fleet) == []


def test_ledgers_that_overflow_at_once_limit_traffic(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    # Entries drop different crashes, since updates arrive at different times.
    fleet = start_fleet(12)
    for number in range(2 * crash_ledger.CRASHES_MAX):
        crash(fleet, f"entry-{number % 12}", number)
    fleet.run(10_000.0)
    assert _bytes_per_s(fleet, 20_000.0) < CONTROL_BYTES_PER_S


def test_full_ledgers_that_differ_limit_traffic(
    start_fleet: virtual_fleet.StartFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Entries drop different crashes, since updates arrive at different times.
    monkeypatch.setattr(crash_ledger, "CRASHES_MAX", 80)
    fleet = start_fleet(12)
    for number in range(240):
        crash(fleet, f"entry-{number % 12}", number)
        fleet.run(100.0)
    fleet.run(10_000.0)
    assert _bytes_per_s(fleet, 20_000.0) < CONTROL_BYTES_PER_S


def _bytes_per_s(fleet: virtual_fleet.VirtualFleet, ms: float) -> float:
    """Advances time; returns the mean bytes per second of an entry."""
    running = fleet.running()
    before = sum(entry.sent_bytes for entry in running)
    fleet.run(ms)
    sent = sum(entry.sent_bytes for entry in running) - before
    return sent / len(running) / ms * 1_000.0


def _crash_messages(fleet: virtual_fleet.VirtualFleet) -> int:
    """Returns the number of messages about crashes that entries sent."""
    kinds = (fleet_messages.CrashNews, fleet_messages.CrashRequest)
    return sum(
        entry.sent_kinds[kind.__name__]
        for entry in fleet.running()
        for kind in kinds
    )
