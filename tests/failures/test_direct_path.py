"""Direct path: real daemons against the stand-in of the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import signal
import socket
from typing import TypeAlias

import pytest

from standins import direct_documents
from standins import direct_fleet
from standins import direct_replicas

Scenario: TypeAlias = Callable[[direct_fleet.Fleet], Awaitable[None]]
RunFleet: TypeAlias = Callable[[Scenario], None]


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> RunFleet:
    """Runs a scenario with two entries and three engines."""

    def run(scenario: Scenario) -> None:
        async def main() -> None:
            fleet = direct_fleet.Fleet(tmp_path, 2, 3, group=7)
            async with asyncio.timeout(60), fleet:
                await scenario(fleet)

        asyncio.run(main())

    return run


def is_complete(answer: bytes) -> bool:
    """Returns whether a response is a stream with each event exactly once."""
    numbers = [
        int(line[4:]) for line in answer.split(b"\n") if line[:4] == b"id: "
    ]
    expected = list(range(1, direct_replicas.EVENTS + 1))
    return numbers == expected and answer.endswith(b"0\r\n\r\n")


async def wait_until_served(fleet: direct_fleet.Fleet, host: str) -> None:
    async with asyncio.timeout(15):
        while not is_complete(await fleet.stream(host, "warm-up")):
            await asyncio.sleep(0.1)


async def wait_for_weights(fleet: direct_fleet.Fleet, version: int) -> None:
    async with asyncio.timeout(20):
        while any(engine.weights != version for engine in fleet.engines):
            await asyncio.sleep(0.05)


def test_new_weights_are_loaded_whole_under_live_requests(
    run_fleet: RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        host = fleet.entry_hosts[0]
        await wait_until_served(fleet, host)
        fleet.engines[1].rot(3)
        target = {"model_name": direct_documents.MODEL, "version": 2}
        fleet.store.put(f"op/version/{direct_documents.MODEL}", target)
        loaded = asyncio.create_task(wait_for_weights(fleet, 2))
        number = 0
        while not loaded.done():
            number += 1
            assert is_complete(await fleet.stream(host, f"id-{number}"))
        await loaded
        assert is_complete(await fleet.stream(host, "after"))
        assert all(engine.mixed == 0 for engine in fleet.engines)
        assert all(
            count <= 2
            for engine in fleet.engines
            for count in engine.runs.values()
        )

    run_fleet(scenario)


def test_entry_that_is_stopped_cuts_no_stream_and_leaves_the_lookup(
    run_fleet: RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        leaving, staying = fleet.entry_hosts
        await wait_until_served(fleet, leaving)
        running = [
            asyncio.create_task(fleet.stream(leaving, f"id-{n}"))
            for n in range(8)
        ]
        await asyncio.sleep(0.03)
        fleet.processes["entry-0"].send_signal(signal.SIGTERM)
        assert all(
            is_complete(answer) for answer in await asyncio.gather(*running)
        )
        async with asyncio.timeout(3):
            while leaving.encode() in await fleet.lookup(staying):
                await asyncio.sleep(0.05)
        async with asyncio.timeout(8):
            assert await fleet.processes["entry-0"].wait() == 0

    run_fleet(scenario)


def test_fleet_that_was_killed_serves_again_from_store_and_engines(
    run_fleet: RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        host = fleet.entry_hosts[0]
        await wait_until_served(fleet, host)
        for process in fleet.processes.values():
            process.kill()
            await process.wait()
        for number in range(2):
            await fleet.start_entry(number)
        for number in range(3):
            await fleet.start_agent(number)
        async with asyncio.timeout(12):
            await wait_until_served(fleet, host)

    run_fleet(scenario)


def test_configuration_reaches_entries_and_survives_the_store(
    run_fleet: RunFleet,
) -> None:
    """Guards against reverting a configuration during a store outage."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        host = fleet.entry_hosts[1]
        await wait_until_served(fleet, host)
        config = direct_documents.configuration("127.0.0.1:1", version=2)
        config["tenants"] = []
        fleet.store.put("op/config", config)
        async with asyncio.timeout(2):
            while b" 401 " not in await fleet.stream(host, "revoked"):
                await asyncio.sleep(0.02)
        fleet.store.down = True
        await asyncio.sleep(1.5)
        assert b" 401 " in await fleet.stream(host, "still-revoked")

    run_fleet(scenario)


def test_reload_and_broken_settings_leave_the_process_running(
    run_fleet: RunFleet, tmp_path: pathlib.Path
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        host = fleet.entry_hosts[0]
        await wait_until_served(fleet, host)
        file = tmp_path / "entry-0.conf"
        text = file.read_text()
        file.write_text(text.replace("grace_s=8", "grace_s=never"))
        fleet.processes["entry-0"].send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        file.write_text(text.replace("grace_s=8", "grace_s=6"))
        await asyncio.sleep(1.5)
        assert is_complete(await fleet.stream(host, "after"))
        log = fleet.log("entry-0")
        assert "event=settings_refused" in log
        assert "event=settings_reloaded" in log

    run_fleet(scenario)


def test_metrics_count_requests_and_chunks(run_fleet: RunFleet) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        host = fleet.entry_hosts[0]
        await wait_until_served(fleet, host)
        target = {"model_name": direct_documents.MODEL, "version": 2}
        fleet.store.put(f"op/version/{direct_documents.MODEL}", target)
        await wait_for_weights(fleet, 2)
        entry_metrics = await fleet.metrics(host)
        assert b"marlramp_requests_total{" in entry_metrics
        assert b'reason="streaming"' in entry_metrics
        assert b"marlramp_first_event_milliseconds_bucket" in entry_metrics
        agent_metrics = await fleet.metrics(fleet.engines[0].host)
        assert b"marlramp_chunks_received_total" in agent_metrics

    run_fleet(scenario)


def hold_port(host: str, port: int) -> socket.socket:
    held = socket.create_server((host, port))
    held.listen()
    return held


def test_process_whose_ports_are_taken_serves_as_soon_as_they_are_free(
    run_fleet: RunFleet,
) -> None:
    """Guards against a process that ends because one port is in use.

    Any port was enough, even that of the metrics, which serving doesn't need:
    each restart failed with "OSError: [Errno 98] ... address already in use",
    and the other ports of the VM were not served either.
    """

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        host = fleet.entry_hosts[0]
        agent_host = fleet.engines[0].host
        for name in ("entry-0", "agent-0"):
            fleet.processes[name].kill()
            await fleet.processes[name].wait()
        metrics = [hold_port(h, 9_464) for h in (host, agent_host)]
        callers = hold_port(host, direct_fleet.CALLERS_PORT)
        await fleet.start_entry(0)
        await fleet.start_agent(0)
        await asyncio.sleep(1.5)
        callers.close()
        await fleet.wait_ready(host)
        assert is_complete(await fleet.stream(host, "served"))
        assert fleet.processes["entry-0"].returncode is None
        assert fleet.processes["agent-0"].returncode is None
        for held in metrics:
            held.close()
        async with asyncio.timeout(10):
            while b"marlramp_requests" not in await fleet.metrics(host):
                await asyncio.sleep(0.1)

    run_fleet(scenario)


def test_what_one_item_of_the_store_breaks_ends_no_process(
    run_fleet: RunFleet,
) -> None:
    """Guards against an error in one task that ends processes on all VMs.

    All tasks of a process share a task group, and all processes read the same
    store. A replica record whose slot count doesn't fit into a message
    ("OverflowError: can't serialize ints < -2**63 or > 2**64 - 1") ended each
    entry that read it, again after each restart.
    """

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        host = fleet.entry_hosts[0]
        await wait_until_served(fleet, host)
        fleet.store.put(
            "servers/i-other",
            {
                "service": direct_documents.SERVICE,
                "address": "127.21.7.99:8001",
                "zone": "z",
                "slots": 10**30,
                "state": "healthy",
            },
        )
        await asyncio.sleep(1.5)
        for name, process in fleet.processes.items():
            assert process.returncode is None, fleet.log(name)[-2_000:]
        for _ in range(3):
            assert is_complete(await fleet.stream(host, "after"))

    run_fleet(scenario)


def test_engines_that_start_again_under_their_ids_serve_again(
    run_fleet: RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        host = fleet.entry_hosts[0]
        await wait_until_served(fleet, host)
        for staged in (True, False):
            streams = [
                asyncio.create_task(fleet.stream(host, f"{staged}-{n}"))
                for n in range(6)
            ]
            await asyncio.sleep(2.5 * direct_replicas.EVENT_S)
            for engine in fleet.engines:
                engine.restart(engine.replica_id, staged=staged)
            await asyncio.gather(*streams)
            await wait_for_weights(fleet, 1)
            async with asyncio.timeout(4):
                while not is_complete(
                    await fleet.stream(host, f"{staged}-after")
                ):
                    await asyncio.sleep(0.05)
        assert all(engine.mixed == 0 for engine in fleet.engines)
        assert "event=engine_restarted" in fleet.log("agent-0")

    run_fleet(scenario)


def test_settings_file_that_is_still_written_starts_the_process(
    run_fleet: RunFleet, tmp_path: pathlib.Path
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        host = fleet.entry_hosts[0]
        entry = fleet.processes["entry-0"]
        entry.kill()
        await entry.wait()
        file = tmp_path / "entry-0.conf"
        complete_text = file.read_text()
        await fleet.start_entry(0)
        file.write_text(complete_text[: len(complete_text) // 2])
        await asyncio.sleep(0.6)
        file.write_text(complete_text)
        await fleet.wait_ready(host)

    run_fleet(scenario)
