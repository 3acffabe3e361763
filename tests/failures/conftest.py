"""Fixture that runs a small fleet of real processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeAlias

import msgspec
import pytest

from marlramp import clock
from marlramp.core.grant_calls import queueing
from marlramp.entry import answers
from marlramp.entry import requests as caller_requests
from marlramp.experiments import documents
from marlramp.experiments import fleet
from marlramp.experiments import fleet_settings
from marlramp.experiments import load
from marlramp.shell import http

CUSTOMER = "hall-crews"
TOTAL_BYTES = 1_000_000
TEST_TIMEOUT_S = 60.0

Scenario: TypeAlias = Callable[["Bench"], Coroutine[Any, Any, None]]


class Bench:
    """A fleet with one model service and one plain service."""

    def __init__(self, cluster: fleet.Fleet) -> None:
        """Wraps a fleet whose stand-ins are running."""
        self.fleet = cluster
        self.manifests: dict[str, str] = {}
        self.time = clock.SystemClock()

    async def start(
        self,
        *,
        entries: int = 2,
        replicas: int = 3,
        plain: int = 1,
        **spec: Any,
    ) -> None:
        """Starts entries and agents and waits until all are ready."""
        for number, version in enumerate(("v1", "v2", "v3")):
            await self._put_weights(version, number + 1)
        await self.publish_common()
        await self.roll_out("v1")
        await self.fleet.start_entries(entries)
        pool = fleet_settings.AgentSpec(service="pool", **spec)
        stock = fleet_settings.AgentSpec(service="stock", reports_load=False)
        await self.fleet.start_agents([pool] * replicas + [stock] * plain)
        await self.fleet.await_ready({"pool": replicas, "stock": plain}, 20_000)

    async def _put_weights(self, version: str, seed: int) -> None:
        weights = await self.fleet.put_weights(
            fleet.PutWeights(
                model="stand",
                version=version,
                seed=seed,
                total_bytes=TOTAL_BYTES,
                chunk_bytes=32_768,
            )
        )
        self.manifests[version] = weights.manifest

    async def publish_common(self) -> None:
        """Publishes the two upper levels of settings documents."""
        await self.fleet.publish(
            documents.TRADE_BODY_KEY, documents.base([CUSTOMER, "other"])
        )
        await self.fleet.publish(documents.MEMBER_KEY, documents.base([]))

    async def roll_out(
        self,
        version: str,
        previous: str = "",
        settings: dict[str, documents.Value] | None = None,
    ) -> None:
        """Publishes a rollout of the `pool` service."""
        rollout = documents.RolloutText(
            model="stand",
            version=version,
            manifest=self.manifests[version],
            previous_manifest=self.manifests.get(previous, ""),
        )
        text = documents.deployment({"pool": rollout}, ["stock"], settings)
        await self.fleet.publish(documents.DEPLOYMENT_KEY, text)

    async def until(
        self,
        condition: Callable[[], Coroutine[Any, Any, bool]],
        within_ms: float,
    ) -> float:
        """Polls until a condition holds; returns the elapsed time in ms.

        Raises:
          AssertionError: the condition did not hold in time.
        """
        started_ms = self.time.now_ms()
        while self.time.now_ms() - started_ms < within_ms:
            if await condition():
                return self.time.now_ms() - started_ms
            await asyncio.sleep(0.05)
        try:
            state = await self.fleet.admin("entry-0", "vms")
        except fleet.FleetError as error:
            state = str(error).encode()
        raise AssertionError(
            f"condition not met within {within_ms} ms: {state.decode()}"
        )

    async def vms(self, entry: str = "entry-0") -> dict[str, Any]:
        """Returns the VMs known to an entry, by name."""
        body = await self.fleet.admin(entry, "vms")
        return {vm["vm"]: vm for vm in msgspec.json.decode(body)}

    async def serves(self, version: str, count: int) -> bool:
        """Returns whether each running entry sees `count` VMs on a version.

        More VMs on the version count as well.
        """
        for entry, process in self.fleet.entries.items():
            if not process.running:
                continue
            vms = await self.vms(entry)
            found = [vm for vm in vms.values() if vm["version"] == version]
            if len(found) < count:
                return False
        return True

    async def status(self, entry: str) -> dict[str, Any]:
        """Returns the status of an entry."""
        body = await self.fleet.admin(entry, "status")
        found: dict[str, Any] = msgspec.json.decode(body)
        return found

    async def counter(self, entry: str, name: str, reason: str) -> int:
        """Returns the total of a counter over an entry and its agents."""
        body = await self.fleet.admin(entry, "counters")
        return sum(
            c["total"]
            for c in msgspec.json.decode(body)
            if (c["name"], c["reason"]) == (name, reason)
        )

    def url(self, entry: str) -> str:
        """Returns the address of an entry."""
        return self.fleet.entry_url(entry)

    def live(
        self, rate_per_s: float = 20.0, tokens: int = 16, entry: str = ""
    ) -> load.LiveLoad:
        """Returns a background load of streamed calls, not started yet."""
        urls = [self.url(e) for e in self.fleet.entries if entry in ("", e)]
        plan = load.CallPlan(service="pool", customer=CUSTOMER, tokens=tokens)
        return load.LiveLoad(self.fleet.client, urls, plan, rate_per_s)

    async def complete(
        self,
        entry: str = "entry-0",
        tokens: int = 16,
        request_id: str = "",
        timeout_ms: float = 10_000.0,
        priority: queueing.Priority = queueing.Priority.NORMAL,
    ) -> load.CallResult:
        """Makes one streamed call."""
        plan = load.CallPlan(
            service="pool",
            customer=CUSTOMER,
            tokens=tokens,
            timeout_ms=timeout_ms,
            priority=priority,
        )
        return await load.call(
            self.fleet.client, self.url(entry), plan, "quote", request_id
        )

    async def confirm(
        self, entry: str, request_id: str, **headers: str
    ) -> http.Reply:
        """Makes one non-idempotent call to the plain service."""
        named = {name.replace("_", "-"): text for name, text in headers.items()}
        return await self.fleet.client.request(
            "POST",
            f"{self.url(entry)}/v1/services/stock/slots",
            body=b"slot 7",
            headers={
                caller_requests.CUSTOMER_HEADER: CUSTOMER,
                answers.REQUEST_ID_HEADER: request_id,
                **named,
            },
            timeout_ms=15_000.0,
        )

    async def run_token(self, entry: str = "entry-0") -> str:
        """Returns a run token for the plain service."""
        reply = await self.fleet.client.request(
            "POST",
            f"{self.url(entry)}/v1/run-tokens",
            body=b'{"service": "stock"}',
            headers={caller_requests.CUSTOMER_HEADER: CUSTOMER},
            timeout_ms=5_000.0,
        )
        token: str = msgspec.json.decode(reply.body)["run_token"]
        return token

    async def runs(self, vm: str, request_id: str) -> int:
        """Returns how often an upstream executed a request."""
        body = await self.fleet.engine_call(vm, "GET", "/history")
        runs: int = msgspec.json.decode(body)["ran"].get(request_id, 0)
        return runs


@pytest.fixture
def bench() -> Callable[[Scenario], None]:
    """Runs a scenario against a new fleet, within `TEST_TIMEOUT_S`."""

    def run(scenario: Scenario) -> None:
        async def run_scenario() -> None:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                async with fleet.Fleet(("randstad", "brabant")) as cluster:
                    await cluster.start_standins()
                    await scenario(Bench(cluster))

        asyncio.run(run_scenario())

    return run
