"""Simulates entries and agents with links between them, in virtual time."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
import heapq
import itertools
import random
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp.core.crashes import crash_record
from marlramp.core.membership import fleet_size
from marlramp.core.membership import members
from marlramp.core.replicas import replica_table
from marlramp.direct.fleet import crash_backup
from marlramp.direct.fleet import crash_sync
from marlramp.direct.fleet import entry_contacts
from marlramp.direct.fleet import entry_limits
from marlramp.direct.fleet import member_sync
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from marlramp.settings import node

TICK_MS = 100.0
DELAY_MS = (1.0, 5.0)
PORT = 8_000


class Alone:
    """State of an entry that ignores all events of the membership."""

    revision = 0
    crash_digest = 0

    limit_digest = 0

    def on_crash_digest(self, name: str, digest: int) -> None:
        pass

    def on_limit_digest(self, name: str, digest: int) -> None:
        pass

    def on_member(self, member: members.Member) -> None:
        pass

    def on_revision(self, name: str, revision: int) -> None:
        pass


class VirtualEntry:
    """An entry with its membership, crashes, limits and ends of links."""

    def __init__(
        self, fleet: VirtualFleet, number: int, incarnation: int
    ) -> None:
        self.fleet = fleet
        self.member = members.Member(
            f"entry-{number}",
            members.MemberKind.ENTRY,
            f"dc-{number % len(fleet.region_of)}",
            f"10.0.{number // 250}.{number % 250}",
            PORT,
            f"10.0.{number // 250}.{number % 250}:8005",
        )
        self.running = True
        self.suspended = False
        self.state = members.MemberState.READY
        self.revision = 0
        self.revisions_heard: list[tuple[str, int]] = []
        self.agents_met: list[str] = []
        self.sent_bytes = 0
        self.sent_far_bytes = 0
        self.sent_kinds: collections.Counter[str] = collections.Counter()
        self.kind_bytes: collections.Counter[str] = collections.Counter()
        self.opened: dict[str, VirtualEntry | None] = {}
        self.sync = member_sync.MemberSync(
            self.member,
            incarnation,
            fleet.seeds,
            fleet.near(self.member.data_centre),
            fleet_size.FleetSize(fleet.region_of, fleet.time),
            self,
            fleet.time,
            random.Random(f"{fleet.seed} {number}"),
        )
        self.sync.attach(self)
        self.crashes = crash_record.CrashRecord()
        self.crash_sync = crash_sync.CrashSync(
            self.crashes,
            self.sync,
            lambda: list(fleet.agents),
            counters.Counters(),
            fleet.time,
            random.Random(f"{fleet.seed} {number}"),
        )

        self.table = replica_table.ReplicaTable()
        self.totals = counters.Counters()
        self.limits = entry_limits.EntryLimits(
            self.sync,
            self.table,
            fleet.region_of,
            self.totals,
            fleet.time,
            random.Random(f"{fleet.seed} {number}"),
        )

    @property
    def name(self) -> str:
        return self.member.vm_id

    def tick(self) -> None:
        """Does the periodic work."""
        self.sync.set_state(self.state)
        self.sync.tick()
        self.crash_sync.tick()
        self.limits.tick()

    # State of the entry that the membership queries.

    def on_member(self, member: members.Member) -> None:
        self.agents_met.append(member.vm_id)

    def on_revision(self, name: str, revision: int) -> None:
        self.revisions_heard.append((name, revision))

    @property
    def crash_digest(self) -> int:
        return self.crash_sync.digest

    def on_crash_digest(self, name: str, digest: int) -> None:
        self.crash_sync.on_digest(name, digest)

    @property
    def limit_digest(self) -> int:
        return self.limits.digest

    def on_limit_digest(self, name: str, digest: int) -> None:
        self.limits.on_digest(name, digest)

    def on_message(self, name: str, message: fleet_messages.FromMember) -> None:
        if self.sync.on_message(name, message):
            return
        if isinstance(message, fleet_messages.AboutLimits):
            self.limits.on_message(name, message)
            return
        match message:
            case fleet_messages.CrashNews():
                self.crash_sync.on_updates(message)
            case fleet_messages.CrashRequest():
                self.crash_sync.on_request(name, message)
            case fleet_messages.CrashDigest():
                self.crash_sync.on_agent_digest(name, message.digest)

    # Links.

    def open(self, name: str, host: str, port: int) -> bool:
        if name in self.opened:
            return False
        target = self.fleet.at(host)
        self.opened[name] = target
        if target is not None:
            self.fleet.names[target.name, self.name] = name
        return True

    def close(self, name: str) -> None:
        target = self.opened.pop(name, None)
        if target is None:
            return
        if self.fleet.names.get((target.name, self.name)) == name:
            del self.fleet.names[target.name, self.name]

    def send(self, name: str, message: msgspec.Struct) -> bool:
        return self.send_encoded(name, codec.encode_once(message))

    def send_encoded(self, name: str, message: codec.Encoded) -> bool:
        sender_name = self.fleet.names.get((self.name, name))
        target: Process | None = self.fleet.entries.get(name)
        if name in self.fleet.agents:
            target = self.fleet.agents[name]
            sender_name = self.name
        elif sender_name is None or target is None:
            if name not in self.opened:
                return False
            target = self.opened[name]
            sender_name = self.name
        if target is not None:
            size = len(message.data)
            self.sent_bytes += size
            self.sent_kinds[message.kind] += 1
            self.kind_bytes[message.kind] += size
            if target.member.data_centre != self.member.data_centre:
                self.sent_far_bytes += size
            self.fleet.carry(self, target, sender_name, message.data)
        return True


class VirtualAgent:
    """An agent with its crash backup, in contact with all entries."""

    def __init__(self, fleet: VirtualFleet, number: int) -> None:
        self.fleet = fleet
        self.member = members.Member(
            f"agent-{number}",
            members.MemberKind.AGENT,
            f"dc-{number % len(fleet.region_of)}",
            f"10.1.{number // 250}.{number % 250}",
            PORT,
        )
        self.running = True
        self.suspended = False
        self.sent_bytes = 0
        self.contacts = entry_contacts.EntryContacts(
            self.member, 1, [], lambda _: None, lambda _: None, fleet.time
        )
        self.contacts.attach(self)
        self.crash_backup = crash_backup.CrashBackup(
            self.contacts,
            self.send,
            fleet.time,
            random.Random(f"{fleet.seed} {self.name}"),
        )

    @property
    def name(self) -> str:
        return self.member.vm_id

    def connect(self) -> None:
        """Receives the list of running entries from one of them."""
        entries = [entry.member for entry in self.fleet.running()]
        message = fleet_messages.Neighbours(
            after=0, number=1, entries=entries, joined=[], left=[]
        )
        self.contacts.on_message(entries[0].vm_id, message)
        self.contacts.tick()

    def on_message(self, name: str, message: fleet_messages.FromMember) -> None:
        self.crash_backup.on_message(name, message)

    # Links.

    def open(self, name: str, host: str, port: int) -> bool:
        return True

    def close(self, name: str) -> None:
        pass

    def send(self, name: str, message: msgspec.Struct) -> bool:
        return self.send_encoded(name, codec.encode_once(message))

    def send_encoded(self, name: str, message: codec.Encoded) -> bool:
        target = self.fleet.entries[name]
        if message.kind != fleet_messages.Hello.__name__:
            self.sent_bytes += len(message.data)
            self.fleet.carry(self, target, self.name, message.data)
        return True


Process: TypeAlias = VirtualEntry | VirtualAgent


class VirtualFleet:
    """Entries in several regions, of which the first three are seeds.

    The data centres are divided equally among the regions.
    """

    def __init__(
        self,
        count: int,
        regions: int = 3,
        seed: int = 1,
        time: clock.Clock | None = None,
        data_centres: int | None = None,
    ) -> None:
        per_region = (data_centres or regions) // regions
        self.region_of = {
            f"dc-{n}": f"region-{n // per_region}"
            for n in range(regions * per_region)
        }
        self.seed = seed
        self.manual = clock.ManualClock()
        self.time: clock.Clock = time or self.manual
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.cut: set[tuple[str, str]] = set()
        self.names: dict[tuple[str, str], str] = {}
        self.seeds = [node.Address(f"10.0.0.{n}", PORT) for n in range(3)]
        self.entries: dict[str, VirtualEntry] = {}
        self.agents: dict[str, VirtualAgent] = {}
        self._decoder = codec.member_decoder()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        for number in range(count):
            self.start(number)

    def start(self, number: int, incarnation: int = 1_000) -> VirtualEntry:
        """Starts an entry, or restarts one that was stopped."""
        entry = self.make_entry(number, incarnation)
        self.entries[entry.name] = entry
        self._at(self.rng.uniform(0.0, 300.0), lambda: self._tick(entry))
        return entry

    def make_entry(self, number: int, incarnation: int) -> VirtualEntry:
        """Returns an entry that does not run yet."""
        return VirtualEntry(self, number, incarnation)

    def near(self, data_centre: str) -> set[str]:
        """Returns the data centres of the region of a data centre."""
        region = self.region_of[data_centre]
        return {name for name, its in self.region_of.items() if its == region}

    def start_agent(self, number: int) -> VirtualAgent:
        """Starts an agent that is in contact with all running entries."""
        agent = VirtualAgent(self, number)
        self.agents[agent.name] = agent
        agent.connect()
        self._at(
            self.rng.uniform(0.0, TICK_MS), lambda: self._tick_agent(agent)
        )
        return agent

    def stop(self, name: str) -> None:
        """Stops an entry without a message to the others."""
        self.entries[name].running = False
        for pair in list(self.names):
            if name in pair:
                del self.names[pair]

    def in_data_centre(self, data_centre: str) -> list[str]:
        """Returns the names of the entries in a data centre."""
        return [
            entry.name
            for entry in self.entries.values()
            if entry.member.data_centre == data_centre
        ]

    def cut_between(self, ones: Iterable[str], others: Iterable[str]) -> None:
        """Cuts the paths between two groups of processes, both ways."""
        pairs = set(itertools.product(ones, others))
        self.cut |= pairs | {(b, a) for a, b in pairs}

    def at(self, host: str) -> VirtualEntry | None:
        """Returns the entry at an address, None if there is none."""
        for entry in self.entries.values():
            if entry.member.host == host:
                return entry
        return None

    def carry(
        self, sender: Process, to: Process, name: str, data: bytes
    ) -> None:
        """Delivers a message later, unless it is lost or the path is cut."""
        if (sender.name, to.name) in self.cut or self.rng.random() < self.loss:
            return

        def deliver() -> None:
            if to.running and not to.suspended:
                to.on_message(name, self._decoder.decode(data))

        self._at(self.rng.uniform(*DELAY_MS), deliver)

    def run(self, ms: float) -> None:
        """Advances the virtual time and runs the events that are due."""
        end_ms = self.time.now_ms() + ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, event = heapq.heappop(self._events)
            self.manual.advance(at_ms - self.time.now_ms())
            event()
        self.manual.advance(end_ms - self.time.now_ms())

    def running(self) -> list[VirtualEntry]:
        """Returns the running entries."""
        return [entry for entry in self.entries.values() if entry.running]

    def alive_to(self, entry: VirtualEntry) -> set[str]:
        """Returns the other entries that an entry considers alive."""
        alive = entry.sync.alive(members.MemberKind.ENTRY)
        return {member.vm_id for member in alive}

    def agreed(self) -> bool:
        """Returns whether each running entry knows exactly the other ones."""
        running = {entry.name for entry in self.running()}
        return all(
            self.alive_to(entry) == running - {entry.name}
            for entry in self.running()
        )

    def run_until_agreed(self, limit_ms: float) -> float:
        """Advances time until all entries agree, and returns the duration."""
        start_ms = self.time.now_ms()
        while not self.agreed():
            elapsed_ms = self.time.now_ms() - start_ms
            assert elapsed_ms < limit_ms, self._differences()
            self.run(TICK_MS)
        return self.time.now_ms() - start_ms

    def _differences(self) -> dict[str, set[str]]:
        running = {entry.name for entry in self.running()}
        return {
            entry.name: self.alive_to(entry) ^ (running - {entry.name})
            for entry in self.running()
            if self.alive_to(entry) != running - {entry.name}
        }

    def _tick(self, entry: VirtualEntry) -> None:
        if not entry.running:
            return
        if not entry.suspended:
            entry.tick()
        self._at(TICK_MS, lambda: self._tick(entry))

    def _tick_agent(self, agent: VirtualAgent) -> None:
        agent.crash_backup.tick()
        self._at(TICK_MS, lambda: self._tick_agent(agent))

    def _at(self, in_ms: float, event: Callable[[], None]) -> None:
        due_ms = self.time.now_ms() + in_ms
        heapq.heappush(self._events, (due_ms, next(self._order), event))


StartFleet: TypeAlias = Callable[..., VirtualFleet]
