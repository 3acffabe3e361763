"""Entries condemn a part of prompts together, in virtual time."""

from __future__ import annotations

import itertools

import pytest

from marlramp import ids
from marlramp.core.crashes import crash_reports
from marlramp.core.crashes import possible_causes
from tests.direct.fleet import virtual_fleet

FIRST = possible_causes.part_fingerprint("model", "f0")
CULPRIT = possible_causes.part_fingerprint("model", "c0")
CRASHES = 5
"""Crashes after which all entries know the part that causes them."""

BOUND_MS = 3_000.0
"""Time after the last of them in which all entries know it."""

GAP_MS = 400.0
"""Time between two crashes."""

SOUND_MS = 100.0
"""Time between two sound runs at each entry."""

CONTROL_BYTES_PER_S = 10_000.0
"""Limit of the control traffic that one daemon sends."""

STORM_MS = 10_000.0
CRASH_MS = 333.0
"""Duration of a storm, and time between two crashes."""

VICTIMS = 8
"""Requests that begin at each replica that crashes, each of another entry."""


def causes(
    number: int, *parts: ids.PartFingerprint
) -> possible_causes.PossibleCauses:
    return possible_causes.PossibleCauses(
        ids.Fingerprint(f"{number:016x}"), parts
    )


def crash(fleet: virtual_fleet.VirtualFleet, name: str, number: int) -> None:
    """Records at one entry a crash of a request with the culprit."""
    crash_id = crash_reports.crash_id(f"i-{number}", 1)
    entry = fleet.entries[name]
    request = causes(number, FIRST, CULPRIT)
    now_ms = fleet.time.now_ms()
    entry.crashes.add_suspect(
        crash_id, request.content, begun=False, now_ms=now_ms
    )
    entry.crashes.add_part_suspects(crash_id, request, now_ms)


def serve(fleet: virtual_fleet.VirtualFleet, ms: float) -> None:
    """Runs for some time while sound requests survive at all entries."""
    for _ in range(int(ms / SOUND_MS)):
        for entry in fleet.running():
            entry.crashes.record_survival((FIRST,), fleet.time.now_ms())
        fleet.run(SOUND_MS)


def entries_without_block(fleet: virtual_fleet.VirtualFleet) -> list[str]:
    """Returns the entries that do not block the culprit."""
    return [
        entry.name
        for entry in fleet.running()
        if not entry.crashes.is_blocked(CULPRIT)
    ]


def entries_that_block_the_first_part(
    fleet: virtual_fleet.VirtualFleet,
) -> list[str]:
    return [
        entry.name
        for entry in fleet.running()
        if entry.crashes.is_blocked(FIRST)
    ]


@pytest.mark.parametrize("loss", [0.0, 0.2])
@pytest.mark.parametrize("count", [3, 7, 44, 150])
def test_all_entries_block_a_part_when_each_saw_one_crash(
    start_fleet: virtual_fleet.StartFleet, count: int, loss: float
) -> None:
    fleet = start_fleet(count)
    fleet.loss = loss
    serve(fleet, 500.0)
    for number in range(CRASHES):
        crash(fleet, f"entry-{number % count}", number)
        serve(fleet, GAP_MS)
    serve(fleet, BOUND_MS - GAP_MS)
    assert entries_without_block(fleet) == []
    assert entries_that_block_the_first_part(fleet) == []


def test_all_entries_block_a_part_while_no_sound_request_comes(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(7)
    for number in range(CRASHES):
        crash(fleet, f"entry-{number}", number)
        fleet.run(GAP_MS)
    fleet.run(BOUND_MS - GAP_MS)
    assert entries_without_block(fleet) == []
    assert entries_that_block_the_first_part(fleet) == []


def test_entries_that_were_cut_off_or_suspended_block_a_part_after_it(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(44)
    serve(fleet, 500.0)
    names = [entry.name for entry in fleet.running() if entry.name != "entry-9"]
    pairs = {("entry-9", name) for name in names}
    fleet.cut |= pairs | {(b, a) for a, b in pairs}
    fleet.entries["entry-5"].suspended = True
    for number in range(CRASHES):
        crash(fleet, f"entry-{number + 10}", number)
        serve(fleet, GAP_MS)
    serve(fleet, 8_000.0)
    fleet.cut.clear()
    fleet.entries["entry-5"].suspended = False
    serve(fleet, BOUND_MS)
    assert entries_without_block(fleet) == []


def test_entries_that_all_restart_learn_a_condemned_part_from_agents(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(3)
    for number in range(9):
        fleet.start_agent(number)
    serve(fleet, 500.0)
    for number in range(CRASHES):
        crash(fleet, f"entry-{number % 3}", number)
        serve(fleet, GAP_MS)
    serve(fleet, BOUND_MS)
    for number in range(3):
        fleet.stop(f"entry-{number}")
    for number in range(3):
        fleet.start(number, incarnation=2_000)
    fleet.run(BOUND_MS)
    assert entries_without_block(fleet) == []


def test_part_that_is_released_at_one_entry_runs_at_all(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    fleet = start_fleet(7)
    for number in range(CRASHES):
        crash(fleet, f"entry-{number}", number)
        fleet.run(GAP_MS)
    fleet.run(BOUND_MS - GAP_MS)
    fleet.entries["entry-6"].crashes.clear(CULPRIT)
    fleet.run(BOUND_MS)
    assert len(entries_without_block(fleet)) == 7
    assert entries_that_block_the_first_part(fleet) == []


def test_storm_of_crashes_with_parts_limits_traffic(
    start_fleet: virtual_fleet.StartFleet,
) -> None:
    # Each victim has a part of its session that has survived no run yet.
    fleet = start_fleet(16, regions=1)
    for number in range(28):
        fleet.start_agent(number)
    serve(fleet, 2_000.0)
    before = {entry.name: entry.sent_bytes for entry in fleet.running()}
    numbers = itertools.count()
    for number in range(int(STORM_MS / CRASH_MS)):
        crash_id = crash_reports.crash_id(f"i-{number}", 1)
        now_ms = fleet.time.now_ms()
        for entry in fleet.rng.sample(fleet.running(), VICTIMS):
            name = next(numbers)
            rare = possible_causes.part_fingerprint("model", f"{name:08x}")
            request = causes(name, FIRST, rare)
            entry.crashes.add_suspect(
                crash_id, request.content, begun=False, now_ms=now_ms
            )
            entry.crashes.add_part_suspects(crash_id, request, now_ms)
        crash(fleet, "entry-3", number)
        serve(fleet, CRASH_MS)
    sent = {
        entry.name: (entry.sent_bytes - before[entry.name]) / STORM_MS * 1_000.0
        for entry in fleet.running()
    }
    assert max(sent.values()) < CONTROL_BYTES_PER_S
