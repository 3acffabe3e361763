"""Entries and agents share what is known of crashing requests."""

from __future__ import annotations

import pytest

from marlramp import ids
from marlramp.core import crash_ledger
from marlramp.direct.fleet import crash_sync
from marlramp.protocol import fleet_messages
from tests.direct.fleet import virtual_fleet

CULPRIT = ids.Fingerprint("culprit")
ENTRIES = 3
AGENTS = 9
SEEDS = range(20)

SEEDS_OF_FAILURES = [1148, 2067]
"""Those of 3,000 at which entries knew one of three crashes while they asked
one agent a second."""

JOIN_MS = 690.0
"""Agents join an entry over this long."""

JOINED_BEFORE = 5
"""Agents that have joined when the third crash comes."""

AWAKE_MS = 2_600.0
AWAY_MS = 400.0
START_MS = 500.0
"""Entries end this long after the last agent joined, all are away this long,
and start this long one after the other."""

LEARNT_MS = 1_000.0
"""An agent that joins knows what entries do this long after it."""

BOUND_MS = 3_000.0
"""Entries that start anew know what agents do this long after it."""

CONTROL_BYTES_PER_S = 10_000.0
"""What a daemon may send of control."""

SUSPECTS = 8
"""Requests under way at each crash of a full ledger."""

CELLS = [(16, 28), (3, 60)]
"""Entries and agents: of a cell at the letter's size (630 before 1,100 VMs),
and of one with many agents."""


def crash(
    fleet: virtual_fleet.VirtualFleet, name: str, number: int
) -> crash_ledger.Crash:
    """Has one entry notice a crash under the culprit."""
    crash_id = crash_ledger.crash_id(f"i-{number}", 1)
    fleet.entries[name].crashes.add_suspect(
        crash_id, CULPRIT, begun=False, now_ms=fleet.time.now_ms()
    )
    return crash_ledger.Crash(
        crash_id, 0.0, [crash_ledger.Suspect(CULPRIT, begun=False)]
    )


def tell_agent(
    fleet: virtual_fleet.VirtualFleet, number: int, told: crash_ledger.Crash
) -> None:
    """Has an agent hear of a crash as one of those that are told at once."""
    news = fleet_messages.CrashNews(crashes=[told])
    fleet.agents[f"agent-{number}"].on_message("entry-0", news)


def ignorant_entries(fleet: virtual_fleet.VirtualFleet) -> list[str]:
    """Returns the entries that would send the culprit."""
    return [
        entry.name
        for entry in fleet.running()
        if not entry.crashes.is_blocked(CULPRIT)
    ]


def ignorant_agents(fleet: virtual_fleet.VirtualFleet) -> list[str]:
    """Returns the agents that lack what the first entry knows."""
    known = fleet.entries["entry-0"].crash_digest
    return [
        agent.name
        for agent in fleet.agents.values()
        if agent.keeper.digest != known
    ]


def join_agents_around_the_third_crash(
    fleet: virtual_fleet.VirtualFleet,
) -> None:
    """Has two crashes come before any agent joins, and one meanwhile."""
    crash(fleet, "entry-0", 0)
    crash(fleet, "entry-1", 1)
    for number in range(AGENTS):
        fleet.start_agent(number)
        fleet.run(JOIN_MS / AGENTS)
        if number == JOINED_BEFORE - 1:
            third = crash(fleet, "entry-2", 2)
            told = fleet.rng.sample(
                range(JOINED_BEFORE), crash_sync.AGENT_TARGETS
            )
            for each in told:
                tell_agent(fleet, each, third)


@pytest.mark.parametrize("seed", SEEDS)
def test_agents_that_join_after_crashes_know_them_soon(
    start_fleet: virtual_fleet.StartFleet, seed: int
) -> None:
    fleet = start_fleet(ENTRIES, seed=seed)
    join_agents_around_the_third_crash(fleet)
    fleet.run(LEARNT_MS)
    assert ignorant_agents(fleet) == []


@pytest.mark.parametrize("seed", [*SEEDS, *SEEDS_OF_FAILURES])
def test_entries_that_all_ended_know_what_agents_do(
    start_fleet: virtual_fleet.StartFleet, seed: int
) -> None:
    fleet = start_fleet(ENTRIES, seed=seed)
    join_agents_around_the_third_crash(fleet)
    fleet.run(AWAKE_MS)
    for number in range(ENTRIES):
        fleet.stop(f"entry-{number}")
    fleet.run(AWAY_MS)
    for number in range(ENTRIES):
        fleet.run(START_MS)
        fleet.start(number, incarnation=2_000)
    fleet.run(BOUND_MS)
    assert ignorant_entries(fleet) == []


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_that_all_ended_find_the_one_agent_that_knows(
    start_fleet: virtual_fleet.StartFleet, seed: int
) -> None:
    fleet = start_fleet(ENTRIES, seed=seed)
    for number in range(AGENTS):
        fleet.start_agent(number)
    told = [
        crash_ledger.Crash(
            crash_ledger.crash_id(f"i-{number}", 1),
            0.0,
            [crash_ledger.Suspect(CULPRIT, begun=False)],
        )
        for number in range(3)
    ]
    # Eight agents know one crash or none, as those that joined late did.
    for number in range(AGENTS // 2):
        tell_agent(fleet, number, told[2])
    for each in told:
        tell_agent(fleet, AGENTS - 1, each)
    fleet.run(BOUND_MS)
    assert ignorant_entries(fleet) == []


def _full_ledger(prefix: str) -> list[crash_ledger.Crash]:
    """Returns as many crashes as a ledger may hold."""
    return [
        crash_ledger.Crash(
            crash_ledger.crash_id(f"{prefix}-{number}", 1),
            0.0,
            [
                crash_ledger.Suspect(
                    ids.Fingerprint(f"{number:08x}{n:08x}"), begun=False
                )
                for n in range(SUSPECTS)
            ],
        )
        for number in range(crash_ledger.CRASHES_MAX)
    ]


def fill_entries(fleet: virtual_fleet.VirtualFleet) -> None:
    """Has all entries hold as many crashes as they may, the same ones."""
    for told in _full_ledger("x"):
        for entry in fleet.running():
            entry.crashes.ledger.merge(told, fleet.time.now_ms())


def _most_sent_per_s(
    processes: list[virtual_fleet.Process],
    fleet: virtual_fleet.VirtualFleet,
    ms: float,
) -> float:
    """Returns what the one that sends most does in the mean."""
    before = [each.sent_bytes for each in processes]
    fleet.run(ms)
    sent = [each.sent_bytes for each in processes]
    most = max(b - a for a, b in zip(before, sent, strict=True))
    return most / ms * 1_000.0


@pytest.mark.parametrize(("entries", "agents"), CELLS)
def test_start_of_all_agents_beside_full_ledgers_costs_little(
    start_fleet: virtual_fleet.StartFleet, entries: int, agents: int
) -> None:
    fleet = start_fleet(entries, regions=1)
    fill_entries(fleet)
    for number in range(agents):
        fleet.start_agent(number)
    processes = [*fleet.running(), *fleet.agents.values()]
    sent = _most_sent_per_s(processes, fleet, 10_000.0)
    assert sent < CONTROL_BYTES_PER_S


@pytest.mark.parametrize(("entries", "agents"), CELLS)
def test_full_ledgers_of_agents_that_differ_cost_little(
    start_fleet: virtual_fleet.StartFleet, entries: int, agents: int
) -> None:
    fleet = start_fleet(entries, regions=1)
    for number in range(agents):
        fleet.start_agent(number)
    fill_entries(fleet)
    for agent in fleet.agents.values():
        news = fleet_messages.CrashNews(crashes=_full_ledger(agent.name))
        agent.on_message("entry-0", news)
    processes = [*fleet.running(), *fleet.agents.values()]
    fleet.run(10_000.0)
    sent = _most_sent_per_s(processes, fleet, 20_000.0)
    assert sent < CONTROL_BYTES_PER_S
