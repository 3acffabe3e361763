"""Fetches published settings for one process and reports accepted changes.

A few entries per data centre watch the configuration service. All other
processes receive changes over their links, and read the service directly only
if they lack settings and their peers have sent none for a while.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.platform import clients
from marlramp.protocol import messages
from marlramp.settings import store
from marlramp.shell import safely

WATCH_MS = 20_000.0
RETRY_MIN_MS = 200.0
RETRY_MAX_MS = 5_000.0
PEER_WAIT_MS = 1_500.0
"""Time that a process without settings waits for its peers to send them."""

DIRECT_READ_MS = 30_000.0
"""Interval at which an entry that does not watch reads the service."""

DETAIL_MAX = 400
"""Limit on the characters of a refused document's problems in the log; the
operator page of an entry shows all of them."""


class SettingsSync:
    """Updates one settings store from the service and from peers."""

    def __init__(
        self,
        settings: store.SettingsStore,
        client: clients.ConfigurationClient,
        totals: counters.Counters,
        on_accept: Callable[[], None],
    ) -> None:
        """Calls `on_accept` each time newer settings take effect."""
        self._settings = settings
        self._client = client
        self._totals = totals
        self._on_accept = on_accept
        self._watching = False
        self._changed = asyncio.Event()

    def set_watching(self, watching: bool) -> None:
        """Sets whether this process watches the configuration service."""
        if watching != self._watching:
            self._watching = watching
            self._changed.set()

    def offer(self, documents: list[messages.Document], source: str) -> None:
        """Offers documents from the service or a peer to the store."""
        accepted = False
        for document in documents:
            verdict = self._settings.offer(document)
            if verdict is store.Verdict.ACCEPTED:
                accepted = True
                logs.log(
                    "settings_accepted",
                    key=document.key,
                    revision=document.revision,
                    source=source,
                )
            elif verdict is not store.Verdict.KNOWN:
                self._totals.add(
                    counters.CounterName.SETTINGS_REFUSED, verdict.value
                )
                logs.log(
                    "settings_not_taken",
                    key=document.key,
                    revision=document.revision,
                    verdict=verdict.value,
                    source=source,
                    detail=self._refusal_detail(document.key, verdict),
                )
        if accepted:
            safely.run_safely(self._on_accept, "settings", self._totals)

    def _refusal_detail(self, key: str, verdict: store.Verdict) -> str | None:
        """Returns the problems of a refused document, else None."""
        if verdict is not store.Verdict.REFUSED:
            return None
        problems = [
            problem
            for refusal in self._settings.refusals
            if refusal.key == key
            for problem in refusal.problems
        ]
        return "; ".join(problems)[:DETAIL_MAX]

    async def run(self, *, reads_without_need: bool) -> None:
        """Reads and watches the service until cancelled.

        Args:
          reads_without_need: whether to read periodically even if the settings
            are complete, as entries do.
        """
        if not reads_without_need:
            await asyncio.sleep(_seconds(PEER_WAIT_MS))
        failures = 0
        while True:
            try:
                await self._poll_once(reads_without_need)
                failures = 0
            except clients.PlatformError as error:
                failures += 1
                logs.log("configuration_unavailable", detail=error)
                backoff_ms = min(RETRY_MAX_MS, RETRY_MIN_MS * 2.0**failures)
                await asyncio.sleep(
                    _seconds(random.uniform(0.5, 1) * backoff_ms)
                )

    async def _poll_once(self, reads_without_need: bool) -> None:
        keys = list(self._settings.keys)
        if self._watching and self._settings.complete:
            self._totals.add(counters.CounterName.PLATFORM_READS, "watch")
            newest = max(self._settings.revisions())
            documents = await self._client.watch(keys, newest, WATCH_MS)
            self.offer(documents, "watch")
            if documents and not self._has_advanced(documents, newest):
                await asyncio.sleep(_seconds(RETRY_MAX_MS))
            return
        if reads_without_need or not self._settings.complete:
            self._totals.add(counters.CounterName.PLATFORM_READS, "read")
            self.offer(await self._client.read(keys), "read")
        await self._wait_for_next_read()

    def _has_advanced(
        self, documents: list[messages.Document], newest: int
    ) -> bool:
        """Returns whether a newer revision than `newest` is in the store.

        A watch that returned only refused documents does not advance it.
        """
        return max(self._settings.revisions()) > newest

    async def _wait_for_next_read(self) -> None:
        if self._watching and self._settings.complete:
            return
        interval_ms = DIRECT_READ_MS
        if not self._settings.complete:
            interval_ms = PEER_WAIT_MS
        self._changed.clear()
        try:
            async with asyncio.timeout(
                _seconds(interval_ms) * random.uniform(0.7, 1.3)
            ):
                await self._changed.wait()
        except TimeoutError:
            return


def _seconds(millis: float) -> float:
    return millis / clock.MILLIS_PER_SECOND
