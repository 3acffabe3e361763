"""Replicas that request a pause, reject or leave, with real daemons."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import msgspec
import pytest

from marlramp.console import exit_codes
from marlramp.console.commands import paused
from standins import direct_fleet
from standins import turning_away
from tests.failures import crowds
from tests.failures import direct_runs

ENTRIES = 3
ENGINES = 6
DESKS = 12
RATE_PER_S = 30.0
WARM_UP_S = 1.5
PAUSE_S = 3.0
FAULT_S = 9.0

REFUSED_WITHIN_S = 0.3
"""Time within which a request that no replica can serve is refused."""

RECOVERY_S = 1.5
"""Time within which a replica restarted under its id is used again, and
within which all entries learn that an engine leaves."""

SERVED_SHARE_MIN = 0.95


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> direct_runs.RunFleet:
    """Runs a scenario with several entries, engines and plain replicas."""
    return direct_runs.runner(tmp_path, ENTRIES, ENGINES, DESKS, group=61)


def now_s() -> float:
    return asyncio.get_running_loop().time()


def assert_pauses_kept(replicas: crowds.Replicas, *excused: str) -> None:
    for replica in replicas:
        most = replica.turning_away.most_in_pause(excused)
        assert most <= turning_away.ARRIVALS_MAX, replica.replica_id


def assert_drained(replicas: crowds.Replicas, *excused: str) -> None:
    for replica in replicas:
        assert replica.turning_away.late(excused) == 0, replica.replica_id


@pytest.mark.parametrize("share", [1.0, 0.5])
@pytest.mark.parametrize("pick", [crowds.on_desks, crowds.on_engines])
def test_callers_are_served_while_some_replicas_ask_for_a_pause(
    run_fleet: direct_runs.RunFleet, pick: crowds.Pick, share: float
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        path, replicas = pick(fleet)
        load = crowds.RequestLoad(fleet, path, RATE_PER_S)
        await load.send_for(range(ENTRIES), WARM_UP_S)
        pausing = replicas[: len(replicas) // 3]
        for replica in pausing:
            replica.turning_away.start(f"{PAUSE_S}", share)
        await load.send_for(range(ENTRIES), FAULT_S)
        assert_pauses_kept(pausing)
        assert load.not_served() == []

    run_fleet(scenario)


@pytest.mark.parametrize("pick", [crowds.on_desks, crowds.on_engines])
def test_callers_are_refused_at_once_while_all_replicas_ask_for_a_pause(
    run_fleet: direct_runs.RunFleet, pick: crowds.Pick
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        path, replicas = pick(fleet)
        load = crowds.RequestLoad(fleet, path, RATE_PER_S)
        await load.send_for(range(ENTRIES), WARM_UP_S)
        for replica in replicas:
            replica.turning_away.start(f"{PAUSE_S}")
        start_s = now_s()
        await load.send_for(range(ENTRIES), FAULT_S)
        assert_pauses_kept(replicas)
        refused = load.since(start_s)
        slow = [s for s in refused if s.duration_s >= REFUSED_WITHIN_S]
        assert slow == []
        assert all(b'"ran":"no"' in sent.answer for sent in refused)
        waits_s = [sent.retry_after_s for sent in refused]
        assert None not in waits_s
        assert len(set(waits_s)) > len(waits_s) // 2
        for replica in replicas:
            replica.turning_away.stop()
        await load.send_for(range(ENTRIES), PAUSE_S + 1.0)
        since_s = now_s()
        await load.send_for(range(ENTRIES), WARM_UP_S)
        assert load.not_served(since_s) == []

    run_fleet(scenario)


@pytest.mark.parametrize("status", [503, 429])
@pytest.mark.parametrize("pick", [crowds.on_desks, crowds.on_engines])
def test_callers_are_served_while_some_replicas_reject_requests(
    run_fleet: direct_runs.RunFleet, pick: crowds.Pick, status: int
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        path, replicas = pick(fleet)
        load = crowds.RequestLoad(fleet, path, RATE_PER_S)
        await load.send_for(range(ENTRIES), WARM_UP_S)
        for replica in replicas[: len(replicas) // 3]:
            replica.turning_away.start(status=status)
        await load.send_for(range(ENTRIES), FAULT_S)
        assert load.served_share() >= SERVED_SHARE_MIN

    run_fleet(scenario)


@pytest.mark.parametrize("pick", [crowds.on_desks, crowds.on_engines])
def test_replicas_that_say_they_leave_get_nothing_after_the_drain_time(
    run_fleet: direct_runs.RunFleet, pick: crowds.Pick
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        path, replicas = pick(fleet)
        load = crowds.RequestLoad(fleet, path, RATE_PER_S)
        await load.send_for(range(ENTRIES), WARM_UP_S)
        leaving = replicas[: len(replicas) // 3]
        for replica in leaving:
            replica.turning_away.leaving = True
        await load.send_for(range(ENTRIES), FAULT_S)
        assert_drained(leaving)
        assert load.not_served() == []

    run_fleet(scenario)


def test_agent_tells_all_entries_that_its_engine_leaves(
    run_fleet: direct_runs.RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = crowds.RequestLoad(fleet, "/chat/x", RATE_PER_S)
        await load.send_for(range(ENTRIES), WARM_UP_S)
        leaving = fleet.engines[0].turning_away
        leaving.leaving = True
        await asyncio.sleep(RECOVERY_S)
        start_s = now_s()
        await load.send_for(range(ENTRIES), WARM_UP_S)
        assert leaving.arrivals_since(start_s) == 0
        assert load.not_served() == []
        for number in range(ENTRIES):
            log = fleet.log(f"entry-{number}")
            assert "replica_leaving replica=i-0" in log
        assert "engine_leaving" in fleet.log("agent-0")

    run_fleet(scenario)


def test_operator_sees_the_replicas_that_pause_or_leave(
    run_fleet: direct_runs.RunFleet, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = crowds.RequestLoad(fleet, "/stock/x", RATE_PER_S)
        fleet.desks[0].turning_away.start("8")
        fleet.desks[1].turning_away.leaving = True
        await load.send_for([0], 2 * WARM_UP_S)
        url = f"http://{fleet.entry_hosts[0]}:9464"
        await asyncio.to_thread(paused.paused, url, json=True)
        rows = msgspec.json.decode(capsys.readouterr().out)
        found = {row["replica"]: row for row in rows}
        assert found["d-0"]["state"] == "paused"
        assert 0 < found["d-0"]["opens_in_ms"] < 9_000
        assert found["d-1"]["state"] == "leaving"
        await asyncio.to_thread(paused.paused, url)
        assert "d-0" in capsys.readouterr().out
        log = fleet.log("entry-0")
        assert "replica_pause_asked replica=d-0 status=503 asked_ms=8000" in log
        assert "replica_leaving replica=d-1" in log
        metrics = (await fleet.metrics(fleet.entry_hosts[0])).decode()
        assert "marlramp_replica_pauses" in metrics
        code = await asyncio.to_thread(paused.paused, "10.0.0.1")
        assert code == exit_codes.ExitCode.USAGE

    run_fleet(scenario)


def test_last_replicas_that_leave_serve_until_the_drain_time_is_over(
    run_fleet: direct_runs.RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = crowds.RequestLoad(fleet, "/stock/x", RATE_PER_S)
        await load.send_for(range(ENTRIES), WARM_UP_S)
        for desk in fleet.desks:
            desk.turning_away.leaving = True
        leaves_s = now_s()
        await load.send_for(range(ENTRIES), FAULT_S)
        assert_drained(fleet.desks)
        while_draining = [
            sent
            for sent in load.since(leaves_s)
            if sent.at_s < leaves_s + turning_away.DRAIN_S / 2
        ]
        assert all(sent.served for sent in while_draining)
        refused = [sent for sent in load.sent if not sent.served]
        assert refused
        slow = [s for s in refused if s.duration_s >= REFUSED_WITHIN_S]
        assert slow == []
        for desk in fleet.desks:
            desk.restart()
        await asyncio.sleep(RECOVERY_S)
        back_s = now_s()
        await load.send_for(range(ENTRIES), WARM_UP_S)
        assert load.served_share(back_s) == 1.0

    run_fleet(scenario)


def test_pauses_hold_while_entries_end_and_are_suspended(
    run_fleet: direct_runs.RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = crowds.RequestLoad(fleet, "/stock/x", RATE_PER_S)
        await load.send_for(range(ENTRIES), WARM_UP_S)
        pausing = fleet.desks[: DESKS // 2]
        for desk in pausing:
            desk.turning_away.start(f"{PAUSE_S}", 0.5)
        await load.send_for(range(ENTRIES), 3.0)
        fleet.processes["entry-0"].kill()
        await fleet.processes["entry-0"].wait()
        fleet.processes["entry-1"].send_signal(signal.SIGSTOP)
        await load.send_for([2], 2.0)
        fleet.processes["entry-1"].send_signal(signal.SIGCONT)
        await fleet.start_entry(0)
        await fleet.wait_ready(fleet.entry_hosts[0])
        await load.send_for(range(ENTRIES), 4.0)
        assert_pauses_kept(pausing, "entry-0", "entry-1")

    run_fleet(scenario)


@pytest.mark.parametrize("value", ["-1", "nan", "soon", "1e999", "0"])
def test_pause_that_names_no_time_loses_nothing(
    run_fleet: direct_runs.RunFleet, value: str
) -> None:
    """Guards against losing requests or replicas over an invalid pause."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        load = crowds.RequestLoad(fleet, "/stock/x", RATE_PER_S)
        for desk in fleet.desks[:2]:
            desk.turning_away.start(value, share=0.5)
        await load.send_for(range(ENTRIES), WARM_UP_S)
        assert load.not_served() == []
        for desk in fleet.desks[:2]:
            desk.turning_away.stop()
        await asyncio.sleep(PAUSE_S)
        start_s = now_s()
        await load.send_for(range(ENTRIES), PAUSE_S)
        assert load.served_share(start_s) == 1.0
        for desk in fleet.desks[:2]:
            assert desk.turning_away.arrivals_since(start_s) > 0

    run_fleet(scenario)
