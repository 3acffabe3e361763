"""Entries and agents synchronise their crash ledgers."""

from __future__ import annotations

import pytest

from marlramp import ids
from marlramp.core.crashes import crash_ledger
from marlramp.core.crashes import crash_reports
from marlramp.direct.fleet import crash_sync
from marlramp.protocol import fleet_messages
from tests.direct.fleet import virtual_fleet

CULPRIT = ids.Fingerprint("culprit")
ENTRIES = 3
AGENTS = 9
SEEDS = range(20)

SEEDS_OF_FAILURES = [1148, 2067]
"""Seeds, of 3,000, with which entries knew one of three crashes while they sent
requests to one agent per second."""

JOIN_MS = 690.0
"""Period in which the agents join."""

JOINED_BEFORE = 5
"""Number of agents that have joined when the third crash happens."""

RUNNING_MS = 2_600.0
DOWN_MS = 400.0
START_MS = 500.0
"""Time from the last agent's joining to the end of all entries, time for which
no entry runs, and time between the starts of two entries."""

LEARNT_MS = 1_000.0
"""Time in which an agent that joins learns what entries know."""

BOUND_MS = 3_000.0
"""Time in which entries that restart learn what agents know."""

CONTROL_BYTES_PER_S = 10_000.0
"""Limit of the control traffic that one daemon sends."""

SUSPECTS = 8
"""Requests in flight at each crash of a full ledger."""

CELLS = [(16, 28), (3, 60)]
"""Numbers of entries and agents: of a cell at the size that the users state
(630 entries for 1,100 VMs), and of a cell with many agents."""


def crash(
    fleet: virtual_fleet.VirtualFleet, name: str, number: int
) -> crash_reports.Crash:
    """Records at one entry a crash with the culprit in flight."""
    crash_id = crash_reports.crash_id(f"i-{number}", 1)
    fleet.entries[name].crashes.add_suspect(
        crash_id, CULPRIT, begun=False, now_ms=fleet.time.now_ms()
    )
    return crash_reports.Crash(
        crash_id, 0.0, [crash_reports.Suspect(CULPRIT, begun=False)]
    )


def notify_agent(
    fleet: virtual_fleet.VirtualFleet,
    number: int,
    reported: crash_reports.Crash,
) -> None:
    """Sends an agent a crash, as it is sent to some agents at once."""
    message = fleet_messages.CrashNews(crashes=[reported])
    fleet.agents[f"agent-{number}"].on_message("entry-0", message)


def entries_without_block(fleet: virtual_fleet.VirtualFleet) -> list[str]:
    """Returns the entries that do not block the culprit."""
    return [
        entry.name
        for entry in fleet.running()
        if not entry.crashes.is_blocked(CULPRIT)
    ]


def agents_that_differ(fleet: virtual_fleet.VirtualFleet) -> list[str]:
    """Returns the agents whose ledger differs from the first entry's."""
    known = fleet.entries["entry-0"].crash_digest
    return [
        agent.name
        for agent in fleet.agents.values()
        if agent.crash_backup.digest != known
    ]


def join_agents_around_the_third_crash(
    fleet: virtual_fleet.VirtualFleet,
) -> None:
    """Records two crashes before any agent joins, and one in between."""
    crash(fleet, "entry-0", 0)
    crash(fleet, "entry-1", 1)
    for number in range(AGENTS):
        fleet.start_agent(number)
        fleet.run(JOIN_MS / AGENTS)
        if number == JOINED_BEFORE - 1:
            third = crash(fleet, "entry-2", 2)
            reported = fleet.rng.sample(
                range(JOINED_BEFORE), crash_sync.AGENT_TARGETS
            )
            for each in reported:
                notify_agent(fleet, each, third)


@pytest.mark.parametrize("seed", SEEDS)
def test_agents_that_join_after_crashes_learn_them(
    start_fleet: virtual_fleet.StartFleet, seed: int
) -> None:
    fleet = start_fleet(ENTRIES, seed=seed)
    join_agents_around_the_third_crash(fleet)
    fleet.run(LEARNT_MS)
    assert agents_that_differ(fleet) == []


@pytest.mark.parametrize("seed", [*SEEDS, *SEEDS_OF_FAILURES])
def test_entries_that_all_restart_recover_crashes_from_agents(
    start_fleet: virtual_fleet.StartFleet, seed: int
) -> None:
    fleet = start_fleet(ENTRIES, seed=seed)
    join_agents_around_the_third_crash(fleet)
    fleet.run(RUNNING_MS)
    for number in range(ENTRIES):
        fleet.stop(f"entry-{number}")
    fleet.run(DOWN_MS)
    for number in range(ENTRIES):
        fleet.run(START_MS)
        fleet.start(number, incarnation=2_000)
    fleet.run(BOUND_MS)
    assert entries_without_block(fleet) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_that_all_restart_find_the_only_agent_that_knows(
    start_fleet: virtual_fleet.StartFleet, seed: int
) -> None:
    fleet = start_fleet(ENTRIES, seed=seed)
    for number in range(AGENTS):
        fleet.start_agent(number)
    reported = [
        crash_reports.Crash(
            crash_reports.crash_id(f"i-{number}", 1),
            0.0,
            [crash_reports.Suspect(CULPRIT, begun=False)],
        )
        for number in range(3)
    ]
    # Eight agents know one crash or none, like agents that joined late.
    for number in range(AGENTS // 2):
        notify_agent(fleet, number, reported[2])
    for each in reported:
        notify_agent(fleet, AGENTS - 1, each)
    fleet.run(BOUND_MS)
    assert entries_without_block(fleet) == []


def _suspects(number: int, parts: int) -> list[crash_reports.Suspect]:
    """Returns the suspects of a crash, and parts of their prompts."""
    requests = [f"{number:08x}{n:08x}" for n in range(SUSPECTS)]
    found = [
        crash_reports.Suspect(ids.Fingerprint(request), begun=False)
        for request in requests
    ]
    for n in range(parts):
        carrier = requests[n % SUSPECTS][-crash_reports.CARRIER_DIGITS :]
        part = ids.Fingerprint(f"model/{number:06x}{n:02x}")
        suspect = crash_reports.Suspect(
            part, begun=False, carrier=carrier, position=1
        )
        found.append(suspect)
    return found


def _full_ledger(prefix: str, parts: int = 0) -> list[crash_reports.Crash]:
    """Returns as many crashes as a ledger may hold."""
    return [
        crash_reports.Crash(
            crash_reports.crash_id(f"{prefix}-{number}", 1),
            0.0,
            _suspects(number, parts),
        )
        for number in range(crash_ledger.CRASHES_MAX)
    ]


def fill_entries(fleet: virtual_fleet.VirtualFleet, parts: int = 0) -> None:
    """Fills the ledgers of all entries with identical crashes."""
    for reported in _full_ledger("x", parts):
        for entry in fleet.running():
            entry.crashes.ledger.merge(reported, fleet.time.now_ms())


def _most_sent_per_s(
    processes: list[virtual_fleet.Process],
    fleet: virtual_fleet.VirtualFleet,
    ms: float,
) -> float:
    """Returns the mean bytes per second of the process that sends most."""
    before = [each.sent_bytes for each in processes]
    fleet.run(ms)
    sent = [each.sent_bytes for each in processes]
    most = max(b - a for a, b in zip(before, sent, strict=True))
    return most / ms * 1_000.0


@pytest.mark.parametrize("parts", [0, SUSPECTS])
@pytest.mark.parametrize(("entries", "agents"), CELLS)
def test_start_of_all_agents_with_full_ledgers_limits_traffic(
    start_fleet: virtual_fleet.StartFleet,
    entries: int,
    agents: int,
    parts: int,
) -> None:
    fleet = start_fleet(entries, regions=1)
    fill_entries(fleet, parts)
    for number in range(agents):
        fleet.start_agent(number)
    processes = [*fleet.running(), *fleet.agents.values()]
    sent = _most_sent_per_s(processes, fleet, 10_000.0)
    assert sent < CONTROL_BYTES_PER_S


@pytest.mark.parametrize("parts", [0, SUSPECTS])
@pytest.mark.parametrize(("entries", "agents"), CELLS)
def test_different_full_ledgers_of_agents_limit_traffic(
    start_fleet: virtual_fleet.StartFleet,
    entries: int,
    agents: int,
    parts: int,
) -> None:
    fleet = start_fleet(entries, regions=1)
    for number in range(agents):
        fleet.start_agent(number)
    fill_entries(fleet, parts)
    for agent in fleet.agents.values():
        crashes = _full_ledger(agent.name, parts)
        message = fleet_messages.CrashNews(crashes=crashes)
        agent.on_message("entry-0", message)
    processes = [*fleet.running(), *fleet.agents.values()]
    fleet.run(10_000.0)
    sent = _most_sent_per_s(processes, fleet, 20_000.0)
    assert sent < CONTROL_BYTES_PER_S
