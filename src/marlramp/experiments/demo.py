"""Short end-to-end run: a rollout, live calls and a plain call."""

from __future__ import annotations

import asyncio

import msgspec

from marlramp import clock
from marlramp.entry import answers
from marlramp.entry import requests as caller_requests
from marlramp.experiments import documents
from marlramp.experiments import fleet
from marlramp.experiments import fleet_settings
from marlramp.experiments import load
from marlramp.experiments import processes

CUSTOMER = "hall-crews"
MODEL = "stand-7b"
TOTAL_BYTES = 4_000_000
CHUNK_BYTES = 64_000
LINK_BYTES_PER_S = 2_000_000
CALLS_PER_S = 30.0
READY_TIMEOUT_MS = 20_000.0
ROLLOUT_TIMEOUT_MS = 30_000.0
SETTLE_S = 1.0
REPLICAS = 3


class DemoResult(msgspec.Struct, kw_only=True):
    """Result of the demo.

    Attributes:
      vms: version served by each VM before and after the rollout.
      calls: the live calls during the rollout.
      versions: versions that answered live calls.
      time_to_replicas_s: time until all replicas served the new version.
      origin_copies: copies of the new weights sent by the origin.
      plain_runs: how often the plain call ran, which was sent twice.
      problems: failed checks, empty for a successful run.
    """

    vms: dict[str, tuple[str, str]]
    calls: load.LoadSummary
    versions: list[str]
    time_to_replicas_s: float
    origin_copies: float
    plain_runs: int
    problems: list[str] = []


class _Vm(msgspec.Struct):
    vm: str
    role: str
    version: str


class _PlainAnswer(msgspec.Struct):
    runs: int


async def run() -> DemoResult:
    """Runs the demo and returns its result."""
    async with fleet.Fleet(("randstad", "brabant")) as cluster:
        await cluster.start_standins(origin_bytes_per_s=2 * LINK_BYTES_PER_S)
        old = await cluster.put_weights(_weights("v1", 1))
        new = await cluster.put_weights(_weights("v2", 2))
        await _publish(cluster, old.manifest, new.manifest, "v1")
        await cluster.start_entries(2)
        await cluster.start_agents(_agents())
        await cluster.await_ready(
            {"pool": REPLICAS, "stock": 1}, READY_TIMEOUT_MS
        )
        return await _roll_out(cluster, old, new)


async def _roll_out(
    cluster: fleet.Fleet, old: fleet.Weights, new: fleet.Weights
) -> DemoResult:
    time = clock.SystemClock()
    urls = [cluster.entry_url(entry) for entry in cluster.entries]
    before = await _versions(cluster)
    sent_bytes_before = await origin_bytes(cluster)
    plan = load.CallPlan(service="pool", customer=CUSTOMER)
    live = load.LiveLoad(cluster.client, urls, plan, CALLS_PER_S)
    live.start()
    await asyncio.sleep(SETTLE_S)
    started_ms = time.now_ms()
    await _publish(cluster, new.manifest, old.manifest, "v2")
    after = await _await_version(cluster, "v2")
    duration_s = (time.now_ms() - started_ms) / clock.MILLIS_PER_SECOND
    await asyncio.sleep(SETTLE_S)
    results = await live.stop()
    sent_bytes = await origin_bytes(cluster) - sent_bytes_before
    result = DemoResult(
        vms={vm: (before.get(vm, ""), after[vm]) for vm in sorted(after)},
        calls=load.summarize(results),
        versions=sorted({r.version for r in results if r.version}),
        time_to_replicas_s=round(duration_s, 2),
        origin_copies=round(sent_bytes / TOTAL_BYTES, 3),
        plain_runs=await _plain_call_twice(cluster, urls),
    )
    result.problems = _problems(result)
    return result


def _weights(version: str, seed: int) -> fleet.PutWeights:
    return fleet.PutWeights(
        model=MODEL,
        version=version,
        seed=seed,
        total_bytes=TOTAL_BYTES,
        chunk_bytes=CHUNK_BYTES,
    )


def _agents() -> list[fleet_settings.AgentSpec]:
    pool = [
        fleet_settings.AgentSpec(
            service="pool",
            data_centre=("randstad", "brabant")[number % 2],
            link_bytes_per_s=LINK_BYTES_PER_S,
        )
        for number in range(REPLICAS)
    ]
    return [
        *pool,
        fleet_settings.AgentSpec(service="stock", reports_load=False),
    ]


async def _publish(
    cluster: fleet.Fleet, manifest: str, previous: str, version: str
) -> None:
    rollout = documents.RolloutText(
        model=MODEL,
        version=version,
        manifest=manifest,
        previous_manifest=previous,
    )
    await cluster.publish(documents.TRADE_BODY_KEY, documents.base([CUSTOMER]))
    await cluster.publish(documents.MEMBER_KEY, documents.base([]))
    await cluster.publish(
        documents.DEPLOYMENT_KEY,
        documents.deployment({"pool": rollout}, ["stock"]),
    )


async def _versions(cluster: fleet.Fleet) -> dict[str, str]:
    body = await cluster.admin("entry-0", "vms")
    vms = msgspec.json.decode(body, type=list[_Vm])
    return {vm.vm: vm.version for vm in vms if vm.role == "upstream"}


async def _await_version(cluster: fleet.Fleet, version: str) -> dict[str, str]:
    time = clock.SystemClock()
    end_ms = time.now_ms() + ROLLOUT_TIMEOUT_MS
    found: dict[str, str] = {}
    while time.now_ms() < end_ms:
        found = await _versions(cluster)
        if sum(1 for v in found.values() if v == version) == REPLICAS:
            return found
        await asyncio.sleep(processes.POLL_MS / clock.MILLIS_PER_SECOND)
    return found


class _Stats(msgspec.Struct):
    sent_bytes: int


async def origin_bytes(cluster: fleet.Fleet) -> int:
    """Returns the bytes that the origin stand-in has sent."""
    body = await cluster.standin_call("origin", "GET", "/stats")
    return msgspec.json.decode(body, type=_Stats).sent_bytes


async def _plain_call_twice(cluster: fleet.Fleet, urls: list[str]) -> int:
    """Sends one non-idempotent call to both entries.

    Returns:
      How often the call ran.
    """
    headers = {
        caller_requests.CUSTOMER_HEADER: CUSTOMER,
        answers.REQUEST_ID_HEADER: "slot-7",
    }
    first = await _confirm(cluster, urls[0], headers)
    refused = msgspec.json.decode(first, type=answers.ErrorDocument)
    headers[answers.RUN_TOKEN_HEADER] = refused.error.run_token or ""
    runs = 0
    for url in urls:
        body = await _confirm(cluster, url, headers)
        runs = msgspec.json.decode(body, type=_PlainAnswer).runs
    return runs


async def _confirm(
    cluster: fleet.Fleet, url: str, headers: dict[str, str]
) -> bytes:
    reply = await cluster.client.request(
        "POST",
        f"{url}/v1/services/stock/slots/7",
        body=b"confirm",
        headers=headers,
        timeout_ms=fleet.CALL_TIMEOUT_MS,
    )
    return reply.body


def _problems(result: DemoResult) -> list[str]:
    found = []
    served = sum(1 for _, after in result.vms.values() if after == "v2")
    if served != REPLICAS:
        found.append(f"{served} of {REPLICAS} replicas serve v2")
    if result.calls.failed or not result.calls.sent:
        found.append(
            f"{result.calls.failed} live calls were not answered completely"
        )
    if result.calls.mixed:
        found.append(f"{result.calls.mixed} answers mixed versions")
    if result.plain_runs != 1:
        found.append(f"the confirmation ran {result.plain_runs} times")
    return found
