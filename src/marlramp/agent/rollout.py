"""Brings the engine on this VM to the version in the rollout settings.

The controller fetches and verifies the weights, stages them in the engine and
swaps the engine to them. An engine that can hold two versions loads the new
one while it serves the old one. Any other engine stops serving first, which
needs a permit from every entry that the agent hears from.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
from typing import Protocol

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.agent import engine_client
from marlramp.agent import swarm_node
from marlramp.core.grant_calls import guard
from marlramp.core.weights import manifest
from marlramp.core.weights import swap
from marlramp.settings import schema

OBSERVE_INTERVAL_MS = 400.0
"""Interval at which the state of the engine is read."""

STEP_RETRY_MS = 300.0
STEP_RETRY_MAX_MS = 10_000.0
"""First and longest wait before a failed rollout step is retried; the wait
doubles with each failure in a row."""

PERMIT_POLL_MS = 20.0
"""Interval at which the state of the permit requests is polled."""

PREVIOUS_WAIT_MS = 5_000.0
"""Longest wait for the manifest of the previous version."""


class Permits(Protocol):
    """Requests permits to stop serving from all entries."""

    def request(self, version: ids.VersionId) -> None:
        """Requests a permit from every entry that the agent hears from."""
        ...

    def state(self) -> swap.AttemptState:
        """Returns the state of the attempt to collect all permits."""
        ...

    def withdraw(self) -> None:
        """Ends the attempt and returns its permits."""
        ...


class Serving(Protocol):
    """Controls whether the agent accepts new runs."""

    def suspend(self) -> None:
        """Voids all grants and accepts no new runs."""
        ...

    def resume(self) -> None:
        """Accepts runs again unless the agent is leaving."""
        ...

    async def wait_idle(self) -> None:
        """Returns when no run is in progress."""
        ...


class RolloutController:
    """Fetches the target version and swaps the engine to it."""

    def __init__(
        self,
        engine: engine_client.Engine,
        node: swarm_node.SwarmNode,
        permits: Permits,
        serving: Serving,
        totals: counters.Counters,
        time: clock.Clock,
        on_change: Callable[[], None],
        *,
        holds_two_versions: bool,
    ) -> None:
        """Creates a controller without a rollout.

        Args:
          engine: engine to swap.
          node: fetches manifests and weights.
          permits: permits to stop serving.
          serving: suspends and resumes the runs of this agent.
          totals: counters.
          time: the clock.
          on_change: called whenever the state to report changes.
          holds_two_versions: whether the engine can load a version while it
            serves another.
        """
        self._engine = engine
        self._node = node
        self._permits = permits
        self._serving = serving
        self._totals = totals
        self._clock = time
        self._on_change = on_change
        self._holds_two_versions = holds_two_versions
        self._guard = guard.EngineGuard()
        self._rollout: schema.Rollout | None = None
        self._revision = -1
        self._target: guard.Target | None = None
        self._rollout_changed = asyncio.Event()
        self._swapping = False
        self._staged: ids.VersionId | None = None
        self._verdict = guard.Verdict.CLOSED
        self.note = "starting"

    @property
    def target(self) -> guard.Target | None:
        """The version to serve, None until its manifest is known."""
        return self._target

    @property
    def rollout(self) -> schema.Rollout | None:
        """The rollout in force."""
        return self._rollout

    @property
    def verdict(self) -> guard.Verdict:
        """What the engine may serve, by its state when last read."""
        return self._verdict

    def serving_version(self) -> ids.VersionId | None:
        """Returns the verified version served, None if none may be served."""
        verdict = self._guard.verdict(self._target, self._clock.now_ms())
        state = self._guard.state
        if verdict is guard.Verdict.CLOSED or state is None or self._swapping:
            return None
        return state.serving

    def reported_version(self) -> ids.VersionId:
        """Returns the version served, an empty text if there is none."""
        return self.serving_version() or ids.VersionId("")

    def handle_unexpected_version(self, version: ids.VersionId) -> None:
        """Closes admission after an answer from an unexpected version.

        Admission stays closed until the state of the engine has been read.
        """
        logs.log("engine_version_surprise", version=version)
        self._guard.invalidate()
        self._apply_verdict()

    def set_rollout(
        self, rollout: schema.Rollout | None, revision: int
    ) -> None:
        """Sets the rollout in force and the settings revision that holds it."""
        self._revision = max(revision, self._revision)
        if rollout != self._rollout:
            self._rollout = rollout
            self._target = None
            self._rollout_changed.set()

    async def run(self) -> None:
        """Observes the engine and follows the rollout until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._observe_engine())
            group.create_task(self._follow_rollouts())

    async def _observe_engine(self) -> None:
        while True:
            await self._observe()
            await asyncio.sleep(OBSERVE_INTERVAL_MS / 1000)

    async def _observe(self) -> None:
        try:
            state = await self._engine.state()
        except engine_client.EngineError as error:
            logs.log("engine_unreachable", detail=error)
            self._guard.invalidate()
        else:
            self._guard.observe(state, self._clock.now_ms())
        self._apply_verdict()

    def _apply_verdict(self) -> None:
        verdict = self._guard.verdict(self._target, self._clock.now_ms())
        if verdict is not self._verdict:
            logs.log("engine_verdict", verdict=verdict.value)
            self._verdict = verdict
            self._on_change()
        if self._swapping:
            return
        if verdict is guard.Verdict.CLOSED:
            self._serving.suspend()
        else:
            self._serving.resume()

    async def _follow_rollouts(self) -> None:
        while True:
            self._rollout_changed.clear()
            rollout = self._rollout
            if rollout is None:
                self._set_note("no rollout declared")
                await self._rollout_changed.wait()
                continue
            step = asyncio.create_task(self._follow(rollout))
            changed = asyncio.create_task(self._rollout_changed.wait())
            try:
                await asyncio.wait(
                    [step, changed], return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                changed.cancel()
                if not self._swapping:
                    step.cancel()
                await asyncio.wait([step])
            if not step.cancelled() and step.exception() is not None:
                logs.log("rollout_step_failed", detail=step.exception())
                await asyncio.sleep(STEP_RETRY_MS / 1000)

    async def _follow(self, rollout: schema.Rollout) -> None:
        """Brings the engine to the target of a rollout and keeps it there.

        Returns once the rollout has changed.
        """
        await self._trust_previous(rollout)
        self._set_note("fetching manifest")
        digest = ids.Digest(rollout.manifest)
        found = await self._node.fetch_manifest(digest)
        version = schema.version_id(rollout)
        self._target = guard.Target(
            rollout.model, version, ids.Digest(found.whole), self._revision
        )
        self._guard.trust(version, ids.Digest(found.whole))
        await self._observe()
        failures = 0
        # Comparing rollouts is not enough: a rollout that was replaced and then
        # restored while its weights were loading has lost its target.
        while not self._rollout_changed.is_set():
            if self._verdict is guard.Verdict.SERVE_TARGET:
                self._set_note("serving target")
                await asyncio.sleep(OBSERVE_INTERVAL_MS / 1000)
                continue
            try:
                await self._fetch_and_swap(digest, version)
                failures = 0
            except engine_client.EngineError as error:
                logs.log("engine_order_failed", detail=repr(error))
                self._totals.add(counters.CounterName.ENGINE_ORDERS, "failed")
                failures += 1
                await asyncio.sleep(_backoff_s(failures))
                await self._observe()

    async def _trust_previous(self, rollout: schema.Rollout) -> None:
        """Trusts the digest of the previous version, if the rollout has one.

        The engine may then go on serving that version until the swap.
        """
        if rollout.previous_manifest is None:
            return
        digest = ids.Digest(rollout.previous_manifest)
        try:
            async with asyncio.timeout(PREVIOUS_WAIT_MS / 1000):
                previous = await self._node.fetch_manifest(digest)
        except TimeoutError:
            logs.log("previous_manifest_unavailable", manifest=digest)
            return
        version = ids.VersionId(previous.version)
        self._guard.trust(version, ids.Digest(previous.whole))
        self._apply_verdict()

    async def _fetch_and_swap(
        self, digest: ids.Digest, version: ids.VersionId
    ) -> None:
        self._set_note("fetching weights")
        chunk_set = await self._node.fetch(digest)
        if not await asyncio.to_thread(chunk_set.verify_digest):
            raise engine_client.EngineError("weights differ from the manifest")
        target = self._target
        if target is None or self._verdict is guard.Verdict.SERVE_TARGET:
            # The engine was only unreachable, and has not lost the version.
            return
        state = self._guard.state
        if state is None:
            await self._observe()
            await asyncio.sleep(STEP_RETRY_MS / 1000)
            return
        await self._stage(version, chunk_set)
        if self._holds_two_versions:
            await self._swap_while_serving(target)
        elif self._verdict is guard.Verdict.CLOSED:
            await self._swap_closed(target)
        else:
            await self._swap_permitted(target)

    async def _stage(
        self, version: ids.VersionId, chunk_set: manifest.ChunkSet
    ) -> None:
        if self._staged != version:
            self._set_note("staging weights")
            await self._engine.stage(version, chunk_set)
            self._staged = version

    async def _swap_while_serving(self, target: guard.Target) -> None:
        """Loads the target while the old version is served, then switches."""
        state = self._guard.state
        if state is None or state.loaded.get(target.version) != target.whole:
            self._set_note("loading beside")
            self._staged = None
            await self._send_order(target, self._engine.load)
            await self._observe()
        state = self._guard.state
        if state is None or state.loaded.get(target.version) != target.whole:
            raise engine_client.EngineError("loaded weights differ")
        await self._switch(target)

    async def _switch(self, target: guard.Target) -> None:
        """Switches versions while no run is in progress.

        A run that continued across the switch would mix two versions.
        """
        self._swapping = True
        self._serving.suspend()
        try:
            await self._serving.wait_idle()
            if self._target is target:
                await self._send_order(target, self._engine.serve)
        finally:
            self._swapping = False
            await self._observe()
            self._on_change()

    async def _swap_permitted(self, target: guard.Target) -> None:
        """Stops serving and swaps once the permits of all entries are held."""
        self._set_note("waiting for permits")
        self._permits.request(target.version)
        try:
            if await self._wait_permitted():
                await self._swap_closed(target, needs_permits=True)
                return
        finally:
            # Two agents that keep the permits of different entries would block
            # each other for ever.
            self._permits.withdraw()
        wait_ms = random.uniform(swap.RETRY_MIN_MS, swap.RETRY_MAX_MS)
        await asyncio.sleep(wait_ms / clock.MILLIS_PER_SECOND)

    async def _wait_permitted(self) -> bool:
        """Waits until all permits are held or the attempt is over."""
        while self._permits.state() is swap.AttemptState.WAITING:
            await asyncio.sleep(PERMIT_POLL_MS / clock.MILLIS_PER_SECOND)
        return self._permits.state() is swap.AttemptState.PERMITTED

    async def _swap_closed(
        self, target: guard.Target, *, needs_permits: bool = False
    ) -> None:
        self._set_note("swapping")
        self._swapping = True
        self._serving.suspend()
        try:
            # After a pause of this process the permits may have expired before
            # the entries received the report that it suspended serving.
            if needs_permits and not self._still_permitted():
                return
            await self._serving.wait_idle()
            await self._observe()
            if not self._may_load(target, needs_permits=needs_permits):
                return
            self._staged = None
            await self._send_order(target, self._engine.load)
        finally:
            self._swapping = False
            await self._observe()
            self._on_change()

    def _may_load(self, target: guard.Target, *, needs_permits: bool) -> bool:
        """Returns whether the engine may still be ordered to load a target.

        Since the swap was decided the rollout may have changed, a former order
        may have taken effect, or the engine may have ended a silence.

        Args:
          target: the version to load.
          needs_permits: whether the swap was decided while the engine served,
            and so holds permits.
        """
        if self._target is not target:
            return False
        if self._verdict is guard.Verdict.SERVE_OLD:
            return needs_permits
        return self._verdict is guard.Verdict.CLOSED

    def _still_permitted(self) -> bool:
        return self._permits.state() is swap.AttemptState.PERMITTED

    async def _send_order(
        self,
        target: guard.Target,
        give: Callable[[ids.VersionId, int], object],
    ) -> None:
        """Sends an order to the engine with a new fencing number.

        Reads the state of the engine first if the last reading is stale.

        Raises:
          engine_client.EngineError: if no fencing number is available, or if
            the engine refuses the order or fails.
        """
        if not self._guard.is_fresh(self._clock.now_ms()):
            await self._observe()
        fencing = self._guard.next_fencing(target)
        if fencing is None:
            self._set_note("settings are behind the engine's last order")
            raise engine_client.EngineError("no fencing number may be used")
        self._totals.add(counters.CounterName.ENGINE_ORDERS, give.__name__)
        try:
            await give(target.version, fencing)  # type: ignore[misc]
        except engine_client.FencingRefusedError:
            self._totals.add(counters.CounterName.ENGINE_ORDERS, "fenced")
            raise

    def _set_note(self, note: str) -> None:
        if note != self.note:
            self.note = note
            self._on_change()


def _backoff_s(failures: int) -> float:
    bound_ms = min(STEP_RETRY_MAX_MS, STEP_RETRY_MS * 2.0 ** (failures - 1))
    return bound_ms / clock.MILLIS_PER_SECOND
