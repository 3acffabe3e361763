from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlramp import clock
from marlramp import counters
from marlramp.core import catalog
from marlramp.core import fleet
from marlramp.direct.fleet import store_reader
from marlramp.platform import clients
from marlramp.platform import store

TARGET = fleet.WeightsTarget(model="m", version=2)


class FakeStore:
    """Gives prepared answers; an exception among them is raised."""

    def __init__(
        self,
        reads: list[catalog.Snapshot | Exception],
        watches: list[catalog.Snapshot | Exception],
    ) -> None:
        self._reads = reads
        self._watches = watches
        self.watched: list[int] = []

    async def read_all(self) -> catalog.Snapshot:
        return self._give(self._reads)

    async def watch(self, after: int, wait_ms: float) -> catalog.Snapshot:
        self.watched.append(after)
        if not self._watches:
            await asyncio.sleep(10)
        return self._give(self._watches)

    def _give(
        self, answers: list[catalog.Snapshot | Exception]
    ) -> catalog.Snapshot:
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def run_until(
    source: FakeStore, done: Callable[[catalog.Catalog], bool]
) -> tuple[catalog.Catalog, list[int]]:
    """Reads until `done`; returns the catalog and the published revisions."""
    known = catalog.Catalog()
    published: list[int] = []

    async def main() -> None:
        reader = store_reader.StoreReader(
            source,
            known,
            lambda: True,
            lambda after, _: published.append(after),
            counters.Counters(),
            clock.SystemClock(),
        )
        task = asyncio.create_task(reader.run())
        async with asyncio.timeout(4):
            while not done(known):
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(main())
    return known, published


def test_watched_version_has_an_age_and_a_read_one_has_not() -> None:
    first = catalog.Snapshot(3, [catalog.TargetChange(2, TARGET)])
    newer = fleet.WeightsTarget(model="m", version=3)
    second = catalog.Snapshot(5, [catalog.TargetChange(5, newer)])
    known, published = run_until(
        FakeStore([first], [second]), lambda c: c.revision == 5
    )
    named = known.targets["m"].named
    assert named[0].named_ms is None
    assert named[1].named_ms is not None
    assert published == [0, 3]


def test_lost_history_is_read_anew() -> None:
    source = FakeStore(
        [catalog.Snapshot(3, []), catalog.Snapshot(40, [])],
        [store.HistoryGoneError("gone")],
    )
    run_until(source, lambda c: c.revision == 40)
    assert source.watched[0] == 3


def test_reader_comes_back_after_failures() -> None:
    source = FakeStore(
        [
            clients.PlatformError("down"),
            catalog.Snapshot(3, []),
            catalog.Snapshot(9, []),
        ],
        [clients.PlatformError("down")],
    )
    run_until(source, lambda c: c.revision == 9)


def test_version_found_after_an_outage_has_the_greatest_age_it_may_have() -> (
    None
):
    source = FakeStore(
        reads=[
            catalog.Snapshot(1, []),
            catalog.Snapshot(2, [catalog.TargetChange(2, TARGET)]),
        ],
        watches=[clients.PlatformError("reset")],
    )
    known, _ = run_until(source, lambda c: "m" in c.targets)
    named_ms = known.targets["m"].named_ms
    assert named_ms is not None
