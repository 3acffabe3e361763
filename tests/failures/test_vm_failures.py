"""Calls while a VM is killed or suspended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import signal

from tests.failures import conftest


def test_killed_vm_costs_no_idempotent_call(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    """Guards against idempotent calls that fail with the VM they run on."""

    async def scenario(b: conftest.Bench) -> None:
        await b.start(replicas=4, plain=0)
        live = b.live(rate_per_s=30.0)
        live.start()
        await asyncio.sleep(0.7)
        b.fleet.agents["vm-0"].kill()
        await asyncio.sleep(2.0)
        results = await live.stop()
        assert len(results) > 30
        assert [r for r in results if not r.whole] == []
        for process in b.fleet.entries.values():
            assert process.running

    bench(scenario)


def test_stream_resumes_on_the_same_version(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(replicas=2, plain=0, engine={"token_ms": 40})
        calls = [asyncio.create_task(b.complete(tokens=60)) for _ in range(8)]
        await asyncio.sleep(1.0)
        b.fleet.agents["vm-1"].kill()
        results = await asyncio.gather(*calls)
        assert all(result.whole and not result.mixed for result in results)
        assert (
            await b.counter("entry-0", "marlramp_retries", "upstream_lost") > 0
        )

    bench(scenario)


def test_suspended_vm_gets_no_calls_and_resumes_without_failures(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(replicas=3, plain=0)
        live = b.live(rate_per_s=20.0)
        live.start()
        await asyncio.sleep(0.5)
        b.fleet.agents["vm-0"].send_signal(signal.SIGSTOP)
        await asyncio.sleep(7.0)
        vms = await b.vms()
        assert vms["vm-0"]["state"] == ""
        b.fleet.agents["vm-0"].send_signal(signal.SIGCONT)
        await asyncio.sleep(1.5)
        results = await live.stop()
        assert [r for r in results if not r.whole] == []
        assert not any(r.mixed for r in results)

    bench(scenario)


def test_agent_that_is_silent_for_a_second_keeps_its_calls(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    """No other replica could take them."""

    async def scenario(b: conftest.Bench) -> None:
        await b.start(replicas=1, plain=0, engine={"token_ms": 50})
        calls = [asyncio.create_task(b.complete(tokens=60)) for _ in range(4)]
        for _ in range(2):
            await asyncio.sleep(0.4)
            b.fleet.agents["vm-0"].send_signal(signal.SIGSTOP)
            later = [b.complete(tokens=5) for _ in range(2)]
            calls += [asyncio.create_task(call) for call in later]
            await asyncio.sleep(1.2)
            b.fleet.agents["vm-0"].send_signal(signal.SIGCONT)
        results = await asyncio.gather(*calls)
        assert [r.kind for r in results if not r.whole] == []
        for reason in ("upstream_lost", "version_not_ready", "grant_void"):
            assert not await b.counter("entry-0", "marlramp_retries", reason)

    bench(scenario)
