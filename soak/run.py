"""Runs one seed: a fleet of real processes, callers, faults, verdict."""

from __future__ import annotations

import asyncio
import collections
import enum
import itertools
import pathlib
import random
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
"""After the last fault the system serves as before within this time, which
the users' deployments give it too."""

LAST_CALLS = 40
RUN_TIMEOUT_S = 120.0
ATTEMPTS_MAX = 2
LIMIT_PER_S = 2.0
"""What the first engine and the first plain replica take while they are in
need."""

PAUSE_S = 2.0
"""What the last engine and the last plain replica ask for as they turn away."""

CONSTRAINTS = direct_documents.Constraints(
    route_regions={"order": ["north", "south"]},
    customer_regions=["south", "west"],
    cold_start_s=4.0,
    cold_per_s=3.0,
)
"""One region is left where both the route and the customer are bound."""

CULPRIT = "culprit"
CULPRIT_PAUSE_MS = 400.0
CULPRIT_KNOWN_MS = 3_000.0
"""After the last fault all entries know a request that crashes replicas within
this time."""

_MS = 1_000.0


class Result(msgspec.Struct, frozen=True):
    """What came of a seed.

    Attributes:
      plan: its faults.
      violations: promises that were broken.
      calls: calls made.
      served: calls served.
    """

    plan: schedule.Plan
    violations: list[promises.Violation]
    calls: int
    served: int


class Culprit(enum.Enum):
    """What crashes the replicas that run it."""

    NONE = "none"
    REQUEST = "request"
    """One request that is sent again and again."""

    PART = "part"
    """A part of the prompts of requests of which no two are alike."""


class Run:
    """One run; also what its callers ask for."""

    def __init__(
        self,
        folder: pathlib.Path,
        plan: schedule.Plan,
        size: schedule.Size,
        *,
        culprit: Culprit = Culprit.NONE,
        limited: bool = False,
        turning_away: bool = False,
        placement: bool = False,
    ) -> None:
        """Starts nothing before `play`.

        Args:
          folder: where settings files and logs go.
          plan: the faults.
          size: size of the fleet.
          culprit: what crashes replicas all the time.
          limited: whether two replicas name a limit while faults come.
          turning_away: whether two replicas turn half of the requests away and
            ask for a pause while faults come.
          placement: whether there are several regions, a route and a customer
            that are bound to some of them, and cold starts.
        """
        self._placement = placement
        self._plan = plan
        self._culprit = culprit
        self._limited = limited
        self._turning_away = turning_away
        self._culprit_runs = 0
        self._broken: list[str] = []
        self._pauses_broken: list[str] = []
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
        )
        self._started_s = time.monotonic()
        self._striker = strikes.Striker(self._fleet, self.now_ms)

    async def play(self) -> Result:
        """Plays the faults under calls and judges what was seen."""
        async with asyncio.timeout(RUN_TIMEOUT_S), self._fleet:
            self._striker.publish()
            await self._until_served()
            self._started_s = time.monotonic()
            made = await self._under_faults()
            last = await self._last_calls()
            exits = [
                name
                for name, process in self._fleet.processes.items()
                if process.returncode is not None
            ]
        seen = self._evidence(made, last, exits)
        return Result(
            self._plan,
            promises.check(seen),
            len(made),
            sum(c.whole and c.status == 200 for c in made),
        )

    # What callers ask for.

    def now_ms(self) -> float:
        """Returns the time since the calls began."""
        return (time.monotonic() - self._started_s) * _MS

    def key(self, rng: random.Random) -> str:
        """Returns a key, now and then one that was revoked."""
        keys = [direct_documents.KEY, *strikes.REVOCABLE_KEYS]
        if self._placement:
            keys.append(direct_documents.BOUND_KEY)
        return rng.choice(keys)

    async def entries(self, rng: random.Random) -> list[str]:
        """Returns the entries that a look-up names, [] if it fails."""
        hosts = list(self._fleet.entry_hosts)
        asked = rng.sample(hosts, len(hosts))
        region = ""
        if self._placement:
            region = rng.choice(list(schedule.REGIONS.values()))
        for host in asked:
            try:
                async with asyncio.timeout(1.0):
                    answer = await self._fleet.lookup(host, region)
            except (OSError, TimeoutError):
                # A look-up that fails is made at the next entry.
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
        """Returns the start of an entry's process, counted from 0."""
        return self._striker.starts.get(entry, 0)

    def address(self, entry: str) -> tuple[str, int]:
        """Returns where callers reach an entry."""
        proxy = self._fleet.proxies[f"callers:{entry}"]
        host, _, port = proxy.address.rpartition(":")
        return host, int(port)

    # Phases.

    async def _until_served(self) -> None:
        caller = callers.Caller("warm-up", self._plan.seed, self)
        async with asyncio.timeout(20.0):
            while True:
                call = await caller.call()
                if call is not None and call.whole and call.status == 200:
                    break
        caller.close()

    async def _under_faults(self) -> list[promises.Call]:
        crowd = [
            callers.Caller(f"c{number}", self._plan.seed, self)
            for number in range(CALLERS)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in crowd]
        self._name_limits(f"{LIMIT_PER_S}" if self._limited else "")
        if self._turning_away:
            for replica in self._turning:
                replica.turning_away.start(f"{PAUSE_S}", share=0.5)
        if self._culprit is not Culprit.NONE:
            tasks.append(asyncio.create_task(self._send_culprit()))
        await asyncio.gather(
            *(self._striker.strike(fault) for fault in self._plan.faults)
        )
        await asyncio.sleep(CULPRIT_KNOWN_MS / _MS)
        self._broken = self._limits_broken()
        self._pauses_broken = self._find_pauses_broken()
        self._name_limits("")
        for replica in self._turning:
            replica.turning_away.stop()
        before = self._runs_of_culprit()
        await asyncio.sleep((SETTLE_MS - CULPRIT_KNOWN_MS) / _MS)
        self._culprit_runs = self._runs_of_culprit() - before
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for caller in crowd:
            caller.close()
        return [call for caller in crowd for call in caller.calls]

    def _name_limits(self, limit: str) -> None:
        for replica in (self._fleet.engines[0], self._fleet.desks[0]):
            replica.need.name(limit)

    def _limits_broken(self) -> list[str]:
        """Returns what was sent beyond the limits named.

        Entries that were struck are excused, and replicas whose network failed
        are left out: what was held back arrives at once.
        """
        struck = {fault.target for fault in self._plan.faults}
        if any(
            fault.kind is schedule.FaultKind.KILL_ALL
            for fault in self._plan.faults
        ):
            return []
        broken = []
        for name, replica in (
            ("engine-0", self._fleet.engines[0]),
            ("desk-0", self._fleet.desks[0]),
        ):
            most = replica.need.most_in_window(struck)
            allowed = named_limit.allowed_in_window(LIMIT_PER_S)
            if name not in struck and most > allowed:
                broken.append(f"{name}: {most} requests, allowed {allowed}")
        return broken

    @property
    def _turning(self) -> list[Replica]:
        """The replicas that may turn requests away."""
        return [self._fleet.engines[-1], self._fleet.desks[-1]]

    def _find_pauses_broken(self) -> list[str]:
        """Returns what was sent in pauses; excused as for limits."""
        struck = {fault.target for fault in self._plan.faults}
        if any(
            fault.kind is schedule.FaultKind.KILL_ALL
            for fault in self._plan.faults
        ):
            return []
        names = [
            f"engine-{self._size.engines - 1}",
            f"desk-{self._size.desks - 1}",
        ]
        broken = []
        for name, replica in zip(names, self._turning, strict=True):
            most = replica.turning_away.most_in_pause(struck)
            if name not in struck and most > turning_away.ARRIVALS_MAX:
                broken.append(f"{name}: {most} requests in a pause")
        return broken

    async def _send_culprit(self) -> None:
        """Sends requests that crash replicas to all entries in turn."""
        is_part = self._culprit is Culprit.PART
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

    def _evidence(
        self,
        made: list[promises.Call],
        last: list[promises.Call],
        exits: list[str],
    ) -> promises.Evidence:
        runs: collections.Counter[str] = collections.Counter()
        for engine in self._fleet.engines:
            runs.update(engine.runs)
        for desk in self._fleet.desks:
            runs.update(desk.runs)
        return promises.Evidence(
            calls=made,
            runs=runs,
            mixed_loads=sum(e.mixed for e in self._fleet.engines),
            unexpected_exits=exits,
            stops=self._striker.stops,
            revoked=self._striker.revoked,
            attempts_max=ATTEMPTS_MAX,
            events=direct_replicas.EVENTS,
            last_calls=last,
            culprit_runs=self._culprit_runs,
            limits_broken=self._broken,
            pauses_broken=self._pauses_broken,
            placement=self._placement_evidence() if self._placement else None,
        )

    def _placement_evidence(self) -> promises.Placement:
        arrivals = []
        cold_starts = []
        names = [
            *(f"engine-{n}" for n in range(self._size.engines)),
            *(f"desk-{n}" for n in range(self._size.desks)),
        ]
        for name, replica in zip(names, self._fleet.replicas, strict=True):
            arrivals += [
                promises.Arrival(
                    at_ms=(arrival.at_s - self._started_s) * _MS,
                    request_id=arrival.request_id,
                    replica_id=arrival.replica_id,
                    data_centre=replica.data_centre,
                    proxy=name,
                    misdirected=arrival.misdirected,
                )
                for arrival in replica.arrivals
            ]
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
            arrivals=arrivals,
            evacuations=self._striker.evacuations,
            cold_starts=cold_starts,
            network_faults=self._striker.network_faults,
        )


async def play(
    folder: pathlib.Path,
    seed: int,
    size: schedule.Size,
    *,
    culprit: Culprit = Culprit.NONE,
    limited: bool = False,
    turning_away: bool = False,
    placement: bool = False,
) -> Result:
    """Plays one seed; settings files and logs go to `folder`."""
    plan = schedule.draw(seed, size, placement=placement)
    played = Run(
        folder,
        plan,
        size,
        culprit=culprit,
        limited=limited,
        turning_away=turning_away,
        placement=placement,
    )
    return await played.play()
