"""Measures routing, limits, fairness and retries under load and faults."""

from __future__ import annotations

import asyncio
import enum
import random

import msgspec

from marlramp import clock
from marlramp.core.grant_calls import queueing
from marlramp.experiments import documents
from marlramp.experiments import fleet
from marlramp.experiments import fleet_settings
from marlramp.experiments import load

SERVICE = "pool"
MODEL = "stand-7b"
STEADY = "steady"
FLOODING = "flooding"
URGENT = "urgent"
TOKENS = 16
CAPACITY = 4
REPLICAS = 6
ENTRIES = 2
FIRST_TOKEN_MS = 20.0
TOKEN_MS = 20.0
TIMEOUT_MS = 2_500.0
QUEUE_LENGTH = 48
READY_TIMEOUT_MS = 30_000.0
WARM_UP_S = 1.0
URGENT_FRACTION = 0.1
FLOOD_FACTOR = 4.0
FLOOD_BASE = 0.4
SLOW_FACTOR = 6.0


class Upstream(enum.Enum):
    """Fault of one upstream."""

    HEALTHY = "healthy"
    SLOW = "slow"
    DEAD = "dead"
    FAST_FAILING = "fast-failing"
    NOT_REPORTING = "not-reporting"


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a measurement.

    Attributes:
      loads: offered loads as multiples of capacity.
      seconds: length of each measurement.
      routing: routing policy; all but predicted are baselines.
      limits: whether queues are bounded and calls that would miss their
        deadline are refused early.
    """

    loads: tuple[float, ...] = (0.5, 1.0, 2.0, 4.0)
    seconds: float = 8.0
    routing: str = "predicted"
    limits: bool = True


class Group(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of the calls of one customer and priority."""

    customer: str
    priority: str
    offered_per_s: float
    goodput_per_s: float
    within_deadline: float
    summary: load.LoadSummary


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one load."""

    name: str
    load: float
    upstream: Upstream
    offered_per_s: float
    goodput_per_s: float
    refusals: dict[str, int]
    retries: dict[str, int]
    groups: list[Group]


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of a run."""

    capacity_per_s: float
    routing: str
    limits: bool
    points: list[Point]


class _Counter(msgspec.Struct):
    name: str
    reason: str
    total: int


class _Offer(msgspec.Struct, frozen=True):
    """Calls offered at one rate."""

    plan: load.CallPlan
    rate_per_s: float


def capacity_per_s() -> float:
    """Returns the calls a second that all replicas can finish."""
    call_ms = FIRST_TOKEN_MS + (TOKENS + 1) * TOKEN_MS
    return REPLICAS * CAPACITY * clock.MILLIS_PER_SECOND / call_ms


async def run(plan: Plan) -> Report:
    """Starts a fleet and measures all points."""
    async with fleet.Fleet(("randstad", "brabant")) as cluster:
        await cluster.start_standins(engine_processes=2)
        measurement = _Measurement(plan, cluster)
        await measurement.prepare()
        points = [
            await measurement.point(f"{factor} x capacity", factor)
            for factor in plan.loads
        ]
        points.append(await measurement.flood(flooded=False))
        points.append(await measurement.flood(flooded=True))
        for upstream in (
            Upstream.SLOW,
            Upstream.FAST_FAILING,
            Upstream.DEAD,
        ):
            points.append(await measurement.fault(upstream))
        return Report(
            capacity_per_s=round(capacity_per_s(), 1),
            routing=plan.routing,
            limits=plan.limits,
            points=points,
        )


class _Measurement:
    """Points measured one after the other on one fleet."""

    def __init__(self, plan: Plan, cluster: fleet.Fleet) -> None:
        self._plan = plan
        self._fleet = cluster

    async def prepare(self) -> None:
        """Starts the fleet and waits until all replicas are ready."""
        weights = await self._fleet.put_weights(
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
        settings: dict[str, documents.Value] = {
            "routing": self._plan.routing,
            "queue_length_max": QUEUE_LENGTH if self._plan.limits else 100_000,
            "refuse_unreachable": self._plan.limits,
        }
        customers = [STEADY, FLOODING, URGENT]
        await self._fleet.publish(
            documents.TRADE_BODY_KEY, documents.base(customers)
        )
        await self._fleet.publish(documents.MEMBER_KEY, documents.base([]))
        await self._fleet.publish(
            documents.DEPLOYMENT_KEY,
            documents.deployment({SERVICE: rollout}, (), settings),
        )
        await self._fleet.start_entries(ENTRIES)
        engine: dict[str, object] = {
            "first_token_ms": FIRST_TOKEN_MS,
            "token_ms": TOKEN_MS,
        }
        reporting = fleet_settings.AgentSpec(
            service=SERVICE, capacity=CAPACITY, engine=engine
        )
        silent = msgspec.structs.replace(reporting, reports_load=False)
        await self._fleet.start_agents([reporting] * (REPLICAS - 1) + [silent])
        await self._fleet.await_ready({SERVICE: REPLICAS}, READY_TIMEOUT_MS)

    async def point(self, name: str, factor: float) -> Point:
        """Measures one load shared by normal and high priority."""
        rate = factor * capacity_per_s()
        urgent_rate = min(rate, capacity_per_s()) * URGENT_FRACTION
        offers = [
            _Offer(_plan(STEADY, queueing.Priority.NORMAL), rate - urgent_rate),
            _Offer(_plan(URGENT, queueing.Priority.HIGH), urgent_rate),
        ]
        return await self._measure(name, factor, Upstream.HEALTHY, offers)

    async def flood(self, *, flooded: bool) -> Point:
        """Measures a steady customer, with or without one that floods."""
        base_rate = FLOOD_BASE * capacity_per_s()
        offers = [_Offer(_plan(STEADY, queueing.Priority.NORMAL), base_rate)]
        factor = FLOOD_BASE
        if flooded:
            rate = FLOOD_FACTOR * capacity_per_s()
            offers.append(
                _Offer(_plan(FLOODING, queueing.Priority.NORMAL), rate)
            )
            factor += FLOOD_FACTOR
        name = "beside a flood" if flooded else "without a flood"
        return await self._measure(name, factor, Upstream.HEALTHY, offers)

    async def fault(self, upstream: Upstream) -> Point:
        """Measures half load with one upstream at fault."""
        faults: dict[str, object] = {}
        if upstream is Upstream.SLOW:
            faults = {"slow_factor": SLOW_FACTOR}
        if upstream is Upstream.FAST_FAILING:
            faults = {"fail_fast": True}
        await self._fleet.engine_call("vm-0", "PUT", "/faults", faults)
        if upstream is Upstream.DEAD:
            self._fleet.agents["vm-0"].kill()
        rate = 0.5 * capacity_per_s()
        offers = [_Offer(_plan(STEADY, queueing.Priority.NORMAL), rate)]
        point = await self._measure(upstream.value, 0.5, upstream, offers)
        await self._fleet.engine_call("vm-0", "PUT", "/faults", {})
        return point

    async def _measure(
        self,
        name: str,
        factor: float,
        upstream: Upstream,
        offers: list[_Offer],
    ) -> Point:
        before = await self._counters()
        urls = [self._fleet.entry_url(entry) for entry in self._fleet.entries]
        streams = [
            load.LiveLoad(self._fleet.client, urls, o.plan, o.rate_per_s)
            for o in offers
        ]
        for stream in streams:
            random.shuffle(urls)
            stream.start()
        await asyncio.sleep(self._plan.seconds)
        results = [await stream.stop() for stream in streams]
        await asyncio.sleep(WARM_UP_S)
        after = await self._counters()
        groups = [
            self._group(offer, found)
            for offer, found in zip(offers, results, strict=True)
        ]
        return Point(
            name=name,
            load=factor,
            upstream=upstream,
            offered_per_s=round(sum(o.rate_per_s for o in offers), 1),
            goodput_per_s=round(sum(g.goodput_per_s for g in groups), 1),
            refusals=_increases(before, after, "marlramp_refusals"),
            retries=_increases(before, after, "marlramp_retries"),
            groups=groups,
        )

    def _group(self, offer: _Offer, results: list[load.CallResult]) -> Group:
        good = [
            r
            for r in results
            if r.whole and r.total_ms <= offer.plan.timeout_ms
        ]
        return Group(
            customer=offer.plan.customer,
            priority=offer.plan.priority.name.lower(),
            offered_per_s=round(offer.rate_per_s, 1),
            goodput_per_s=round(len(good) / self._plan.seconds, 1),
            within_deadline=round(len(good) / max(1, len(results)), 4),
            summary=load.summarize(results),
        )

    async def _counters(self) -> dict[tuple[str, str], int]:
        totals: dict[tuple[str, str], int] = {}
        for entry in self._fleet.entries:
            body = await self._fleet.admin(entry, "counters")
            for c in msgspec.json.decode(body, type=list[_Counter]):
                key = (c.name, c.reason)
                totals[key] = totals.get(key, 0) + c.total
        return totals


def _plan(customer: str, priority: queueing.Priority) -> load.CallPlan:
    return load.CallPlan(
        service=SERVICE,
        customer=customer,
        tokens=TOKENS,
        priority=priority,
        timeout_ms=TIMEOUT_MS,
    )


def _increases(
    before: dict[tuple[str, str], int],
    after: dict[tuple[str, str], int],
    counter: str,
) -> dict[str, int]:
    return {
        reason: total - before.get((name, reason), 0)
        for (name, reason), total in sorted(after.items())
        if name == counter and total > before.get((name, reason), 0)
    }
