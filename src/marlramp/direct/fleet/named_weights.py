"""Keeps what an agent knows of the weights to serve.

An agent learns the weights from its coordinators, or from the store while it
has no coordinator.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Protocol

from marlramp import clock
from marlramp import logs
from marlramp.core.configuration import catalog
from marlramp.core.configuration import event_time
from marlramp.core.configuration import fleet
from marlramp.direct.fleet import catalog_log
from marlramp.direct.fleet import version_ages
from marlramp.direct.weights import version_digests
from marlramp.platform import clients
from marlramp.protocol import fleet_messages

UNCOORDINATED_READ_MS = 3_000.0
"""Time between two reads of the store by an agent that no entry coordinates."""

FIRST_READ_RETRY_MIN_MS = 150.0
FIRST_READ_RETRY_MAX_MS = 450.0
"""Range of the first time between two reads until an agent first knows its
weights. The time is random and doubles up to `UNCOORDINATED_READ_MS`. After a
complete power failure, engines serve again some 0.4 s sooner than if their
agents waited until entries have started and found them. Only the announced
weights are read: a configuration of 1,400 routes has 400 kB, and if all agents
read it, the store answers no entry for seconds."""

_MS = clock.MILLIS_PER_SECOND


class ReadableStore(Protocol):
    """A store with cheap reads: stale ones, or of announced weights."""

    async def read_all(self, *, stale: bool = False) -> catalog.Snapshot:
        """Returns all that the store holds for the system.

        Args:
          stale: whether a cheaper, possibly outdated answer is acceptable.
        """
        ...

    async def read_targets(self) -> catalog.Snapshot:
        """Returns only the announced weights."""
        ...


class NamedWeights:
    """The model of the engine on this VM and its announced versions.

    Attributes:
      model: the model, "" if it is not known.
      engine: specification of the engine, None if it is not known.
      catalog: the known content of the store.
    """

    def __init__(
        self, on_origin: Callable[[str], None], time: clock.Clock
    ) -> None:
        """Starts without any knowledge.

        Args:
          on_origin: called with the address of each new origin.
          time: the clock.
        """
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
        """Returns the announced target of a model, None if there is none."""
        return self.catalog.targets.get(model)

    def handle_guide(self, guide: fleet_messages.Guide) -> bool:
        """Applies a coordinator's message.

        Returns:
          Whether it announces a new version.
        """
        receipt = event_time.unsolicited(
            version_ages.PATH_LATENCY_MAX_MS, self._clock.now_ms()
        )
        is_new = self._apply(list(guide.targets), "guide", receipt)
        self._set_origin(guide.origin)
        self._set_engine(guide.engine)
        return is_new

    async def read_store_uncoordinated(
        self, store: ReadableStore, is_coordinated: Callable[[], bool]
    ) -> None:
        """Reads the store at the start and while there is no coordinator.

        Runs until cancelled.

        Args:
          store: the store.
          is_coordinated: returns whether an entry coordinates the agent.
        """
        wait_ms = random.uniform(
            FIRST_READ_RETRY_MIN_MS, FIRST_READ_RETRY_MAX_MS
        )
        while not self.model:
            await self._read(store.read_targets())
            await asyncio.sleep(wait_ms / _MS)
            wait_ms = min(2.0 * wait_ms, UNCOORDINATED_READ_MS)
        while True:
            await asyncio.sleep(UNCOORDINATED_READ_MS / _MS)
            if not is_coordinated():
                await self._read(store.read_all(stale=True))

    async def _read(self, reading: Awaitable[catalog.Snapshot]) -> None:
        try:
            snapshot = await reading
        except clients.PlatformError as error:
            logs.log("store_unavailable", detail=error)
            return
        self._apply(snapshot.changes, "store")
        self._apply_config()
        self._set_model_from_targets()

    def _set_model_from_targets(self) -> None:
        """Sets the model if versions of only one model are announced.

        If there are several, only coordinators know which one this VM's engine
        runs.
        """
        if not self.model and len(self.catalog.targets) == 1:
            (self.model,) = self.catalog.targets

    def _apply_config(self) -> None:
        config = self.catalog.config
        if config is None:
            return
        for service in config.services:
            self._set_origin(service.origin)
            self._set_engine(service.engine)

    def _apply(
        self,
        changes: list[catalog.Change],
        source: str,
        receipt: event_time.Receipt | None = None,
    ) -> bool:
        """Applies announced weights and other changes of the store.

        Args:
          changes: the changes that were received or read.
          source: where they come from, for the log.
          receipt: how they were received, None if they were read from the
            store.

        Returns:
          Whether a version is new.
        """
        now_ms = self._clock.now_ms()
        new = self.catalog.apply(changes, now_ms, receipt)
        named = [c for c in new if isinstance(c, catalog.TargetChange)]
        for change in named:
            catalog_log.log_change(change, source, self.catalog, now_ms)
        return bool(named)

    def _set_engine(self, engine: fleet.EngineSpec | None) -> None:
        if engine is not None:
            self.engine = engine
            self.model = engine.model

    def _set_origin(self, origin: str) -> None:
        if origin and origin != self._origin:
            self._origin = origin
            self._on_origin(origin)
