"""Real daemons beside an engine that takes corrupt pieces of weights."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import pytest

from standins import direct_documents
from standins import direct_fleet
from standins import direct_replicas
from tests.failures import direct_runs
from tests.failures import test_direct_path

ENTRIES = 2
ENGINES = 3
NEW_VERSION = 2
SUSPENSION_S = 4.0
CORRUPT_AGE_S = 4.0
CALL_EVERY_S = 0.03
LOADED_S_MAX = 40.0


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> direct_runs.RunFleet:
    return direct_runs.runner(tmp_path, ENTRIES, ENGINES, 0, group=90)


def take_corrupt_pieces(
    fleet: direct_fleet.Fleet, number: int
) -> asyncio.Event:
    """Lets an engine take corrupt pieces while its agent is suspended.

    Returns:
      An event that is set once the agent goes on.
    """
    engine = fleet.engines[number]
    agent = fleet.processes[f"agent-{number}"]
    resumed = asyncio.Event()
    tasks: list[asyncio.Task[None]] = []

    async def resume() -> None:
        await asyncio.sleep(SUSPENSION_S)
        agent.send_signal(signal.SIGCONT)
        resumed.set()

    async def before_order() -> None:
        engine.before_order = None
        agent.send_signal(signal.SIGSTOP)
        engine.rot(3, CORRUPT_AGE_S)
        tasks.append(asyncio.create_task(resume()))

    engine.before_order = before_order
    return resumed


async def call_until(fleet: direct_fleet.Fleet, done: asyncio.Event) -> None:
    calls: list[asyncio.Task[bytes]] = []
    while not done.is_set():
        host = fleet.entry_hosts[len(calls) % ENTRIES]
        name = f"a-{len(calls)}"
        calls.append(asyncio.create_task(fleet.stream(host, name)))
        await asyncio.sleep(CALL_EVERY_S)
    await asyncio.gather(*calls)


async def wait_until_whole(engine: direct_replicas.Engine) -> None:
    async with asyncio.timeout(LOADED_S_MAX):
        while engine.weights != NEW_VERSION or engine.spoilt:
            await asyncio.sleep(0.02)


def test_no_request_runs_on_pieces_that_an_engine_took_corrupt(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against entries that believe the list of replicas."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        await test_direct_path.wait_until_served(fleet, fleet.entry_hosts[0])
        resumed = take_corrupt_pieces(fleet, 1)
        target = {"model_name": direct_documents.MODEL, "version": NEW_VERSION}
        fleet.store.put(f"op/version/{direct_documents.MODEL}", target)
        done = asyncio.Event()
        calling = asyncio.create_task(call_until(fleet, done))
        await resumed.wait()
        for engine in fleet.engines:
            await wait_until_whole(engine)
        await asyncio.sleep(1.0)
        done.set()
        await calling
        assert fleet.engines[1].mixed == 1
        assert [e.runs_on_spoilt for e in fleet.engines] == [[], [], []]
        log = fleet.log("agent-1")
        assert log.index("load_spoilt") < log.index("load_verified")

    run_fleet(scenario)
