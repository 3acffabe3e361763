"""Keeps the catalog in step with the store, directly or through others.

Calls to the store are limited and paid for, so only a few entries watch it
and tell the others. An entry that hears of no working reader reads for
itself, as does one that was cut off from the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import math
import random
from typing import Protocol
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.core import catalog
from marlramp.platform import clients
from marlramp.platform import store

WATCH_WAIT_MS = 1_000.0
"""A watch is answered at least this often, which shows that the store and the
way to it work."""

BATCH_MS = 60.0
"""Pause between two watches, so that changes in a row cost one call."""

RETRY_MIN_MS = 150.0
RETRY_MAX_MS = 600.0
"""Pause after a failed call, drawn between the two."""

IDLE_MS = 100.0
"""Between two looks at whether this process is to read."""


class StoreSource(Protocol):
    """A store that can be read and watched."""

    async def read_all(self) -> catalog.Snapshot:
        """Returns all that the store holds for the system."""
        ...

    async def watch(self, after: int, wait_ms: float) -> catalog.Snapshot:
        """Waits for changes after a revision."""
        ...


Publish: TypeAlias = Callable[[int, list[catalog.Change]], None]


class StoreReader:
    """Reads the store while it is this process's turn."""

    def __init__(
        self,
        source: StoreSource,
        known: catalog.Catalog,
        is_reader: Callable[[], bool],
        publish: Publish,
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Applies what it reads to `known`.

        Args:
          source: the store.
          known: the catalog of this process.
          is_reader: tells whether this process is to read now.
          publish: takes the revision before and the changes that were new.
          totals: counters.
          time: the clock.
        """
        self._source = source
        self._catalog = known
        self._is_reader = is_reader
        self._publish = publish
        self._totals = totals
        self._clock = time
        self._answered_ms: float | None = None
        self._asked_ms: float = float("-inf")
        self._failing = False
        self.reading = False

    @property
    def age_ms(self) -> float | None:
        """Time since the store last answered, None if it never did."""
        if self._answered_ms is None:
            return None
        return self._clock.now_ms() - self._answered_ms

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._failing

    async def run(self) -> None:
        """Reads for ever, as long as it is this process's turn."""
        while True:
            self.reading = self._is_reader()
            if not self.reading:
                await asyncio.sleep(IDLE_MS / clock.MILLIS_PER_SECOND)
                continue
            try:
                await self._step()
            except store.HistoryGoneError:
                logs.log("store_history_gone", revision=self._catalog.revision)
                await self._read_all_safely()
            except clients.PlatformError as error:
                await self._wait_after(error)

    async def _step(self) -> None:
        if self._catalog.revision == 0 or self._failing:
            await self._read_all()
            return
        after = self._catalog.revision
        self._totals.add(counters.CounterName.PLATFORM_READS, "watch")
        asked_ms = self._clock.now_ms()
        snapshot = await self._source.watch(after, WATCH_WAIT_MS)
        now_ms = self._answered()
        new = self._catalog.apply(_with_age(snapshot.changes, 0.0), now_ms)
        self._catalog.advance(snapshot.revision)
        if new:
            logs.log(
                "store_changes",
                revision=snapshot.revision,
                items=len(new),
                answer_ms=round(now_ms - asked_ms),
                unseen_ms=_rounded(now_ms - self._asked_ms),
            )
        self._asked_ms = asked_ms
        if new:
            self._publish(after, new)
            await asyncio.sleep(BATCH_MS / clock.MILLIS_PER_SECOND)

    async def _read_all(self) -> None:
        before = self._catalog.revision
        self._totals.add(counters.CounterName.PLATFORM_READS, "read")
        self._asked_ms = self._clock.now_ms()
        snapshot = await self._source.read_all()
        answered_ms = self._answered_ms
        now_ms = self._answered()
        if answered_ms is not None:
            # What is new was named after the answer before, at the earliest.
            age_ms = now_ms - answered_ms
            changes = _with_age(snapshot.changes, age_ms)
            snapshot = msgspec.structs.replace(snapshot, changes=changes)
        logs.log(
            "store_read",
            revision=snapshot.revision,
            items=len(snapshot.changes),
            known_revision=before,
        )
        new = self._catalog.take_snapshot(snapshot, now_ms)
        if new:
            self._publish(before, new)

    async def _read_all_safely(self) -> None:
        try:
            await self._read_all()
        except clients.PlatformError as error:
            await self._wait_after(error)

    def _answered(self) -> clock.Millis:
        now_ms = self._clock.now_ms()
        if self._failing or self._answered_ms is None:
            logs.log("store_reached", revision=self._catalog.revision)
        self._failing = False
        self._answered_ms = now_ms
        return now_ms

    async def _wait_after(self, error: clients.PlatformError) -> None:
        if not self._failing:
            logs.log("store_lost", detail=error)
        self._failing = True
        self._totals.add(counters.CounterName.PLATFORM_READS, "failed")
        self._catalog.store_failed(self._clock.now_ms())
        wait_ms = random.uniform(RETRY_MIN_MS, RETRY_MAX_MS)
        await asyncio.sleep(wait_ms / clock.MILLIS_PER_SECOND)


def _rounded(value_ms: float) -> int | None:
    """Returns whole milliseconds for a log line, None for never."""
    return round(value_ms) if math.isfinite(value_ms) else None


def _with_age(
    changes: list[catalog.Change], age_ms: float
) -> list[catalog.Change]:
    """Returns changes in which named weights have an age."""
    return [
        msgspec.structs.replace(change, age_ms=age_ms)
        if isinstance(change, catalog.TargetChange)
        else change
        for change in changes
    ]
