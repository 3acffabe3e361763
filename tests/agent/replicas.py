"""Rollout controllers of several replicas, without processes or links."""

from __future__ import annotations

import asyncio
import hashlib

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.agent import engine_client
from marlramp.agent import rollout
from marlramp.core import guard
from marlramp.core import manifest
from marlramp.core import swap
from marlramp.settings import schema

LOAD_MS = 20.0
OUT_FRACTION = 0.25


def whole_of(version: str) -> manifest.Whole:
    """Returns complete weights of one chunk."""
    data = version.encode()
    found = manifest.Whole(
        manifest.Manifest(
            model="stand",
            version=version,
            chunk_bytes=len(data),
            total_bytes=len(data),
            chunks=[manifest.digest_of(data)],
            whole=manifest.digest_of(data),
        )
    )
    assert found.add(0, data)
    return found


def digest_of(version: str) -> ids.Digest:
    """Returns the digest that names a version's manifest."""
    return ids.Digest(hashlib.sha256(version.encode()).hexdigest())


def rollout_of(version: str, previous: str) -> schema.Rollout:
    """Returns the settings that ask for a version."""
    return schema.Rollout(
        model="stand",
        version=version,
        manifest=digest_of(version),
        previous_manifest=digest_of(previous),
    )


class Node:
    """A swarm that holds all weights at once."""

    def __init__(self, versions: list[str]) -> None:
        self._wholes = {digest_of(v): whole_of(v) for v in versions}

    async def fetch_manifest(self, digest: ids.Digest) -> manifest.Manifest:
        return self._wholes[digest].manifest

    async def fetch(self, digest: ids.Digest) -> manifest.Whole:
        return self._wholes[digest]


class Engine:
    """An engine that holds one version; loads wait for `may_load`."""

    def __init__(self, version: str) -> None:
        self.version = ids.VersionId(version)
        self.loads: list[str] = []
        self.may_load = asyncio.Event()
        self.may_load.set()

    async def state(self) -> guard.EngineState:
        whole = ids.Digest(whole_of(self.version).manifest.whole)
        return guard.EngineState(self.version, {self.version: whole})

    async def load_report(self) -> engine_client.LoadReport:
        return engine_client.LoadReport(0, 0)

    async def stage(
        self, version: ids.VersionId, whole: manifest.Whole
    ) -> None:
        pass

    async def load(self, version: ids.VersionId, fencing: int) -> None:
        del fencing
        self.loads.append(version)
        await asyncio.sleep(LOAD_MS / clock.MILLIS_PER_SECOND)
        await self.may_load.wait()
        self.version = version

    async def serve(self, version: ids.VersionId, fencing: int) -> None:
        raise NotImplementedError


class Entry:
    """An entry's permits, and the time that messages need on their ways.

    Attributes:
      ask_ms: way of a message from each replica, 0 unless named.
      answer_ms: way of each answer.
    """

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.name = ids.VmId(name)
        self.desk = swap.PermitDesk()
        self.ask_ms: dict[ids.VmId, float] = {}
        self.answer_ms = 0.0
        self.questions = 0
        self._fleet = fleet

    def ask(self, vm_id: ids.VmId, number: int, permits: Permits) -> None:
        """Takes a question once it has come."""
        self._after(self.ask_ms.get(vm_id, 0.0), self._asked, vm_id, number,
                    permits)  # fmt: skip

    def withdraw(self, vm_id: ids.VmId) -> None:
        """Takes a permit back once the message has come."""
        self._after(self.ask_ms.get(vm_id, 0.0), self.desk.release, vm_id)

    def _asked(self, vm_id: ids.VmId, number: int, permits: Permits) -> None:
        self.questions += 1
        granted = self.desk.ask(
            vm_id,
            self._fleet.replicas(),
            OUT_FRACTION,
            allow_sole=False,
            now_ms=self._fleet.time.now_ms(),
        )
        self._after(self.answer_ms, permits.round.answered, self.name, number,
                    granted, swap.PERMIT_TTL_MS)  # fmt: skip

    def _after(self, delay_ms: float, call: object, *args: object) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(delay_ms / clock.MILLIS_PER_SECOND, call, *args)  # type: ignore[arg-type]


class Permits:
    """A replica's questions to all entries."""

    def __init__(self, vm_id: ids.VmId, fleet: Fleet) -> None:
        self.round = swap.PermitRound()
        self._vm_id = vm_id
        self._fleet = fleet

    def ask(self, version: ids.VersionId) -> None:
        del version
        number = self.round.begin(self._fleet.time.now_ms())
        for entry in self._fleet.entries:
            entry.ask(self._vm_id, number, self)

    def permitted(self) -> bool:
        names = [entry.name for entry in self._fleet.entries]
        return self.round.permitted(names, self._fleet.time.now_ms())

    def withdraw(self) -> None:
        self.round.reset()
        for entry in self._fleet.entries:
            entry.withdraw(self._vm_id)

    def reset(self) -> None:
        self.round.reset()


class Replica:
    """One replica: its controller, engine and whether it serves."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.vm_id = ids.VmId(name)
        self.engine = Engine("v1")
        self.is_open = False
        self._fleet = fleet
        self.controller = rollout.RolloutController(
            self.engine,
            fleet.node,  # type: ignore[arg-type]
            Permits(self.vm_id, fleet),
            self,
            counters.Counters(),
            fleet.time,
            self.changed,
            holds_two_versions=False,
        )

    def changed(self) -> None:
        """Tells the entries, as a report does."""
        version = self.controller.serving_version()
        wanted = self.controller.rollout
        if wanted is not None and version == schema.version_id(wanted):
            for entry in self._fleet.entries:
                entry.withdraw(self.vm_id)

    def suspend(self) -> None:
        self.is_open = False

    def resume(self) -> None:
        self.is_open = True

    async def idle(self) -> None:
        pass


class Fleet:
    """Replicas and entries."""

    def __init__(self, replicas: int, entries: int) -> None:
        self.time = clock.SystemClock()
        self.node = Node(["v1", "v2", "v3"])
        self.entries = [Entry(f"entry-{n}", self) for n in range(entries)]
        self.members = [Replica(f"vm-{n}", self) for n in range(replicas)]
        self.revision = 0
        self.out_most = 0
        self._tasks = [
            asyncio.create_task(member.controller.run())
            for member in self.members
        ]

    def replicas(self) -> list[swap.Replica]:
        """Returns the replicas as an entry sees them."""
        return [swap.Replica(m.vm_id, m.is_open) for m in self.members]

    def roll_out(self, version: str, previous: str) -> None:
        """Publishes a rollout."""
        self.revision += 1
        for member in self.members:
            wanted = rollout_of(version, previous)
            member.controller.set_rollout(wanted, self.revision)

    def served(self, version: str) -> int:
        """Returns how many replicas serve a version."""
        return sum(
            member.controller.serving_version() == version
            for member in self.members
        )

    async def until_served(self, version: str, within_s: float) -> bool:
        """Waits until all serve a version; False if they don't in time."""
        end_ms = self.time.now_ms() + within_s * clock.MILLIS_PER_SECOND
        while self.served(version) < len(self.members):
            if self.time.now_ms() >= end_ms:
                return False
            out = sum(not member.is_open for member in self.members)
            self.out_most = max(self.out_most, out)
            await asyncio.sleep(0.005)
        return True

    async def close(self) -> None:
        """Ends all controllers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)
