from __future__ import annotations

import asyncio
import contextlib

from marlramp import clock
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.direct.fleet import named_weights


class Store:
    """A store that counts its reads."""

    def __init__(self, *versions: int) -> None:
        self.all_reads = 0
        self.target_reads = 0
        self.changes: list[catalog.Change] = [
            catalog.TargetChange(
                n + 1, fleet.WeightsTarget(model="m", version=version)
            )
            for n, version in enumerate(versions)
        ]

    async def read_all(self, *, stale: bool = False) -> catalog.Snapshot:
        self.all_reads += 1
        return catalog.Snapshot(9, self.changes)

    async def read_targets(self) -> catalog.Snapshot:
        self.target_reads += 1
        return catalog.Snapshot(9, self.changes)


def read_store(store: Store, run_s: float) -> named_weights.NamedWeights:
    weights = named_weights.NamedWeights(lambda _: None, clock.SystemClock())

    async def main() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(run_s):
                await weights.read_store_uncoordinated(store, lambda: True)

    asyncio.run(main())
    return weights


def test_starting_agent_reads_only_announced_weights() -> None:
    store = Store(2, 3)
    wanted = read_store(store, 0.1).wanted()
    assert wanted is not None
    assert (wanted.model, wanted.version) == ("m", 3)
    assert (store.all_reads, store.target_reads) == (0, 1)


def test_agent_backs_off_while_no_version_is_announced() -> None:
    store = Store()
    assert read_store(store, 1.0).wanted() is None
    assert 1 < store.target_reads <= 4
