"""Keeps the catalog in step with the store, directly or through others.

Calls to the store are limited and paid for, so only a few entries watch it
and tell the others. An entry that hears of no working reader reads for
itself, as does one that was cut off from the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import random
from typing import Protocol
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.core import catalog
from marlramp.core import outage_detector
from marlramp.core import store_completeness
from marlramp.platform import clients
from marlramp.platform import store

WATCH_WAIT_MS = 1_000.0
"""A watch is answered at least this often, which shows that the store and the
way to it work."""

FIRST_WAIT_MS = 1.0
"""Wait of the first watch of a process that did not read for a while."""

PAUSED_MS = 2.0 * WATCH_WAIT_MS
"""A process that got no answer of the store for this long did not read."""

BATCH_MS = 60.0
"""Pause between two watches, so that changes in a row cost one call."""

RETRY_MIN_MS = 150.0
RETRY_MAX_MS = 600.0
"""Pause after a failed call, drawn between the two."""

BEHIND_MS = WATCH_WAIT_MS + store.WATCH_MARGIN_MS
"""A call that takes longer than this has a long answer arriving; the reader
hears from others meanwhile."""

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
    """Reads the store while it is this process's turn.

    Attributes:
      reading: whether it is.
      completeness: what the store is known to have held in all.
    """

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
        self._failing = False
        self._reads_all = False
        self._asked_ms: float | None = None
        self._silent_call: outage_detector.SilentCall | None = None
        self.completeness = store_completeness.StoreCompleteness()
        self.reading = False

    @property
    def age_ms(self) -> float | None:
        """Time since the store last answered at most, None if it never did."""
        if self._answered_ms is None:
            return None
        age_ms = self._clock.now_ms() - self._answered_ms
        if self._has_more_arriving:
            return min(age_ms, store.ARRIVAL.silence_ms)
        return age_ms

    @property
    def failing(self) -> bool:
        """Whether the last call failed, or its answer is long in arriving."""
        return self._failing or self._has_more_arriving

    @property
    def keeps_up(self) -> bool:
        """Whether it reads, and its last call was answered in time."""
        return self.reading and not self.failing

    @property
    def silent_call(self) -> outage_detector.SilentCall | None:
        """The last call that the store gave no answer to.

        None if it has answered since.
        """
        return self._silent_call

    @property
    def retried_ms(self) -> float | None:
        """When the call was sent that is under way after one that failed."""
        return self._asked_ms if self._failing else None

    @property
    def _has_more_arriving(self) -> bool:
        """Whether a call goes on for so long because its answer arrives."""
        if self._asked_ms is None:
            return False
        return self._clock.now_ms() - self._asked_ms > BEHIND_MS

    async def run(self) -> None:
        """Reads for ever, as long as it is this process's turn."""
        while True:
            self.reading = self._is_reader()
            if not self.reading:
                self._silent_call = None
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
        if self._catalog.revision == 0 or self._reads_all:
            await self._read_all()
            return
        after = self._catalog.revision
        self._totals.add(counters.CounterName.PLATFORM_READS, "watch")
        asked_ms = self._clock.now_ms()
        # After a pause of reading an answer at once shows what the store holds.
        paused = asked_ms - self.completeness.own.at_ms > PAUSED_MS
        hurries = paused or self._failing
        wait_ms = FIRST_WAIT_MS if hurries else WATCH_WAIT_MS
        with self._asking(asked_ms):
            snapshot = await self._source.watch(after, wait_ms)
        now_ms = self._answered()
        # Others may have told of changes while the watch waited.
        before = self._catalog.revision
        new = self._catalog.apply(self._aged(snapshot, now_ms), now_ms)
        self._catalog.advance(snapshot.revision)
        if new:
            self._log_changes(snapshot, asked_ms, now_ms)
        waited = now_ms - asked_ms >= wait_ms
        if waited and not snapshot.changes and snapshot.revision == after:
            self.completeness.record_empty_watch(after, asked_ms, wait_ms)
        else:
            self.completeness.record_read(snapshot.revision, asked_ms)
        if new:
            self._publish(before, new)
            await asyncio.sleep(BATCH_MS / clock.MILLIS_PER_SECOND)

    async def _read_all(self) -> None:
        self._totals.add(counters.CounterName.PLATFORM_READS, "read")
        asked_ms = self._clock.now_ms()
        with self._asking(asked_ms):
            snapshot = await self._source.read_all()
        now_ms = self._answered()
        before = self._catalog.revision
        self._reads_all = False
        logs.log(
            "store_read",
            revision=snapshot.revision,
            items=len(snapshot.changes),
            known_revision=before,
        )
        aged = catalog.Snapshot(snapshot.revision, self._aged(snapshot, now_ms))
        new = self._catalog.apply_snapshot(aged, now_ms)
        self.completeness.record_read(snapshot.revision, asked_ms)
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
        if self._failing:
            # The store came back after the last call that failed.
            self._catalog.record_store_failure(now_ms)
        self._failing = False
        self._silent_call = None
        self._answered_ms = now_ms
        return now_ms

    def _aged(
        self, snapshot: catalog.Snapshot, now_ms: clock.Millis
    ) -> list[catalog.Change]:
        """Returns the changes read, named weights with their ages."""
        return [
            msgspec.structs.replace(
                change, ages=self.completeness.ages(change.revision, now_ms)
            )
            if isinstance(change, catalog.TargetChange)
            else change
            for change in snapshot.changes
        ]

    def _log_changes(
        self,
        snapshot: catalog.Snapshot,
        asked_ms: clock.Millis,
        now_ms: clock.Millis,
    ) -> None:
        unseen_ms = None
        latest = self.completeness.latest
        if latest.is_known:
            unseen_ms = round(now_ms - latest.at_ms)
        logs.log(
            "store_changes",
            revision=snapshot.revision,
            items=len(snapshot.changes),
            answer_ms=round(now_ms - asked_ms),
            unseen_ms=unseen_ms,
        )

    @contextlib.contextmanager
    def _asking(self, asked_ms: clock.Millis) -> Iterator[None]:
        """Notes a call that is not answered as a sign of an outage.

        It shows how the store was when it was sent; one that is answered in
        part shows a link that is full. The first one of several may have gone
        out on a connection that had fallen silent, the next one has not.
        """
        self._asked_ms = asked_ms
        try:
            yield
        except clients.PausedError:
            raise
        except clients.PlatformError as error:
            if self._failing and not error.answering:
                self._silent_call = outage_detector.SilentCall(
                    asked_ms, self._clock.now_ms()
                )
            raise
        finally:
            self._asked_ms = None

    async def _wait_after(self, error: clients.PlatformError) -> None:
        if not self._failing:
            logs.log("store_lost", detail=error)
        self._failing = True
        # What is missing is less than all, unless that can't be had.
        if isinstance(error, clients.UselessAnswerError):
            self._reads_all = True
        self._totals.add(counters.CounterName.PLATFORM_READS, "failed")
        self._catalog.record_store_failure(self._clock.now_ms())
        wait_ms = random.uniform(RETRY_MIN_MS, RETRY_MAX_MS)
        await asyncio.sleep(wait_ms / clock.MILLIS_PER_SECOND)
