"""Reads and watches the store while this entry is elected to.

Calls to the store are rate-limited and billed, so only a few entries watch it
and send the changes to the others. An entry that receives no beacon of a
working reader reads the store itself, as does one that is partitioned from the
others.

One failed call is no outage of the store, which may cut a watch that waits. The
reader then checks by a plain read whether the store answers. If it does not, an
outage lasts until any part of an answer arrives, and replicas whose records
expired in it are kept (`catalog.REPLICA_RETURN_MS`).
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
from marlramp.core.configuration import catalog
from marlramp.core.configuration import outage_detector
from marlramp.core.configuration import store_completeness
from marlramp.platform import clients
from marlramp.platform import store

WATCH_WAIT_MS = 1_000.0
"""Maximum wait of a watch. Its answer shows that the store and the path to it
work."""

FIRST_WAIT_MS = 1.0
"""Wait of the first watch after a pause or a failed call."""

PAUSED_MS = 2.0 * WATCH_WAIT_MS
"""Time since the state of the store was last read after which reading counts as
paused."""

BATCH_MS = 60.0
"""Pause after a watch that returned changes, so that changes in quick
succession cost one call."""

RETRY_MIN_MS = 150.0
RETRY_MAX_MS = 600.0
"""Range of the random pause after a failed call."""

UNANSWERED_MS = 2_500.0
"""Time without any answer, with a failed call in it, after which the store
counts as having been unavailable although the next call is answered. A watch
that was lost and its retry take up to 2.2 s."""

ARRIVING_AFTER_MS = WATCH_WAIT_MS + store.WATCH_MARGIN_MS
"""A call that takes longer than this is still receiving a large answer. In the
meantime the reader requests changes from other entries."""

ELECTION_CHECK_MS = 100.0
"""Interval between two checks whether this process is elected to read."""


class StoreSource(Protocol):
    """Client of a store that can be read and watched."""

    async def read_all(self) -> catalog.Snapshot:
        """Returns everything that the store holds for the system."""
        ...

    async def watch(self, after: int, wait_ms: float) -> catalog.Snapshot:
        """Returns the changes after a revision.

        Waits up to `wait_ms` until there are any.
        """
        ...

    async def check(self) -> None:
        """Returns if the store answers a read that is small and current."""
        ...


Publish: TypeAlias = Callable[[int, list[catalog.Change]], None]


class StoreReader:
    """Reads the store while this process is elected to.

    Attributes:
      reading: whether this process is elected to read the store.
      completeness: the revision up to which the store is known, and when.
    """

    def __init__(
        self,
        source: StoreSource,
        known: catalog.Catalog,
        is_reader: Callable[[], bool],
        publish: Publish,
        totals: counters.Counters,
        time: clock.Clock,
        was_failure_reported: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates a reader that applies changes to `known`.

        Args:
          source: the store.
          known: the catalog of this process.
          is_reader: returns whether this process is elected to read now.
          publish: called with the catalog's revision before the changes, and
            with the changes that were new.
          totals: counters.
          time: the clock.
          was_failure_reported: returns whether another reader reported that the
            store failed it.
        """
        self._source = source
        self._catalog = known
        self._is_reader = is_reader
        self._publish = publish
        self._totals = totals
        self._clock = time
        self._was_failure_reported = was_failure_reported
        self._answered_ms: float | None = None
        self._failing = False
        # Whether the next call without an answer shows an outage.
        self._suspected = False
        self._took_over = False
        # Whether the last call without an answer was a watch.
        self._watch_failed = False
        self._unavailable = False
        self._unanswered_since_ms: float = time.now_ms()
        self._reads_all = False
        self._requested_ms: float | None = None
        self._silent_call: outage_detector.SilentCall | None = None
        self.completeness = store_completeness.StoreCompleteness()
        self.reading = False

    @property
    def age_ms(self) -> float | None:
        """Time since the store last answered, None if it never did.

        While a large answer is arriving, the value is at most the longest time
        that may pass without any byte of the answer.
        """
        if self._answered_ms is None:
            return None
        age_ms = self._clock.now_ms() - self._answered_ms
        if self._has_more_arriving:
            return min(age_ms, store.ARRIVAL.silence_ms)
        return age_ms

    @property
    def failing(self) -> bool:
        """Whether the last call failed or a large answer is still arriving."""
        return self._failing or self._has_more_arriving

    @property
    def keeps_up(self) -> bool:
        """Whether the store is read and answered the last call in time."""
        return self.reading and not self.failing

    @property
    def silent_call(self) -> outage_detector.SilentCall | None:
        """The last call that the store did not answer.

        None if the store has answered a later call.
        """
        return self._silent_call

    @property
    def retry_requested_ms(self) -> float | None:
        """When the current call was sent, if the previous call failed."""
        return self._requested_ms if self._failing else None

    @property
    def _has_more_arriving(self) -> bool:
        """Whether a large answer to the current call is arriving.

        A watch without any answer times out after `ARRIVING_AFTER_MS`.
        """
        if self._requested_ms is None:
            return False
        return self._clock.now_ms() - self._requested_ms > ARRIVING_AFTER_MS

    async def run(self) -> None:
        """Reads the store while this process is elected to; never returns."""
        while True:
            was_reading = self.reading
            self.reading = self._is_reader()
            if not self.reading:
                self._silent_call = None
                self._end_outage()
                await asyncio.sleep(ELECTION_CHECK_MS / clock.MILLIS_PER_SECOND)
                continue
            if not was_reading and self._catalog.revision > 0:
                # That the store failed the readers before is a first sign. They
                # may also have left or restarted.
                self._took_over = self._was_failure_reported()
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
        checked = self._watch_failed
        if checked:
            await self._check()
        after = self._catalog.revision
        self._totals.add(counters.CounterName.PLATFORM_READS, "watch")
        requested_ms = self._clock.now_ms()
        # After a pause, a short wait shows early what the store holds.
        paused = requested_ms - self.completeness.own.at_ms > PAUSED_MS
        answer_early = paused or self._failing
        wait_ms = FIRST_WAIT_MS if answer_early else WATCH_WAIT_MS
        try:
            with self._pending_call(requested_ms):
                snapshot = await self._source.watch(after, wait_ms)
        except clients.PausedError:
            raise
        except clients.PlatformError as error:
            if not error.answering:
                self._watch_failed = True
                # The store answers reads, but no watch.
                self._reads_all = checked
            raise
        now_ms = self._answered()
        # Other entries may have sent changes while the watch waited.
        before = self._catalog.revision
        new = self._catalog.apply(self._aged(snapshot, now_ms), now_ms)
        self._catalog.advance(snapshot.revision)
        if new:
            self._log_changes(snapshot, requested_ms, now_ms)
        waited = now_ms - requested_ms >= wait_ms
        if waited and not snapshot.changes and snapshot.revision == after:
            self.completeness.record_empty_watch(after, requested_ms, wait_ms)
        else:
            self.completeness.record_read(snapshot.revision, requested_ms)
        if new:
            self._publish(before, new)
            await asyncio.sleep(BATCH_MS / clock.MILLIS_PER_SECOND)

    async def _check(self) -> None:
        """Reads a little from the store after a failed call.

        Raises:
          PlatformError: if the store gives no usable answer.
        """
        self._totals.add(counters.CounterName.PLATFORM_READS, "check")
        with self._pending_call(self._clock.now_ms()):
            await self._source.check()
        self._answered_ms = self._clock.now_ms()
        self._silent_call = None
        self._end_outage()

    async def _read_all(self) -> None:
        self._totals.add(counters.CounterName.PLATFORM_READS, "read")
        requested_ms = self._clock.now_ms()
        with self._pending_call(requested_ms):
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
        self.completeness.record_read(snapshot.revision, requested_ms)
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
        self._end_outage()
        self._failing = False
        self._silent_call = None
        self._answered_ms = now_ms
        return now_ms

    def _end_outage(self) -> None:
        """Ends the outage, if there is one, and all signs of one."""
        now_ms = self._clock.now_ms()
        unanswered_ms = now_ms - self._unanswered_since_ms
        was_silent = self._suspected and unanswered_ms > UNANSWERED_MS
        if self._unavailable or was_silent:
            # The store may have been unavailable until now.
            self._catalog.record_store_failure(now_ms)
        if self._unavailable:
            logs.log("store_outage_ended", revision=self._catalog.revision)
        self._suspected = False
        self._took_over = False
        self._watch_failed = False
        self._unavailable = False
        self._unanswered_since_ms = now_ms

    def _aged(
        self, snapshot: catalog.Snapshot, now_ms: clock.Millis
    ) -> list[catalog.Change]:
        """Returns the changes of a snapshot with the ages of its versions."""
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
        requested_ms: clock.Millis,
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
            answer_ms=round(now_ms - requested_ms),
            unseen_ms=unseen_ms,
        )

    @contextlib.contextmanager
    def _pending_call(self, requested_ms: clock.Millis) -> Iterator[None]:
        """Records an unanswered call as a sign of an outage.

        The sign holds for the time at which the call was sent. A call that is
        answered in part is no sign of an outage, but of a saturated link. The
        first failed call does not count, because it may have been sent on a
        connection that had stopped working; the next call uses a new one.
        """
        self._requested_ms = requested_ms
        try:
            yield
        except clients.PausedError:
            raise
        except clients.PlatformError as error:
            if error.answering:
                self._end_outage()
                raise
            if self._suspected:
                self._silent_call = outage_detector.SilentCall(
                    requested_ms, self._clock.now_ms()
                )
            if self._suspected or self._took_over:
                self._record_outage()
            raise
        finally:
            self._requested_ms = None

    def _record_outage(self) -> None:
        """Records that the store is unavailable to this reader."""
        if not self._unavailable:
            logs.log("store_outage", revision=self._catalog.revision)
        self._unavailable = True
        self._watch_failed = False
        self._catalog.record_store_failure(self._clock.now_ms())

    async def _wait_after(self, error: clients.PlatformError) -> None:
        if not self._failing:
            logs.log("store_lost", detail=error)
        self._failing = True
        self._suspected = True
        # Reading only the missing changes transfers less than reading all, so
        # all is read only if the answer to a watch was unusable.
        if isinstance(error, clients.UselessAnswerError):
            self._reads_all = True
        self._totals.add(counters.CounterName.PLATFORM_READS, "failed")
        wait_ms = random.uniform(RETRY_MIN_MS, RETRY_MAX_MS)
        await asyncio.sleep(wait_ms / clock.MILLIS_PER_SECOND)
