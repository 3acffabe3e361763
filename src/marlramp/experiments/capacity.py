"""Measures the figures behind docs/CAPACITY.md on real processes.

Most figures are slopes of straight lines that are fitted to measured points.
"""

from __future__ import annotations

import asyncio
import math
import os
import pathlib
import statistics

import msgspec

from marlramp import clock
from marlramp.experiments import documents
from marlramp.experiments import fleet
from marlramp.experiments import fleet_settings
from marlramp.experiments import load
from marlramp.experiments import processes

SERVICE = "pool"
CUSTOMER = "hall-crews"
MODEL = "stand-7b"
READY_TIMEOUT_MS = 60_000.0
SETTLE_S = 6.0
MEASURE_S = 10.0
FLEET_SIZES = (8, 24, 48)
ENTRIES = 2
CALL_RATES = (20.0, 60.0, 120.0)
PART_RATES = (400.0, 1_200.0, 2_400.0)
PARTS_PER_CALL = 200
TOKEN_MS = 50.0
CAPACITY = 64
SETTINGS_CHANGES = 20
LAST_LEVEL = 2


class Sample(msgspec.Struct, frozen=True):
    """Processor time and memory of one process."""

    cpu_s: float
    rss_mb: float


class Fit(msgspec.Struct, frozen=True, kw_only=True):
    """A straight line through measured points.

    Attributes:
      name: what was measured.
      x: the independent variable.
      y: unit of the dependent variable.
      points: measured pairs of x and y.
      slope: change of y per unit of x.
      intercept: y at x = 0.
      residual_max: largest distance of a point from the line.
    """

    name: str
    x: str
    y: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    residual_max: float


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Fits and single figures of a run."""

    fits: list[Fit]
    settings_ms: list[float]
    settings_p95_ms: float
    platform_calls_at_start: dict[str, int]
    platform_calls_per_s_idle: float
    agent_idle_mb: float
    entry_idle_mb: float


class _Counter(msgspec.Struct):
    vm: str
    name: str
    reason: str
    total: int


class _Status(msgspec.Struct):
    revisions: list[int]


def fit(name: str, x: str, y: str, points: list[tuple[float, float]]) -> Fit:
    """Returns the least-squares line through `points`."""
    xs = [point[0] for point in points]
    ys = [point[1] for point in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    residuals = [abs(b - (slope * a + intercept)) for a, b in points]
    return Fit(
        name=name,
        x=x,
        y=y,
        points=points,
        slope=slope,
        intercept=intercept,
        residual_max=max(residuals),
    )


def sample(process: processes.Process) -> Sample:
    """Returns the processor time and memory that a process has used."""
    directory = pathlib.Path("/proc") / str(process.process.pid)
    fields = (directory / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((directory / "statm").read_text().split()[1])
    return Sample(
        ticks / os.sysconf("SC_CLK_TCK"),
        pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
    )


async def run() -> Report:
    """Runs all measurements, one fleet after the other."""
    idle = [await _measure_idle(size) for size in FLEET_SIZES]
    serving = await _measure_serving()
    agents = [float(found.agents) for found in idle]
    fits = [
        fit(
            "entry memory",
            "agents",
            "MB",
            _pairs(agents, [f.entry.rss_mb for f in idle]),
        ),
        fit(
            "entry control processor time",
            "agents",
            "% of a core",
            _pairs(agents, [100 * f.entry.cpu_s for f in idle]),
        ),
        fit(
            "entry control link bytes",
            "agents",
            "bytes/s",
            _pairs(agents, [f.entry_bytes_per_s for f in idle]),
        ),
        fit(
            "agent control processor time",
            "agents",
            "% of a core",
            _pairs(agents, [100 * f.agent.cpu_s for f in idle]),
        ),
        fit(
            "agent control link bytes",
            "agents",
            "bytes/s",
            _pairs(agents, [f.agent_bytes_per_s for f in idle]),
        ),
        *serving.fits,
    ]
    last = idle[-1]
    return Report(
        fits=fits,
        settings_ms=serving.settings_ms,
        settings_p95_ms=load.percentile(serving.settings_ms, 0.95),
        platform_calls_at_start=last.calls_at_start,
        platform_calls_per_s_idle=round(last.calls_per_s, 2),
        agent_idle_mb=round(last.agent.rss_mb, 1),
        entry_idle_mb=round(idle[0].entry.rss_mb, 1),
    )


class _Idle(msgspec.Struct, frozen=True, kw_only=True):
    agents: int
    entry: Sample
    agent: Sample
    entry_bytes_per_s: float
    agent_bytes_per_s: float
    calls_at_start: dict[str, int]
    calls_per_s: float


class _Serving(msgspec.Struct, frozen=True):
    fits: list[Fit]
    settings_ms: list[float]


async def _measure_idle(agents: int) -> _Idle:
    async with fleet.Fleet(("randstad", "brabant")) as cluster:
        await _start(cluster, agents)
        await asyncio.sleep(SETTLE_S)
        calls_at_start = await _platform_calls(cluster)
        bytes_before = await _link_bytes(cluster)
        entry_window = Window(list(cluster.entries.values()))
        agent_window = Window(list(cluster.agents.values()))
        await asyncio.sleep(MEASURE_S)
        entry, agent = entry_window.close(), agent_window.close()
        bytes_after = await _link_bytes(cluster)
        calls = await _platform_calls(cluster)
        vms = bytes_after.keys() & bytes_before.keys()
        rates = {
            vm: (bytes_after[vm] - bytes_before[vm]) / MEASURE_S for vm in vms
        }
        return _Idle(
            agents=agents,
            entry=entry,
            agent=agent,
            entry_bytes_per_s=_mean(rates, "entry-"),
            agent_bytes_per_s=_mean(rates, "vm-"),
            calls_at_start=calls_at_start,
            calls_per_s=(sum(calls.values()) - sum(calls_at_start.values()))
            / MEASURE_S,
        )


async def _measure_serving() -> _Serving:
    async with fleet.Fleet(("randstad", "brabant")) as cluster:
        await _start(cluster, 8)
        calls = [
            await _under_load(cluster, rate, tokens=1) for rate in CALL_RATES
        ]
        parts = [
            await _under_load(
                cluster, rate / PARTS_PER_CALL, tokens=PARTS_PER_CALL
            )
            for rate in PART_RATES
        ]
        settings_ms = [
            await _change_settings(cluster, number)
            for number in range(SETTINGS_CHANGES)
        ]
        fits = [
            _load_fit("entry processor time per call", "calls/s", calls, 0),
            _load_fit("agent processor time per call", "calls/s", calls, 1),
            _load_fit("entry processor time per part", "parts/s", parts, 0),
            _load_fit("agent processor time per part", "parts/s", parts, 1),
        ]
        return _Serving(fits, settings_ms)


class _Loaded(msgspec.Struct, frozen=True):
    """Processor time of all entries and of all agents at one load."""

    per_s: float
    entries_cpu: float
    agents_cpu: float


def _load_fit(name: str, x: str, found: list[_Loaded], role: int) -> Fit:
    points = [
        (f.per_s, 1e6 * (f.entries_cpu, f.agents_cpu)[role]) for f in found
    ]
    return fit(name, x, "microseconds of processor time per second", points)


async def _under_load(
    cluster: fleet.Fleet, calls_per_s: float, tokens: int
) -> _Loaded:
    urls = [cluster.entry_url(entry) for entry in cluster.entries]
    plan = load.CallPlan(
        service=SERVICE,
        customer=CUSTOMER,
        tokens=tokens,
        timeout_ms=60_000.0,
    )
    live = load.LiveLoad(cluster.client, urls, plan, calls_per_s)
    live.start()
    warm_up_s = tokens * TOKEN_MS / clock.MILLIS_PER_SECOND + 1.0
    await asyncio.sleep(warm_up_s)
    entry_window = Window(list(cluster.entries.values()))
    agent_window = Window(list(cluster.agents.values()))
    tokens_before = live.tokens
    await asyncio.sleep(MEASURE_S)
    entry, agent = entry_window.close(), agent_window.close()
    tokens_seen = live.tokens - tokens_before
    await live.stop()
    per_s = tokens_seen / MEASURE_S
    return _Loaded(
        per_s,
        entry.cpu_s * len(cluster.entries),
        agent.cpu_s * len(cluster.agents),
    )


class Window:
    """Mean resource use of some processes during a time window."""

    def __init__(self, processes: list[processes.Process]) -> None:
        """Starts the window."""
        self._processes = processes
        self._time = clock.SystemClock()
        self._started_ms = self._time.now_ms()
        self._before = [sample(process) for process in processes]

    def close(self) -> Sample:
        """Returns processor seconds per second and memory, per process."""
        elapsed_s = (
            self._time.now_ms() - self._started_ms
        ) / clock.MILLIS_PER_SECOND
        after = [sample(process) for process in self._processes]
        used = [
            b.cpu_s - a.cpu_s for a, b in zip(self._before, after, strict=True)
        ]
        return Sample(
            statistics.mean(used) / elapsed_s,
            statistics.mean(found.rss_mb for found in after),
        )


async def _start(cluster: fleet.Fleet, agents: int) -> None:
    await cluster.start_standins(engine_processes=4)
    weights = await cluster.put_weights(
        fleet.PutWeights(
            model=MODEL,
            version="v1",
            seed=1,
            total_bytes=100_000,
            chunk_bytes=50_000,
        )
    )
    rollout = documents.RolloutText(
        model=MODEL, version="v1", manifest=weights.manifest
    )
    await cluster.publish(documents.TRADE_BODY_KEY, documents.base([CUSTOMER]))
    await cluster.publish(documents.MEMBER_KEY, documents.base([]))
    await cluster.publish(
        documents.DEPLOYMENT_KEY, documents.deployment({SERVICE: rollout})
    )
    await cluster.start_entries(ENTRIES)
    spec = fleet_settings.AgentSpec(
        service=SERVICE,
        capacity=CAPACITY,
        engine={"first_token_ms": 1, "token_ms": TOKEN_MS},
    )
    await cluster.start_agents([spec] * agents)
    await cluster.await_ready({SERVICE: agents}, READY_TIMEOUT_MS)


async def _change_settings(cluster: fleet.Fleet, number: int) -> float:
    """Publishes a change; returns the ms until all entries apply it."""
    time = clock.SystemClock()
    wanted = await _newest_revision(cluster) + 1
    started_ms = time.now_ms()
    await cluster.publish(
        documents.MEMBER_KEY, documents.base([], {"retries_max": number % 5})
    )
    while True:
        values = [await _revision(cluster, entry) for entry in cluster.entries]
        if min(values) >= wanted:
            return round(time.now_ms() - started_ms, 1)
        await asyncio.sleep(0.005)


async def _revision(cluster: fleet.Fleet, entry: str) -> int:
    body = await cluster.admin(entry, "status")
    return max(msgspec.json.decode(body, type=_Status).revisions)


async def _newest_revision(cluster: fleet.Fleet) -> int:
    return max([await _revision(cluster, entry) for entry in cluster.entries])


async def _platform_calls(cluster: fleet.Fleet) -> dict[str, int]:
    body = await cluster.standin_call("platform", "GET", "/calls")
    return msgspec.json.decode(body, type=dict[str, int])


async def _link_bytes(cluster: fleet.Fleet) -> dict[str, int]:
    """Returns the bytes sent and received on marlramp's links, by VM."""
    totals: dict[str, int] = {}
    for entry in cluster.entries:
        seen: dict[str, int] = {}
        body = await cluster.admin(entry, "counters")
        for c in msgspec.json.decode(body, type=list[_Counter]):
            if c.name == "marlramp_link_bytes":
                seen[c.vm] = seen.get(c.vm, 0) + c.total
        totals.update(seen)
    return totals


def _mean(rates: dict[str, float], prefix: str) -> float:
    values = [rate for vm, rate in rates.items() if vm.startswith(prefix)]
    return statistics.mean(values) if values else math.nan


def _pairs(xs: list[float], ys: list[float]) -> list[tuple[float, float]]:
    return [(x, round(y, 4)) for x, y in zip(xs, ys, strict=True)]
