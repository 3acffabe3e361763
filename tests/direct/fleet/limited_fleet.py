"""Simulates entries that send to rate-limited replicas, in virtual time.

`python -m tests.direct.fleet.limited_fleet` compares strategies that enforce a
limit.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
import enum
import sys

from marlramp import clock
from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.replicas import admission
from marlramp.core.replicas import replica_filters
from marlramp.core.replicas import replica_view
from marlramp.core.replicas import send_limiter
from marlramp.core.replicas import upstream_choice
from marlramp.direct.calls import wire
from marlramp.experiments import virtual_time
from standins import named_limit
from tests.direct.fleet import virtual_fleet

SERVICE = ids.ServiceId("s")
ANSWER_MS = 45.0
PATH_LATENCY_MS = (1.0, 4.0)
OBJECTIVE_MS = 200.0
CONTACT_MS = 1_000.0 * named_limit.CONTACT_S
_MS = clock.MILLIS_PER_SECOND


class Strategy(enum.Enum):
    """Strategies by which entries enforce a limit together."""

    RESERVED = "reserved"
    OWNER = "owner sends alone"
    SHARES = "equal shares"


class Replica:
    """A replica without an engine, and its rate limit."""

    def __init__(self, number: int, data_centres: int) -> None:
        self.listed = fleet.Replica(
            replica_id=f"i-{number}",
            service_id=SERVICE,
            address=f"10.9.0.{number}:80",
            data_centre=ids.DataCentreId(f"dc-{number % data_centres}"),
            slots=6,
            state=fleet.ReplicaState.HEALTHY,
            weights=None,
            born_ms=1,
        )
        self.need = named_limit.NamedLimit()

    def name(self, per_s: float | None) -> None:
        """Announces a limit, or with None that there is no limit."""
        self.need.name("" if per_s is None else str(per_s))

    def requests_between(self, start_ms: float, end_ms: float) -> int:
        """Returns the number of requests that arrived in a period."""
        return self.need.used(start_ms / _MS, (end_ms - start_ms) / _MS)


class LimitedFleet(virtual_fleet.VirtualFleet):
    """A fleet of entries that send requests on a loop in virtual time."""

    def __init__(
        self,
        count: int,
        replicas: int,
        regions: int = 3,
        seed: int = 1,
        strategy: Strategy = Strategy.RESERVED,
        data_centres: int | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        assert isinstance(self._loop, virtual_time.VirtualLoop)
        self.virtual = virtual_time.VirtualClock(self._loop)
        self.strategy = strategy
        self.replicas = {
            f"i-{n}": Replica(n, data_centres or regions)
            for n in range(replicas)
        }
        self.known = catalog.Catalog()
        self.known.apply(
            [
                catalog.ReplicaChange(1 + n, r.listed.replica_id, r.listed)
                for n, r in enumerate(self.replicas.values())
            ],
            self.virtual.now_ms(),
        )
        self.served = 0
        self.refused = 0
        self._shares: dict[tuple[str, str], send_limiter.SendLimiter] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        super().__init__(count, regions, seed, self.virtual, data_centres)

    def start(
        self, number: int, incarnation: int = 1_000
    ) -> virtual_fleet.VirtualEntry:
        entry = super().start(number, incarnation)
        entry.table.sync(self.known, self.virtual.now_ms())
        return entry

    def _at(self, in_ms: float, event: Callable[[], None]) -> None:
        self._loop.call_later(in_ms / _MS, event)

    async def sleep(self, ms: float) -> None:
        """Advances the virtual time."""
        await asyncio.sleep(ms / _MS)

    async def load(
        self, per_s: float, ms: float, entries: Collection[str] = ()
    ) -> None:
        """Sends requests for a period.

        Args:
          per_s: requests per second of the whole fleet.
          ms: length of the period.
          entries: names of the entries that get the requests, picked
            uniformly at random; all if empty.
        """
        end_ms = self.virtual.now_ms() + ms
        while True:
            await self.sleep(self.rng.expovariate(per_s) * _MS)
            if self.virtual.now_ms() >= end_ms:
                return
            candidates = [
                entry
                for entry in self.running()
                if not entry.suspended
                and (not entries or entry.name in entries)
            ]
            self.spawn(self.rng.choice(candidates))

    def spawn(self, entry: virtual_fleet.VirtualEntry) -> None:
        """Gives a request to an entry."""
        task = asyncio.create_task(self._call(entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, entry: virtual_fleet.VirtualEntry) -> None:
        started_ms = self.virtual.now_ms()
        while True:
            now_ms = self.virtual.now_ms()
            left_ms = OBJECTIVE_MS - (now_ms - started_ms)
            request = admission.Request(
                wanted=replica_filters.RequestNeeds(
                    engine=None,
                    prompt_tokens=0,
                    events=1.0,
                    oldest_weights=0,
                    failed=(),
                    limit_wait_max_ms=max(0.0, left_ms),
                ),
                elapsed_ms=now_ms - started_ms,
                wait_max_ms=2_000.0,
                objective_ms=OBJECTIVE_MS,
            )
            locations = upstream_choice.PreferredLocations(
                {entry.member.data_centre}
            )
            views = entry.table.of(SERVICE)
            choice = admission.decide(
                views, request, locations, now_ms, self.rng
            )
            if not isinstance(choice, upstream_choice.Choice):
                self.refused += 1
                return
            wait_ms = 0.0
            if choice.view.limit is not None:
                reserved_ms = await self._reserve(entry, choice)
                if reserved_ms is None:
                    continue
                wait_ms = reserved_ms
            await self.sleep(wait_ms)
            await self._send(entry, choice.view)
            return

    async def _reserve(
        self, entry: virtual_fleet.VirtualEntry, choice: upstream_choice.Choice
    ) -> float | None:
        view = choice.view
        wait_max_ms = choice.limit_wait_max_ms
        if self.strategy is Strategy.RESERVED:
            return await entry.limits.reserve(view, wait_max_ms)
        limit = view.limit
        assert limit is not None
        now_ms = self.virtual.now_ms()
        per_s = limit.per_s
        if self.strategy is Strategy.SHARES:
            per_s /= len(self.running())
        elif entry.limits.limiters_of(view)[0] != entry.name:
            limit.reserve_from_ms = now_ms + 100.0
            return None
        key = (entry.name, view.replica.replica_id)
        if key not in self._shares:
            self._shares[key] = send_limiter.SendLimiter(now_ms, per_s)
        limiter = self._shares[key]
        wait_ms = limiter.reserve(now_ms, per_s, wait_max_ms)
        limit.next_ms = now_ms + limiter.next_in_ms(now_ms, per_s)
        if wait_ms is None:
            limit.reserve_from_ms = now_ms + 20.0
        return wait_ms

    async def _send(
        self, entry: virtual_fleet.VirtualEntry, view: replica_view.ReplicaView
    ) -> None:
        replica = self.replicas[view.replica.replica_id]
        sent_ms = self.virtual.now_ms()
        view.record_sent(0, sent_ms)
        await self.sleep(self.rng.uniform(*PATH_LATENCY_MS))
        name = f"{entry.name}/{sent_ms}"
        replica.need.arrived(name)
        await self.sleep(ANSWER_MS)
        named = replica.need.headers(name).get("server_limit")
        per_s = None if named is None else float(named)
        await self.sleep(self.rng.uniform(*PATH_LATENCY_MS))
        if not entry.running:
            return
        view.record_ended()
        entry.limits.handle_answer(view, answer(per_s), sent_ms)
        self.served += 1


def answer(per_s: float | None) -> wire.ReplicaAnswer:
    """Returns a successful answer with a limit, or without one."""
    return wire.ReplicaAnswer(
        status=200,
        matches_request=True,
        signed=True,
        not_run=False,
        encoded=False,
        weights=None,
        load=None,
        headers=[],
        limit_per_s=per_s,
    )


def play(run: Callable[[], Awaitable[None]]) -> None:
    """Runs a coroutine in virtual time."""
    loop = virtual_time.VirtualLoop()
    try:
        loop.run_until_complete(_run_and_cancel_rest(run))
    finally:
        loop.close()


async def _run_and_cancel_rest(run: Callable[[], Awaitable[None]]) -> None:
    await run()
    rest = asyncio.all_tasks() - {asyncio.current_task()}
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)


async def _compare(
    strategy: Strategy, count: int, limited: int, per_s: float
) -> None:
    replicas = 12
    simulated = LimitedFleet(count, replicas, strategy=strategy, seed=3)
    await simulated.sleep(6_000.0)
    rate = 40.0
    await simulated.load(rate, 2_000.0)
    start_ms = simulated.virtual.now_ms()
    for replica in list(simulated.replicas.values())[:limited]:
        replica.name(per_s)
    sent = {e.name: limit_bytes(e) for e in simulated.running()}
    served, refused = simulated.served, simulated.refused
    need_ms = 19_000.0
    await simulated.load(rate, need_ms)
    named = list(simulated.replicas.values())[:limited]
    counted_s = (need_ms - CONTACT_MS) / _MS
    end_ms = simulated.virtual.now_ms()
    used = [
        r.requests_between(start_ms + CONTACT_MS, end_ms) / (per_s * counted_s)
        for r in named
    ]
    rates = [
        (limit_bytes(e) - sent.get(e.name, 0)) / (need_ms / _MS)
        for e in simulated.running()
    ]
    made = simulated.served - served + simulated.refused - refused
    print(
        f"| {strategy.value} | {count} | {limited} of {replicas}, {per_s} | "
        f"{max(r.need.most_in_window() for r in named)} of "
        f"{named_limit.allowed_in_window(per_s)} | "
        f"{min(used):.2f}, {sum(used) / len(used):.2f} | "
        f"{(simulated.served - served) / made:.3f} | "
        f"{sum(rates) / len(rates):.0f}, {max(rates):.0f} |",
        flush=True,
    )


def limit_bytes(entry: virtual_fleet.VirtualEntry) -> int:
    """Returns the bytes of an entry's messages about limits."""
    kinds = ("LimitNews", "LimitRequest", "SendRequest", "SendReply")
    return sum(entry.kind_bytes[k] for k in (*kinds, "SendReserved"))


def main() -> None:
    """Prints the comparison as rows of a table."""
    for count in [int(arg) for arg in sys.argv[1:]] or [3, 8, 44]:
        for limited, per_s in ((5, 1.0), (12, 2.0)):
            for strategy in Strategy:

                async def run(
                    strategy: Strategy = strategy,
                    count: int = count,
                    limited: int = limited,
                    per_s: float = per_s,
                ) -> None:
                    await _compare(strategy, count, limited, per_s)

                play(run)


if __name__ == "__main__":
    main()
