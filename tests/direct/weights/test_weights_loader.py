"""Tests the loader with a scripted engine."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import hashlib

import msgspec
import pytest

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core.membership import members
from marlramp.core.replicas import engine_state
from marlramp.core.replicas import loaded_weights
from marlramp.core.weights import manifest
from marlramp.direct.weights import piece_exchange
from marlramp.direct.weights import version_digests
from marlramp.direct.weights import weights_loader
from marlramp.platform import clients

PIECES = [b"a" * 8, b"b" * 8]
WANTED = version_digests.ModelVersion("m", 2)
FOUND = manifest.Manifest(
    model="m",
    version="2",
    chunk_bytes=8,
    total_bytes=16,
    chunks=[hashlib.sha256(piece).hexdigest() for piece in PIECES],
    whole="",
)


class Exchange:
    """Knows the digests and holds the pieces that are added."""

    def __init__(self) -> None:
        self.chunk_set = manifest.ChunkSet(FOUND, manifest.sha256_of)
        self.wants = 0
        self.changed = asyncio.Event()

    async def find_manifest(
        self,
        wanted: version_digests.ModelVersion,
        is_wanted: Callable[[], bool],
    ) -> manifest.ChunkSet | None:
        return self.chunk_set if wanted == WANTED else None

    def start_fetch(
        self, wanted: version_digests.ModelVersion, *, is_new: bool
    ) -> None:
        self.wants += 1

    def add(
        self, wanted: version_digests.ModelVersion, index: int, data: bytes
    ) -> bool:
        return self.chunk_set.add(index, data)


class Engine:
    """An engine that starts once `available` is set, and its agent."""

    def __init__(self) -> None:
        self.pieces: dict[int, bytes] = {}
        self.weights = 0
        self.available = False
        self.running = 0
        self.reports: list[bool] = []
        self.cut = 0

    async def staged(self, model: str) -> list[int]:
        return sorted(self.pieces)

    async def read_staged(
        self, model: str, index: int, bytes_max: int
    ) -> bytes:
        return self.pieces[index]

    async def stage(self, model: str, index: int, data: bytes) -> None:
        self.pieces[index] = data

    async def load(
        self, model: str, version: int, order_number: int, *, cut: bool
    ) -> None:
        self.weights = version
        self.cut += self.running

    # Methods of the agent.

    def wanted(self) -> version_digests.ModelVersion | None:
        return WANTED

    def report(self) -> engine_state.EngineReport | None:
        if not self.available:
            return None
        return engine_state.EngineReport(
            weights=self.weights,
            running=self.running,
            waiting=0,
            pace=1.0,
            busy=False,
            order_number=0,
        )

    async def read_report(self) -> engine_state.EngineReport | None:
        if self.reports and not self.reports.pop(0):
            return None
        if not self.reports:
            self.running = 0
        return self.report()

    def load_start_ms(
        self, wanted: version_digests.ModelVersion, pieces_ready_ms: float
    ) -> float:
        return float("-inf")

    def drain_ms(
        self, wanted: version_digests.ModelVersion, pieces_ready_ms: float
    ) -> float:
        return 1_000.0

    def may_cut(self) -> bool:
        return True

    def is_new(self, wanted: version_digests.ModelVersion) -> bool:
        return True

    def age_ms(self, wanted: version_digests.ModelVersion) -> float | None:
        return None

    def limit_ms(self) -> float | None:
        return None


@pytest.fixture
def engine() -> Engine:
    return Engine()


async def started(engine: Engine, exchange: Exchange) -> asyncio.Task[None]:
    loader = weights_loader.WeightsLoader(
        engine,
        engine,
        exchange,  # type: ignore[arg-type]
        lambda: None,
        counters.Counters(),
        clock.SystemClock(),
    )
    return asyncio.create_task(loader.run())


def test_weights_are_fetched_while_the_engine_starts(engine: Engine) -> None:
    async def main() -> None:
        exchange = Exchange()
        running = await started(engine, exchange)
        await asyncio.sleep(0.05)
        assert exchange.wants > 0
        for index, piece in enumerate(PIECES):
            exchange.chunk_set.add(index, piece)
        engine.available = True
        async with asyncio.timeout(2.0):
            while engine.weights != WANTED.version:
                await asyncio.sleep(0.01)
        assert engine.pieces == dict(enumerate(PIECES))
        running.cancel()

    asyncio.run(main())


def test_staged_pieces_are_adopted_unless_corrupt(engine: Engine) -> None:
    async def main() -> None:
        exchange = Exchange()
        engine.pieces = {0: PIECES[0], 1: b"rotten"}
        engine.available = True
        running = await started(engine, exchange)
        await asyncio.sleep(0.1)
        assert exchange.chunk_set.held == {0}
        exchange.chunk_set.add(1, PIECES[1])
        async with asyncio.timeout(2.0):
            while engine.weights != WANTED.version:
                await asyncio.sleep(0.01)
        assert engine.pieces == dict(enumerate(PIECES))
        running.cancel()

    asyncio.run(main())


def test_engine_that_is_silent_for_a_while_is_not_drained(
    engine: Engine,
) -> None:
    """Guards against running requests that are cut by the load order."""

    async def main() -> None:
        exchange = Exchange()
        for index, piece in enumerate(PIECES):
            exchange.chunk_set.add(index, piece)
        engine.weights, engine.running, engine.available = 1, 1, True
        engine.reports = [True, False, True, True]
        running = await started(engine, exchange)
        async with asyncio.timeout(2.0):
            while engine.weights != WANTED.version:
                await asyncio.sleep(0.01)
        assert engine.cut == 0
        running.cancel()

    asyncio.run(main())


NEWER = version_digests.ModelVersion("m", 3)
NEWER_PIECES = [b"c" * 8, b"d" * 8]


class SkippingClock(clock.SystemClock):
    """A clock that skips the time for which a process is suspended."""

    skipped_ms = 0.0

    def now_ms(self) -> clock.Millis:
        return clock.Millis(super().now_ms() + self.skipped_ms)


class OrderedEngine(Engine):
    """An engine that counts orders and takes the pieces that are staged.

    Attributes:
      orders: number of orders that were accepted.
      taken: pieces that were taken by each load of all layers.
      late: orders that had no answer and may still be accepted.
      unanswered: number of orders that get no answer.
    """

    def __init__(self) -> None:
        super().__init__()
        self.available = True
        self.weights = 1
        self.partial = 0
        self.orders = 1
        self.taken: list[tuple[int, dict[int, bytes]]] = []
        self.late: list[tuple[int, int]] = []
        self.unanswered = 0
        self.target = WANTED
        self.loader: weights_loader.WeightsLoader
        self.on_order: list[Callable[[], None]] = []

    async def load(
        self, model: str, version: int, order_number: int, *, cut: bool
    ) -> None:
        if self.on_order:
            self.on_order.pop(0)()
        if self.unanswered:
            self.unanswered -= 1
            self.late.append((version, order_number))
            raise clients.PlatformError("no answer")
        self.accept(version, order_number)

    def accept(self, version: int, order_number: int) -> None:
        if order_number != self.orders:
            raise clients.OrderRefusedError("another number")
        if version == self.weights:
            return
        self.orders += 1
        self.weights, self.partial = version, 0
        self.taken.append((version, dict(self.pieces)))

    def accept_late(self) -> None:
        for version, order_number in self.late:
            with contextlib.suppress(clients.OrderRefusedError):
                self.accept(version, order_number)
        self.late.clear()

    async def unload(self, model: str, version: int, order_number: int) -> None:
        assert order_number == self.orders
        self.orders += 1
        self.weights, self.partial = 0, version - 1

    def wanted(self) -> version_digests.ModelVersion:
        return self.target

    def report(self) -> engine_state.EngineReport:
        return engine_state.EngineReport(
            weights=self.weights,
            partial_weights=self.partial,
            running=0,
            waiting=0,
            pace=1.0,
            busy=False,
            order_number=self.orders,
        )

    async def read_report(self) -> engine_state.EngineReport:
        self.loader.record_report(self.report())
        return self.report()


NEWER_FOUND = manifest.Manifest(
    model="m",
    version="3",
    chunk_bytes=8,
    total_bytes=16,
    chunks=[hashlib.sha256(p).hexdigest() for p in NEWER_PIECES],
    whole="",
)


class NewerExchange(Exchange):
    """Knows the digests of two versions and holds all of their pieces."""

    def __init__(self) -> None:
        super().__init__()
        self.newer = manifest.ChunkSet(NEWER_FOUND, manifest.sha256_of)
        for index in range(2):
            self.newer.add(index, NEWER_PIECES[index])
            self.chunk_set.add(index, PIECES[index])

    async def find_manifest(
        self,
        wanted: version_digests.ModelVersion,
        is_wanted: Callable[[], bool],
    ) -> manifest.ChunkSet | None:
        if wanted == NEWER:
            return self.newer
        return await super().find_manifest(wanted, is_wanted)


@contextlib.asynccontextmanager
async def loading(
    engine: OrderedEngine,
    time: clock.Clock,
    exchange: piece_exchange.PieceExchange | None = None,
) -> AsyncIterator[weights_loader.WeightsLoader]:
    """Runs a loader beside an engine."""
    engine.loader = weights_loader.WeightsLoader(
        engine,
        engine,
        exchange or NewerExchange(),  # type: ignore[arg-type]
        lambda: None,
        counters.Counters(),
        time,
    )
    running = asyncio.create_task(engine.loader.run())
    yield engine.loader
    running.cancel()


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.005)


class NewestOrigin:
    """An origin that has no version but the newer one."""

    async def manifest(self, model: str, version: int) -> manifest.Manifest:
        if version != NEWER.version:
            raise clients.PlatformError("status 410")
        return NEWER_FOUND

    async def piece(
        self, model: str, version: int, index: int, bytes_max: int
    ) -> bytes:
        return NEWER_PIECES[index]


@pytest.fixture
def ordered() -> OrderedEngine:
    return OrderedEngine()


def usable(engine: OrderedEngine) -> int:
    return engine.loader.usable_weights(engine.report())


def test_version_that_the_origin_dropped_does_not_hold_up_a_newer_one(
    ordered: OrderedEngine,
) -> None:
    """Guards against a wait for digests that no process has any longer."""

    async def main() -> None:
        time = clock.SystemClock()
        own = members.Member(
            vm_id=ids.VmId("vm-1"),
            kind=members.MemberKind.AGENT,
            data_centre=ids.DataCentreId("dc-1"),
            host="127.0.0.1",
            port=1,
        )
        exchange = piece_exchange.PieceExchange(
            own, 1e6, counters.Counters(), time
        )
        exchange.set_origin(NewestOrigin())
        fetching = asyncio.create_task(exchange.run())
        async with loading(ordered, time, exchange):
            await asyncio.sleep(0.05)
            ordered.target = NEWER
            await until(lambda: usable(ordered) == NEWER.version)
        fetching.cancel()

    asyncio.run(main())


def test_pieces_that_turn_corrupt_while_the_agent_is_suspended_are_not_loaded(
    ordered: OrderedEngine,
) -> None:
    """Guards against a load order whose verification is old."""
    time = SkippingClock()

    class Suspended(type(ordered)):  # type: ignore[misc]
        async def read_report(self) -> engine_state.EngineReport:
            if self.pieces and not time.skipped_ms:
                self.pieces[1] = b"rotten"
                time.skipped_ms = 4_000.0
            return await super().read_report()

    async def main() -> None:
        engine = Suspended()
        async with loading(engine, time):
            await until(lambda: usable(engine) == WANTED.version)
        assert engine.taken == [(WANTED.version, dict(enumerate(PIECES)))]

    asyncio.run(main())


def test_check_that_a_suspension_interrupts_is_repeated(
    ordered: OrderedEngine,
) -> None:
    """Guards against pieces that turn corrupt after they were read."""
    time = SkippingClock()

    class Interrupted(type(ordered)):  # type: ignore[misc]
        async def read_staged(
            self, model: str, index: int, bytes_max: int
        ) -> bytes:
            data = await super().read_staged(model, index, bytes_max)
            if index == 1 and not time.skipped_ms:
                self.pieces[1] = b"rotten"
                time.skipped_ms = 4_000.0
            return data

    async def main() -> None:
        engine = Interrupted()
        async with loading(engine, time):
            await until(lambda: usable(engine) == WANTED.version)
        assert engine.taken == [(WANTED.version, dict(enumerate(PIECES)))]

    asyncio.run(main())


def test_engine_whose_pieces_are_read_slowly_is_loaded(
    ordered: OrderedEngine,
) -> None:
    """Guards against a verification that is too old once it has ended."""

    class Slow(type(ordered)):  # type: ignore[misc]
        async def read_staged(
            self, model: str, index: int, bytes_max: int
        ) -> bytes:
            time.skipped_ms += weights_loader.VERIFIED_MAX_AGE_MS
            return await super().read_staged(model, index, bytes_max)

    time = SkippingClock()

    async def main() -> None:
        engine = Slow()
        async with loading(engine, time):
            await until(lambda: usable(engine) == WANTED.version)

    asyncio.run(main())


def test_engine_that_took_corrupt_pieces_is_not_used_until_it_loaded_again(
    ordered: OrderedEngine,
) -> None:
    """Guards against spoilt weights that are believed by their version."""
    seen: list[int] = []

    def has_loaded_again(seen: list[int]) -> bool:
        if len(ordered.taken) == 1:
            seen.append(usable(ordered))
        return len(ordered.taken) == 2

    async def main() -> None:
        ordered.on_order = [lambda: ordered.pieces.update({1: b"rotten"})]
        async with loading(ordered, clock.SystemClock()):
            await until(lambda: len(ordered.taken) == 1)
            await until(lambda: has_loaded_again(seen))
            await until(lambda: usable(ordered) == WANTED.version)
        assert len(ordered.taken) == 2
        assert ordered.taken[-1][1] == dict(enumerate(PIECES))
        assert set(seen) == {0}

    asyncio.run(main())


def test_order_that_is_accepted_late_takes_no_pieces_of_a_newer_version(
    ordered: OrderedEngine,
) -> None:
    """Guards against another version that is staged under an open order."""

    async def main() -> None:
        ordered.unanswered = 3
        async with loading(ordered, clock.SystemClock()):
            await until(lambda: bool(ordered.late))
            ordered.target = NEWER
            await until(lambda: usable(ordered) == NEWER.version)
            ordered.accept_late()
        whole = {2: dict(enumerate(PIECES)), 3: dict(enumerate(NEWER_PIECES))}
        assert ordered.taken == [(2, whole[2]), (3, whole[3])]

    asyncio.run(main())


@pytest.mark.parametrize("corrupt", [True, False])
def test_weights_loaded_before_the_agent_started_are_verified(
    ordered: OrderedEngine, corrupt: bool
) -> None:
    """Guards against a load that the agent's last process did not verify."""

    async def main() -> None:
        ordered.weights = WANTED.version
        ordered.pieces = dict(enumerate(PIECES))
        if corrupt:
            ordered.pieces[0] = b"rotten"
        async with loading(ordered, clock.SystemClock()) as loader:
            await until(
                lambda: (
                    loader.trust(ordered.report())
                    is loaded_weights.LoadTrust.VERIFIED
                )
            )
        assert len(ordered.taken) == corrupt
        assert ordered.pieces == dict(enumerate(PIECES))

    asyncio.run(main())


@pytest.mark.parametrize(
    ("staged", "trust"),
    [
        (PIECES, loaded_weights.LoadTrust.VERIFIED),
        ([b"rotten", PIECES[1]], loaded_weights.LoadTrust.SPOILT),
        ([NEWER_PIECES[0], PIECES[1]], loaded_weights.LoadTrust.FOUND),
    ],
    ids=["whole", "corrupt", "partly newer"],
)
def test_found_weights_are_judged_while_a_newer_version_is_wanted(
    ordered: OrderedEngine,
    staged: list[bytes],
    trust: loaded_weights.LoadTrust,
) -> None:
    """Guards against a corrupt load that a process left as it was killed."""

    async def main() -> None:
        ordered.weights, ordered.target = WANTED.version, NEWER
        ordered.pieces = dict(enumerate(staged))
        exchange = NewerExchange()
        exchange.newer = manifest.ChunkSet(NEWER_FOUND, manifest.sha256_of)
        async with loading(ordered, clock.SystemClock(), exchange) as loader:  # type: ignore[arg-type]
            await asyncio.sleep(0.3)
            assert loader.trust(ordered.report()) is trust
            for index, piece in enumerate(NEWER_PIECES):
                exchange.newer.add(index, piece)
            await until(lambda: ordered.weights == NEWER.version)
        assert ordered.pieces == dict(enumerate(NEWER_PIECES))

    asyncio.run(main())


@pytest.mark.parametrize("busy", [True, False], ids=["loads", "in between"])
def test_pieces_of_a_version_in_between_show_nothing_against_found_weights(
    ordered: OrderedEngine, busy: bool
) -> None:
    """Guards against sound engines that are not used until they load again."""

    class Found(type(ordered)):  # type: ignore[misc]
        busy = False

        def report(self) -> engine_state.EngineReport:
            return msgspec.structs.replace(super().report(), busy=self.busy)

    async def main() -> None:
        engine = Found()
        engine.weights, engine.busy = WANTED.version, busy
        engine.target = NEWER if busy else version_digests.ModelVersion("m", 4)
        engine.pieces = {0: b"another?", 1: PIECES[1]}
        exchange = NewerExchange()
        exchange.newer = manifest.ChunkSet(NEWER_FOUND, manifest.sha256_of)

        async def find(
            wanted: version_digests.ModelVersion, _: Callable[[], bool]
        ) -> manifest.ChunkSet | None:
            return exchange.chunk_set if wanted == WANTED else exchange.newer

        exchange.find_manifest = find  # type: ignore[method-assign]
        async with loading(engine, clock.SystemClock(), exchange) as loader:  # type: ignore[arg-type]
            await asyncio.sleep(0.3)
            trust = loader.trust(engine.report())
            assert trust is loaded_weights.LoadTrust.FOUND

    asyncio.run(main())


def test_pieces_of_the_last_version_do_not_delay_those_of_the_next(
    ordered: OrderedEngine,
) -> None:
    """Guards against loads so late on a slow VM that no request is drained."""
    reads: list[int] = []
    staged: list[bytes] = []

    class Recorded(type(ordered)):  # type: ignore[misc]
        async def read_staged(
            self, model: str, index: int, bytes_max: int
        ) -> bytes:
            if self.target == NEWER and not staged:
                reads.append(index)
            return await super().read_staged(model, index, bytes_max)

        async def stage(self, model: str, index: int, data: bytes) -> None:
            if data in NEWER_PIECES:
                staged.append(data)
            await super().stage(model, index, data)

    async def main() -> None:
        engine = Recorded()
        async with loading(engine, clock.SystemClock()):
            await until(lambda: engine.weights == WANTED.version)
            loader = engine.loader
            await until(
                lambda: loader.usable_weights(engine.report()) == WANTED.version
            )
            engine.target = NEWER
            await until(lambda: engine.weights == NEWER.version)
        assert not reads
        assert engine.taken[-1] == (
            NEWER.version,
            dict(enumerate(NEWER_PIECES)),
        )

    asyncio.run(main())
