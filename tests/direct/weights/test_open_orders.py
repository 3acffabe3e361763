"""Tests the loader while the outcome of a load order is open."""

from __future__ import annotations

import asyncio

import msgspec

from marlramp import clock
from marlramp.core.replicas import engine_state
from marlramp.core.replicas import loaded_weights
from marlramp.platform import clients
from marlramp.platform import replica_api
from marlramp.settings import node
from marlramp.shell import http1_call
from standins import raw_http
from tests.direct.weights import test_weights_loader as loaders


class Restarting(loaders.OrderedEngine):
    """An engine that crashes after its acceptance of an order.

    Attributes:
      busy: whether it loads once it has accepted an order.
      down: whether it is down.
      reads: number of its reports that were asked for while it was down.
    """

    def __init__(self) -> None:
        super().__init__()
        self.busy = False
        self.down = False
        self.reads = 0

    def report(self) -> engine_state.EngineReport:
        loads = self.busy and bool(self.taken)
        return msgspec.structs.replace(super().report(), busy=loads)

    async def read_report(self) -> engine_state.EngineReport | None:
        await asyncio.sleep(0)
        if self.down:
            self.reads += 1
            return None
        return await super().read_report()


def test_engine_that_is_down_under_an_open_order_is_not_polled_in_a_loop() -> (
    None
):
    """Guards against a loader that takes a whole core and fills the log."""

    async def main() -> None:
        engine = Restarting()
        engine.on_order = [lambda: setattr(engine, "down", True)]
        async with loaders.loading(engine, clock.SystemClock()):
            await loaders.until(lambda: engine.down)
            await asyncio.sleep(0.5)
        assert engine.reads <= 25

    asyncio.run(main())


def test_staged_piece_that_is_missing_is_read_as_empty() -> None:
    """Guards against an open order that no check can ever settle."""

    async def script(peer: raw_http.Peer) -> None:
        while (request := await peer.read()) is not None:
            await peer.answer(request, 404, b"")

    async def main() -> bytes:
        async with raw_http.ScriptedServer(script) as server:
            engine = replica_api.ReplicaApi(
                http1_call.HttpCaller(clock.SystemClock()),
                node.Address("127.0.0.1", server.port),
            )
            return await engine.read_staged("m", 0, 8)

    assert asyncio.run(main()) == b""


def test_unanswered_order_of_a_version_in_effect_is_settled() -> None:
    """Guards against an order that is sent again and again."""

    async def main() -> None:
        engine = loaders.OrderedEngine()

        def load_by_another() -> None:
            engine.orders += 1
            engine.weights = loaders.WANTED.version
            engine.taken.append((engine.weights, dict(engine.pieces)))

        sent = 0
        plain = engine.load

        async def load(*args: object, **kwargs: object) -> None:
            nonlocal sent
            sent += 1
            await asyncio.sleep(0)
            await plain(*args, **kwargs)  # type: ignore[arg-type]

        engine.load = load  # type: ignore[method-assign]
        reads = 0
        plain_report = engine.read_report

        async def read_report() -> engine_state.EngineReport:
            nonlocal reads
            reads += 1
            if engine.pieces and len(engine.pieces) == 2 and not engine.taken:
                load_by_another()
                engine.unanswered = 1
            await asyncio.sleep(0)
            return await plain_report()

        engine.read_report = read_report  # type: ignore[method-assign]
        async with loaders.loading(engine, clock.SystemClock()):
            await loaders.until(lambda: sent > 0)
            await asyncio.sleep(1.0)
        assert sent <= 25
        assert loaders.usable(engine) == loaders.WANTED.version

    asyncio.run(main())


class FoundLoading(loaders.OrderedEngine):
    """An engine that still loads when its agent starts.

    Attributes:
      busy: whether it loads; it reports its old version until it has ended.
      failures: number of stagings that get no answer.
    """

    def __init__(self) -> None:
        super().__init__()
        self.busy = True
        self.failures = 0
        self.pieces = dict(enumerate(loaders.PIECES))

    def report(self) -> engine_state.EngineReport:
        plain = super().report()
        return msgspec.structs.replace(plain, busy=self.busy)

    async def stage(self, model: str, index: int, data: bytes) -> None:
        await super().stage(model, index, data)
        if self.failures:
            self.failures -= 1
            raise clients.PlatformError("no answer")

    def end_load(self) -> None:
        self.weights, self.busy = loaders.WANTED.version, False


def test_load_that_an_agent_finds_under_way_is_verified_once_it_ends() -> None:
    """Guards against an engine that entries never use again."""

    async def main() -> None:
        engine = FoundLoading()
        async with loaders.loading(engine, clock.SystemClock()) as loader:
            await asyncio.sleep(0.3)
            engine.end_load()
            await loaders.until(
                lambda: (
                    loader.trust(engine.report())
                    is loaded_weights.LoadTrust.VERIFIED
                )
            )

    asyncio.run(main())


def test_corrupt_load_found_under_way_is_not_used_after_a_staging_failed() -> (
    None
):
    """Guards against evidence that is lost when pieces are adopted again."""

    async def main() -> None:
        engine = FoundLoading()
        engine.pieces[1] = b"rotten"
        engine.failures = 1
        async with loaders.loading(engine, clock.SystemClock()):
            await asyncio.sleep(0.6)
            engine.end_load()
            await loaders.until(lambda: len(engine.taken) == 1)

    asyncio.run(main())


class UnansweredMend(loaders.OrderedEngine):
    """An engine that accepts a late order before it stores a mended piece.

    Attributes:
      fails: whether the next staging gets no answer.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fails = False

    async def stage(self, model: str, index: int, data: bytes) -> None:
        self.accept_late()
        await super().stage(model, index, data)
        if self.fails:
            self.fails = False
            raise clients.PlatformError("no answer")


def test_load_is_suspect_after_a_mend_without_an_answer() -> None:
    """Guards against corrupt pieces that are mended after they were taken."""
    time = loaders.SkippingClock()

    async def main() -> None:
        engine = UnansweredMend()

        def rot() -> None:
            engine.pieces[1] = b"rotten"
            time.skipped_ms += 4_000.0
            engine.fails = True

        engine.unanswered = 1
        engine.on_order = [rot]
        async with loaders.loading(engine, time):
            await loaders.until(
                lambda: loaders.usable(engine) == loaders.WANTED.version
            )
        assert engine.taken[-1][1] == dict(enumerate(loaders.PIECES))

    asyncio.run(main())


def test_engine_that_restarts_while_it_loads_is_ordered_to_load_at_once() -> (
    None
):
    """Guards against an engine without a start time that waits for long."""

    async def main() -> None:
        engine = Restarting()
        engine.orders, engine.busy = 0, True
        async with loaders.loading(engine, clock.SystemClock()):
            await loaders.until(lambda: len(engine.taken) == 1)
            await asyncio.sleep(0.2)
            engine.down = True
            await asyncio.sleep(0.2)
            engine.orders, engine.weights, engine.busy = 0, 0, False
            engine.down = False
            await loaders.until(lambda: len(engine.taken) == 2)

    asyncio.run(main())
