"""Replicas that announce a rate limit over all entries, with real daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import pathlib
import signal

import msgspec
import pytest

from marlramp.console import exit_codes
from marlramp.console.commands import limited
from standins import direct_fleet
from standins import direct_replicas
from standins import named_limit
from tests.failures import crowds
from tests.failures import direct_runs

ENTRIES = 3
ENGINES = 4
DESKS = 8
USED_SHARE_MIN = 0.7
"""Minimum share of a limit that is used while demand exceeds it."""

WARM_UP_S = 1.5
LIMITED_S = 12.0


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> direct_runs.RunFleet:
    """Runs a scenario with several entries, engines and plain replicas."""
    return direct_runs.runner(tmp_path, ENTRIES, ENGINES, DESKS, group=47)


def announce_limit(replicas: crowds.Replicas, limit: str) -> None:
    for replica in replicas:
        replica.need.name(limit)


def assert_limit_kept(
    replicas: crowds.Replicas,
    limit_per_s: float,
    uncounted_entries: Sequence[str] = (),
) -> None:
    for replica in replicas:
        most = replica.need.most_in_window(uncounted_entries)
        allowed = named_limit.allowed_in_window(limit_per_s)
        assert most <= allowed, replica.replica_id


def used_share(
    replica: direct_replicas.Engine | direct_replicas.PlainReplica,
    limit_per_s: float,
    seconds: float,
) -> float:
    """Returns the share of a limit that was used after `CONTACT_S`.

    This is the grace period after a replica first announces a limit.
    """
    since_s = replica.need.since_s + named_limit.CONTACT_S
    return replica.need.used(since_s, seconds) / (limit_per_s * seconds)


@pytest.mark.parametrize("pick", [crowds.on_desks, crowds.on_engines])
def test_limit_of_some_replicas_holds_over_all_entries(
    run_fleet: direct_runs.RunFleet,
    pick: crowds.Pick,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        path, replicas = pick(fleet)
        load = crowds.RequestLoad(fleet, path, per_s=30.0)
        await load.send_for(range(ENTRIES), WARM_UP_S)
        announce_limit(replicas[:2], "1.6")
        await load.send_for(range(ENTRIES), LIMITED_S)
        assert_limit_kept(replicas[:2], 1.6)
        assert load.served_share() == 1.0

    run_fleet(scenario)


@pytest.mark.parametrize("pick", [crowds.on_desks, crowds.on_engines])
def test_limit_of_all_replicas_is_kept_and_used(
    run_fleet: direct_runs.RunFleet,
    pick: crowds.Pick,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        path, replicas = pick(fleet)
        load = crowds.RequestLoad(fleet, path, per_s=30.0)
        await load.send_for(range(ENTRIES), WARM_UP_S)
        announce_limit(replicas, "2")
        await load.send_for(range(ENTRIES), LIMITED_S)
        assert_limit_kept(replicas, 2.0)
        for replica in replicas:
            assert used_share(replica, 2.0, 8.0) >= USED_SHARE_MIN

    run_fleet(scenario)


def test_limit_holds_while_entries_end_and_are_suspended(
    run_fleet: direct_runs.RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = crowds.RequestLoad(fleet, "/stock/x", per_s=30.0)
        await load.send_for(range(ENTRIES), WARM_UP_S)
        announce_limit(fleet.desks, "1")
        await load.send_for(range(ENTRIES), 4.0)
        fleet.processes["entry-0"].kill()
        await fleet.processes["entry-0"].wait()
        await load.send_for([1, 2], 3.0)
        await fleet.start_entry(0)
        fleet.processes["entry-1"].send_signal(signal.SIGSTOP)
        await load.send_for([2], 3.0)
        fleet.processes["entry-1"].send_signal(signal.SIGCONT)
        await load.send_for([2], 4.0)
        # Only requests of the entry that ran all the time are counted.
        assert_limit_kept(
            fleet.desks, 1.0, uncounted_entries=["entry-0", "entry-1"]
        )

    run_fleet(scenario)


def test_operator_sees_the_replicas_that_announce_a_limit(
    run_fleet: direct_runs.RunFleet, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = crowds.RequestLoad(fleet, "/stock/x", per_s=30.0)
        announce_limit(fleet.desks[:1], "1.5")
        await load.send_for(range(ENTRIES), WARM_UP_S)
        url = f"http://{fleet.entry_hosts[0]}:9464"
        await asyncio.to_thread(limited.limited, url, json=True)
        (row,) = msgspec.json.decode(capsys.readouterr().out)
        assert row["replica"] == "d-0"
        assert row["limit_per_s"] == 1.5
        # Two entries reserve sends at a replica, never all three.
        assert set(row["reserved_by"]) < {"entry-0", "entry-1", "entry-2"}
        await asyncio.to_thread(limited.limited, url)
        assert "d-0" in capsys.readouterr().out
        assert "replica_limit_named replica=d-0" in fleet.log("entry-0")
        announce_limit(fleet.desks[:1], "")
        await load.send_for(range(ENTRIES), 2 * WARM_UP_S)
        assert "replica_limit_ended replica=d-0" in fleet.log("entry-0")
        code = await asyncio.to_thread(limited.limited, "10.0.0.1")
        assert code == exit_codes.ExitCode.USAGE

    run_fleet(scenario)


@pytest.mark.parametrize("value", ["-1", "nan", "inf", "none", "1e999"])
def test_invalid_limit_fails_no_request(
    run_fleet: direct_runs.RunFleet, value: str
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = crowds.RequestLoad(fleet, "/stock/x", per_s=30.0)
        announce_limit(fleet.desks, value)
        await load.send_for(range(ENTRIES), 2 * WARM_UP_S)
        assert load.served_share() == 1.0
        lines = fleet.log("entry-0").count("replica_limit_unreadable")
        assert 0 < lines <= len(fleet.desks)

    run_fleet(scenario)
