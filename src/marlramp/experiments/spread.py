"""Simulates the distribution of a version among agents in virtual time.

Links, the origin and the load of live calls are models. The choice of pieces
and peers, fragments, announcements and pacing are the agents' own modules.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import statistics

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core.membership import cells
from marlramp.core.membership import members
from marlramp.core.weights import manifest
from marlramp.core.weights import relay_assignment
from marlramp.direct.weights import piece_exchange
from marlramp.direct.weights import piece_relay
from marlramp.direct.weights import version_digests
from marlramp.experiments import spread_plan
from marlramp.experiments import virtual_links
from marlramp.experiments import virtual_time
from marlramp.platform import clients
from marlramp.protocol import codec

MODEL = "m"
MANIFEST_BYTES = 5_000
REQUESTS_PER_S = 8.0
PROMPT_BYTES = 900
"""Rate of live requests at each engine, and their size."""

LIVE_STEP_MS = 10.0
"""Interval at which live calls send data."""

ORIGIN_CONNECTIONS = 48
"""Connections that the origin accepts; further ones are reset."""

MEMBERS_KNOW_MS = 2_800.0
"""Time until all entries know that an entry has failed."""

LIMIT_MS = 60_000.0
NEAR_DELAY_MS = 0.7
FAR_DELAY_MS = 2.8
_MS = clock.MILLIS_PER_SECOND


class _Origin:
    """Client of the origin for one VM."""

    def __init__(self, fleet: _Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    async def manifest(self, model: str, version: int) -> manifest.Manifest:
        await self._call(MANIFEST_BYTES)
        return self._fleet.manifest

    async def piece(
        self, model: str, version: int, index: int, bytes_max: int
    ) -> bytes:
        data = self._fleet.pieces[index]
        await self._call(len(data))
        return data

    async def _call(self, size_bytes: int) -> None:
        fleet = self._fleet
        await asyncio.sleep(2 * FAR_DELAY_MS / _MS)
        self._check()
        if fleet.open_origin_connections >= ORIGIN_CONNECTIONS:
            raise clients.UnreachedError(
                "the origin accepts no more connections"
            )
        fleet.open_origin_connections += 1
        try:
            await fleet.origin_sender.send(size_bytes)
        finally:
            fleet.open_origin_connections -= 1
        self._check()
        arrived: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        fleet.network.down[self._name].carry(
            size_bytes,
            lambda: _complete(arrived),
        )
        await arrived

    def _check(self) -> None:
        if self._fleet.is_lost(self._name):
            raise clients.UnreachedError("this VM has lost power")
        from_ms, until_ms = self._fleet.plan.origin_away_ms
        if from_ms <= self._fleet.time.now_ms() < until_ms:
            raise clients.UnreachedError("the origin is unreachable")


def _complete(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


class _Links:
    """Links of a VM; messages are sent on open links only."""

    def __init__(self, fleet: _Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name
        self.opened: set[str] = set()

    def open(self, name: str, host: str, port: int) -> bool:
        is_new = name not in self.opened
        self.opened.add(name)
        self._fleet.links[name].opened.add(self._name)
        return is_new

    def close(self, name: str) -> None:
        self.opened.discard(name)

    def send(self, name: str, message: msgspec.Struct) -> bool:
        return self.send_encoded(name, codec.encode_once(message))

    def send_encoded(self, name: str, message: codec.Encoded) -> bool:
        if name not in self.opened:
            return False
        fleet = self._fleet

        def on_arrival() -> None:
            if fleet.is_lost(name) or fleet.is_lost(self._name):
                return
            decoded = fleet.decoder.decode(message.data)
            fleet.process(name).on_message(self._name, decoded)

        fleet.network.deliver(self._name, name, len(message.data), on_arrival)
        return True


class _Entry:
    """The entry that a relay belongs to."""

    def __init__(self, fleet: _Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def locations(self) -> dict[str, relay_assignment.Location]:
        fleet = self._fleet
        lost_ms = fleet.plan.relays_lost_ms + MEMBERS_KNOW_MS
        if fleet.plan.relays_lost and fleet.time.now_ms() >= lost_ms:
            return fleet.remaining_locations
        return fleet.locations

    def wanted(self) -> list[version_digests.ModelVersion]:
        return [version_digests.ModelVersion(MODEL, 2)]

    def piece_ms(self) -> float:
        plan = self._fleet.plan
        return plan.piece_bytes / plan.origin_bytes_per_s * _MS

    def origin_connections(self) -> int:
        return ORIGIN_CONNECTIONS

    def age_ms(self, wanted: version_digests.ModelVersion) -> float | None:
        if self._fleet.plan.holders:
            return None
        return self._fleet.time.now_ms()

    def send_piece_message(self, name: str, message: msgspec.Struct) -> bool:
        return self._fleet.links[self._name].send(name, message)


class _Fleet:
    """Agents, relays, their links, and the origin."""

    def __init__(
        self, plan: spread_plan.Plan, time: virtual_time.VirtualClock
    ) -> None:
        self.plan = plan
        self.time = time
        self.rng = random.Random(plan.seed)
        self.pieces = [
            index.to_bytes(4, "big") * (plan.piece_bytes // 4)
            for index in range(plan.pieces)
        ]
        self.manifest = manifest.Manifest(
            model=MODEL,
            version="2",
            chunk_bytes=plan.piece_bytes,
            total_bytes=plan.copy_bytes,
            chunks=[hashlib.sha256(p).hexdigest() for p in self.pieces],
            whole="",
        )
        self.decoder = codec.agent_peer_decoder()
        self.network = virtual_links.Network(
            plan.link_bytes_per_s,
            plan.region_bytes_per_s,
            NEAR_DELAY_MS,
            FAR_DELAY_MS,
        )
        self.origin_sender = virtual_links.FairSender(
            virtual_links.Link(plan.origin_bytes_per_s)
        )
        self.links: dict[str, _Links] = {}
        self.exchanges: dict[str, piece_exchange.PieceExchange] = {}
        self.live_waits_ms: list[float] = []
        self.prompt_waits_ms: list[float] = []
        self.complete_ms: dict[str, float] = {}
        self.first_piece_ms: dict[str, float] = {}
        self._held_anywhere: set[int] = set()
        self.last_seen_ms = 0.0
        self.relays: dict[str, piece_relay.PieceRelay] = {}
        self._entries = [self._entry(n) for n in range(plan.relays)]
        self._agents = [
            self._member(n) for n in range(plan.agents + plan.holders)
        ]
        all_cells = cells.Cells(self._entries, self._agents, {})
        self.locations = {
            vm_id: relay_assignment.Location(cell.region, cell.name)
            for cell in all_cells.all
            for vm_id in cell.entries
        }
        self._cells = all_cells
        self.lost = {e.vm_id for e in self._entries[: plan.relays_lost]}
        self.remaining_locations = {
            vm_id: location
            for vm_id, location in self.locations.items()
            if vm_id not in self.lost
        }
        self.open_origin_connections = 0
        self._add_relays()
        self._add_agents()

    def is_lost(self, name: str) -> bool:
        """Returns whether a VM has lost power."""
        lost_ms = self.plan.relays_lost_ms
        return name in self.lost and self.time.now_ms() >= lost_ms

    def process(
        self, name: str
    ) -> piece_exchange.PieceExchange | piece_relay.PieceRelay:
        """Returns the receiver of a VM's messages."""
        return self.relays.get(name) or self.exchanges[name]

    def _add_relays(self) -> None:
        for member in self._entries:
            name = member.vm_id
            rate = self.plan.relay_bytes_per_s
            self.network.add(name, member.data_centre, rate)
            self.links[name] = _Links(self, name)
        for member in self._entries:
            name = member.vm_id
            for other in self._entries:
                if other is not member:
                    self.links[name].open(other.vm_id, other.host, 1)
            relay = piece_relay.PieceRelay(
                name,
                _Entry(self, name),
                self.plan.relay_bytes_per_s,
                counters.Counters(),
                self.time,
                random.Random(f"{self.plan.seed} {name}"),
            )
            relay.set_origin(_Origin(self, name))
            self.relays[name] = relay

    def _entry(self, number: int) -> members.Member:
        return members.Member(
            vm_id=ids.VmId(f"entry-{number}"),
            kind=members.MemberKind.ENTRY,
            data_centre=ids.DataCentreId(f"dc-{number % self.plan.regions}"),
            host=f"10.1.{number // 250}.{number % 250}",
            port=1,
        )

    def _add_agents(self) -> None:
        agents = self._agents
        slow = int(self.plan.slow_share * len(agents))
        for number, member in enumerate(agents):
            rate = self.plan.link_bytes_per_s
            if number < slow:
                rate /= self.plan.slow_factor
            self.network.add(member.vm_id, member.data_centre, rate)
            self.links[member.vm_id] = _Links(self, member.vm_id)
        for member in agents:
            exchange = piece_exchange.PieceExchange(
                member,
                self.plan.link_bytes_per_s,
                counters.Counters(),
                self.time,
                random.Random(f"{self.plan.seed} {member.vm_id}"),
            )
            exchange.attach(self.links[member.vm_id])
            exchange.set_origin(_Origin(self, member.vm_id))
            peers = {m.vm_id: m for m in agents if m is not member}
            near = {
                m.vm_id for m in agents if m.data_centre == member.data_centre
            }
            exchange.set_peers(peers, near)
            cell = self._cells.of_agent(member.vm_id)
            entries = [] if cell is None else cell.entries
            for name in entries:
                self.links[member.vm_id].open(name, "", 1)
            exchange.attach_relays(self.links[member.vm_id])
            exchange.set_relays(entries)
            self.exchanges[member.vm_id] = exchange

    def _member(self, number: int) -> members.Member:
        return members.Member(
            vm_id=ids.VmId(f"vm-{number}"),
            kind=members.MemberKind.AGENT,
            data_centre=ids.DataCentreId(f"dc-{number % self.plan.regions}"),
            host=f"10.0.{number // 250}.{number % 250}",
            port=1,
        )

    async def run(self) -> None:
        """Runs until all agents hold the version."""
        tasks = [
            asyncio.create_task(work)
            for name, exchange in self.exchanges.items()
            for work in (
                exchange.run(),
                self._live_answers(name),
                self._live_requests(name),
            )
        ]
        tasks += [asyncio.create_task(r.run()) for r in self.relays.values()]
        for relay in self.relays.values():
            relay.wake()
        names = list(self.exchanges)
        for name in names[: self.plan.holders]:
            await self._add_all_pieces(self.exchanges[name])
        try:
            async with asyncio.timeout(LIMIT_MS / _MS):
                async with asyncio.TaskGroup() as group:
                    for name in names[self.plan.holders :]:
                        group.create_task(self._fetch(name))
        finally:
            for task in tasks:
                task.cancel()

    async def _add_all_pieces(
        self, exchange: piece_exchange.PieceExchange
    ) -> None:
        wanted = version_digests.ModelVersion(MODEL, 2)
        await exchange.find_manifest(wanted, lambda: True)
        for index, piece in enumerate(self.pieces):
            exchange.add(wanted, index, piece)
        exchange.start_fetch(wanted, is_new=False)

    async def _fetch(self, name: str) -> None:
        exchange = self.exchanges[name]
        wanted = version_digests.ModelVersion(MODEL, 2)
        delay_ms = self.rng.uniform(0.0, self.plan.heard_within_ms)
        await asyncio.sleep(delay_ms / _MS)
        chunk_set = await exchange.find_manifest(wanted, lambda: True)
        assert chunk_set is not None
        exchange.start_fetch(wanted, is_new=self.plan.holders == 0)
        while not chunk_set.complete:
            exchange.changed.clear()
            await exchange.changed.wait()
            self._record_progress(name, chunk_set)
        self.complete_ms[name] = self.time.now_ms()

    def _record_progress(self, name: str, chunk_set: manifest.ChunkSet) -> None:
        now_ms = self.time.now_ms()
        held = chunk_set.held
        if held:
            self.first_piece_ms.setdefault(name, now_ms)
        if held - self._held_anywhere:
            self._held_anywhere |= held
            self.last_seen_ms = now_ms

    async def _live_requests(self, name: str) -> None:
        """Sends the prompts of live requests."""
        link = self.network.down[name]
        while True:
            await asyncio.sleep(self.rng.expovariate(REQUESTS_PER_S))
            self.prompt_waits_ms.append(link.carry(PROMPT_BYTES, lambda: None))

    async def _live_answers(self, name: str) -> None:
        """Sends the events of live answers."""
        link = self.network.up[name]
        bytes_per_s = self.plan.live_share * self.plan.link_bytes_per_s
        size = int(bytes_per_s * LIVE_STEP_MS / _MS)
        await asyncio.sleep(self.rng.uniform(0.0, LIVE_STEP_MS) / _MS)
        while size > 0:
            wait_ms = link.carry(size, lambda: None)
            self.live_waits_ms.append(wait_ms)
            await asyncio.sleep(LIVE_STEP_MS / _MS)


def play(plan: spread_plan.Plan) -> spread_plan.Report:
    """Simulates a plan and returns the results."""
    loop = virtual_time.VirtualLoop()
    try:
        fleet = _Fleet(plan, virtual_time.VirtualClock(loop))
        loop.run_until_complete(fleet.run())
        loop.run_until_complete(_end_tasks(loop))
    finally:
        loop.close()
    return _report(plan, fleet)


async def _end_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Cancels the remaining tasks and waits until they have ended."""
    remaining = asyncio.all_tasks(loop) - {asyncio.current_task()}
    for task in remaining:
        task.cancel()
    await asyncio.gather(*remaining, return_exceptions=True)


def _report(plan: spread_plan.Plan, fleet: _Fleet) -> spread_plan.Report:
    complete_ms = sorted(fleet.complete_ms.values())
    waits_ms = sorted(fleet.live_waits_ms) or [0.0]
    prompts_ms = sorted(fleet.prompt_waits_ms) or [0.0]
    network = fleet.network
    elapsed_ms = complete_ms[-1]
    fetching = list(fleet.complete_ms)
    sent = fleet.origin_sender.sent_bytes
    return spread_plan.Report(
        first_whole_ms=round(complete_ms[0]),
        half_whole_ms=round(complete_ms[len(complete_ms) // 2]),
        last_whole_ms=round(complete_ms[-1]),
        limit_ms=round(spread_plan.limit_of(plan).all_ms),
        last_seen_ms=round(fleet.last_seen_ms),
        last_first_piece_ms=round(max(fleet.first_piece_ms.values())),
        origin_copies=round(sent / plan.copy_bytes, 2),
        region_copies=round(
            network.region_bytes() / plan.copy_bytes / max(1, plan.regions - 1),
            2,
        ),
        live_wait_ms=round(statistics.fmean(waits_ms), 1),
        live_wait_p99_ms=round(_p99(waits_ms), 1),
        prompt_wait_ms=round(statistics.fmean(prompts_ms), 1),
        prompt_wait_p99_ms=round(_p99(prompts_ms), 1),
        up_busy=_busy([network.up[n] for n in fetching], elapsed_ms),
        down_busy=_busy([network.down[n] for n in fetching], elapsed_ms),
    )


def _p99(ordered: list[float]) -> float:
    return ordered[int(0.99 * (len(ordered) - 1))]


def _busy(links: list[virtual_links.Link], elapsed_ms: float) -> float:
    shares = [link.busy_ms / elapsed_ms for link in links]
    return round(statistics.fmean(shares), 3)
