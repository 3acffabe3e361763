"""Measures a rollout on real agents with paced links on loopback."""

from __future__ import annotations

import asyncio
import enum
import signal

import msgspec

from marlramp import clock
from marlramp.experiments import demo
from marlramp.experiments import documents
from marlramp.experiments import fleet
from marlramp.experiments import fleet_settings
from marlramp.experiments import load

SERVICE = "pool"
CUSTOMER = "hall-crews"
MODEL = "stand-7b"
DATA_CENTRES = ("randstad", "brabant", "gelderland")
CHUNKS = 256
ORIGIN_LINK_RATIO = 2.0
"""Rate of the origin's link as a multiple of that of a VM's link."""

ENTRIES = 2
READY_TIMEOUT_MS = 120_000.0
LIMIT_COPY_TIMES = 12.0
STAR_LIMIT_FACTOR = 0.75
POLL_MS = 100.0
BASELINE_LOAD_S = 6.0
FAULT_AT_COPY_TIMES = 0.4
DEATHS_FRACTION = 0.1
PARTITION_COPY_TIMES = 0.5
ORIGIN_DOWN_COPY_TIMES = 0.4


class Fault(enum.Enum):
    """Faults that can be injected during the rollout."""

    NONE = "none"
    DEATHS = "deaths"
    STALLS = "stalls"
    CORRUPTION = "corruption"
    REPLACED = "replaced"
    ORIGIN_DOWN = "origin-down"
    CONFIGURATION_DOWN = "configuration-down"


class Policy(enum.Enum):
    """Distribution policies; all but the swarm are baselines."""

    SWARM = "swarm"
    STAR = "star"
    CHAIN = "chain"
    TREE = "tree"


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a measurement.

    Attributes:
      vms: number of agents.
      policy: distribution policy.
      fault: fault to inject midway.
      copy_time_s: time that one copy takes on a VM's link.
      chunk_bytes: size of a chunk.
      origin_copies_max: setting of the same name.
      two_versions: whether engines hold two versions.
      calls_per_s: rate of live calls during the rollout.
    """

    vms: int = 12
    policy: Policy = Policy.SWARM
    fault: Fault = Fault.NONE
    copy_time_s: float = 10.0
    chunk_bytes: int = 16_384
    origin_copies_max: float = 1.05
    two_versions: bool = True
    calls_per_s: float = 20.0

    @property
    def total_bytes(self) -> int:
        """Size of the weights."""
        return CHUNKS * self.chunk_bytes

    @property
    def link_bytes_per_s(self) -> int:
        """Rate of a VM's link."""
        return int(self.total_bytes / self.copy_time_s)


class CopyTimes(msgspec.Struct, frozen=True):
    """Time until replicas serve the new version, in copy times."""

    median: float
    p99: float
    last: float


class FirstTokens(msgspec.Struct, frozen=True):
    """Time to the first token of live calls, in ms."""

    without_p50: float
    without_p95: float
    during_p50: float
    during_p95: float


class Calls(msgspec.Struct, frozen=True):
    """Live calls during the rollout."""

    sent: int
    whole: int
    failed: int
    mixed: int
    errors: dict[str, int]


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run."""

    policy: Policy
    fault: Fault
    vms: int
    survivors: int
    serving: int
    copy_time_s: float
    time_to_replicas: CopyTimes
    origin_copies: float
    vm_sent_copies_max: float
    live_calls: Calls
    live_ttft_ms: FirstTokens
    serving_over_time: list[tuple[float, int]]


class _Vm(msgspec.Struct):
    vm: str
    service: str
    version: str


class _Rollout(msgspec.Struct):
    sent_bytes_max: int


async def run(plan: Plan) -> Report:
    """Starts a fleet, rolls out a version and returns the figures."""
    async with fleet.Fleet(DATA_CENTRES) as cluster:
        await cluster.start_standins(
            origin_bytes_per_s=ORIGIN_LINK_RATIO * plan.link_bytes_per_s,
            engine_processes=max(1, min(4, plan.vms // 12)),
        )
        measurement = _Measurement(plan, cluster)
        await measurement.prepare()
        return await measurement.measure()


class _Measurement:
    """One run on a started fleet."""

    def __init__(self, plan: Plan, cluster: fleet.Fleet) -> None:
        self._plan = plan
        self._fleet = cluster
        self._time = clock.SystemClock()
        self._weights: dict[str, fleet.Weights] = {}
        self._dead: set[str] = set()
        self._started_ms = 0.0
        self._serving_at: dict[str, float] = {}
        self._serving_over_time: list[tuple[float, int]] = []
        self._target = "v2"

    async def prepare(self) -> None:
        """Starts the fleet; every agent then serves a small first version."""
        await self._put("v1", 1, self._plan.chunk_bytes)
        await self._put("v2", 2, self._plan.total_bytes)
        await self._put("v3", 3, self._plan.total_bytes, common=0.5)
        await self._fleet.publish(
            documents.TRADE_BODY_KEY, documents.base([CUSTOMER])
        )
        await self._fleet.publish(documents.MEMBER_KEY, documents.base([]))
        await self._publish("v1", "")
        await self._fleet.start_entries(ENTRIES)
        await self._fleet.start_agents(
            [self._spec(number) for number in range(self._plan.vms)]
        )
        await self._fleet.await_ready(
            {SERVICE: self._plan.vms}, READY_TIMEOUT_MS
        )

    async def measure(self) -> Report:
        """Rolls out the second version under live calls."""
        before = await self._baseline_load()
        live = self._create_live_load()
        origin_bytes = await demo.origin_bytes(self._fleet)
        sent_bytes = await self._sent_max()
        live.start()
        self._started_ms = self._time.now_ms()
        await self._publish("v2", "v1")
        fault = asyncio.create_task(self._inject_fault())
        await self._poll_serving()
        await fault
        during = load.summarize(await live.stop())
        origin_bytes = await demo.origin_bytes(self._fleet) - origin_bytes
        sent_bytes = await self._sent_max() - sent_bytes
        return self._report(before, during, origin_bytes, sent_bytes)

    def _spec(self, number: int) -> fleet_settings.AgentSpec:
        return fleet_settings.AgentSpec(
            service=SERVICE,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            link_bytes_per_s=self._plan.link_bytes_per_s,
            two_versions=self._plan.two_versions,
        )

    async def _put(
        self, version: str, seed: int, total_bytes: int, common: float = 0.0
    ) -> None:
        self._weights[version] = await self._fleet.put_weights(
            fleet.PutWeights(
                model=MODEL,
                version=version,
                seed=seed,
                total_bytes=total_bytes,
                chunk_bytes=self._plan.chunk_bytes,
                base_seed=2,
                common=common,
            )
        )

    async def _publish(self, version: str, previous: str) -> None:
        rollout = documents.RolloutText(
            model=MODEL,
            version=version,
            manifest=self._weights[version].manifest,
            previous_manifest=self._weights[previous].manifest
            if previous
            else "",
        )
        settings: dict[str, documents.Value] = {
            "weights_link_share": 1.0,
            "origin_copies_max": self._plan.origin_copies_max,
            "distribution": self._plan.policy.value,
        }
        await self._fleet.publish(
            documents.DEPLOYMENT_KEY,
            documents.deployment({SERVICE: rollout}, (), settings),
        )

    def _create_live_load(self) -> load.LiveLoad:
        urls = [self._fleet.entry_url(entry) for entry in self._fleet.entries]
        plan = load.CallPlan(service=SERVICE, customer=CUSTOMER, tokens=8)
        return load.LiveLoad(
            self._fleet.client, urls, plan, self._plan.calls_per_s
        )

    async def _baseline_load(self) -> load.LoadSummary:
        live = self._create_live_load()
        live.start()
        await asyncio.sleep(BASELINE_LOAD_S)
        return load.summarize(await live.stop())

    async def _poll_serving(self) -> None:
        """Polls until every survivor serves the target, or a time limit."""
        limit = LIMIT_COPY_TIMES
        if self._plan.policy is Policy.STAR:
            limit = max(limit, STAR_LIMIT_FACTOR * self._plan.vms)
        while self._elapsed() < limit:
            vms = msgspec.json.decode(
                await self._fleet.admin("entry-0", "vms"), type=list[_Vm]
            )
            for vm in vms:
                if vm.version == self._target:
                    self._serving_at.setdefault(vm.vm, self._elapsed())
            serving = len(self._serving_at.keys() - self._dead)
            self._serving_over_time.append((round(self._elapsed(), 3), serving))
            if serving >= self._plan.vms - len(self._dead):
                return
            await asyncio.sleep(POLL_MS / clock.MILLIS_PER_SECOND)

    def _elapsed(self) -> float:
        """Returns the time since the rollout was published, in copy times."""
        elapsed_ms = self._time.now_ms() - self._started_ms
        return elapsed_ms / clock.MILLIS_PER_SECOND / self._plan.copy_time_s

    async def _inject_fault(self) -> None:
        await asyncio.sleep(FAULT_AT_COPY_TIMES * self._plan.copy_time_s)
        match self._plan.fault:
            case Fault.NONE:
                return
            case Fault.DEATHS:
                await self._kill_agents()
            case Fault.STALLS:
                await self._suspend_agents()
            case Fault.CORRUPTION:
                await self._set_origin_faults({"corrupt": 0.1})
            case Fault.REPLACED:
                self._target = "v3"
                self._serving_at.clear()
                await self._publish("v3", "v2")
            case Fault.ORIGIN_DOWN:
                await self._set_origin_faults({"down": True})
                await asyncio.sleep(
                    ORIGIN_DOWN_COPY_TIMES * self._plan.copy_time_s
                )
                await self._set_origin_faults({})
            case Fault.CONFIGURATION_DOWN:
                await self._fleet.standin_call(
                    "platform", "PUT", "/faults", {"down": True}
                )

    async def _set_origin_faults(self, faults: dict[str, object]) -> None:
        await self._fleet.standin_call("origin", "PUT", "/faults", faults)

    def _faulty_vms(self) -> list[str]:
        count = max(1, round(DEATHS_FRACTION * self._plan.vms))
        return list(self._fleet.agents)[:: max(1, self._plan.vms // count)][
            :count
        ]

    async def _kill_agents(self) -> None:
        for vm_id in self._faulty_vms():
            self._dead.add(vm_id)
            self._fleet.agents[vm_id].kill()
            self._fleet.vms.pop(vm_id)
        await asyncio.sleep(2.0)
        await self._fleet.publish_vms()

    async def _suspend_agents(self) -> None:
        """Stalls links without an error by suspending agents for some time."""
        suspended = [self._fleet.agents[vm_id] for vm_id in self._faulty_vms()]
        self._dead.update(self._faulty_vms())
        for process in suspended:
            process.send_signal(signal.SIGSTOP)
        while not self._survivors_done() and self._elapsed() < 4.0:
            await asyncio.sleep(POLL_MS / clock.MILLIS_PER_SECOND)
        for process in suspended:
            process.send_signal(signal.SIGCONT)

    def _survivors_done(self) -> bool:
        serving = len(self._serving_at.keys() - self._dead)
        return serving >= self._plan.vms - len(self._dead)

    async def _sent_max(self) -> int:
        found = msgspec.json.decode(
            await self._fleet.admin("entry-0", "rollouts"),
            type=list[_Rollout],
        )
        return max((r.sent_bytes_max for r in found), default=0)

    def _report(
        self,
        before: load.LoadSummary,
        during: load.LoadSummary,
        origin_bytes: int,
        sent_bytes: int,
    ) -> Report:
        times = sorted(
            at for vm, at in self._serving_at.items() if vm not in self._dead
        )
        survivors = self._plan.vms - len(self._dead)
        missing = survivors - len(times)
        times.extend([float("inf")] * missing)
        return Report(
            policy=self._plan.policy,
            fault=self._plan.fault,
            vms=self._plan.vms,
            survivors=survivors,
            serving=survivors - missing,
            copy_time_s=self._plan.copy_time_s,
            time_to_replicas=CopyTimes(
                load.percentile(times, 0.5),
                load.percentile(times, 0.99),
                round(times[-1], 3),
            ),
            origin_copies=round(origin_bytes / self._plan.total_bytes, 3),
            vm_sent_copies_max=round(sent_bytes / self._plan.total_bytes, 3),
            live_calls=Calls(
                during.sent,
                during.whole,
                during.failed,
                during.mixed,
                during.errors,
            ),
            live_ttft_ms=FirstTokens(
                before.ttft_p50_ms,
                before.ttft_p95_ms,
                during.ttft_p50_ms,
                during.ttft_p95_ms,
            ),
            serving_over_time=self._serving_over_time,
        )
