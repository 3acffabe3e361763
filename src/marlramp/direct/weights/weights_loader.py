"""Loads the named weights into the engine on this VM.

Pieces are fetched, staged beside the engine as they arrive, and read back and
verified right before the load order: staged pieces may have become corrupt, and
an engine loads them without a check.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import enum
from typing import Protocol

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.core.replicas import engine_state
from marlramp.core.weights import manifest
from marlramp.direct.weights import piece_exchange
from marlramp.direct.weights import rollout_times
from marlramp.direct.weights import version_digests
from marlramp.platform import clients

POLL_MS = 100.0
"""Interval between checks of the engine and of the announced version."""

LOAD_POLL_MS = 25.0
"""Interval between checks while the engine loads; a check of the engine on the
own VM costs nothing."""

LOAD_TIMEOUT_MS = 6_000.0
"""Maximum time to wait for an ordered load; running requests end within the
timeout of their callers."""

CLOSE_NOTICE_MS = 30.0
"""Minimum time between the report to the entries that the engine closes and the
load order: five times the path latency to the entries."""

STAGE_PARALLEL = 4
"""Pieces that are staged or read back at once."""

VERIFIED_MAX_AGE_MS = 1_000.0
"""Maximum age of a verification of the staged pieces, after which they are read
back again before the load order. Reading 64 pieces adds 0.06 s to an engine's
outage."""

RETRY_MS = 200.0
"""Delay before a retry after an error of the platform."""

_MS = clock.MILLIS_PER_SECOND


class Engine(Protocol):
    """The engine on this VM."""

    async def staged(self, model: str) -> list[int]:
        """Returns the indexes of the staged pieces."""
        ...

    async def read_staged(
        self, model: str, index: int, bytes_max: int
    ) -> bytes:
        """Returns a staged piece, not verified; empty if it is too large."""
        ...

    async def stage(self, model: str, index: int, data: bytes) -> None:
        """Stages a piece."""
        ...

    async def load(
        self, model: str, version: int, order_number: int, *, cut: bool
    ) -> None:
        """Orders the engine to load the staged pieces.

        Args:
          model: the model.
          version: the version that is staged.
          order_number: number of orders that the engine has accepted so far.
          cut: whether running requests may be cut off.

        Raises:
          clients.OrderRefusedError: the engine has accepted another number of
            orders than `order_number`, for example because it restarted.
          clients.PlatformError: the engine did not answer.
        """
        ...


class LoaderState(enum.Enum):
    """State of the loader."""

    IDLE = "idle"
    FETCHING = "fetching"
    WAITING = "waiting"
    LOADING = "loading"


class AgentState(Protocol):
    """What the loader queries from the agent that it belongs to."""

    def wanted(self) -> version_digests.ModelVersion | None:
        """Returns the version to serve, None if it is unknown."""
        ...

    def report(self) -> engine_state.EngineReport | None:
        """Returns the engine's last report, None while it is unavailable."""
        ...

    async def read_report(self) -> engine_state.EngineReport | None:
        """Reads a new report from the engine, None if it is unavailable."""
        ...

    def load_start_ms(
        self, wanted: version_digests.ModelVersion, pieces_ready_ms: float
    ) -> float:
        """Returns the time from which on the engine may load a version.

        Args:
          wanted: the version.
          pieces_ready_ms: time at which all its pieces were held.
        """
        ...

    def drain_ms(
        self, wanted: version_digests.ModelVersion, pieces_ready_ms: float
    ) -> float:
        """Returns how many ms running requests may go on before the load.

        Args:
          wanted: the version.
          pieces_ready_ms: time at which all its pieces were held.
        """
        ...

    def may_cut(self) -> bool:
        """Returns whether streams that are cut continue on another engine."""
        ...

    def is_new(self, wanted: version_digests.ModelVersion) -> bool:
        """Returns whether a version was announced just now."""
        ...

    def age_ms(self, wanted: version_digests.ModelVersion) -> float | None:
        """Returns the ms since a version was announced, None if unknown."""
        ...

    def limit_ms(self) -> float | None:
        """Returns the least time in ms in which this VM can load a version.

        Returns:
          None if the time is unknown.
        """
        ...


class WeightsLoader:
    """Keeps the engine on this VM at the announced version.

    Attributes:
      state: what the loader is doing.
    """

    def __init__(
        self,
        agent: AgentState,
        engine: Engine,
        exchange: piece_exchange.PieceExchange,
        state_changed: Callable[[], None],
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Starts idle; `run` starts the work.

        Args:
          agent: the agent that the loader belongs to.
          engine: the engine on this VM.
          exchange: fetches the pieces.
          state_changed: called after each change of `state`.
          totals: counters.
          time: the clock.
        """
        self._agent = agent
        self._engine = engine
        self._exchange = exchange
        self._state_changed = state_changed
        self._totals = totals
        self._clock = time
        self._staged: set[int] = set()
        self._staged_version: version_digests.ModelVersion | None = None
        self._staged_born_ms: int | None = None
        self._verified_ms = float("-inf")
        self._read_ms = time.now_ms()
        self._times = rollout_times.RolloutTimes(time)
        self._pieces_ready_ms: dict[version_digests.ModelVersion, float] = {}
        self.state = LoaderState.IDLE

    def pieces_ready_ms(
        self, wanted: version_digests.ModelVersion
    ) -> float | None:
        """Returns the time at which all pieces of a version were held first.

        Returns:
          The time in ms, None while pieces are missing.
        """
        return self._pieces_ready_ms.get(wanted)

    async def run(self) -> None:
        """Follows the announced version until cancelled."""
        # This resets the state after an error too: the engine must not stay
        # closed for a load that will not happen.
        self._staged_version = None
        self._set_state(LoaderState.IDLE)
        while True:
            wanted = self._agent.wanted()
            if wanted is None:
                await asyncio.sleep(POLL_MS / _MS)
                continue
            try:
                await self._step(wanted)
            except clients.PlatformError as error:
                logs.log("weights_step_failed", name=wanted.name, detail=error)
                self._staged_version = None
                self._set_state(LoaderState.IDLE)
                await asyncio.sleep(RETRY_MS / _MS)

    async def _step(self, wanted: version_digests.ModelVersion) -> None:
        self._times.record_phase(wanted, rollout_times.Phase.HEARD)
        chunk_set = await self._exchange.find_manifest(wanted)
        self._times.record_phase(wanted, rollout_times.Phase.DIGESTS)
        if chunk_set.held:
            self._times.record_phase(wanted, rollout_times.Phase.FIRST_PIECE)
        # Pieces are fetched while the engine starts, too.
        self._exchange.start_fetch(wanted, is_new=self._agent.is_new(wanted))
        report = self._agent.report()
        if report is None:
            self._staged_version = None
            await asyncio.sleep(POLL_MS / _MS)
            return
        if report.leaving:
            # Pieces that are staged at a leaving engine, and weights that it
            # loads, are lost with it.
            self._set_state(LoaderState.IDLE)
            await asyncio.sleep(POLL_MS / _MS)
            return
        if (
            self._staged_version != wanted
            or self._staged_born_ms != report.born_ms
        ):
            await self._adopt_staged(wanted, chunk_set)
            self._staged_born_ms = report.born_ms
        if chunk_set.complete and report.weights == wanted.version:
            self._set_state(LoaderState.IDLE)
            await asyncio.sleep(POLL_MS / _MS)
            return
        if not chunk_set.complete:
            self._set_state(LoaderState.FETCHING)
            await self._stage_new(wanted, chunk_set)
            await self._wait_changed()
            return
        await self._stage_new(wanted, chunk_set)
        self._times.record_phase(wanted, rollout_times.Phase.COMPLETE)
        if wanted not in self._pieces_ready_ms:
            self._pieces_ready_ms = {wanted: self._clock.now_ms()}
        if self._may_load(wanted, report):
            await self._load(wanted, chunk_set, serving=report.weights > 0)
            return
        self._set_state(LoaderState.WAITING)
        await asyncio.sleep(LOAD_POLL_MS / _MS)

    async def _adopt_staged(
        self, wanted: version_digests.ModelVersion, chunk_set: manifest.ChunkSet
    ) -> None:
        """Adopts the staged pieces whose digests match."""
        self._staged = set()
        begun_ms = self._clock.now_ms()
        self._verified_ms = float("-inf")
        for index in await self._engine.staged(wanted.model):
            data = await self._engine.read_staged(
                wanted.model, index, chunk_set.manifest.chunk_bytes
            )
            if 0 <= index < len(
                chunk_set.manifest.chunks
            ) and chunk_set.matches(index, data):
                self._staged.add(index)
                self._exchange.add(wanted, index, data)
        self._staged_version = wanted
        self._read_ms = begun_ms
        if len(self._staged) == len(chunk_set.manifest.chunks):
            self._verified_ms = self._clock.now_ms()
        logs.log(
            "staged_found",
            name=wanted.name,
            pieces=len(self._staged),
            held=len(chunk_set.held),
        )

    async def _stage_new(
        self, wanted: version_digests.ModelVersion, chunk_set: manifest.ChunkSet
    ) -> None:
        """Stages the pieces that are held and not staged yet."""
        missing = sorted(chunk_set.held - self._staged)
        limit = asyncio.Semaphore(STAGE_PARALLEL)

        async def stage(index: int) -> None:
            data = chunk_set.get(index)
            if data is None:
                return
            async with limit:
                await self._engine.stage(wanted.model, index, data)
            self._staged.add(index)

        await _run_all(stage(index) for index in missing)

    async def _wait_changed(self) -> None:
        self._exchange.changed.clear()
        try:
            async with asyncio.timeout(POLL_MS / _MS):
                await self._exchange.changed.wait()
        except TimeoutError:
            pass

    def _may_load(
        self,
        wanted: version_digests.ModelVersion,
        report: engine_state.EngineReport,
    ) -> bool:
        """Returns whether this engine may load now."""
        if report.busy:
            return False
        if report.weights == 0:
            return True
        pieces_ready_ms = self._pieces_ready_ms[wanted]
        start_ms = self._agent.load_start_ms(wanted, pieces_ready_ms)
        return self._clock.now_ms() >= start_ms

    async def _load(
        self,
        wanted: version_digests.ModelVersion,
        chunk_set: manifest.ChunkSet,
        *,
        serving: bool,
    ) -> None:
        """Verifies the staged pieces and orders the load.

        Args:
          wanted: the version.
          chunk_set: its pieces.
          serving: whether the engine serves another version, so that running
            requests are given time to end.
        """
        await self._repair_staged(wanted, chunk_set)
        if self._agent.wanted() != wanted:
            return
        self._set_state(LoaderState.LOADING)
        if serving:
            pieces_ready_ms = self._pieces_ready_ms[wanted]
            await self._drain(self._agent.drain_ms(wanted, pieces_ready_ms))
        report = await self._agent.read_report()
        if report is None or report.born_ms != self._staged_born_ms:
            self._set_state(LoaderState.IDLE)
            return
        self._totals.add(counters.CounterName.ENGINE_ORDERS, "load")
        logs.log(
            "load_ordered",
            name=wanted.name,
            order_number=report.order_number,
            read_age_ms=round(self._clock.now_ms() - self._read_ms),
        )
        self._times.record_phase(wanted, rollout_times.Phase.ORDERED)
        started_ms = self._clock.now_ms()
        try:
            await self._engine.load(
                wanted.model,
                wanted.version,
                report.order_number,
                cut=self._agent.may_cut(),
            )
        except clients.OrderRefusedError as error:
            logs.log("load_refused", name=wanted.name, detail=error)
            self._set_state(LoaderState.IDLE)
            await asyncio.sleep(LOAD_POLL_MS / _MS)
            return
        except clients.PlatformError as error:
            # The engine may have accepted the order without an answer; its
            # reports show whether it did.
            logs.log("load_unanswered", name=wanted.name, detail=error)
        loaded = await self._wait_loaded(wanted)
        spoilt = await self._find_spoilt(wanted, chunk_set)
        logs.log(
            "load_ended",
            name=wanted.name,
            loaded=loaded,
            spoilt=len(spoilt),
            taken_ms=round(self._clock.now_ms() - started_ms),
        )
        if loaded:
            self._times.record_phase(wanted, rollout_times.Phase.LOADED)
            self._times.log_rollout(
                self._agent.age_ms(wanted),
                self._agent.limit_ms(),
            )
        self._set_state(LoaderState.IDLE)

    async def _drain(self, drain_ms: float) -> None:
        """Waits until no request runs or waits, for at most `drain_ms`.

        An engine that does not answer may be silent and run requests.
        """
        end_ms = self._clock.now_ms() + drain_ms
        await asyncio.sleep(CLOSE_NOTICE_MS / _MS)
        while self._clock.now_ms() < end_ms:
            report = await self._agent.read_report()
            if report is not None and report.running + report.waiting == 0:
                return
            await asyncio.sleep(LOAD_POLL_MS / _MS)

    async def _repair_staged(
        self, wanted: version_digests.ModelVersion, chunk_set: manifest.ChunkSet
    ) -> None:
        """Reads back every staged piece and replaces corrupt ones."""
        if self._clock.now_ms() - self._verified_ms < VERIFIED_MAX_AGE_MS:
            return
        self._read_ms = self._clock.now_ms()
        limit = asyncio.Semaphore(STAGE_PARALLEL)

        async def repair(index: int) -> None:
            async with limit:
                data = await self._engine.read_staged(
                    wanted.model, index, chunk_set.manifest.chunk_bytes
                )
                held = chunk_set.get(index)
                if held is None or chunk_set.matches(index, data):
                    return
                logs.log("staged_piece_mended", name=wanted.name, index=index)
                self._totals.add(counters.CounterName.CHUNKS_REJECTED, "staged")
                await self._engine.stage(wanted.model, index, held)

        await _run_all(repair(i) for i in range(len(chunk_set.manifest.chunks)))

    async def _find_spoilt(
        self, wanted: version_digests.ModelVersion, chunk_set: manifest.ChunkSet
    ) -> list[int]:
        """Returns the indexes of staged pieces whose digests do not match."""
        limit = asyncio.Semaphore(STAGE_PARALLEL)
        spoilt: list[int] = []

        async def check(index: int) -> None:
            async with limit:
                data = await self._engine.read_staged(
                    wanted.model, index, chunk_set.manifest.chunk_bytes
                )
            if not chunk_set.matches(index, data):
                spoilt.append(index)

        await _run_all(check(i) for i in range(len(chunk_set.manifest.chunks)))
        return sorted(spoilt)

    async def _wait_loaded(self, wanted: version_digests.ModelVersion) -> bool:
        end_ms = self._clock.now_ms() + LOAD_TIMEOUT_MS
        while self._clock.now_ms() < end_ms:
            report = await self._agent.read_report()
            if report is None:
                return False
            if report.weights == wanted.version:
                return True
            await asyncio.sleep(LOAD_POLL_MS / _MS)
        return False

    def _set_state(self, state: LoaderState) -> None:
        if state is not self.state:
            self.state = state
            self._state_changed()


async def _run_all(work: Iterable[Coroutine[None, None, None]]) -> None:
    """Runs coroutines concurrently; the first failure cancels all others.

    Raises:
      clients.PlatformError: the first failure.
    """
    try:
        async with asyncio.TaskGroup() as group:
            for coroutine in work:
                group.create_task(coroutine)
    except* clients.PlatformError as errors_found:
        first = errors_found.exceptions[0]
        asked_ms = getattr(first, "asked_ms", None)
        raise clients.PlatformError(str(first), asked_ms) from first
