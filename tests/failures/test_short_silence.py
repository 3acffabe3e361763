"""Processes that fall silent for about a second lose no request."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import pytest

from standins import direct_documents
from standins import direct_fleet
from standins import fault_proxy
from tests.failures import test_direct_path

SILENCE_S = 1.3
CALLS = 30
AGENTS = ["agent-0", "agent-1", "agent-2"]
ENTRIES = ["entry-0", "entry-1"]
ENGINES = ["engine-0", "engine-1", "engine-2"]
STORE = ["store:entry-0", "store:entry-1"]


def fall_silent(fleet: direct_fleet.Fleet, name: str, *, silent: bool) -> None:
    """Stops or continues a daemon, or what passes through a proxy."""
    if name in fleet.processes:
        number = signal.SIGSTOP if silent else signal.SIGCONT
        fleet.processes[name].send_signal(number)
        return
    cut, none = fault_proxy.Fault.CUT, fault_proxy.Fault.NONE
    fleet.proxies[name].set_fault(cut if silent else none)


@pytest.mark.parametrize(
    "silent",
    [
        ENTRIES[1:],
        AGENTS,
        ENGINES[:1],
        ENGINES,
        STORE,
        [*ENTRIES, *AGENTS],
        [*ENTRIES, *AGENTS, *ENGINES, *STORE],
    ],
    ids=" ".join,
)
def test_requests_are_served_though_processes_are_silent_for_a_second(
    tmp_path: pathlib.Path, silent: list[str]
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        host = fleet.entry_hosts[0]
        await test_direct_path.wait_until_served(fleet, host)
        target = {"model_name": direct_documents.MODEL, "version": 2}
        fleet.store.put(f"op/version/{direct_documents.MODEL}", target)
        calls = []
        for number in range(CALLS):
            if number == 5:
                for name in silent:
                    fall_silent(fleet, name, silent=True)
            if number == 5 + 10 * SILENCE_S:
                for name in silent:
                    fall_silent(fleet, name, silent=False)
            call = fleet.stream(host, f"id-{number}")
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(0.1)
        answers = await asyncio.gather(*calls)
        lost = [
            (number, answer[:200])
            for number, answer in enumerate(answers)
            if not test_direct_path.is_complete(answer)
        ]
        assert not lost
        await test_direct_path.wait_for_weights(fleet, 2)
        assert all(engine.mixed == 0 for engine in fleet.engines)
        for name in ENTRIES:
            assert "event=member_down" not in fleet.log(name)

    async def main() -> None:
        fleet = direct_fleet.Fleet(tmp_path, 2, 3, group=9, proxied=True)
        async with asyncio.timeout(60), fleet:
            await scenario(fleet)

    asyncio.run(main())
