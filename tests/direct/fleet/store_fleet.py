"""Simulates entries that read a store and share it, in virtual time."""

from __future__ import annotations

import asyncio
import random

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.direct.fleet import entry_fleet
from marlramp.direct.fleet import store_reader
from marlramp.platform import clients
from marlramp.platform import store
from marlramp.protocol import fleet_messages
from marlramp.settings import node
from tests.direct import conftest
from tests.direct.fleet import limited_fleet
from tests.direct.fleet import virtual_fleet

CALL_MS = 3.0
POLL_MS = 5.0


class VirtualStore:
    """A store with a history of changes that it may forget.

    Attributes:
      changes: the last change of each key; a deleted key has none.
      revision: the revision of the last change.
      cut: entries that do not reach the store.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.changes: dict[tuple[str, str], catalog.Change] = {}
        self.cut: set[str] = set()
        self._history: list[catalog.Change] = []
        self._forgotten = 0

    def put_replica(self, listed: catalog.ReplicaChange) -> None:
        """Writes or deletes the record of a replica."""
        self._put(listed, exists=listed.replica is not None)

    def evacuate(self, data_centre: str, *, active: bool) -> None:
        """Writes or deletes the key of an evacuation."""
        name = ids.DataCentreId(data_centre)
        change = catalog.EvacuationChange(0, name, active)
        self._put(change, exists=active)

    def forget_history(self) -> None:
        """Drops all changes up to now; watches from before them fail."""
        self._history.clear()
        self._forgotten = self.revision

    def _put(self, change: catalog.Change, *, exists: bool) -> None:
        self.revision += 1
        dated = msgspec.structs.replace(change, revision=self.revision)
        self._history.append(dated)
        self.changes.pop(catalog.item_of(dated), None)
        if exists:
            self.changes[catalog.item_of(dated)] = dated

    async def read_all(self, caller: str) -> catalog.Snapshot:
        await self._call(caller)
        return catalog.Snapshot(self.revision, list(self.changes.values()))

    async def check(self, caller: str) -> None:
        await self._call(caller)

    async def watch(
        self, caller: str, after: int, wait_ms: float
    ) -> catalog.Snapshot:
        await self._call(caller)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / clock.MILLIS_PER_SECOND
        while self.revision <= after and loop.time() < end_s:
            await asyncio.sleep(POLL_MS / clock.MILLIS_PER_SECOND)
        if after < self._forgotten:
            raise store.HistoryGoneError("gone")
        changes = [each for each in self._history if each.revision > after]
        return catalog.Snapshot(self.revision, changes)

    async def _call(self, caller: str) -> None:
        await asyncio.sleep(CALL_MS / clock.MILLIS_PER_SECOND)
        if caller in self.cut:
            raise clients.PlatformError("no answer", answering=False)


class StoreClient:
    """One entry's client of the store."""

    def __init__(self, of: VirtualStore, caller: str) -> None:
        self._store = of
        self._caller = caller

    async def read_all(self) -> catalog.Snapshot:
        return await self._store.read_all(self._caller)

    async def check(self) -> None:
        await self._store.check(self._caller)

    async def watch(self, after: int, wait_ms: float) -> catalog.Snapshot:
        return await self._store.watch(self._caller, after, wait_ms)


class StoreEntry(virtual_fleet.VirtualEntry):
    """An entry whose parts are those of the daemon."""

    def __init__(
        self, fleet: StoreFleet, number: int, incarnation: int
    ) -> None:
        super().__init__(fleet, number, incarnation)
        self.known = catalog.Catalog(fleet.region_of)
        self.kill_before_publishing = False
        data_centre = self.member.data_centre
        settings = msgspec.structs.replace(
            conftest.SETTINGS,
            vm_id=ids.VmId(self.name),
            host=self.member.host,
            data_centre=ids.DataCentreId(data_centre),
            region=fleet.region_of[data_centre],
            regions=fleet.region_of,
            seeds=fleet.seeds,
            fault_tolerance=node.FaultTolerance(data_centres=1),
        )
        self.parts = entry_fleet.EntryFleet(
            self.member,
            incarnation,
            settings,
            self.known,
            self.table,
            self.crashes,
            lambda _: self._sync_table(),
            lambda _: None,
            lambda _: None,
            lambda _: None,
            self.totals,
            fleet.time,
            random.Random(f"{fleet.seed} {number} {incarnation}"),
        )
        self.reader = store_reader.StoreReader(
            StoreClient(fleet.store, self.name),
            self.known,
            self.parts.is_reader,
            self._publish,
            counters.Counters(),
            fleet.time,
            self.parts.was_store_failure_reported,
        )
        self.parts.attach(self, self.reader, lambda _: NoOrigin())
        self.sync = self.parts.sync
        self.limits = self.parts.limits
        self.reading = asyncio.get_running_loop().create_task(self.reader.run())

    def tick(self) -> None:
        self.sync.set_state(self.state)
        self.known.tick(self.fleet.time.now_ms())
        self.parts.tick()

    def on_message(self, name: str, message: fleet_messages.FromMember) -> None:
        self.parts.on_message(name, message)

    def _publish(self, after: int, changes: list[catalog.Change]) -> None:
        if self.kill_before_publishing:
            self.fleet.stop(self.name)
        if self.running:
            self.parts.publish(after, changes)

    def _sync_table(self) -> None:
        self.table.sync(self.known, self.fleet.time.now_ms())


class NoOrigin:
    """An origin that is never called."""

    async def manifest(self, model: str, version: int) -> bytes:
        raise NotImplementedError

    async def piece(
        self, model: str, version: int, index: int, bytes_max: int
    ) -> bytes:
        raise NotImplementedError


class StoreFleet(limited_fleet.LimitedFleet):
    """Entries that tolerate the loss of a data centre, and their store."""

    def __init__(
        self,
        count: int,
        replicas: int = 0,
        regions: int = 3,
        data_centres: int = 3,
        seed: int = 1,
    ) -> None:
        # The pauses of the reader after a failed call use this generator.
        random.seed(seed)
        self.store = VirtualStore()
        super().__init__(
            count, replicas, regions, seed, data_centres=data_centres
        )
        for replica in self.replicas.values():
            listed = replica.listed
            self.store.put_replica(
                catalog.ReplicaChange(0, listed.replica_id, listed)
            )

    def make_entry(self, number: int, incarnation: int) -> StoreEntry:
        return StoreEntry(self, number, incarnation)

    def entry(self, name: str) -> StoreEntry:
        """Returns an entry by its name."""
        entry = self.entries[name]
        assert isinstance(entry, StoreEntry)
        return entry

    def store_entries(self) -> list[StoreEntry]:
        """Returns the running entries."""
        return [self.entry(entry.name) for entry in self.running()]

    def readers(self) -> list[StoreEntry]:
        """Returns the running entries that read the store."""
        return [each for each in self.store_entries() if each.reader.reading]

    def stop(self, name: str) -> None:
        super().stop(name)
        self.entry(name).reading.cancel()

    def kill_data_centre(self, data_centre: str) -> None:
        """Stops all entries of a data centre and removes its replicas."""
        for name in self.in_data_centre(data_centre):
            self.stop(name)
        for replica_id, replica in self.replicas.items():
            if replica.listed.data_centre == data_centre:
                removed = catalog.ReplicaChange(0, replica_id, None)
                self.store.put_replica(removed)

    def without_evacuation(self, *data_centres: str) -> list[str]:
        """Returns the entries that know other evacuations than these."""
        return [
            entry.name
            for entry in self.store_entries()
            if entry.known.evacuated != set(data_centres)
        ]

    async def until_known(self, limit_ms: float, *data_centres: str) -> float:
        """Waits until all entries know exactly these evacuations.

        Returns:
          How long it took, in milliseconds.
        """
        start_ms = self.virtual.now_ms()
        while missing := self.without_evacuation(*data_centres):
            assert self.virtual.now_ms() - start_ms < limit_ms, missing
            await self.sleep(POLL_MS)
        return self.virtual.now_ms() - start_ms
