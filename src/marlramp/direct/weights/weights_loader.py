"""Loads the named weights into the engine on this VM.

Pieces are fetched, staged beside the engine as they arrive, and read back and
verified before the load order: staged pieces may have become corrupt, and an
engine loads them without a check. They are verified again once the engine has
accepted the order, since it takes them as they are at that moment; see
`core.replicas.loaded_weights`.

An order without an answer may be accepted at any later time. No other version
is staged before the engine has accepted it or its number is used up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import enum
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.core.replicas import engine_state
from marlramp.core.replicas import loaded_weights
from marlramp.core.weights import manifest
from marlramp.core.weights import suspension
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
"""Maximum age of a verification of the staged pieces, counted from its first
read, after which they are read back again before the load order. Reading 64
pieces adds 0.06 s to an engine's outage."""

VERIFIED_MAX_AGE_PASSES = 2.0
"""The same in multiples of the time that one pass over the pieces takes: on a
slow VM no pass would be recent enough otherwise."""

VERIFY_ATTEMPTS_MAX = 5
"""Passes over the staged pieces until one finds all of them correct in time."""

SUSPENSION_CHECK_MS = 100.0
"""Interval between two checks whether this process was suspended."""

RETRY_MS = 200.0
"""Delay before a retry after an error of the platform."""

FOUND_DIGESTS_MS = 1_000.0
"""Maximum time for which the digests of weights are sought that the engine held
before this process started, while another version is wanted."""

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
          clients.OrderRefusedError: the engine refused the order, for example
            because it has accepted another number of orders than
            `order_number`.
          clients.PlatformError: the engine did not answer; it may accept the
            order later.
        """
        ...

    async def unload(self, model: str, version: int, order_number: int) -> None:
        """Orders the engine to drop the weights that it holds.

        Args:
          model: the model.
          version: the version that it holds.
          order_number: as in `load`.

        Raises:
          clients.OrderRefusedError: as for `load`.
          clients.PlatformError: as for `load`.
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


class _Order(msgspec.Struct):
    """A load order whose outcome is not known yet.

    Attributes:
      wanted: the version that is staged and ordered.
      chunk_set: its pieces.
      report: the report that the order was decided on.
      is_unanswered: whether an order of this number had no answer.
      was_accepted: whether the engine was seen to have accepted it.
      is_suspect: whether staged pieces may have been replaced after the engine
        took them.
    """

    wanted: version_digests.ModelVersion
    chunk_set: manifest.ChunkSet
    report: engine_state.EngineReport
    is_unanswered: bool = False
    was_accepted: bool = False
    is_suspect: bool = False

    def is_accepted(self, report: engine_state.EngineReport) -> bool:
        """Returns whether the engine has accepted an order since."""
        return report.order_number > self.report.order_number

    def is_void(self, report: engine_state.EngineReport) -> bool:
        """Returns whether the engine has restarted since."""
        return (
            report.born_ms != self.report.born_ms
            or report.order_number < self.report.order_number
            or (self.was_accepted and not self.is_accepted(report))
        )


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
        self._staged_set: manifest.ChunkSet | None = None
        self._staged_born_ms: int | None = None
        self._verified_ms = float("-inf")
        self._verified_end_ms = float("-inf")
        self._pass_ms = float("inf")
        self._suspensions = suspension.SuspensionDetector(time)
        self._found_whole = True
        self._is_found_judged = False
        self._order: _Order | None = None
        self._loaded = loaded_weights.LoadedWeights()
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

    def trust(
        self, report: engine_state.EngineReport
    ) -> loaded_weights.LoadTrust:
        """Returns the trust in the weights of a report of the engine."""
        return self._loaded.trust(report)

    def usable_weights(self, report: engine_state.EngineReport) -> int:
        """Returns the version that requests may run on, 0 for none."""
        return self._loaded.usable_weights(report)

    def record_report(self, report: engine_state.EngineReport) -> None:
        """Records a report of the engine, before others learn of it."""
        self._loaded.record_report(report)

    async def run(self) -> None:
        """Follows the announced version until cancelled."""
        # This resets the state after an error too: the engine must not stay
        # closed for a load that will not happen.
        self._staged_version = None
        self._set_state(LoaderState.IDLE)
        watch = asyncio.create_task(self._watch_suspensions())
        try:
            await self._follow()
        finally:
            watch.cancel()

    async def _watch_suspensions(self) -> None:
        while True:
            self._suspensions.resumed_ms()
            await asyncio.sleep(SUSPENSION_CHECK_MS / _MS)

    async def _follow(self) -> None:
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
        if self._order is not None:
            await self._settle_order(self._order)
            return
        self._times.record_phase(wanted, rollout_times.Phase.HEARD)
        chunk_set = await self._exchange.find_manifest(
            wanted, lambda: self._agent.wanted() == wanted
        )
        if chunk_set is None:
            return
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
        if not self._is_found_judged and not report.busy:
            await self._judge_found_other(wanted, chunk_set, report)
            self._is_found_judged = True
        if (
            self._staged_version != wanted
            or self._staged_born_ms != report.born_ms
        ):
            if self._knows_staged(report):
                self._keep_common(wanted, chunk_set)
            else:
                await self._adopt_staged(wanted, chunk_set)
            self._staged_born_ms = report.born_ms
        if chunk_set.complete:
            self._judge_found(wanted, report)
        usable = self._loaded.usable_weights(report)
        if chunk_set.complete and usable == wanted.version:
            self._set_state(LoaderState.IDLE)
            await asyncio.sleep(POLL_MS / _MS)
            return
        if not chunk_set.complete:
            self._set_state(LoaderState.FETCHING)
            if not self._holds_unverified(wanted, report):
                await self._stage_new(wanted, chunk_set)
            await self._wait_changed()
            return
        if report.busy and self._holds_unverified(wanted, report):
            await asyncio.sleep(LOAD_POLL_MS / _MS)
            return
        if wanted.version in (report.weights, report.partial_weights):
            # An engine does not load a version again that it holds.
            await self._unload(wanted, report)
            return
        await self._stage_new(wanted, chunk_set)
        self._times.record_phase(wanted, rollout_times.Phase.COMPLETE)
        if wanted not in self._pieces_ready_ms:
            self._pieces_ready_ms = {wanted: self._clock.now_ms()}
        if self._may_load(wanted, report, usable):
            await self._load(wanted, chunk_set, serving=usable > 0)
            return
        self._set_state(LoaderState.WAITING)
        await asyncio.sleep(LOAD_POLL_MS / _MS)

    def _knows_staged(self, report: engine_state.EngineReport) -> bool:
        """Returns whether this process knows which pieces are staged.

        Staged pieces are also evidence of what was loaded, and are then read.
        """
        return (
            self._staged_version is not None
            and self._staged_born_ms == report.born_ms
            and self._loaded.trust(report) is loaded_weights.LoadTrust.VERIFIED
        )

    def _keep_common(
        self, wanted: version_digests.ModelVersion, chunk_set: manifest.ChunkSet
    ) -> None:
        """Keeps the staged pieces that the next version has in common.

        Reading all pieces of the last version instead would delay the first
        pieces of the next one, by seconds on a slow VM.
        """
        before = self._staged_set
        assert before is not None
        is_same_model = before.manifest.model == wanted.model
        common = before.common_indexes(chunk_set) if is_same_model else set()
        self._set_staged(wanted, chunk_set, self._staged & common)

    async def _adopt_staged(
        self, wanted: version_digests.ModelVersion, chunk_set: manifest.ChunkSet
    ) -> None:
        """Adopts the staged pieces whose digests match.

        They also show whether weights that the engine held before this process
        started were loaded whole: no version is staged over one whose load was
        not verified, and none is staged again before the engine has dropped it.
        """
        begun_ms = self._clock.now_ms()
        limit = asyncio.Semaphore(STAGE_PARALLEL)
        matching: set[int] = set()

        async def adopt(index: int) -> None:
            async with limit:
                data = await self._engine.read_staged(
                    wanted.model, index, chunk_set.manifest.chunk_bytes
                )
            if chunk_set.matches(index, data):
                matching.add(index)
                self._exchange.add(wanted, index, data)

        staged = await self._engine.staged(wanted.model)
        known = range(len(chunk_set.manifest.chunks))
        await _run_all(adopt(index) for index in staged if index in known)
        self._set_staged(wanted, chunk_set, matching)
        if self._found_whole:
            self._verified_ms = begun_ms
            self._verified_end_ms = self._clock.now_ms()

    def _set_staged(
        self,
        wanted: version_digests.ModelVersion,
        chunk_set: manifest.ChunkSet,
        staged: set[int],
    ) -> None:
        """Sets which pieces of a version are staged, none of them verified."""
        self._staged = staged
        self._staged_version = wanted
        self._staged_set = chunk_set
        self._verified_ms = float("-inf")
        self._found_whole = len(staged) == len(chunk_set.manifest.chunks)
        logs.log(
            "staged_found",
            name=wanted.name,
            pieces=len(staged),
            held=len(chunk_set.held),
        )

    def _judge_found(
        self,
        wanted: version_digests.ModelVersion,
        report: engine_state.EngineReport,
    ) -> None:
        """Judges weights that were loaded before this process started.

        Called with corrupt pieces only once all correct ones are held: until
        then the engine could not load anew.
        """
        is_found = self._loaded.trust(report) is loaded_weights.LoadTrust.FOUND
        if is_found and report.weights == wanted.version:
            self._record_check(report, wanted, spoilt=not self._found_whole)

    async def _judge_found_other(
        self,
        wanted: version_digests.ModelVersion,
        chunk_set: manifest.ChunkSet,
        report: engine_state.EngineReport,
    ) -> None:
        """Judges weights of another version that the engine held at the start.

        A process stages a version only over one whose load it has verified, so
        that staged pieces of a newer version show nothing against the other.

        Args:
          wanted: the wanted version.
          chunk_set: its pieces.
          report: the report of the engine.
        """
        is_found = self._loaded.trust(report) is loaded_weights.LoadTrust.FOUND
        if not is_found or report.weights in (0, wanted.version):
            return
        end_ms = self._clock.now_ms() + FOUND_DIGESTS_MS
        held = version_digests.ModelVersion(wanted.model, report.weights)
        held_set = await self._exchange.find_manifest(
            held,
            lambda: (
                self._agent.wanted() == wanted and self._clock.now_ms() < end_ms
            ),
        )
        if held_set is None:
            return
        spoilt = await self._find_spoilt(held, held_set)
        if spoilt and wanted.version != held.version + 1:
            # They may be pieces of a version in between.
            return
        for index in spoilt:
            data = await self._engine.read_staged(
                wanted.model, index, chunk_set.manifest.chunk_bytes
            )
            if chunk_set.matches(index, data):
                return
        self._record_check(report, held, spoilt=bool(spoilt))

    def _holds_unverified(
        self,
        wanted: version_digests.ModelVersion,
        report: engine_state.EngineReport,
    ) -> bool:
        """Returns whether staged pieces are evidence of what was loaded.

        An engine that still loads reports the version that it held before.
        """
        if self._loaded.trust(report) is loaded_weights.LoadTrust.VERIFIED:
            return False
        return report.busy or report.weights == wanted.version

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
        usable: int,
    ) -> bool:
        """Returns whether this engine may load now."""
        if report.busy:
            return False
        if usable == 0:
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
        await self._verify_staged(wanted, chunk_set)
        if self._agent.wanted() != wanted:
            return
        self._set_state(LoaderState.LOADING)
        if serving:
            pieces_ready_ms = self._pieces_ready_ms[wanted]
            await self._drain(self._agent.drain_ms(wanted, pieces_ready_ms))
        report = await self._agent.read_report()
        if (
            report is None
            or report.born_ms != self._staged_born_ms
            or self._agent.wanted() != wanted
        ):
            self._set_state(LoaderState.IDLE)
            return
        order = _Order(wanted, chunk_set, report)
        await self._send_order(order)
        if self._order is not None:
            await self._settle_order(order)

    async def _send_order(self, order: _Order) -> None:
        """Orders a load right after a verification of the staged pieces.

        Unless the order was refused, it is kept as `_order` until its outcome
        is known.
        """
        wanted = order.wanted
        await self._verify_ordered(order)
        self._order = order
        self._totals.add(counters.CounterName.ENGINE_ORDERS, "load")
        logs.log(
            "load_ordered",
            name=wanted.name,
            order_number=order.report.order_number,
            verified_age_ms=round(self._clock.now_ms() - self._verified_ms),
        )
        self._times.record_phase(wanted, rollout_times.Phase.ORDERED)
        try:
            await self._engine.load(
                wanted.model,
                wanted.version,
                order.report.order_number,
                cut=self._agent.may_cut(),
            )
            order.is_unanswered = False
        except clients.OrderRefusedError as error:
            logs.log("load_refused", name=wanted.name, detail=error)
            if not order.is_unanswered:
                self._order = None
                self._set_state(LoaderState.IDLE)
            await asyncio.sleep(LOAD_POLL_MS / _MS)
        except clients.PlatformError as error:
            logs.log("load_unanswered", name=wanted.name, detail=error)
            order.is_unanswered = True
            # The engine serves its old version until it accepts the order.
            self._set_state(LoaderState.WAITING)

    async def _verify_ordered(self, order: _Order) -> None:
        """Verifies the staged pieces of an order that may be accepted already.

        Pieces that are replaced after the engine took corrupt ones would hide
        them, unless a later report shows that it has accepted nothing.
        """
        order.is_suspect = order.is_unanswered
        replaced = await self._verify_staged(order.wanted, order.chunk_set)
        if replaced and order.is_unanswered:
            report = await self._agent.read_report()
            order.is_suspect = report is None or order.is_accepted(report)
        else:
            order.is_suspect = False

    async def _settle_order(self, order: _Order) -> None:
        """Waits until the outcome of an order is known.

        An order without an answer is sent again under the same number, of which
        the engine accepts one: the number is used up before another version is
        staged, and an order that arrives later is refused.
        """
        started_ms = self._clock.now_ms()
        spoilt: int | None = None
        while self._clock.now_ms() - started_ms < LOAD_TIMEOUT_MS:
            report = await self._agent.read_report()
            if report is None:
                await asyncio.sleep(POLL_MS / _MS)
                break
            if order.is_void(report):
                self._forget_order()
                return
            if order.is_accepted(report):
                order.was_accepted = True
                self._set_state(LoaderState.LOADING)
                unverified = loaded_weights.LoadTrust.UNVERIFIED
                if self._loaded.trust(report) is unverified:
                    spoilt = await self._check_taken(order, report)
                if not report.busy:
                    self._forget_order()
                    break
            elif report.weights == order.wanted.version:
                # An order of a version in effect does nothing, also a late one.
                self._forget_order()
                break
            elif order.is_unanswered:
                await self._send_order(order)
                continue
            await asyncio.sleep(LOAD_POLL_MS / _MS)
        else:
            order.is_unanswered = True
        self._set_state(LoaderState.IDLE)
        self._log_load(order, spoilt, started_ms)

    def _forget_order(self) -> None:
        self._order = None
        self._set_state(LoaderState.IDLE)

    def _log_load(
        self, order: _Order, spoilt: int | None, started_ms: clock.Millis
    ) -> None:
        report = self._agent.report()
        loaded = (
            report is not None
            and self._loaded.usable_weights(report) == order.wanted.version
        )
        logs.log(
            "load_ended",
            name=order.wanted.name,
            loaded=loaded,
            spoilt=spoilt,
            taken_ms=round(self._clock.now_ms() - started_ms),
        )
        if loaded:
            self._times.record_phase(order.wanted, rollout_times.Phase.LOADED)
            self._times.log_rollout(
                self._agent.age_ms(order.wanted),
                self._agent.limit_ms(),
            )

    async def _check_taken(
        self, order: _Order, report: engine_state.EngineReport
    ) -> int:
        """Verifies the staged pieces after the engine has accepted an order.

        Returns:
          The number of pieces that are missing or corrupt.
        """
        spoilt = await self._find_spoilt(order.wanted, order.chunk_set)
        if spoilt:
            self._verified_ms = float("-inf")
        is_own = report.order_number == order.report.order_number + 1
        is_sound = not spoilt and is_own and not order.is_suspect
        self._record_check(report, order.wanted, spoilt=not is_sound)
        return len(spoilt)

    def _record_check(
        self,
        report: engine_state.EngineReport,
        wanted: version_digests.ModelVersion,
        *,
        spoilt: bool,
    ) -> None:
        self._loaded.record_check(report, spoilt=spoilt)
        outcome = "spoilt" if spoilt else "verified"
        self._totals.add(counters.CounterName.LOADS_CHECKED, outcome)
        logs.log(
            f"load_{outcome}",
            name=wanted.name,
            order_number=report.order_number,
        )
        self._state_changed()

    async def _unload(
        self,
        wanted: version_digests.ModelVersion,
        report: engine_state.EngineReport,
    ) -> None:
        """Makes the engine drop weights that it may have taken corrupt."""
        if report.busy:
            await asyncio.sleep(LOAD_POLL_MS / _MS)
            return
        self._totals.add(counters.CounterName.ENGINE_ORDERS, "unload")
        logs.log(
            "unload_ordered",
            name=wanted.name,
            order_number=report.order_number,
            trust=self._loaded.trust(report).value,
        )
        await self._engine.unload(
            wanted.model, wanted.version, report.order_number
        )
        await self._agent.read_report()
        await asyncio.sleep(LOAD_POLL_MS / _MS)

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

    async def _verify_staged(
        self, wanted: version_digests.ModelVersion, chunk_set: manifest.ChunkSet
    ) -> bool:
        """Reads back every staged piece and replaces corrupt ones.

        Returns at once if that was done a short time ago. Replaced pieces are
        read back too, and all are read again if the process was suspended
        meanwhile: pieces that were read before may have become corrupt.

        Returns:
          Whether pieces were replaced.

        Raises:
          clients.PlatformError: the pieces do not stay correct.
        """
        replaced = False
        may_repeat = True
        for _ in range(VERIFY_ATTEMPTS_MAX):
            if self._is_verified_lately():
                return replaced
            begun_ms = self._clock.now_ms()
            spoilt = await self._find_spoilt(wanted, chunk_set)
            interrupted = self._suspensions.resumed_ms() >= begun_ms
            if not interrupted or not may_repeat:
                self._record_pass(begun_ms, is_correct=not spoilt)
            # On a starved VM each pass may seem interrupted.
            may_repeat = may_repeat and not interrupted
            if not spoilt:
                continue
            replaced = True
            for index in spoilt:
                logs.log("staged_piece_mended", name=wanted.name, index=index)
                self._totals.add(counters.CounterName.CHUNKS_REJECTED, "staged")
                data = chunk_set.get(index)
                if data is not None:
                    await self._engine.stage(wanted.model, index, data)
        if not self._is_verified_lately():
            raise clients.PlatformError("staged pieces do not stay correct")
        return replaced

    def _record_pass(self, begun_ms: float, *, is_correct: bool) -> None:
        """Records a pass over the staged pieces."""
        taken_ms = self._clock.now_ms() - begun_ms
        self._pass_ms = min(self._pass_ms, taken_ms)
        if is_correct:
            self._verified_ms = begun_ms
            self._verified_end_ms = self._clock.now_ms()

    def _is_verified_lately(self) -> bool:
        if self._suspensions.resumed_ms() > self._verified_end_ms:
            return False
        max_age_ms = VERIFIED_MAX_AGE_MS
        if self._pass_ms < float("inf"):
            passes_ms = VERIFIED_MAX_AGE_PASSES * self._pass_ms
            max_age_ms = max(max_age_ms, passes_ms)
        return self._clock.now_ms() - self._verified_ms < max_age_ms

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
