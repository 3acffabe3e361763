"""What an agent knows of the weights to serve, from guides or the store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Protocol

from marlramp import clock
from marlramp import logs
from marlramp.core import catalog
from marlramp.core import event_time
from marlramp.core import fleet
from marlramp.direct.fleet import catalog_log
from marlramp.direct.fleet import version_ages
from marlramp.direct.weights import version_digests
from marlramp.platform import clients
from marlramp.protocol import fleet_messages

UNGUIDED_READ_MS = 3_000.0
"""An agent that no entry guides reads the store itself this often."""

FIRST_READ_RETRY_MIN_MS = 150.0
FIRST_READ_RETRY_MAX_MS = 450.0
"""The same until it first knew what to load, drawn between the two and doubled
up to the time above. After a loss of all power engines serve again some 0.4 s
sooner than if their agents waited until entries have started and found them.
Only the weights named are read: a configuration of 1,400 routes has 400 kB,
and if all agents read it, no entry is answered by the store for seconds."""

_MS = clock.MILLIS_PER_SECOND


class StaleSource(Protocol):
    """A store that can be read cheaply."""

    async def read_all(self, *, stale: bool = False) -> catalog.Snapshot:
        """Returns all that the store holds for the system."""
        ...

    async def read_targets(self) -> catalog.Snapshot:
        """Returns the weights named alone."""
        ...


class NamedWeights:
    """The model of the engine on this VM and the versions named of it.

    Attributes:
      model: the model, "" if it is not known.
      engine: how the engine works, None if it is not known.
      catalog: what is known of the store.
    """

    def __init__(
        self, on_origin: Callable[[str], None], time: clock.Clock
    ) -> None:
        """Knows nothing yet; `on_origin` takes each new origin's address."""
        self._on_origin = on_origin
        self._clock = time
        self.catalog = catalog.Catalog()
        self._origin = ""
        self.model = ""
        self.engine: fleet.EngineSpec | None = None

    def wanted(self) -> version_digests.ModelVersion | None:
        """Returns the weights to serve, None if they are not known."""
        if not self.model:
            return None
        target = self.target(self.model)
        version = fleet.FIRST_VERSION
        if target is not None:
            version = target.target.version
        return version_digests.ModelVersion(self.model, version)

    def target(self, model: str) -> catalog.KnownTarget | None:
        """Returns what was named of a model, None if nothing was."""
        return self.catalog.targets.get(model)

    def take_guide(self, guide: fleet_messages.Guide) -> bool:
        """Takes what an entry tells; returns whether a version is new."""
        hearing = event_time.unsolicited(
            version_ages.PATH_LATENCY_MAX_MS, self._clock.now_ms()
        )
        is_new = self._apply(list(guide.targets), "guide", hearing)
        self._take_origin(guide.origin)
        self._take_engine(guide.engine)
        return is_new

    async def learn_unguided(
        self, store: StaleSource, is_guided: Callable[[], bool]
    ) -> None:
        """Reads the store at the start and while no entry guides, for ever."""
        wait_ms = random.uniform(
            FIRST_READ_RETRY_MIN_MS, FIRST_READ_RETRY_MAX_MS
        )
        while not self.model:
            await self._read(store.read_targets())
            await asyncio.sleep(wait_ms / _MS)
            wait_ms = min(2.0 * wait_ms, UNGUIDED_READ_MS)
        while True:
            await asyncio.sleep(UNGUIDED_READ_MS / _MS)
            if not is_guided():
                await self._read(store.read_all(stale=True))

    async def _read(self, reading: Awaitable[catalog.Snapshot]) -> None:
        try:
            snapshot = await reading
        except clients.PlatformError as error:
            logs.log("store_unavailable", detail=error)
            return
        self._apply(snapshot.changes, "store")
        self._learn_from_config()
        self._learn_from_targets()

    def _learn_from_targets(self) -> None:
        """Takes the model that versions were named of, if it is the only one.

        Of several models the one of this VM's engine is known to guides alone.
        """
        if not self.model and len(self.catalog.targets) == 1:
            (self.model,) = self.catalog.targets

    def _learn_from_config(self) -> None:
        config = self.catalog.config
        if config is None:
            return
        for service in config.services:
            self._take_origin(service.origin)
            self._take_engine(service.engine)

    def _apply(
        self,
        changes: list[catalog.Change],
        source: str,
        hearing: event_time.Receipt | None = None,
    ) -> bool:
        """Takes named weights, and what the store holds besides.

        Args:
          changes: what was told or read.
          source: who told it, for the log.
          hearing: how it was heard of, None if it was read here.

        Returns:
          Whether a version is new.
        """
        now_ms = self._clock.now_ms()
        new = self.catalog.apply(changes, now_ms, hearing)
        named = [c for c in new if isinstance(c, catalog.TargetChange)]
        for change in named:
            catalog_log.log_change(change, source, self.catalog, now_ms)
        return bool(named)

    def _take_engine(self, engine: fleet.EngineSpec | None) -> None:
        if engine is not None:
            self.engine = engine
            self.model = engine.model

    def _take_origin(self, origin: str) -> None:
        if origin and origin != self._origin:
            self._origin = origin
            self._on_origin(origin)
