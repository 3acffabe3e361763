"""Rollout controllers of several replicas, without processes or links."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import hashlib

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.agent import engine_client
from marlramp.agent import rollout
from marlramp.agent import swap_permits
from marlramp.core.grant_calls import guard
from marlramp.core.weights import manifest
from marlramp.core.weights import swap
from marlramp.protocol import messages
from marlramp.settings import schema

LOAD_MS = 20.0
OUT_FRACTION = 0.25
INCARNATION = ids.Incarnation(1)
SERVICE = ids.ServiceId("pool")


def chunk_set_of(version: str) -> manifest.ChunkSet:
    """Returns the complete weights of a version, which are one chunk."""
    data = version.encode()
    found = manifest.ChunkSet(
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
    """Returns the rollout settings of a version."""
    return schema.Rollout(
        model="stand",
        version=version,
        manifest=digest_of(version),
        previous_manifest=digest_of(previous),
    )


class Node:
    """A swarm node that holds all weights from the start.

    Attributes:
      fetch_ms: time that it takes to return the weights.
    """

    def __init__(self, versions: list[str]) -> None:
        self._chunk_sets = {digest_of(v): chunk_set_of(v) for v in versions}
        self.fetch_ms = 0.0

    async def fetch_manifest(self, digest: ids.Digest) -> manifest.Manifest:
        return self._chunk_sets[digest].manifest

    async def fetch(self, digest: ids.Digest) -> manifest.ChunkSet:
        await asyncio.sleep(self.fetch_ms / clock.MILLIS_PER_SECOND)
        return self._chunk_sets[digest]


class Engine:
    """An engine that holds one version; a load waits for `may_load`.

    Attributes:
      stage_ms: time that staging takes.
    """

    def __init__(self, version: str) -> None:
        self.version = ids.VersionId(version)
        self.loads: list[str] = []
        self.may_load = asyncio.Event()
        self.may_load.set()
        self.goes_on_ms = float("-inf")
        self.stage_ms = 0.0

    def fall_silent(self, silence_ms: float) -> None:
        """Answers no reading of the state for a while, as a stopped engine."""
        self.goes_on_ms = clock.SystemClock().now_ms() + silence_ms

    async def state(self) -> guard.EngineState:
        silent_ms = self.goes_on_ms - clock.SystemClock().now_ms()
        if silent_ms > 0:
            wait_ms = min(silent_ms, engine_client.STATE_TIMEOUT_MS)
            await asyncio.sleep(wait_ms / clock.MILLIS_PER_SECOND)
            if silent_ms > wait_ms:
                raise engine_client.EngineError("silent")
        digest = ids.Digest(chunk_set_of(self.version).manifest.whole)
        return guard.EngineState(self.version, {self.version: digest})

    async def load_report(self) -> engine_client.LoadReport:
        return engine_client.LoadReport(0, 0)

    async def stage(
        self, version: ids.VersionId, chunk_set: manifest.ChunkSet
    ) -> None:
        await asyncio.sleep(self.stage_ms / clock.MILLIS_PER_SECOND)

    async def load(self, version: ids.VersionId, fencing: int) -> None:
        del fencing
        self.loads.append(version)
        await asyncio.sleep(LOAD_MS / clock.MILLIS_PER_SECOND)
        await self.may_load.wait()
        self.version = version

    async def serve(self, version: ids.VersionId, fencing: int) -> None:
        raise NotImplementedError


class Entry:
    """Permits of an entry, with delays and losses of messages.

    Attributes:
      request_delay_ms: delay of messages by replica, 0 for replicas not listed.
      answer_delay_ms: delay of each answer.
      lost: number of further requests that are lost.
      requests: number of requests received, lost ones included.
    """

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.name = ids.VmId(name)
        self.issuer = swap.PermitIssuer(clock.Millis(float("-inf")))
        self.request_delay_ms: dict[ids.VmId, float] = {}
        self.answer_delay_ms = 0.0
        self.lost = 0
        self.requests = 0
        self._fleet = fleet

    def handle(self, replica: Replica, message: messages.FromAgent) -> None:
        """Handles a message from a replica after its delay."""
        delay_ms = self.request_delay_ms.get(replica.vm_id, 0.0)
        if isinstance(message, messages.SwapRequest):
            _later(delay_ms, lambda: self._handle_request(replica, message))
        elif isinstance(message, messages.SwapWithdrawal):
            number = message.round_number
            _later(
                delay_ms,
                lambda: self.issuer.release(replica.vm_id, INCARNATION, number),
            )

    def _handle_request(
        self, replica: Replica, message: messages.SwapRequest
    ) -> None:
        self.requests += 1
        if self.lost:
            self.lost -= 1
            return
        granted = self.issuer.try_issue(
            swap.PermitRequest(
                replica.vm_id,
                SERVICE,
                INCARNATION,
                message.round_number,
                message.hold_ms,
            ),
            self._fleet.replicas(),
            OUT_FRACTION,
            allow_sole=False,
            now_ms=self._fleet.time.now_ms(),
        )
        answer = messages.SwapAnswer(
            version=message.version,
            round_number=message.round_number,
            granted=granted,
            ttl_ms=message.hold_ms,
        )
        _later(
            self.answer_delay_ms,
            lambda: replica.permits.handle_answer(self.name, answer),
        )


def _later(delay_ms: float, call: Callable[[], None]) -> None:
    delay_s = delay_ms / clock.MILLIS_PER_SECOND
    asyncio.get_running_loop().call_later(delay_s, call)


class Links:
    """Links of a replica to all entries; it hears every one of them."""

    def __init__(self, replica: Replica, fleet: Fleet) -> None:
        self._replica = replica
        self._fleet = fleet

    def heard(self) -> list[ids.VmId]:
        return [entry.name for entry in self._fleet.entries]

    def send(self, entry_id: ids.VmId, message: messages.FromAgent) -> None:
        for entry in self._fleet.entries:
            if entry.name == entry_id:
                entry.handle(self._replica, message)


class Replica:
    """A replica with its controller and engine.

    Attributes:
      is_open: whether the replica accepts runs.
      idle: set while the replica has no run in progress.
      suspended: how often the replica stopped serving.
      pauses_ms: pause of the process when it next suspends serving.
    """

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.vm_id = ids.VmId(name)
        self.engine = Engine("v1")
        self.is_open = False
        self.idle = asyncio.Event()
        self.idle.set()
        self.suspended = 0
        self.pauses_ms = 0.0
        self._fleet = fleet
        self.permits = swap_permits.SwapPermits(Links(self, fleet), fleet.time)
        self.controller = rollout.RolloutController(
            self.engine,
            fleet.node,  # type: ignore[arg-type]
            self.permits,
            self,
            counters.Counters(),
            fleet.time,
            self.changed,
            holds_two_versions=False,
        )

    def changed(self) -> None:
        """Revokes the permits of this replica once it serves its target.

        In the product, entries do so on a report from the agent.
        """
        version = self.controller.serving_version()
        wanted = self.controller.rollout
        if wanted is not None and version == schema.version_id(wanted):
            for entry in self._fleet.entries:
                entry.issuer.drop(self.vm_id)

    def suspend(self) -> None:
        if self.is_open:
            self.suspended += 1
        self.is_open = False
        self._fleet.time.advance(self.pauses_ms)
        self.pauses_ms = 0.0

    def resume(self) -> None:
        self.is_open = True

    async def wait_idle(self) -> None:
        await self.idle.wait()


class _Clock(clock.SystemClock):
    """The system clock, which a test can move forward."""

    def __init__(self) -> None:
        self._added_ms = 0.0

    def now_ms(self) -> clock.Millis:
        return clock.Millis(super().now_ms() + self._added_ms)

    def advance(self, step_ms: float) -> None:
        self._added_ms += step_ms


class Fleet:
    """Replicas and entries of one service."""

    def __init__(self, replicas: int, entries: int) -> None:
        self.time = _Clock()
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
        """Waits until all replicas serve a version; False on timeout."""
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
