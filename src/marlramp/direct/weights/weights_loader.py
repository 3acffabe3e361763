"""Brings the named weights into the engine on this VM.

Pieces are fetched, staged beside the engine as they arrive, read back and
verified right before the order: what is staged may have rotted, and an engine
loads whatever lies there.
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
from marlramp.core import engine_state
from marlramp.core import manifest
from marlramp.direct.weights import piece_exchange
from marlramp.direct.weights import rollout_times
from marlramp.direct.weights import version_digests
from marlramp.platform import clients

POLL_MS = 100.0
"""Between two looks at the engine and at what is named."""

LOAD_POLL_MS = 25.0
"""Between two looks while the engine loads: each is free on the own VM."""

LOAD_TIMEOUT_MS = 6_000.0
"""Longest wait for an ordered load: what runs ends within the callers' time."""

CLOSE_NOTICE_MS = 30.0
"""Between telling the entries that the engine closes and the order: five
times the way to them."""

STAGE_PARALLEL = 4
"""Pieces staged or read back at once."""

VERIFIED_FRESH_MS = 1_000.0
"""Staged pieces that were read back this lately need not be read again before
the order: reading 64 of them takes 0.06 s of an engine's outage."""

RETRY_MS = 200.0
_MS = clock.MILLIS_PER_SECOND


class Engine(Protocol):
    """The engine on this VM."""

    async def staged(self, model: str) -> list[int]:
        """Returns the indexes of the staged pieces."""
        ...

    async def read_staged(self, model: str, index: int) -> bytes:
        """Returns a staged piece, not verified."""
        ...

    async def stage(self, model: str, index: int, data: bytes) -> None:
        """Stages a piece."""
        ...

    async def load(
        self, model: str, version: int, order_number: int, *, cut: bool
    ) -> None:
        """Orders the engine to load what is staged; may cut what runs.

        The order is refused if the engine has not accepted exactly
        `order_number` orders so far, as after a restart.
        """
        ...


class LoaderState(enum.Enum):
    """What the loader does."""

    IDLE = "idle"
    FETCHING = "fetching"
    WAITING = "waiting"
    LOADING = "loading"


class Surroundings(Protocol):
    """What the loader asks the agent that it belongs to."""

    def wanted(self) -> version_digests.Wanted | None:
        """Returns the weights to serve, None if they are not known."""
        ...

    def report(self) -> engine_state.EngineReport | None:
        """Returns the engine's last report, None while it is away."""
        ...

    async def read_report(self) -> engine_state.EngineReport | None:
        """Reads a fresh report from the engine."""
        ...

    def begins_ms(
        self, wanted: version_digests.Wanted, there_ms: float
    ) -> float:
        """Returns when the engine may load pieces that are there then."""
        ...

    def drain_ms(
        self, wanted: version_digests.Wanted, there_ms: float
    ) -> float:
        """Returns how long what runs may go on before it is cut."""
        ...

    def may_cut(self) -> bool:
        """Returns whether streams that are cut go on at another engine."""
        ...

    def is_new(self, wanted: version_digests.Wanted) -> bool:
        """Returns whether a version was named just now."""
        ...

    def age_ms(self, wanted: version_digests.Wanted) -> float | None:
        """Returns the time since a version was named, None if not known."""
        ...

    def limit_ms(self) -> float | None:
        """Returns the least time in which a version can be loaded here."""
        ...


class WeightsLoader:
    """Keeps the engine on this VM at the named weights."""

    def __init__(
        self,
        surroundings: Surroundings,
        engine: Engine,
        exchange: piece_exchange.PieceExchange,
        state_changed: Callable[[], None],
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Does nothing before `run`; calls `state_changed` on each change."""
        self._surroundings = surroundings
        self._engine = engine
        self._exchange = exchange
        self._state_changed = state_changed
        self._totals = totals
        self._clock = time
        self._staged: set[int] = set()
        self._staged_of: version_digests.Wanted | None = None
        self._staged_born_ms: int | None = None
        self._verified_ms = float("-inf")
        self._times = rollout_times.RolloutTimes(time)
        self._there_ms: dict[version_digests.Wanted, float] = {}
        self.state = LoaderState.IDLE

    def there_ms(self, wanted: version_digests.Wanted) -> float | None:
        """Returns when all pieces of a version were there, None before."""
        return self._there_ms.get(wanted)

    async def run(self) -> None:
        """Follows the named weights for ever."""
        # Also after an error: the engine must not stay closed for a load that
        # nobody carries out any more.
        self._staged_of = None
        self._set_state(LoaderState.IDLE)
        while True:
            wanted = self._surroundings.wanted()
            if wanted is None:
                await asyncio.sleep(POLL_MS / _MS)
                continue
            try:
                await self._step(wanted)
            except clients.PlatformError as error:
                logs.log("weights_step_failed", name=wanted.name, detail=error)
                self._staged_of = None
                self._set_state(LoaderState.IDLE)
                await asyncio.sleep(RETRY_MS / _MS)

    async def _step(self, wanted: version_digests.Wanted) -> None:
        self._times.reached(wanted, rollout_times.Phase.HEARD)
        whole = await self._exchange.find_manifest(wanted)
        self._times.reached(wanted, rollout_times.Phase.DIGESTS)
        if whole.held:
            self._times.reached(wanted, rollout_times.Phase.FIRST_PIECE)
        # Also while the engine starts: its weights travel meanwhile.
        self._exchange.want(wanted, is_new=self._surroundings.is_new(wanted))
        report = self._surroundings.report()
        if report is None:
            self._staged_of = None
            await asyncio.sleep(POLL_MS / _MS)
            return
        if report.leaving:
            # What is staged or loaded there is lost with it.
            self._set_state(LoaderState.IDLE)
            await asyncio.sleep(POLL_MS / _MS)
            return
        if self._staged_of != wanted or self._staged_born_ms != report.born_ms:
            await self._adopt_staged(wanted, whole)
            self._staged_born_ms = report.born_ms
        if whole.complete and report.weights == wanted.version:
            self._set_state(LoaderState.IDLE)
            await asyncio.sleep(POLL_MS / _MS)
            return
        if not whole.complete:
            self._set_state(LoaderState.FETCHING)
            await self._stage_new(wanted, whole)
            await self._wait_changed()
            return
        await self._stage_new(wanted, whole)
        self._times.reached(wanted, rollout_times.Phase.WHOLE)
        if wanted not in self._there_ms:
            self._there_ms = {wanted: self._clock.now_ms()}
        if self._may_load(wanted, report):
            await self._load(wanted, whole, serving=report.weights > 0)
            return
        self._set_state(LoaderState.WAITING)
        await asyncio.sleep(LOAD_POLL_MS / _MS)

    async def _adopt_staged(
        self, wanted: version_digests.Wanted, whole: manifest.ChunkSet
    ) -> None:
        """Takes over what is staged already and right."""
        self._staged = set()
        self._verified_ms = float("-inf")
        for index in await self._engine.staged(wanted.model):
            data = await self._engine.read_staged(wanted.model, index)
            if 0 <= index < len(whole.manifest.chunks) and whole.matches(
                index, data
            ):
                self._staged.add(index)
                self._exchange.add(wanted, index, data)
        self._staged_of = wanted
        if len(self._staged) == len(whole.manifest.chunks):
            self._verified_ms = self._clock.now_ms()
        logs.log(
            "staged_found",
            name=wanted.name,
            pieces=len(self._staged),
            held=len(whole.held),
        )

    async def _stage_new(
        self, wanted: version_digests.Wanted, whole: manifest.ChunkSet
    ) -> None:
        """Stages what is held and not staged yet."""
        missing = sorted(whole.held - self._staged)
        limit = asyncio.Semaphore(STAGE_PARALLEL)

        async def stage(index: int) -> None:
            data = whole.get(index)
            if data is None:
                return
            async with limit:
                await self._engine.stage(wanted.model, index, data)
            self._staged.add(index)

        await _all(stage(index) for index in missing)

    async def _wait_changed(self) -> None:
        self._exchange.changed.clear()
        try:
            async with asyncio.timeout(POLL_MS / _MS):
                await self._exchange.changed.wait()
        except TimeoutError:
            pass

    def _may_load(
        self,
        wanted: version_digests.Wanted,
        report: engine_state.EngineReport,
    ) -> bool:
        """Returns whether it is this engine's turn."""
        if report.busy:
            return False
        if report.weights == 0:
            return True
        there_ms = self._there_ms[wanted]
        begins_ms = self._surroundings.begins_ms(wanted, there_ms)
        return self._clock.now_ms() >= begins_ms

    async def _load(
        self,
        wanted: version_digests.Wanted,
        whole: manifest.ChunkSet,
        *,
        serving: bool,
    ) -> None:
        """Verifies what is staged and orders the load.

        Args:
          wanted: the version.
          whole: its pieces.
          serving: whether the engine serves another version until then.
        """
        await self._mend_staged(wanted, whole)
        if self._surroundings.wanted() != wanted:
            return
        self._set_state(LoaderState.LOADING)
        if serving:
            there_ms = self._there_ms[wanted]
            await self._drain(self._surroundings.drain_ms(wanted, there_ms))
        report = await self._surroundings.read_report()
        if report is None or report.born_ms != self._staged_born_ms:
            self._set_state(LoaderState.IDLE)
            return
        self._totals.add(counters.CounterName.ENGINE_ORDERS, "load")
        logs.log("load_ordered", name=wanted.name)
        self._times.reached(wanted, rollout_times.Phase.ORDERED)
        started_ms = self._clock.now_ms()
        try:
            await self._engine.load(
                wanted.model,
                wanted.version,
                report.order_number,
                cut=self._surroundings.may_cut(),
            )
        except clients.OrderRefusedError as error:
            logs.log("load_refused", name=wanted.name, detail=error)
            self._set_state(LoaderState.IDLE)
            await asyncio.sleep(LOAD_POLL_MS / _MS)
            return
        except clients.PlatformError as error:
            # Without an answer it may have been accepted: the reports tell.
            logs.log("load_unanswered", name=wanted.name, detail=error)
        loaded = await self._wait_loaded(wanted)
        logs.log(
            "load_ended",
            name=wanted.name,
            loaded=loaded,
            taken_ms=round(self._clock.now_ms() - started_ms),
        )
        if loaded:
            self._times.reached(wanted, rollout_times.Phase.LOADED)
            self._times.tell(
                self._surroundings.age_ms(wanted),
                self._surroundings.limit_ms(),
            )
        self._set_state(LoaderState.IDLE)

    async def _drain(self, drain_ms: float) -> None:
        """Gives what runs some time to end."""
        end_ms = self._clock.now_ms() + drain_ms
        await asyncio.sleep(CLOSE_NOTICE_MS / _MS)
        while self._clock.now_ms() < end_ms:
            report = await self._surroundings.read_report()
            if report is None or report.running + report.waiting == 0:
                return
            await asyncio.sleep(LOAD_POLL_MS / _MS)

    async def _mend_staged(
        self, wanted: version_digests.Wanted, whole: manifest.ChunkSet
    ) -> None:
        """Reads back every staged piece and replaces what is wrong."""
        if self._clock.now_ms() - self._verified_ms < VERIFIED_FRESH_MS:
            return
        limit = asyncio.Semaphore(STAGE_PARALLEL)

        async def mend(index: int) -> None:
            async with limit:
                data = await self._engine.read_staged(wanted.model, index)
                held = whole.get(index)
                if held is None or whole.matches(index, data):
                    return
                logs.log("staged_piece_mended", name=wanted.name, index=index)
                self._totals.add(counters.CounterName.CHUNKS_REJECTED, "staged")
                await self._engine.stage(wanted.model, index, held)

        await _all(mend(i) for i in range(len(whole.manifest.chunks)))

    async def _wait_loaded(self, wanted: version_digests.Wanted) -> bool:
        end_ms = self._clock.now_ms() + LOAD_TIMEOUT_MS
        while self._clock.now_ms() < end_ms:
            report = await self._surroundings.read_report()
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


async def _all(work: Iterable[Coroutine[None, None, None]]) -> None:
    """Runs coroutines together; the first failure ends them all."""
    try:
        async with asyncio.TaskGroup() as group:
            for coroutine in work:
                group.create_task(coroutine)
    except* clients.PlatformError as errors_found:
        first = errors_found.exceptions[0]
        asked_ms = getattr(first, "asked_ms", None)
        raise clients.PlatformError(str(first), asked_ms) from first
