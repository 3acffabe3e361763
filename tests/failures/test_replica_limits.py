"""Replicas that name a limit for all entries, before real daemons."""

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
"""Least part of a limit that is used while there are more requests."""

WARM_UP_S = 1.5
NEED_S = 12.0


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> direct_runs.RunFleet:
    """Runs a test with several entries, engines and plain replicas."""
    return direct_runs.runner(tmp_path, ENTRIES, ENGINES, DESKS, group=47)


def name_limit(replicas: crowds.Replicas, limit: str) -> None:
    for replica in replicas:
        replica.need.name(limit)


def assert_kept(
    replicas: crowds.Replicas, limit_per_s: float, excused: Sequence[str] = ()
) -> None:
    for replica in replicas:
        most = replica.need.most_in_window(excused)
        allowed = named_limit.allowed_in_window(limit_per_s)
        assert most <= allowed, replica.replica_id


def used_share(
    replica: direct_replicas.Engine | direct_replicas.PlainReplica,
    limit_per_s: float,
    seconds: float,
) -> float:
    """Returns the part of a limit that was used while it counted."""
    since_s = replica.need.since_s + named_limit.CONTACT_S
    return replica.need.used(since_s, seconds) / (limit_per_s * seconds)


@pytest.mark.parametrize("pick", [crowds.on_desks, crowds.on_engines])
def test_limit_of_some_replicas_holds_over_all_entries(
    run_fleet: direct_runs.RunFleet,
    pick: crowds.Pick,
) -> None:
    async def use(fleet: direct_fleet.Fleet) -> None:
        path, replicas = pick(fleet)
        crowd = crowds.Crowd(fleet, path, per_s=30.0)
        await crowd.send_for(range(ENTRIES), WARM_UP_S)
        name_limit(replicas[:2], "1.6")
        await crowd.send_for(range(ENTRIES), NEED_S)
        assert_kept(replicas[:2], 1.6)
        assert crowd.served_share() == 1.0

    run_fleet(use)


@pytest.mark.parametrize("pick", [crowds.on_desks, crowds.on_engines])
def test_limit_of_all_replicas_is_kept_and_used(
    run_fleet: direct_runs.RunFleet,
    pick: crowds.Pick,
) -> None:
    async def use(fleet: direct_fleet.Fleet) -> None:
        path, replicas = pick(fleet)
        crowd = crowds.Crowd(fleet, path, per_s=30.0)
        await crowd.send_for(range(ENTRIES), WARM_UP_S)
        name_limit(replicas, "2")
        await crowd.send_for(range(ENTRIES), NEED_S)
        assert_kept(replicas, 2.0)
        for replica in replicas:
            assert used_share(replica, 2.0, 8.0) >= USED_SHARE_MIN

    run_fleet(use)


def test_limit_holds_while_entries_end_and_are_suspended(
    run_fleet: direct_runs.RunFleet,
) -> None:
    async def use(fleet: direct_fleet.Fleet) -> None:
        crowd = crowds.Crowd(fleet, "/stock/x", per_s=30.0)
        await crowd.send_for(range(ENTRIES), WARM_UP_S)
        name_limit(fleet.desks, "1")
        await crowd.send_for(range(ENTRIES), 4.0)
        fleet.processes["entry-0"].kill()
        await fleet.processes["entry-0"].wait()
        await crowd.send_for([1, 2], 3.0)
        await fleet.start_entry(0)
        fleet.processes["entry-1"].send_signal(signal.SIGSTOP)
        await crowd.send_for([2], 3.0)
        fleet.processes["entry-1"].send_signal(signal.SIGCONT)
        await crowd.send_for([2], 4.0)
        assert_kept(fleet.desks, 1.0, excused=["entry-0", "entry-1"])

    run_fleet(use)


def test_operator_sees_the_replicas_that_name_a_limit(
    run_fleet: direct_runs.RunFleet, capsys: pytest.CaptureFixture[str]
) -> None:
    async def use(fleet: direct_fleet.Fleet) -> None:
        crowd = crowds.Crowd(fleet, "/stock/x", per_s=30.0)
        name_limit(fleet.desks[:1], "1.5")
        await crowd.send_for(range(ENTRIES), WARM_UP_S)
        url = f"http://{fleet.entry_hosts[0]}:9464"
        await asyncio.to_thread(limited.limited, url, json=True)
        (row,) = msgspec.json.decode(capsys.readouterr().out)
        assert row["replica"] == "d-0"
        assert row["limit_per_s"] == 1.5
        assert set(row["reserved_by"]) < {"entry-0", "entry-1", "entry-2"}
        await asyncio.to_thread(limited.limited, url)
        assert "d-0" in capsys.readouterr().out
        assert "replica_limit_named replica=d-0" in fleet.log("entry-0")
        name_limit(fleet.desks[:1], "")
        await crowd.send_for(range(ENTRIES), 2 * WARM_UP_S)
        assert "replica_limit_ended replica=d-0" in fleet.log("entry-0")
        code = await asyncio.to_thread(limited.limited, "10.0.0.1")
        assert code == exit_codes.ExitCode.USAGE

    run_fleet(use)


@pytest.mark.parametrize("value", ["-1", "nan", "inf", "none", "1e999"])
def test_limit_that_is_no_rate_loses_nothing(
    run_fleet: direct_runs.RunFleet, value: str
) -> None:
    async def use(fleet: direct_fleet.Fleet) -> None:
        crowd = crowds.Crowd(fleet, "/stock/x", per_s=30.0)
        name_limit(fleet.desks, value)
        await crowd.send_for(range(ENTRIES), 2 * WARM_UP_S)
        assert crowd.served_share() == 1.0
        lines = fleet.log("entry-0").count("replica_limit_unreadable")
        assert 0 < lines <= len(fleet.desks)

    run_fleet(use)
