"""Tests the loader with a scripted engine."""

from __future__ import annotations

import asyncio
import hashlib

import pytest

from marlramp import clock
from marlramp import counters
from marlramp.core.replicas import engine_state
from marlramp.core.weights import manifest
from marlramp.direct.weights import version_digests
from marlramp.direct.weights import weights_loader

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
        self, wanted: version_digests.ModelVersion
    ) -> manifest.ChunkSet:
        return self.chunk_set

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
