"""Runs one seed: starts a fleet, injects faults under load, and checks it."""

from __future__ import annotations

import asyncio
import collections
import enum
import itertools
import pathlib
import random
import re
import time
from typing import TypeAlias

import msgspec

from soak import callers
from soak import promises
from soak import schedule
from soak import strikes
from standins import crashing_part
from standins import direct_documents
from standins import direct_fleet
from standins import direct_replicas
from standins import named_limit
from standins import turning_away

Replica: TypeAlias = direct_replicas.Engine | direct_replicas.PlainReplica

CALLERS = 8
SETTLE_MS = 12_000.0
"""Recovery time after the last fault, the same as in the users' deployments."""

LAST_CALLS = 40
RUN_TIMEOUT_S = 120.0
ATTEMPTS_MAX = 2
LIMIT_PER_S = 2.0
"""Rate limit announced by the first engine and the first plain replica."""

PAUSE_S = 2.0
"""Pause that the last engine and plain replica ask for when rejecting."""

FAILED_SHARE = 0.6
FAIL_AGAIN_MS = 100.0
SMALL_BUDGET = direct_documents.RetryBudget(ratio=0.02, slack=40)
"""Budget that the calls of one run can exceed."""

CONSTRAINTS = direct_documents.Constraints(
    route_regions={"order": ["north", "south"]},
    customer_regions=["south", "west"],
    cold_start_s=4.0,
    cold_per_s=3.0,
)
"""One region is allowed by both the route and the customer."""

MEMORY_POLL_S = 0.25
CULPRIT = "culprit"
CULPRIT_PAUSE_MS = 400.0
CULPRIT_KNOWN_MS = 3_000.0
"""Time after the last fault within which all entries know the requests that
crash replicas."""

_MS = 1_000.0


class Result(msgspec.Struct, frozen=True):
    """Result of a run.

    Attributes:
      plan: the injected faults.
      violations: violated guarantees.
      calls: number of calls during the faults.
      served: number of those calls that were served.
      cut: number of those calls that an entry accepted and whose connection
        ended before the response, explained or not.
    """

    plan: schedule.Plan
    violations: list[promises.Violation]
    calls: int
    served: int
    cut: int


class Culprit(enum.Enum):
    """Requests that crash the replicas executing them."""

    NONE = "none"
    REQUEST = "request"
    """One request that is sent repeatedly."""

    PART = "part"
    """Distinct requests that share a prompt part."""


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """What a run adds to the random faults of its seed.

    Attributes:
      culprit: requests to send throughout that crash replicas.
      limited: whether two replicas announce a rate limit during the faults.
      turning_away: whether two replicas reject half of their requests and ask
        for a pause during the faults.
      placement: whether to use several regions, a route and a customer
        restricted to some of them, and cold starts.
      silent: whether sound replicas fall silent and go on.
      endless: whether replicas send bytes without end.
      failing: whether all replicas fail most of their requests during the
        faults, and entries are killed in quick succession.
      spoilt: whether staged pieces turn corrupt around the loads of several
        versions, and load orders are held back. An engine may take corrupt
        pieces then; no request may run on them.
    """

    culprit: Culprit = Culprit.NONE
    limited: bool = False
    turning_away: bool = False
    placement: bool = False
    silent: bool = False
    endless: bool = False
    failing: bool = False
    spoilt: bool = False


class Run:
    """A run of one seed; implements `callers.Surroundings`."""

    def __init__(
        self,
        folder: pathlib.Path,
        plan: schedule.Plan,
        size: schedule.Size,
        options: Options,
    ) -> None:
        """Initializes the run; nothing is started until `play`.

        Args:
          folder: directory for settings files and logs.
          plan: faults to inject.
          size: size of the fleet.
          options: what the run adds to the faults.
        """
        placement = options.placement
        self._options = options
        self._plan = plan
        self._culprit_runs = 0
        self._limits_exceeded: list[str] = []
        self._pauses_violated: list[str] = []
        self._size = size
        self._fleet = direct_fleet.Fleet(
            folder,
            size.entries,
            size.engines,
            group=plan.seed % 200,
            desks=size.desks,
            proxied=True,
            regions=schedule.REGIONS if placement else direct_documents.REGIONS,
            constraints=CONSTRAINTS if placement else None,
            retry_budget=SMALL_BUDGET
            if options.failing
            else direct_documents.RETRY_BUDGET,
        )
        self._started_s = time.monotonic()
        self._memory_bytes: dict[str, int] = {}
        self._injector = strikes.FaultInjector(self._fleet, self.now_ms)

    async def play(self) -> Result:
        """Injects the faults under load and checks the guarantees."""
        async with asyncio.timeout(RUN_TIMEOUT_S), self._fleet:
            self._injector.publish()
            await self._wait_served()
            self._started_s = time.monotonic()
            watch = asyncio.create_task(self._watch_memory())
            calls = await self._inject_faults()
            last = await self._last_calls()
            watch.cancel()
            exits = [
                name
                for name, process in self._fleet.processes.items()
                if process.returncode is not None
            ]
        evidence = self._evidence(calls, last, exits)
        return Result(
            self._plan,
            promises.check(evidence),
            len(calls),
            sum(c.whole and c.status == 200 for c in calls),
            sum(
                call.ending is promises.CallEnding.CUT
                and call.port not in self._refused[f"callers:{call.entry}"]
                for call in calls
            ),
        )

    # Interface for callers.

    def now_ms(self) -> float:
        """Returns the time since the start of the calls."""
        return (time.monotonic() - self._started_s) * _MS

    def key(self, rng: random.Random) -> str:
        """Returns a random API key, which may have been revoked."""
        keys = [direct_documents.KEY, *strikes.REVOCABLE_KEYS]
        if self._options.placement:
            keys.append(direct_documents.BOUND_KEY)
        return rng.choice(keys)

    async def entries(self, rng: random.Random) -> list[str]:
        """Returns the entries found by a lookup, [] if it fails."""
        hosts = list(self._fleet.entry_hosts)
        shuffled = rng.sample(hosts, len(hosts))
        region = ""
        if self._options.placement:
            region = rng.choice(list(schedule.REGIONS.values()))
        for host in shuffled:
            try:
                async with asyncio.timeout(1.0):
                    answer = await self._fleet.lookup(host, region)
            except (OSError, TimeoutError):
                # Retry the lookup at the next entry.
                continue
            found = [
                f"entry-{number}"
                for number, entry in enumerate(hosts)
                if f"{entry}:".encode() in answer
            ]
            if found:
                return found
        return []

    def lifetime(self, entry: str) -> int:
        """Returns the number of restarts of an entry's process."""
        return self._injector.starts.get(entry, 0)

    def address(self, entry: str) -> tuple[str, int]:
        """Returns the host and port at which callers reach an entry."""
        proxy = self._fleet.proxies[f"callers:{entry}"]
        host, _, port = proxy.address.rpartition(":")
        return host, int(port)

    # Phases.

    async def _wait_served(self) -> None:
        caller = callers.Caller("warm-up", self._plan.seed, self)
        async with asyncio.timeout(20.0):
            while True:
                call = await caller.call()
                if call is not None and call.whole and call.status == 200:
                    break
        caller.close()

    async def _inject_faults(self) -> list[promises.Call]:
        all_callers = [
            callers.Caller(f"c{number}", self._plan.seed, self)
            for number in range(CALLERS)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in all_callers]
        self._announce_limits(f"{LIMIT_PER_S}" if self._options.limited else "")
        if self._options.turning_away:
            for replica in self._rejecting_replicas:
                replica.turning_away.start(f"{PAUSE_S}", share=0.5)
        failing = asyncio.create_task(self._fail_most())
        if self._options.culprit is not Culprit.NONE:
            tasks.append(asyncio.create_task(self._send_culprit()))
        await asyncio.gather(
            *(self._injector.inject(fault) for fault in self._plan.faults)
        )
        await asyncio.sleep(CULPRIT_KNOWN_MS / _MS)
        self._limits_exceeded = self._find_limits_exceeded()
        self._pauses_violated = self._find_pauses_violated()
        self._announce_limits("")
        failing.cancel()
        for replica in self._fleet.replicas:
            replica.turning_away.stop()
        before = self._runs_of_culprit()
        await asyncio.sleep((SETTLE_MS - CULPRIT_KNOWN_MS) / _MS)
        self._culprit_runs = self._runs_of_culprit() - before
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for caller in all_callers:
            caller.close()
        return [call for caller in all_callers for call in caller.calls]

    async def _fail_most(self) -> None:
        """Lets all replicas fail requests, also those that restart."""
        while self._options.failing:
            for replica in self._fleet.replicas:
                replica.turning_away.start(share=FAILED_SHARE, status=500)
            await asyncio.sleep(FAIL_AGAIN_MS / _MS)

    def _announce_limits(self, limit: str) -> None:
        for replica in (self._fleet.engines[0], self._fleet.desks[0]):
            replica.need.name(limit)

    def _find_limits_exceeded(self) -> list[str]:
        """Returns the replicas that received more than their limit.

        Entries hit by a fault are excused. Replicas with a network fault are
        left out, since requests that were held back arrive all at once.
        """
        faulted = {fault.target for fault in self._plan.faults}
        if any(
            fault.kind is schedule.FaultKind.KILL_ALL
            for fault in self._plan.faults
        ):
            return []
        violations = []
        for name, replica in (
            ("engine-0", self._fleet.engines[0]),
            ("desk-0", self._fleet.desks[0]),
        ):
            max_requests = replica.need.most_in_window(faulted)
            allowed = named_limit.allowed_in_window(LIMIT_PER_S)
            if name not in faulted and max_requests > allowed:
                violations.append(
                    f"{name}: {max_requests} requests, allowed {allowed}"
                )
        return violations

    @property
    def _rejecting_replicas(self) -> list[Replica]:
        """The replicas that may reject requests."""
        return [self._fleet.engines[-1], self._fleet.desks[-1]]

    def _find_pauses_violated(self) -> list[str]:
        """Returns the replicas that received too many requests in a pause.

        The same exceptions apply as for limits.
        """
        faulted = {fault.target for fault in self._plan.faults}
        if any(
            fault.kind is schedule.FaultKind.KILL_ALL
            for fault in self._plan.faults
        ):
            return []
        names = [
            f"engine-{self._size.engines - 1}",
            f"desk-{self._size.desks - 1}",
        ]
        violations = []
        for name, replica in zip(names, self._rejecting_replicas, strict=True):
            max_requests = replica.turning_away.most_in_pause(faulted)
            if name not in faulted and max_requests > turning_away.ARRIVALS_MAX:
                violations.append(f"{name}: {max_requests} requests in a pause")
        return violations

    async def _send_culprit(self) -> None:
        """Sends requests that crash replicas, to the entries in turn."""
        is_part = self._options.culprit is Culprit.PART
        for number in itertools.count():
            hosts = self._fleet.entry_hosts
            body = b"%d" % number if is_part else direct_replicas.CRASHING_BODY
            part = f"{crashing_part.PART}:90," if is_part else ""
            await self._fleet.stream(
                hosts[number % len(hosts)],
                f"{CULPRIT}-{number}",
                body,
                parts=f"{callers.FIRST_PART},{part}{number:08x}:30",
            )
            await asyncio.sleep(CULPRIT_PAUSE_MS / _MS)

    def _runs_of_culprit(self) -> int:
        return sum(
            count
            for engine in self._fleet.engines
            for request_id, count in engine.runs.items()
            if request_id.startswith(CULPRIT)
        )

    async def _last_calls(self) -> list[promises.Call]:
        caller = callers.Caller("last", self._plan.seed, self)
        for _ in range(LAST_CALLS):
            await caller.call()
        caller.close()
        return caller.calls

    async def _watch_memory(self) -> None:
        """Records the peaks of the daemons' resident memory."""
        while True:
            for name, process in self._fleet.processes.items():
                if process.returncode is None:
                    peak_bytes = _peak_memory_bytes(process.pid)
                    known_bytes = self._memory_bytes.get(name, 0)
                    self._memory_bytes[name] = max(known_bytes, peak_bytes)
            await asyncio.sleep(MEMORY_POLL_S)

    def _evidence(
        self,
        calls: list[promises.Call],
        last: list[promises.Call],
        exits: list[str],
    ) -> promises.Evidence:
        runs: collections.Counter[str] = collections.Counter()
        for engine in self._fleet.engines:
            runs.update(engine.runs)
        for desk in self._fleet.desks:
            runs.update(desk.runs)
        return promises.Evidence(
            calls=calls,
            runs=runs,
            mixed_loads=0
            if self._options.spoilt
            else sum(e.mixed for e in self._fleet.engines),
            spoilt_runs=sum(len(e.runs_on_spoilt) for e in self._fleet.engines),
            unexpected_exits=exits,
            stops=self._injector.stops,
            revoked=self._injector.revoked,
            attempts_max=ATTEMPTS_MAX,
            events=direct_replicas.EVENTS,
            last_calls=last,
            culprit_runs=self._culprit_runs,
            limits_broken=self._limits_exceeded,
            pauses_broken=self._pauses_violated,
            memory_bytes=self._memory_bytes,
            retry_budget=self._fleet.retry_budget,
            network=self._network_evidence([*calls, *last]),
            placement=self._placement_evidence()
            if self._options.placement
            else None,
        )

    def _network_evidence(self, calls: list[promises.Call]) -> promises.Network:
        logs = {
            name: self._fleet.log(name)
            for name in self._fleet.processes
            if name.startswith("entry-")
        }
        arrivals = self._arrivals()
        proxies = {f"i-{n}": f"engine-{n}" for n in range(self._size.engines)}
        proxies |= {arrival.replica_id: arrival.proxy for arrival in arrivals}
        cut = [c for c in calls if c.ending is promises.CallEnding.CUT]
        return promises.Network(
            kills=self._injector.kills,
            outages=self._injector.outages + self._crashes(),
            refused=self._refused,
            read=frozenset(
                call.request_id
                for call in cut
                if f"request={call.request_id} " in logs[call.entry]
            ),
            attempts={
                call.request_id: [
                    proxies.get(replica_id, replica_id)
                    for replica_id in re.findall(
                        rf"event=attempt_failed request={call.request_id} "
                        r".*?replica=(\S+)",
                        logs[call.entry],
                    )
                ]
                for call in cut
            },
            attempts_max=ATTEMPTS_MAX
            if self._options.culprit is Culprit.NONE
            else 1,
            budget_spent=self._budget_spent(logs),
            arrivals=arrivals,
            engines=self._names[: self._size.engines],
        )

    def _budget_spent(self, logs: dict[str, str]) -> frozenset[str]:
        """Returns the streams that ended since the small budget was spent."""
        if not self._options.failing:
            return frozenset()
        broken = r"event=stream_broken request=(\S+) .*not_retried=retry_budget"
        return frozenset(
            request_id
            for log in logs.values()
            for request_id in re.findall(broken, log)
        )

    @property
    def _refused(self) -> dict[str, set[int]]:
        """Ports of callers that no entry accepted, by proxy."""
        return {name: p.refused for name, p in self._fleet.proxies.items()}

    @property
    def _names(self) -> list[str]:
        """Names of the replicas' proxies, in the order of the replicas."""
        return schedule.replica_names(self._size)

    def _crashes(self) -> list[promises.NetworkFault]:
        """Returns the periods in which crashed replicas were down."""
        return [
            promises.NetworkFault(
                target=name,
                from_ms=(at_s - self._started_s) * _MS,
                until_ms=(at_s + direct_replicas.DOWN_S - self._started_s)
                * _MS,
            )
            for name, replica in zip(
                self._names, self._fleet.replicas, strict=True
            )
            for at_s in replica.crashes.times_s
        ]

    def _arrivals(self) -> list[promises.Arrival]:
        return [
            promises.Arrival(
                at_ms=(arrival.at_s - self._started_s) * _MS,
                request_id=arrival.request_id,
                replica_id=arrival.replica_id,
                data_centre=replica.data_centre,
                proxy=name,
                misdirected=arrival.misdirected,
            )
            for name, replica in zip(
                self._names, self._fleet.replicas, strict=True
            )
            for arrival in replica.arrivals
        ]

    def _placement_evidence(self) -> promises.Placement:
        cold_starts = []
        for replica in self._fleet.replicas:
            cold_starts += [
                promises.ColdStart(
                    replica_id=start.replica_id,
                    from_ms=(start.at_s - self._started_s) * _MS,
                    until_ms=(start.at_s - self._started_s) * _MS
                    + CONSTRAINTS.cold_start_s * _MS,
                )
                for start in replica.cold.starts
            ]
        customer_regions = CONSTRAINTS.customer_regions or []
        return promises.Placement(
            regions=schedule.REGIONS,
            route_regions={
                promises.CallKind(name): frozenset(regions)
                for name, regions in CONSTRAINTS.route_regions.items()
            },
            key_regions={
                direct_documents.BOUND_KEY: frozenset(customer_regions)
            },
            cold_per_s=CONSTRAINTS.cold_per_s,
            arrivals=self._arrivals(),
            evacuations=self._injector.evacuations,
            cold_starts=cold_starts,
            network_faults=self._injector.network_faults,
        )


def _peak_memory_bytes(process_id: int) -> int:
    """Returns the peak of a process's resident memory, 0 if it has ended."""
    try:
        status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    return int(found[1]) * 1_024 if found else 0


async def play(
    folder: pathlib.Path,
    seed: int,
    size: schedule.Size,
    options: Options | None = None,
) -> Result:
    """Runs one seed and returns the result.

    Args:
      folder: directory for settings files and logs.
      seed: seed of the faults.
      size: size of the fleet and duration of the faults.
      options: what the run adds to the faults, None for nothing.
    """
    options = options or Options()
    plan = schedule.draw(
        seed,
        size,
        placement=options.placement,
        silent=options.silent,
        endless=options.endless,
        failing=options.failing,
        spoilt=options.spoilt,
    )
    return await Run(folder, plan, size, options).play()
