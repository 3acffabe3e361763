"""Rollouts while agents, engines or the origin fail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
import pytest

from tests.failures import conftest


def test_replica_killed_mid_rollout_fetches_from_its_peers(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(replicas=4, plain=0, link_bytes_per_s=400_000)
        await b.roll_out("v2", "v1")
        await asyncio.sleep(1.5)
        b.fleet.agents["vm-2"].kill()
        b.fleet.agents["vm-2"].restart()
        await b.until(lambda: b.serves("v2", 4), 30_000)
        stats = msgspec.json.decode(
            await b.fleet.standin_call("origin", "GET", "/stats")
        )
        downloads = stats["sent_bytes"] / conftest.TOTAL_BYTES
        assert downloads <= 2 + 1.5

    bench(scenario)


def test_version_replaced_and_rolled_back(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(replicas=3, plain=0, link_bytes_per_s=400_000)
        live = b.live(rate_per_s=15.0)
        live.start()
        await b.roll_out("v2", "v1")
        await asyncio.sleep(1.0)
        await b.roll_out("v3", "v1")
        await b.until(lambda: b.serves("v3", 3), 30_000)
        await b.roll_out("v1", "v3")
        await b.until(lambda: b.serves("v1", 3), 30_000)
        results = await live.stop()
        assert [r for r in results if not r.whole or r.mixed] == []

    bench(scenario)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_strangers_order_never_reaches_a_caller_mixed(
    bench: Callable[[conftest.Scenario], None], checks_fencing: bool
) -> None:
    """Guards against mixed versions after a load order from another system."""

    async def scenario(b: conftest.Bench) -> None:
        await b.start(
            replicas=2,
            plain=0,
            checks_fencing=checks_fencing,
            engine={"token_ms": 30, "load_ms": 50},
        )
        live = b.live(rate_per_s=15.0, tokens=40)
        live.start()
        await asyncio.sleep(1.0)
        order = {"version": "intruder", "fencing": 1 << 40}
        await b.fleet.engine_call("vm-0", "POST", "/admin/load", order)
        await asyncio.sleep(3.0)
        results = await live.stop()
        assert not any(r.mixed for r in results)
        assert {r.version for r in results if r.version} == {"v1"}
        assert [r for r in results if not r.whole] == []

    bench(scenario)


def test_last_ready_replica_is_never_taken_out_of_service(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(replicas=2, plain=0, engine={"load_ms": 700})
        live = b.live(rate_per_s=20.0)
        live.start()
        ready: list[int] = []

        async def watch() -> bool:
            vms = await b.vms()
            ready.append(
                sum(1 for vm in vms.values() if vm["state"] == "ready")
            )
            return await b.serves("v2", 2)

        await b.roll_out("v2", "v1")
        await b.until(watch, 20_000)
        results = await live.stop()
        assert min(ready) >= 1
        assert [r for r in results if not r.whole] == []

    bench(scenario)


def test_sole_replica_keeps_its_version_unless_a_swap_is_allowed(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(replicas=1, plain=0)
        await b.roll_out("v2", "v1")
        await asyncio.sleep(4.0)
        assert await b.serves("v1", 1)
        await b.roll_out("v2", "v1", {"swap_sole_replica": True})
        await b.until(lambda: b.serves("v2", 1), 10_000)

    bench(scenario)


def test_corrupt_origin_never_becomes_a_served_version(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    """Guards against serving weights that the origin corrupted."""

    async def scenario(b: conftest.Bench) -> None:
        await b.start(replicas=2, plain=0)
        faults = {"corrupt": 1.0}
        await b.fleet.standin_call("origin", "PUT", "/faults", faults)
        await b.roll_out("v2", "v1")
        await asyncio.sleep(3.0)
        assert await b.serves("v1", 2)
        assert (await b.complete()).version == "v1"
        await b.fleet.standin_call("origin", "PUT", "/faults", {})
        await b.until(lambda: b.serves("v2", 2), 20_000)

    bench(scenario)


def test_restarted_agent_keeps_serving_the_old_version_while_it_fetches(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(replicas=2, plain=0, link_bytes_per_s=300_000)
        b.fleet.agents["vm-0"].kill()
        b.fleet.agents["vm-0"].restart()
        # Entries report the agent as ready until they notice the restart.
        await asyncio.sleep(4.0)
        await b.fleet.await_ready({"pool": 2}, 15_000)
        await b.roll_out("v2")
        await asyncio.sleep(1.5)
        vm = (await b.vms())["vm-0"]
        assert (vm["state"], vm["version"]) == ("ready", "v1")
        await b.until(lambda: b.serves("v2", 2), 30_000)

    bench(scenario)


def test_agent_restarted_mid_rollout_serves_the_previous_version(
    bench: Callable[[conftest.Scenario], None],
) -> None:
    async def scenario(b: conftest.Bench) -> None:
        await b.start(replicas=2, plain=0, link_bytes_per_s=200_000)
        await b.roll_out("v2", "v1")
        await asyncio.sleep(0.5)
        b.fleet.agents["vm-1"].kill()
        b.fleet.agents["vm-1"].restart()

        async def serves_old() -> bool:
            vm = (await b.vms()).get("vm-1", {})
            return (vm.get("state"), vm.get("version")) == ("ready", "v1")

        await b.until(serves_old, 6_000)
        await b.until(lambda: b.serves("v2", 2), 40_000)

    bench(scenario)
